"""Finds the cause of a failed request in the log lines of the nodes.

The lines of all nodes may be in one file, in any order and with any prefix;
other lines are counted and skipped.
"""

import dataclasses
import typing

import msgspec

# A guard's refusal at most this long before the end of a request may explain
# it.
GUARD_LOOKBACK_MS = 1_000.0
# Longest time between a change of a node or target and a failure that it may
# explain.
STATE_LOOKBACK_MS = 5_000.0
# Lines shown of one kind of event; the latest are kept.
MAX_SHOWN = 5

_FINAL_EVENTS = frozenset(
    {
        'call-refused',
        'call-unknown',
        'call-answered',
        'call-abandoned',
        'call-cut',
    }
)
_OVERLOAD_REASONS = frozenset({'shed', 'queue_full', 'deadline', 'no_target'})
_CONFIGURATION_REASONS = frozenset(
    {'key_rejected', 'key_missing', 'no_route', 'rate_limited'}
)
_REQUIRED_KEYS = frozenset({'time_ms', 'node', 'event'})


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One log line of a node."""

    time_ms: int
    node: str
    event: str
    fields: dict[str, typing.Any]

    def __str__(self) -> str:
        words = [f'{k}={v}' for k, v in self.fields.items() if k != 'call']
        return f'{self.time_ms} {self.node} {self.event} {" ".join(words)}'


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """Log lines about one request.

    Attributes:
        request_entries: Lines that name the request, by time.
        causes: Other lines that may explain how it ended, by time.
        suppressed: Lines about the ends of requests that the nodes' rate
            limits suppressed, as far as later lines state it.
        unparsed: Non-empty lines that are not log lines of a node.
    """

    request_entries: list[Entry]
    causes: list[Entry]
    suppressed: int
    unparsed: int

    def __str__(self) -> str:
        if not self.request_entries:
            return (
                f'no log line names this request; {self.suppressed} lines'
                f' about requests were suppressed, {self.unparsed} lines'
                ' could not be parsed'
            )
        parts = ['the request:', *map(str, self.request_entries)]
        if self.causes:
            parts += ['possible causes:', *map(str, self.causes)]
        return '\n'.join(parts)


def _parse_entry(line: str) -> Entry | None:
    start = line.find('{')
    if start < 0:
        return None
    try:
        decoded = msgspec.json.decode(line[start:])
    except msgspec.MsgspecError:
        return None
    if not isinstance(decoded, dict) or not decoded.keys() >= _REQUIRED_KEYS:
        return None
    if not isinstance(decoded['time_ms'], int):
        return None
    fields = {k: v for k, v in decoded.items() if k not in _REQUIRED_KEYS}
    return Entry(decoded['time_ms'], decoded['node'], decoded['event'], fields)


def _explains_overload(entry: Entry, end: Entry) -> bool:
    age_ms = end.time_ms - entry.time_ms
    if entry.event == 'guard-refused':
        return 0 <= age_ms <= GUARD_LOOKBACK_MS
    is_state = entry.event in ('target-changed', 'member-changed')
    return is_state and 0 <= age_ms <= STATE_LOOKBACK_MS


def _explains_configuration(entry: Entry, end: Entry) -> bool:
    return (
        entry.node == end.node
        and entry.time_ms <= end.time_ms
        and entry.event
        in (
            'policy-in-force',
            'policy-rejected',
            'store-era',
            'store-reach',
        )
    )


def _explains_unreachable(entry: Entry, end: Entry) -> bool:
    if abs(end.time_ms - entry.time_ms) > STATE_LOOKBACK_MS:
        return False
    if entry.event == 'node-reach':
        return entry.node == end.node
    return entry.event in ('target-changed', 'process', 'drain-ended')


def _cause_filter(end: Entry) -> typing.Callable[[Entry, Entry], bool] | None:
    reason = end.fields.get('reason', '')
    if end.event in ('call-unknown', 'call-cut'):
        return _explains_unreachable
    if end.event != 'call-refused':
        return None
    if reason in _OVERLOAD_REASONS:
        return _explains_overload
    return (
        _explains_configuration
        if reason in _CONFIGURATION_REASONS
        else _explains_unreachable
    )


def _latest(entries: list[Entry]) -> list[Entry]:
    """Return the latest entries of each kind, by time."""
    kept: list[Entry] = []
    by_kind: dict[str, int] = {}
    for entry in sorted(entries, key=lambda e: e.time_ms, reverse=True):
        count = by_kind.get(entry.event, 0)
        if count < MAX_SHOWN:
            by_kind[entry.event] = count + 1
            kept.append(entry)
    return kept[::-1]


def trace(call_id: str, lines: typing.Iterable[str]) -> Trace:
    """Collect the log lines that explain one request."""
    entries: list[Entry] = []
    unparsed = 0
    for line in lines:
        entry = _parse_entry(line)
        if entry is not None:
            entries.append(entry)
        elif line.strip():
            unparsed += 1
    request_entries = [e for e in entries if e.fields.get('call') == call_id]
    request_entries.sort(key=lambda e: e.time_ms)
    ends = [e for e in request_entries if e.event in _FINAL_EVENTS]
    is_cause = _cause_filter(ends[-1]) if ends else None
    causes: list[Entry] = []
    if is_cause is not None:
        causes = [
            e
            for e in entries
            if is_cause(e, ends[-1]) and e not in request_entries
        ]
    suppressed = sum(
        e.fields.get('suppressed', 0)
        for e in entries
        if e.event in _FINAL_EVENTS
    )
    return Trace(request_entries, _latest(causes), suppressed, unparsed)
