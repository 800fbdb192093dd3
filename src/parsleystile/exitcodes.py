"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit status of a command."""

    ACCEPTED = 0
    # An internal error; its log line says where.
    INTERNAL = 1
    # Wrong arguments or an invalid file; nothing was sent.
    USAGE = 2
    # The fleet refused the request; nothing changed.
    REFUSED = 3
    # The change may or may not have taken effect; check before repeating it.
    UNKNOWN = 4
    # No operator listener answered; nothing is known to have changed.
    UNREACHABLE = 5
    # Accepted, but not confirmed by all nodes when the wait ended.
    NOT_YET_IN_FORCE = 6
