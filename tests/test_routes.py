"""Route lookup by prefix, against a reference of a few lines."""

import hypothesis
from hypothesis import strategies
import pytest

from parsleystile import _routes
from parsleystile import ids
from parsleystile.relay import policy

_SEGMENTS = strategies.sampled_from(
    ['a', 'b', 'ab', '', '.', '..', '%2F', '%5c', '\\', '%2e', 'a b', 'é']
)
_PREFIXES = strategies.lists(_SEGMENTS, max_size=3).map(
    lambda segments: '/' + ''.join(f'{s}/' for s in segments)
)
_PATHS = strategies.builds(
    lambda segments, end: '/' + '/'.join(segments) + end,
    strategies.lists(_SEGMENTS, max_size=4),
    strategies.sampled_from(['', '/', '?', '?x=/a/', '/?a/b/']),
)


def _policy(prefixes, **fields):
    data = {
        'is_idempotent': False,
        'is_open': False,
        'timeout_ms': 1000.0,
        'objective_ms': 100.0,
        'max_targets': 2,
        'priority': 0,
        **fields,
    }
    return policy.Policy(
        ids.ConfigVersion(1),
        [
            policy.Route(
                ids.RouteId(prefix), 'h', prefix, destinations=(), **data
            )
            for prefix in prefixes
        ],
        [],
        {},
        {},
        policy.CallerLimits(),
        frozenset(),
    )


def _is_plain(path):
    segments = path.lower().split('/')[1:]
    return not (
        '' in segments[:-1]
        or {'.', '..'} & set(segments)
        or any(odd in path.lower() for odd in ('%2e', '%2f', '%5c', '\\'))
    )


def _longest_beginning(prefixes, path):
    plain = path.partition('?')[0]
    fitting = [prefix for prefix in prefixes if plain.startswith(prefix)]
    return max(fitting, key=len, default=None)


@hypothesis.given(prefixes=strategies.sets(_PREFIXES), path=_PATHS)
@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
def test_the_longest_prefix_that_begins_the_path_is_chosen(prefixes, path):
    found = _policy(prefixes).match('h', path)
    assert (found and found.prefix) == _longest_beginning(prefixes, path)


@pytest.mark.parametrize('path', ['/a/b', '/a/b?x=1'])
def test_a_path_without_the_last_slash_of_a_prefix_is_not_taken_by_it(path):
    # Such requests ran at the service of the longer prefix.
    assert _policy(['/a/', '/a/b/']).match('h', path).prefix == '/a/'
    assert _policy(['/a/b/']).match('h', path) is None


@pytest.mark.parametrize(
    'path', ['/a//x', '/a/%2Fx', '/a/x%5Cy', '/a/x\\y', '/a/./x', '/a/../x']
)
def test_a_path_in_an_odd_form_is_routed_by_the_prefix_that_begins_it(path):
    # Such requests were answered with 404.
    assert _policy(['/a/']).match('h', path).prefix == '/a/'


@hypothesis.given(prefixes=strategies.sets(_PREFIXES), path=_PATHS)
@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
def test_whole_segments_are_matched_in_plain_paths_only(prefixes, path):
    plain = [p for p in prefixes if _routes.segment_prefix(p) is not None]
    assert plain == [p for p in prefixes if _is_plain(p) and ' ' not in p]
    index = _routes.route_index(
        (_routes.segment_prefix(p), (), p) for p in plain
    )
    looked_up = _routes.segment_path(path)
    found = looked_up and index.match('GET', looked_up)
    without_query = path.partition('?')[0]
    reference = _longest_beginning(plain, without_query + '/')
    assert found == (reference if _is_plain(without_query) else None)
