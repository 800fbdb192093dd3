"""Route lookup by the longest prefix that begins a path.

Prefixes and paths are compared as they are written. Prefixes of whole path
segments are compared with ``segment_prefix`` and ``segment_path``.
"""

import re
import typing

Value = typing.TypeVar('Value')

# An escaped dot, slash or backslash; a dot segment; an empty segment.
_AMBIGUOUS = re.compile(r'%(?:2[ef]|5c)|/\.{1,2}(?:/|$)|//|\\', re.IGNORECASE)
_PREFIX = re.compile(r'/[^?#\s]*')


def segment_prefix(prefix: str) -> str | None:
    """Return a prefix of whole segments with a last slash.

    None if it is ambiguous: a target might resolve it to another path.
    """
    if not _PREFIX.fullmatch(prefix) or _AMBIGUOUS.search(prefix):
        return None
    return prefix.rstrip('/') + '/'


def segment_path(path: str) -> str | None:
    """Return a path, without its query, for lookup among segment prefixes.

    None if it is ambiguous.
    """
    path = path.partition('?')[0]
    if path[:1] != '/' or _AMBIGUOUS.search(path):
        return None
    return path + '/'


class RouteIndex(typing.Generic[Value]):
    """Index of path prefixes; built once per configuration document."""

    def __init__(
        self,
        entries: typing.Iterable[tuple[str, tuple[str, ...], Value]],
    ) -> None:
        self._by_prefix: dict[str, dict[str, Value]] = {}
        for prefix, methods, value in entries:
            by_method = self._by_prefix.setdefault(prefix, {})
            for method in methods or ('*',):
                by_method[method] = value
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._lengths = tuple(sorted(lengths, reverse=True))

    def match(self, method: str, path: str) -> Value | None:
        """Return the value of the longest prefix that begins a path.

        None without one. A method without an entry of its own matches the
        entry ``*``. A query is no part of the path.
        """
        path = path.partition('?')[0]
        for length in self._lengths:
            by_method = self._by_prefix.get(path[:length])
            if by_method is not None:
                return by_method.get(method) or by_method.get('*')
        return None


def route_index(
    entries: typing.Iterable[tuple[str, tuple[str, ...], Value]],
) -> RouteIndex[Value]:
    """Create an index of (prefix, methods, value); no methods match any."""
    return RouteIndex(entries)
