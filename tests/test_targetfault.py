import pytest

from parsleystile import errors
from parsleystile import targetanswer
from parsleystile import targetfault


def _answer(status):
    return targetanswer.TargetAnswer(status, [], b'')


@pytest.mark.parametrize(
    ('result', 'is_fault'),
    [
        (_answer(200), False),
        (_answer(404), False),
        (_answer(500), False),
        (_answer(503), True),
        (errors.unknown(errors.Reason.TARGET_FAILED), True),
        (errors.not_run(errors.Reason.UNREACHABLE), True),
        (errors.unknown(errors.Reason.TOO_LARGE), False),
        (errors.unknown(errors.Reason.DEADLINE), True),
    ],
)
def test_results_that_are_faults_of_the_target(result, is_fault):
    assert targetfault.is_fault(result, False, 0.0) is is_fault
    assert not targetfault.is_fault(result, True, 5.0)


def test_a_deadline_missed_in_a_child_call_is_no_fault():
    result = errors.unknown(errors.Reason.DEADLINE)
    assert not targetfault.is_fault(result, False, 50.0)
