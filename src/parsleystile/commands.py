"""What can be asked on the command line, and the tree that Fire reads."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Base of all commands."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunNode(Command):
    """Run one node until it is told to stop."""

    settings_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckSettings(Command):
    """Check a node's settings file without running it."""

    path: str


def _node(settings: str) -> RunNode:
    """Run one node until SIGTERM, which drains it.

    Args:
        settings: TOML file with the node's settings.
    """
    return RunNode(str(settings))


def _settings_check(file: str) -> CheckSettings:
    """Check a node's settings file; names the path and the bad value.

    Args:
        file: TOML file with the node's settings.
    """
    return CheckSettings(str(file))


def tree() -> dict[str, object]:
    """Return the groups and commands by name, as Fire expects them."""
    return {
        'node': _node,
        'settings': {'check': _settings_check},
    }
