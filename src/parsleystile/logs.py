"""Logs as JSON lines through absl.logging, one event a line.

Each line has ``time_ms`` (since 1970-01-01 UTC), ``level``, ``node`` and
``event``; the rest are the fields of the event's data class in
``parsleystile.logevents``. Lines of libraries have the event ``message``.
Events of one kind are limited in rate; ``suppressed`` on a line counts the
events of its kind that were left out before it.
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
_KIND_BOUNDARY = re.compile(r'(?<!^)(?=[A-Z])')


def _clip(text: str) -> str:
    """Return ``text`` without header secrets and bounded in length."""
    text = _SECRET_HEADER.sub(r'\1\2[removed]', text)
    if len(text) <= MAX_TEXT_CHARS:
        return text
    return text[: MAX_TEXT_CHARS - 1] + '…'


def _plain(value: object) -> object:
    match value:
        case enum.Enum():
            return value.name.lower().replace('_', '-')
        case bool() | int() | None:
            return value
        case float():
            return round(value, 3)
        case list() | tuple():
            return [_plain(item) for item in value[:MAX_ITEMS]]
    return _clip(str(value))


def event_type_name(kind: type[logevents.Event]) -> str:
    """Return the name of a kind of event, such as ``call-refused``."""
    return _KIND_BOUNDARY.sub('-', kind.__name__).lower()


def event_name(event: logevents.Event) -> str:
    """Return the name of the kind that an event is of."""
    return event_type_name(type(event))


class JsonFormatter(std_logging.Formatter):
    """Writes a log record as one JSON object on one line."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line for ``record``, without a line end."""
        line = {
            'time_ms': int(record.created * 1000),
            'level': record.levelname.lower(),
            'node': self._node,
        }
        event = getattr(record, _RECORD_FIELD, None)
        if event is None:
            line.update(self._message(record))
        else:
            line['event'] = event_name(event)
            for field in dataclasses.fields(event):
                line[field.name] = _plain(getattr(event, field.name))
            suppressed = getattr(record, _SUPPRESSED_FIELD, 0)
            if suppressed:
                line['suppressed'] = suppressed
        return json.dumps(line, ensure_ascii=False)

    def _message(self, record: std_logging.LogRecord) -> dict[str, str]:
        fields = {
            'event': 'message',
            'logger': record.name,
            'message': _clip(record.getMessage()),
        }
        if record.exc_info:
            # The end of a traceback tells most.
            trace = self.formatException(record.exc_info)
            fields['trace'] = _clip(trace[-MAX_TEXT_CHARS:])
        return fields


@dataclasses.dataclass(slots=True)
class _Budget:
    """Token bucket for the lines of one kind of event."""

    lines: float
    updated_ms: float
    suppressed: int = 0


class EventLog:
    """Passes events on to absl.logging within a rate for each kind."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._budgets: dict[type, _Budget] = {}

    def write(self, event: logevents.Event) -> bool:
        """Log ``event``; return whether its line was within the rate."""
        now_ms = self._clock.now_ms()
        budget = self._budgets.get(type(event))
        if budget is None:
            budget = _Budget(BURST_LINES, now_ms)
            self._budgets[type(event)] = budget
        refill = (now_ms - budget.updated_ms) * LINES_PER_S / 1000
        budget.lines = min(BURST_LINES, budget.lines + refill)
        budget.updated_ms = now_ms
        if budget.lines < 1:
            budget.suppressed += 1
            return False
        budget.lines -= 1
        extra = {_RECORD_FIELD: event, _SUPPRESSED_FIELD: budget.suppressed}
        budget.suppressed = 0
        level = _LEVELS[logevents.level_of(event)]
        logging.log(level, '%s', event_name(event), extra=extra)
        return True


def event_log(clock: clocks.Clock) -> EventLog:
    """Create a log whose rates are measured by ``clock``."""
    return EventLog(clock)


_process_log = event_log(clocks.system_clock())


def setup(node: str) -> None:
    """Send all logs of this process to stderr as JSON lines.

    Args:
        node: Written on each line; the node's id.
    """
    # absl warns in plain text of logs before its own flags are parsed; this
    # program has none.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter(node))
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)


def log_event(what: logevents.Event) -> None:
    """Log an event of this process."""
    _process_log.write(what)
