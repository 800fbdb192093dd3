"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """How a command ended, for programs that call it."""

    ACCEPTED = 0
    # A fault in the program; its log line says where.
    INTERNAL = 1
    # Wrong arguments, or a file that does not hold; nothing was sent.
    USAGE = 2
    # The fleet said no; nothing changed.
    REFUSED = 3
    # The change may or may not have taken effect; ask before repeating.
    UNKNOWN = 4
    # No operator listener answered; nothing is known to have changed.
    UNREACHABLE = 5
    # Accepted, but some nodes had not confirmed when the wait ended.
    NOT_YET_IN_FORCE = 6
