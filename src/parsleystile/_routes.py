"""Finds the route of a path: longest prefix, on segment borders."""

import re
import typing

Found = typing.TypeVar('Found')

# An escaped dot, slash or backslash; a dot segment; an empty segment.
_AMBIGUOUS = re.compile(r'%(?:2[ef]|5c)|/\.{1,2}(?:/|$)|//|\\', re.IGNORECASE)
_PREFIX = re.compile(r'/[^?#\s]*')


def normal_prefix(prefix: str) -> str | None:
    """Return a prefix without its last slash; None if it is ambiguous."""
    if not _PREFIX.fullmatch(prefix) or _AMBIGUOUS.search(prefix):
        return None
    return prefix.rstrip('/')


class RouteIndex(typing.Generic[Found]):
    """Looks paths up by prefix; built once for each document."""

    def __init__(
        self,
        entries: typing.Iterable[tuple[str, tuple[str, ...], Found]],
    ) -> None:
        self._by_prefix: dict[str, dict[str, Found]] = {}
        for prefix, methods, found in entries:
            slot = self._by_prefix.setdefault(prefix.rstrip('/'), {})
            for method in methods or ('*',):
                slot[method] = found
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._lengths = tuple(sorted(lengths, reverse=True))

    def match(self, method: str, path: str) -> Found | None:
        """Return what the longest matching prefix stands for."""
        path = path.partition('?')[0]
        if path[:1] != '/' or _AMBIGUOUS.search(path):
            return None
        length = len(path)
        for end in self._lengths:
            if end > length or (end < length and path[end] != '/'):
                continue
            slot = self._by_prefix.get(path[:end])
            if slot is not None:
                return slot.get(method) or slot.get('*')
        return None


def route_index(
    entries: typing.Iterable[tuple[str, tuple[str, ...], Found]],
) -> RouteIndex[Found]:
    """Create an index of (prefix, methods, what it stands for)."""
    return RouteIndex(entries)
