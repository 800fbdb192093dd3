"""Tells faults of a target from other results of a call."""

from parsleystile import errors
from parsleystile import targetanswer

# Statuses that servers and frameworks use for overload. 500 is not one of
# them: it is more often a defect that lower concurrency would not fix.
_FAULT_STATUSES = frozenset({502, 503, 504})
_FAULT_REASONS = frozenset(
    {errors.Reason.UNREACHABLE, errors.Reason.TARGET_FAILED}
)


def is_fault(
    result: targetanswer.TargetAnswer | errors.Refusal,
    child_refused: bool,
    child_ms: float,
) -> bool:
    """Return whether the target itself failed a call.

    Args:
        result: Answer of the target, or refusal of the call.
        child_refused: Whether a child call of the call was refused.
        child_ms: Time that the call waited for child calls.
    """
    if child_refused:
        return False
    match result:
        case errors.Refusal(reason=errors.Reason.DEADLINE):
            return child_ms == 0.0
        case errors.Refusal():
            return result.reason in _FAULT_REASONS
        case _:
            return result.status in _FAULT_STATUSES
