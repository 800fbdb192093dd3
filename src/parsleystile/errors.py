"""Every way in which parsleystile says no, as types."""

import dataclasses
import enum

from parsleystile import exitcodes

import msgspec


class Outcome(enum.IntEnum):
    """What became of a call, as far as its caller may rely on it."""

    ANSWERED = 1
    # No part of the call reached the target: safe to send again.
    NOT_RUN = 2
    # The target may have run the call: never sent again unless idempotent.
    UNKNOWN = 3


class Reason(enum.IntEnum):
    """Why a call was refused; the numbers are those on the wire."""

    NONE = 0
    KEY_MISSING = 1
    KEY_REJECTED = 2
    NO_ROUTE = 3
    MALFORMED = 4
    TOO_LARGE = 5
    RATE_LIMITED = 6
    DUPLICATE = 7
    SHED = 8
    QUEUE_FULL = 9
    DEADLINE = 10
    NO_TARGET = 11
    LEAVING = 12
    CONTEXT_UNKNOWN = 13
    TOO_DEEP = 14
    UNREACHABLE = 15
    LINK_LOST = 16
    TARGET_FAILED = 17
    CANCELLED = 18
    DOMAIN_OUT = 19
    STORE_UNAVAILABLE = 20
    RETRIES_SPENT = 21
    INTERNAL = 22


# Another target may well take what one guard refused for these reasons.
_RETRYABLE = frozenset(
    {
        Reason.SHED,
        Reason.QUEUE_FULL,
        Reason.LEAVING,
        Reason.DOMAIN_OUT,
        Reason.UNREACHABLE,
        Reason.LINK_LOST,
        Reason.TARGET_FAILED,
    }
)

_STATUS = {
    Reason.KEY_MISSING: 401,
    Reason.KEY_REJECTED: 401,
    Reason.NO_ROUTE: 404,
    Reason.MALFORMED: 400,
    Reason.TOO_LARGE: 413,
    Reason.RATE_LIMITED: 429,
    Reason.DUPLICATE: 409,
    Reason.DEADLINE: 504,
    Reason.CONTEXT_UNKNOWN: 403,
    Reason.TOO_DEEP: 508,
    Reason.LINK_LOST: 502,
    Reason.TARGET_FAILED: 502,
    Reason.CANCELLED: 499,
    Reason.INTERNAL: 500,
}
_DEFAULT_STATUS = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A call that got no answer from its target, and why.

    Attributes:
        outcome: ``NOT_RUN`` or ``UNKNOWN``.
        reason: The kind of refusal.
        detail: One line for people; never holds a key.
        retry_after_ms: Earliest useful time of another try; 0 if none.
        final: No node further up may try again.
    """

    outcome: Outcome
    reason: Reason
    detail: str = ''
    retry_after_ms: int = 0
    final: bool = False

    @property
    def status(self) -> int:
        """HTTP status that tells a caller of this refusal."""
        return _STATUS.get(self.reason, _DEFAULT_STATUS)

    @property
    def is_retryable(self) -> bool:
        """Whether another target may be tried, idempotency aside."""
        return self.reason in _RETRYABLE and not self.final


def not_run(
    reason: Reason, detail: str = '', retry_after_ms: int = 0
) -> Refusal:
    """Create a refusal of a call of which nothing reached the target."""
    return Refusal(Outcome.NOT_RUN, reason, detail, retry_after_ms)


def unknown(reason: Reason, detail: str = '') -> Refusal:
    """Create a refusal of a call that the target may have run."""
    return Refusal(Outcome.UNKNOWN, reason, detail)


class ParsleystileError(Exception):
    """Base of every exception that this package raises."""


class SettingsError(ParsleystileError):
    """A settings file or configuration document that does not hold.

    Attributes:
        path: Where in the document, such as ``node.link_port``.
        problem: What is wrong there, naming the bad value.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f'{path}: {problem}')
        self.path = path
        self.problem = problem


def settings_error(exc: msgspec.MsgspecError, document: str) -> SettingsError:
    """Tell where a document fails; ``document`` names it as a whole."""
    problem, _, path = str(exc).partition(' - at `$')
    return SettingsError(path.strip('.`') or document, problem)


class ConflictError(SettingsError):
    """A change of something that another change got to first.

    Attributes:
        based_on: Version that the operator had seen.
        winner: Version of the change that came first.
    """

    def __init__(self, path: str, based_on: int, winner: int) -> None:
        super().__init__(
            path,
            f'changed in version {winner}, after version {based_on} '
            'that this change is based on',
        )
        self.based_on = based_on
        self.winner = winner


class HistoryError(ParsleystileError):
    """A record of events with a line that is no entry.

    Attributes:
        path: The file.
        line: Number of the line, from 1.
    """

    def __init__(self, path: str, line: int, problem: str) -> None:
        super().__init__(f'{path}:{line}: {problem}')
        self.path = path
        self.line = line


class UsageError(ParsleystileError):
    """Arguments of the command line that make no command.

    Attributes:
        help_text: Help that was asked for; empty if there is a problem.
    """

    def __init__(self, problem: str, help_text: str = '') -> None:
        super().__init__(problem)
        self.help_text = help_text


class CommandFailure(ParsleystileError):
    """A command that did not do what it was asked to do.

    Attributes:
        code: Exit code that tells a program what happened.
    """

    def __init__(self, problem: str, code: exitcodes.ExitCode) -> None:
        super().__init__(problem)
        self.code = code


class FrameError(ParsleystileError):
    """Bytes from another node that are no valid message."""


class TableError(ParsleystileError):
    """Base of failures of the platform's table service."""


class TableUnavailableError(TableError):
    """The request did not take effect: the table was not reached."""


class TableResultUnknownError(TableError):
    """The request may have taken effect: its answer was lost."""


class VersionConflictError(TableError):
    """A compare-and-swap found another version than the expected one.

    Attributes:
        key: The row.
        expected: Version that the writer had read; 0 for an absent row.
        found: Version now in the table; 0 for an absent row.
    """

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(
            f'row {key!r}: expected version {expected}, found {found}'
        )
        self.key = key
        self.expected = expected
        self.found = found
