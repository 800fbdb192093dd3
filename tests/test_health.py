import pytest

from parsleystile import health


def _assess(**changed):
    arguments = {
        'config_version': 4,
        'is_draining': False,
        'has_target': True,
        'cut_off_since_ms': None,
        'calls_in_flight': 2,
        'now_ms': 900.0,
    }
    return health.assess(**{**arguments, **changed})


@pytest.mark.parametrize(
    ('changed', 'state', 'status'),
    [
        ({}, health.State.READY, 200),
        ({'has_target': False}, health.State.READY, 200),
        ({'config_version': 0}, health.State.STARTING, 503),
        ({'is_draining': True}, health.State.DRAINING, 503),
        (
            {'is_draining': True, 'config_version': 0},
            health.State.DRAINING,
            503,
        ),
    ],
)
def test_state_and_status(changed, state, status):
    answer = _assess(**changed)
    assert (answer.state, answer.status) == (state, status)


def test_a_node_cut_off_from_the_platform_stays_ready_and_reports_it():
    answer = _assess(cut_off_since_ms=250.0)
    assert (answer.status, answer.cut_off_ms) == (200, 650)
    assert _assess(cut_off_since_ms=900.0).cut_off_ms == 1
