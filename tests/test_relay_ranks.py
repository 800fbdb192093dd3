import random

import pytest

from parsleystile import context
from parsleystile.relay import ranks


@pytest.mark.parametrize('organisation', [None, 0, 1, 2, 7])
def test_the_route_decides_within_a_class_whatever_the_draw(organisation):
    rng = random.Random(1)
    for _ in range(100):
        values = [
            ranks.rank(organisation, route, rng.random()) for route in range(3)
        ]
        assert values == sorted(values)
        assert all(0.0 <= value < context.RANK_LIMIT for value in values)


def test_the_class_of_the_organisation_goes_before_the_route():
    assert ranks.rank(0, 2, 0.999) < ranks.rank(1, 0, 0.0)
    assert int(ranks.rank(1, 0, 0.0)) == 1
    assert int(ranks.rank(None, 2, 0.999)) == 2


def test_priorities_beyond_the_lowest_class_count_as_it():
    assert ranks.rank(None, 9, 0.5) == ranks.rank(None, 2, 0.5)
    assert ranks.rank(-1, 0, 0.5) == ranks.rank(0, 0, 0.5)
