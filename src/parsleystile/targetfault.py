"""Whether what came back from a target speaks against its health."""

from parsleystile import errors
from parsleystile import targetanswer

# Statuses by which servers and their frameworks tell of overload; 500 is
# more often a defect that fewer calls at once would not mend.
_FAULT_STATUSES = frozenset({502, 503, 504})
_FAULT_REASONS = frozenset(
    {errors.Reason.UNREACHABLE, errors.Reason.TARGET_FAILED}
)


def is_fault(
    result: targetanswer.TargetAnswer | errors.Refusal,
    child_refused: bool,
    child_ms: float,
) -> bool:
    """Tell whether the target itself failed a call.

    Args:
        result: What came back.
        child_refused: Whether a child call of it was refused.
        child_ms: How long it waited for child calls.
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
