"""Walks from the id of a failed request to its cause, by the nodes' lines.

The lines of all nodes may be in one file, in any order, each behind any
prefix; what is no line of a node is counted and passed over.
"""

import dataclasses
import typing

import msgspec

# Lines of the guards this long before a refusal can be its reason.
GUARD_MS = 1_000.0
# Nodes and targets that went out of reach so long before a failure.
STATE_MS = 5_000.0
# So many lines of one kind are shown, the latest.
MAX_SHOWN = 5

_CALL_ENDS = frozenset(
    {'call-refused', 'call-unknown', 'call-answered', 'call-abandoned'}
)
_OVERLOAD = frozenset({'shed', 'queue_full', 'deadline', 'no_target'})
_CONFIGURED = frozenset(
    {'key_rejected', 'key_missing', 'no_route', 'rate_limited'}
)
_COMMON = frozenset({'time_ms', 'node', 'event'})


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One line of a node."""

    time_ms: int
    node: str
    event: str
    fields: dict[str, typing.Any]

    def __str__(self) -> str:
        words = [f'{k}={v}' for k, v in self.fields.items() if k != 'call']
        return f'{self.time_ms} {self.node} {self.event} {" ".join(words)}'


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """What the lines say of one request.

    Attributes:
        own: Lines that name the request.
        causes: Other lines that explain how it ended.
        left_out: Lines of the same kinds that nodes did not write, as far
            as later lines tell.
        unread: Lines of the file that are none of a node.
    """

    own: list[Entry]
    causes: list[Entry]
    left_out: int
    unread: int

    def __str__(self) -> str:
        if not self.own:
            return (
                f'no line names this request; {self.left_out} lines on'
                f' requests were left out, {self.unread} were not read'
            )
        parts = ['the request:', *map(str, self.own)]
        if self.causes:
            parts += ['what led to it:', *map(str, self.causes)]
        return '\n'.join(parts)


def _entry(line: str) -> Entry | None:
    start = line.find('{')
    if start < 0:
        return None
    try:
        found = msgspec.json.decode(line[start:])
    except msgspec.MsgspecError:
        return None
    if not isinstance(found, dict) or not found.keys() >= _COMMON:
        return None
    if not isinstance(found['time_ms'], int):
        return None
    fields = {k: v for k, v in found.items() if k not in _COMMON}
    return Entry(found['time_ms'], found['node'], found['event'], fields)


def _is_guards(entry: Entry, end: Entry) -> bool:
    age_ms = end.time_ms - entry.time_ms
    if entry.event == 'guard-refused':
        return 0 <= age_ms <= GUARD_MS
    is_state = entry.event in ('target-changed', 'member-changed')
    return is_state and 0 <= age_ms <= STATE_MS


def _is_configuration(entry: Entry, end: Entry) -> bool:
    return (
        entry.node == end.node
        and entry.time_ms <= end.time_ms
        and entry.event
        in ('policy-in-force', 'policy-rejected', 'store-reach')
    )


def _is_reach(entry: Entry, end: Entry) -> bool:
    if abs(end.time_ms - entry.time_ms) > STATE_MS:
        return False
    if entry.event == 'node-reach':
        return entry.node == end.node
    return entry.event in ('target-changed', 'process')


def _test_for(end: Entry) -> typing.Callable[[Entry, Entry], bool] | None:
    reason = end.fields.get('reason', '')
    if end.event == 'call-unknown':
        return _is_reach
    if end.event != 'call-refused':
        return None
    if reason in _OVERLOAD:
        return _is_guards
    return _is_configuration if reason in _CONFIGURED else _is_reach


def _latest(entries: list[Entry]) -> list[Entry]:
    """Keep the latest of each kind, in order of time."""
    kept: list[Entry] = []
    by_kind: dict[str, int] = {}
    for entry in sorted(entries, key=lambda e: e.time_ms, reverse=True):
        count = by_kind.get(entry.event, 0)
        if count < MAX_SHOWN:
            by_kind[entry.event] = count + 1
            kept.append(entry)
    return kept[::-1]


def trace(call_id: str, lines: typing.Iterable[str]) -> Trace:
    """Follow one request through the lines of its fleet."""
    entries: list[Entry] = []
    unread = 0
    for line in lines:
        entry = _entry(line)
        if entry is not None:
            entries.append(entry)
        elif line.strip():
            unread += 1
    own = [e for e in entries if e.fields.get('call') == call_id]
    own.sort(key=lambda e: e.time_ms)
    ends = [e for e in own if e.event in _CALL_ENDS]
    test = _test_for(ends[-1]) if ends else None
    causes: list[Entry] = []
    if test is not None:
        causes = [e for e in entries if test(e, ends[-1]) and e not in own]
    left_out = sum(
        e.fields.get('suppressed', 0) for e in entries if e.event in _CALL_ENDS
    )
    return Trace(own, _latest(causes), left_out, unread)
