import pytest

from bench import capacity
from bench import roles


def _measured(name, value, unit='KiB'):
    return capacity.Measured(name, value, unit)


def test_a_line_is_fitted_with_its_residual():
    fitted = capacity.fit([(1, 12.0), (2, 14.0), (4, 18.0)], 'ms')
    assert (fitted.slope, fitted.intercept) == pytest.approx((2.0, 10.0))
    assert fitted.residual == pytest.approx(0.0)
    nonlinear = capacity.fit([(0, 0.0), (1, 0.0), (2, 3.0)], 'ms')
    assert nonlinear.residual == pytest.approx(1 / 3)


@pytest.mark.parametrize(
    ('name', 'split'),
    [
        (
            'burn_memory[organisations=32]',
            ('burn_memory[organisations=*]', 32),
        ),
        ('gossip.n100.cpu', ('gossip.n*.cpu', 100)),
        ('p99.n100', ('p99.n*', 100)),
        ('plain', None),
    ],
)
def test_the_last_number_of_a_name_is_the_size(name, split):
    assert capacity.series_name(name) == split


def test_two_sizes_are_not_fitted():
    results = [_measured('a[n=1]', 1.0), _measured('a[n=2]', 2.0)]
    assert capacity.fit_all(results) == {}


def _row(results, what):
    return next(row for row in capacity.rows(results) if row[1] == what)


def test_a_figure_is_computed_and_compared_with_its_bound():
    results = [
        _measured(f'burn_memory[organisations={n}]', 2000.0 * n)
        for n in (8, 32, 128)
    ]
    row = _row(results, 'memory of burn counters')
    assert row[3] == '512,000 KiB'
    assert row[4] == 'misses 262,144 by 2.0 times'


def test_a_figure_without_a_result_is_not_measured():
    row = _row([], 'memory of burn counters')
    assert row[2:] == ('not measured', '', 'not measured')


def test_a_figure_from_one_size_is_marked():
    row = _row(
        [_measured('burn_record_answered', 1000.0, 'us')],
        'processor time of counting',
    )
    assert 'one size' in row[2]
    expected = roles.CALLS_PER_NODE_PER_S
    assert row[3] == f'{expected:,.0f} ms/s a node'
    assert row[4].startswith('misses')


def test_lines_that_are_not_results_are_skipped():
    text = ['noise\n', '{"name": "a", "value": 1, "unit": "s", "ratio": 2}\n']
    assert capacity.read(text) == [capacity.Measured('a', 1.0, 's')]


def test_a_poor_fit_is_not_extrapolated():
    results = [
        _measured(f'quota.slope.{n}_nodes.messages', value, '1/s')
        for n, value in ((6, 12.0), (24, 7.0), (96, 2.0))
    ]
    row = _row(results, 'messages')
    assert row[3:] == ('2 1/s at 96', 'not known')
