import pytest

import parsleystile


@pytest.mark.parametrize('name', parsleystile.__all__)
def test_each_public_name_exists_and_is_documented(name):
    assert getattr(parsleystile, name).__doc__


def test_an_unknown_name_is_reported_in_the_error():
    with pytest.raises(AttributeError, match='nonsense'):
        parsleystile.nonsense  # noqa: B018
