"""Outcomes and refusals of calls, and the exceptions of the package."""

import dataclasses
import enum

from parsleystile import exitcodes

import msgspec


class Outcome(enum.IntEnum):
    """Outcome of a call, as far as its caller may rely on it."""

    ANSWERED = 1
    # No part of the call reached the target: it is safe to retry.
    NOT_RUN = 2
    # The target may have run the call: retried only if it is idempotent.
    UNKNOWN = 3


class Reason(enum.IntEnum):
    """Why a call was refused; the numbers are used on the wire."""

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


# Reasons of refusals after which another target may accept the call.
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
# Until another node or target takes over from one that is leaving.
UNAVAILABLE_RETRY_AFTER_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a call got no answer from its target.

    Attributes:
        outcome: ``NOT_RUN`` or ``UNKNOWN``.
        reason: Kind of the refusal.
        detail: One line of text for people; never contains a key.
        retry_after_ms: Earliest useful time of a retry; 0 for no hint.
        final: No node upstream may retry the call.
    """

    outcome: Outcome
    reason: Reason
    detail: str = ''
    retry_after_ms: int = 0
    final: bool = False

    @property
    def status(self) -> int:
        """HTTP status that reports this refusal to a caller."""
        return _STATUS.get(self.reason, _DEFAULT_STATUS)

    @property
    def is_retryable(self) -> bool:
        """Whether another target may be tried; safety is not considered."""
        return self.reason in _RETRYABLE and not self.final


def not_run(
    reason: Reason, detail: str = '', retry_after_ms: int = 0
) -> Refusal:
    """Create a refusal of a call that has not reached the target."""
    return Refusal(Outcome.NOT_RUN, reason, detail, retry_after_ms)


def unknown(reason: Reason, detail: str = '') -> Refusal:
    """Create a refusal of a call that the target may have run."""
    return Refusal(Outcome.UNKNOWN, reason, detail)


class ParsleystileError(Exception):
    """Base class of the exceptions that this package raises."""


class SettingsError(ParsleystileError):
    """A settings file or configuration document is invalid.

    Attributes:
        path: Location in the document, such as ``node.link_port``.
        problem: What is wrong there, including the invalid value.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f'{path}: {problem}')
        self.path = path
        self.problem = problem


def settings_error(exc: msgspec.MsgspecError, document: str) -> SettingsError:
    """Create the error of an invalid document.

    Args:
        exc: Error of the decoder.
        document: Path to report if the error has no location.
    """
    problem, _, path = str(exc).partition(' - at `$')
    return SettingsError(path.strip('.`') or document, problem)


class ConflictError(SettingsError):
    """A change conflicts with a change accepted before it.

    Attributes:
        based_on: Version that the change is based on.
        winner: Version of the change accepted first.
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
    """A line of an event history is invalid.

    Attributes:
        path: Path of the file.
        line: Line number, from 1.
    """

    def __init__(self, path: str, line: int, problem: str) -> None:
        super().__init__(f'{path}:{line}: {problem}')
        self.path = path
        self.line = line


class UsageError(ParsleystileError):
    """The command line is invalid, or help was requested.

    Attributes:
        help_text: Requested help; empty if the command line is invalid.
    """

    def __init__(self, problem: str, help_text: str = '') -> None:
        super().__init__(problem)
        self.help_text = help_text


class CommandFailure(ParsleystileError):
    """A command failed.

    Attributes:
        code: Exit code of the program.
    """

    def __init__(self, problem: str, code: exitcodes.ExitCode) -> None:
        super().__init__(problem)
        self.code = code


class FrameError(ParsleystileError):
    """Bytes from another node are not a valid message."""


class TableError(ParsleystileError):
    """Base class of failures of the platform's table service."""


class TableUnavailableError(TableError):
    """The request had no effect: the table was not reached."""


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
