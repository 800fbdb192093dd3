"""What a target says of itself in the headers of its answers.

A target in need names the calls a second that it takes from all nodes
together, and one that is about to leave says so. A value that can't be read
changes nothing that is in force, and the answer is passed on all the same.
"""

import dataclasses
import enum
import math
import re

from parsleystile.relay import headernames

# Longer values are not numbers of calls a second.
_MAX_NUMBER_CHARS = 32
_DECIMAL_NUMBER = re.compile(r'[0-9]+(?:\.[0-9]*)?|\.[0-9]+')


class Fault(enum.Enum):
    """Why the value of a header can't be used."""

    NOT_A_DECIMAL_NUMBER = 'not a decimal number'
    NOT_A_FLAG = 'neither 0 nor 1'
    AMBIGUOUS = 'named twice with different values'


@dataclasses.dataclass(frozen=True, slots=True)
class BadHeader:
    """A header whose value can't be used.

    Attributes:
        value: The value, truncated.
    """

    name: str
    value: str
    fault: Fault


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """The notices in the headers of one answer.

    Attributes:
        limit_per_s: Calls a second that the target takes from all nodes
            together; None if it names no limit that can be read.
        is_leaving: Whether the target is about to leave.
        bad: Headers that can't be used.
        is_limit_unreadable: Whether a limit is named that can't be read.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    bad: tuple[BadHeader, ...] = ()
    is_limit_unreadable: bool = False


_NOTHING = Reading()


class NoticeReader:
    """Reads the notices of a target."""

    def __init__(self, names: headernames.HeaderNames) -> None:
        self._limit_header = names.rate_limit.lower()
        self._leaving_header = names.leaving.lower()

    def read(self, headers: list[str]) -> Reading:
        """Return the notices of an answer.

        Args:
            headers: Names and values of its head, alternating.
        """
        limits: list[str] = []
        flags: list[str] = []
        for i in range(0, len(headers), 2):
            name = headers[i].lower()
            if name == self._limit_header:
                limits.append(headers[i + 1])
            elif name == self._leaving_header:
                flags.append(headers[i + 1])
        if not limits and not flags:
            return _NOTHING
        bad: list[BadHeader] = []
        limit_per_s = self._read_limit(limits, bad)
        return Reading(
            limit_per_s=limit_per_s,
            is_leaving=self._read_leaving(flags, bad),
            bad=tuple(bad),
            is_limit_unreadable=bool(limits) and limit_per_s is None,
        )

    def _read_limit(
        self, values: list[str], bad: list[BadHeader]
    ) -> float | None:
        """Return the lowest limit named, which keeps all of them."""
        found: set[float] = set()
        for value in values:
            number = _decimal_number(value)
            if number is None:
                fault = Fault.NOT_A_DECIMAL_NUMBER
                bad.append(_bad_header(self._limit_header, value, fault))
            else:
                found.add(number)
        if len(found) > 1:
            text = ', '.join(values)
            bad.append(_bad_header(self._limit_header, text, Fault.AMBIGUOUS))
        return min(found, default=None)

    def _read_leaving(self, values: list[str], bad: list[BadHeader]) -> bool:
        """Return whether any value says that the target leaves."""
        is_leaving = False
        for value in values:
            match value.strip():
                case '1':
                    is_leaving = True
                case '0':
                    pass
                case _:
                    fault = Fault.NOT_A_FLAG
                    bad.append(_bad_header(self._leaving_header, value, fault))
        return is_leaving


def notice_reader(names: headernames.HeaderNames) -> NoticeReader:
    """Create a reader of the headers with these names."""
    return NoticeReader(names)


def _decimal_number(text: str) -> float | None:
    text = text.strip()
    if len(text) > _MAX_NUMBER_CHARS or not _DECIMAL_NUMBER.fullmatch(text):
        return None
    number = float(text)
    return number if math.isfinite(number) else None


def _bad_header(name: str, value: str, fault: Fault) -> BadHeader:
    return BadHeader(name, value[:_MAX_NUMBER_CHARS], fault)


class Source(enum.Enum):
    """Where a guard has a notice from."""

    ANSWER = 'answer'
    # The sender of a call was told before the guard restarted.
    RECALLED = 'recalled'


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What is in force for one target.

    Attributes:
        limit_per_s: Calls a second that it takes; None without a limit.
        is_leaving: Whether it is about to leave.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False

    def __bool__(self) -> bool:
        return self.limit_per_s is not None or self.is_leaving


class NoticeTracker:
    """Keeps the notice in force of one target from its answers.

    Attributes:
        notice: The notice in force.
    """

    def __init__(self) -> None:
        self.notice = Notice()
        self._named_ms = -math.inf
        self._is_heard = False

    def answered(
        self, reading: Reading, started_ms: float, now_ms: float
    ) -> bool:
        """Apply the notices of an answer.

        A limit ends with an answer that names none. An answer to a call that
        was under way when the limit was last named may be older than the
        limit, and ends nothing.

        Args:
            reading: The notices of the answer.
            started_ms: When its call was sent to the target.
            now_ms: Current time.

        Returns:
            Whether the notice in force changed.
        """
        self._is_heard = True
        limit_per_s = self.notice.limit_per_s
        if reading.limit_per_s is not None:
            limit_per_s = reading.limit_per_s
            self._named_ms = now_ms
        elif not reading.is_limit_unreadable and started_ms > self._named_ms:
            limit_per_s = None
        is_leaving = self.notice.is_leaving or reading.is_leaving
        return self._set(Notice(limit_per_s, is_leaving))

    def recalled(self, told: Notice, now_ms: float) -> bool:
        """Apply a notice that this process or a former one gave away.

        The target's own answers are newer than what others were told of its
        limit; of what several were told, the lowest holds until then.

        Returns:
            Whether the notice in force changed.
        """
        limit_per_s = self.notice.limit_per_s
        if told.limit_per_s is not None and not self._is_heard:
            self._named_ms = now_ms
            limit_per_s = min(
                told.limit_per_s,
                math.inf if limit_per_s is None else limit_per_s,
            )
        is_leaving = self.notice.is_leaving or told.is_leaving
        return self._set(Notice(limit_per_s, is_leaving))

    def _set(self, notice: Notice) -> bool:
        if notice == self.notice:
            return False
        self.notice = notice
        return True


def notice_tracker() -> NoticeTracker:
    """Create the tracker of a target that has named nothing."""
    return NoticeTracker()
