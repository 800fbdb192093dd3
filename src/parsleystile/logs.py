"""Structured logging: one event per JSON line, through absl.logging.

Each line has ``time_ms`` (since 1970-01-01 UTC), ``level``, ``node`` and
``event``, followed by the fields of the event's data class in
``parsleystile.logevents``. Messages of libraries have the event ``message``.
Each type of event is rate limited; ``suppressed`` on a line is the number of
events of its type that were dropped since the previous line.
"""

import dataclasses
import enum
import json
import logging as std_logging
import re

from absl import flags
from absl import logging

from parsleystile import clock as clocks
from parsleystile import logevents

LINES_PER_S = 20.0
BURST_LINES = 100.0
MAX_TEXT_CHARS = 500
MAX_ITEMS = 32

_RECORD_FIELD = 'parsleystile_event'
_SUPPRESSED_FIELD = 'parsleystile_suppressed'
_LEVELS = {
    logevents.Level.INFO: logging.INFO,
    logevents.Level.WARNING: logging.WARNING,
    logevents.Level.ERROR: logging.ERROR,
}
_SECRET_HEADER = re.compile(
    r'(?i)(x-api-key|x-operator-key|x-parsleystile-context|authorization)'
    r'(["\']?\s*[:=]\s*["\']?)[^\s"\',;]+'
)
_WORD_BOUNDARY = re.compile(r'(?<!^)(?=[A-Z])')


def _redact_and_truncate(text: str) -> str:
    """Return ``text`` without secrets of headers, truncated."""
    text = _SECRET_HEADER.sub(r'\1\2[removed]', text)
    if len(text) <= MAX_TEXT_CHARS:
        return text
    return text[: MAX_TEXT_CHARS - 1] + '…'


def _to_json_value(value: object) -> object:
    match value:
        case enum.Enum():
            return value.name.lower().replace('_', '-')
        case bool() | int() | None:
            return value
        case float():
            return round(value, 3)
        case list() | tuple():
            return [_to_json_value(item) for item in value[:MAX_ITEMS]]
    return _redact_and_truncate(str(value))


def event_type_name(event_type: type[logevents.Event]) -> str:
    """Return the name of a type of event, such as ``call-refused``."""
    return _WORD_BOUNDARY.sub('-', event_type.__name__).lower()


def event_name(event: logevents.Event) -> str:
    """Return the name of the type of an event."""
    return event_type_name(type(event))


class JsonFormatter(std_logging.Formatter):
    """Formats a log record as a JSON object on one line."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line for ``record``, without a trailing newline."""
        line = {
            'time_ms': int(record.created * 1000),
            'level': record.levelname.lower(),
            'node': self._node,
        }
        event = getattr(record, _RECORD_FIELD, None)
        if event is None:
            line.update(self._message_fields(record))
        else:
            line['event'] = event_name(event)
            for field in dataclasses.fields(event):
                line[field.name] = _to_json_value(getattr(event, field.name))
            suppressed = getattr(record, _SUPPRESSED_FIELD, 0)
            if suppressed:
                line['suppressed'] = suppressed
        return json.dumps(line, ensure_ascii=False)

    def _message_fields(self, record: std_logging.LogRecord) -> dict[str, str]:
        fields = {
            'event': 'message',
            'logger': record.name,
            'message': _redact_and_truncate(record.getMessage()),
        }
        if record.exc_info:
            # The end of a traceback is its most useful part.
            trace = self.formatException(record.exc_info)
            fields['trace'] = _redact_and_truncate(trace[-MAX_TEXT_CHARS:])
        return fields


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    """Token bucket that limits the lines of one type of event."""

    tokens: float
    updated_ms: float
    suppressed: int = 0


class EventLog:
    """Writes events to absl.logging, rate limited per type of event."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._buckets: dict[type, _TokenBucket] = {}

    def write(self, event: logevents.Event) -> bool:
        """Log ``event``; return False if it was dropped by the rate limit."""
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(type(event))
        if bucket is None:
            bucket = _TokenBucket(BURST_LINES, now_ms)
            self._buckets[type(event)] = bucket
        refill_tokens = (now_ms - bucket.updated_ms) * LINES_PER_S / 1000
        bucket.tokens = min(BURST_LINES, bucket.tokens + refill_tokens)
        bucket.updated_ms = now_ms
        if bucket.tokens < 1:
            bucket.suppressed += 1
            return False
        bucket.tokens -= 1
        extra = {_RECORD_FIELD: event, _SUPPRESSED_FIELD: bucket.suppressed}
        bucket.suppressed = 0
        level = _LEVELS[logevents.level_of(event)]
        logging.log(level, '%s', event_name(event), extra=extra)
        return True


def event_log(clock: clocks.Clock) -> EventLog:
    """Create a log whose rate limits use ``clock``."""
    return EventLog(clock)


_process_log = event_log(clocks.system_clock())


def setup(node: str) -> None:
    """Send all logs of this process to stderr as JSON lines.

    Args:
        node: Id of the node, included in each line.
    """
    # absl prints a plain text warning on logging before its flags are parsed.
    # This program does not use them.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter(node))
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)


def log_event(event: logevents.Event) -> None:
    """Log an event of this process."""
    _process_log.write(event)
