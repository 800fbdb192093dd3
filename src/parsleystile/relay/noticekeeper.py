"""Applies what the local target says of itself.

Notices come with the target's answers and, after a restart of this node, with
the calls of nodes that were told before. They stay in force while the target
is only unreachable, and end with its incarnation.
"""

import typing

from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile.relay import declaredlimit
from parsleystile.relay import headernames
from parsleystile.relay import logevents
from parsleystile.relay import startmeter
from parsleystile.relay import targetnotices
from parsleystile.relay import telemetry

OnLeaving = typing.Callable[[ids.TargetId, int], None]


class TargetKey(typing.NamedTuple):
    """Identifies an incarnation of a target.

    Attributes:
        born_ms: When it started; 0 if it did not report that.
    """

    target_id: ids.TargetId
    born_ms: int


_NO_TARGET = TargetKey(ids.TargetId(''), 0)


class NoticeKeeper:
    """The notices of the latest incarnation of the local target.

    Attributes:
        told: The notice in force as callers are told it; None without one.
        on_leaving: Called with the id and the start time of a target that
            has said that it leaves.
    """

    def __init__(
        self,
        names: headernames.HeaderNames,
        limit: declaredlimit.DeclaredLimit,
        recorder: telemetry.Recorder,
    ) -> None:
        self.told: ttypes.TargetNotice | None = None
        self.on_leaving: OnLeaving = lambda target_id, born_ms: None
        self._reader = targetnotices.notice_reader(names)
        self._tracker = targetnotices.notice_tracker()
        self._starts = startmeter.start_meter()
        self._key = _NO_TARGET
        self._limit = limit
        self._recorder = recorder

    def set_target(self, key: TargetKey, now_ms: float) -> None:
        """Follow a target; the notices of another incarnation end."""
        if key == self._key:
            return
        self._key = key
        self._tracker = targetnotices.notice_tracker()
        self.told = None
        self._limit.set_named_rate(None, now_ms)

    def started(self, now_ms: float) -> None:
        """Count a call that is sent to the target, for the log."""
        if self.told is not None:
            self._starts.count(now_ms)

    def answered(
        self,
        key: TargetKey,
        headers: list[str],
        started_ms: float,
        now_ms: float,
    ) -> None:
        """Apply the headers of an answer to a call.

        Args:
            key: The target that the call was sent to.
            headers: Names and values of the answer, alternating.
            started_ms: When the call was sent.
            now_ms: Current time.
        """
        if key != self._key:
            return
        reading = self._reader.read(headers)
        for bad in reading.bad:
            self._recorder.input_rejected(
                f'target {key.target_id}',
                f'{bad.name} {bad.value!r}: {bad.fault.value}',
            )
        before = self._tracker.notice
        if self._tracker.answered(reading, started_ms, now_ms):
            self._apply(before, targetnotices.Source.ANSWER, now_ms)

    def recalled(self, told: ttypes.TargetNotice, now_ms: float) -> None:
        """Apply what the sender of a call was told before a restart here."""
        key = TargetKey(ids.TargetId(told.target_id), told.born_ms)
        if key != self._key:
            if told.is_leaving:
                # It may report here once more, as ready.
                self.on_leaving(*key)
            return
        before = self._tracker.notice
        notice = targetnotices.Notice(told.limit_per_s, told.is_leaving)
        if self._tracker.recalled(notice, now_ms):
            self._apply(before, targetnotices.Source.RECALLED, now_ms)

    def _apply(
        self,
        before: targetnotices.Notice,
        source: targetnotices.Source,
        now_ms: float,
    ) -> None:
        notice = self._tracker.notice
        self._record(before, source, now_ms)
        # Before a restart the rate may have been used up.
        tokens = 1.0 if source is targetnotices.Source.ANSWER else 0.0
        self._limit.set_named_rate(notice.limit_per_s, now_ms, tokens)
        self.told = None
        if notice:
            self.told = ttypes.TargetNotice(
                *self._key, notice.limit_per_s, notice.is_leaving
            )
        if notice.is_leaving:
            self.on_leaving(*self._key)

    def _record(
        self,
        before: targetnotices.Notice,
        source: targetnotices.Source,
        now_ms: float,
    ) -> None:
        notice, starts = self._tracker.notice, self._starts
        limit_per_s = _or_unlimited(notice.limit_per_s)
        self._recorder.gauge('target-limit', limit_per_s)
        self._recorder.log.write(
            logevents.TargetNoticeChanged(
                target=self._key.target_id,
                limit_per_s=limit_per_s,
                is_leaving=notice.is_leaving,
                source=source.value,
                before_per_s=_or_unlimited(before.limit_per_s),
                before_ms=round(starts.age_ms(now_ms) if before else 0.0, 1),
                calls_started=starts.started,
                most_started=starts.most,
            )
        )
        starts.reset(now_ms)


def _or_unlimited(limit_per_s: float | None) -> float:
    return -1.0 if limit_per_s is None else limit_per_s


def notice_keeper(
    names: headernames.HeaderNames,
    limit: declaredlimit.DeclaredLimit,
    recorder: telemetry.Recorder,
) -> NoticeKeeper:
    """Create a keeper of a node without a target."""
    return NoticeKeeper(names, limit, recorder)
