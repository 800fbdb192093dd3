import pytest

import parsleystile


@pytest.mark.parametrize('name', parsleystile.__all__)
def test_each_public_name_is_there_and_documented(name):
    assert getattr(parsleystile, name).__doc__


def test_another_name_is_an_error_that_names_it():
    with pytest.raises(AttributeError, match='nonsense'):
        parsleystile.nonsense  # noqa: B018
