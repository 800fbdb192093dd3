"""Ranks, and the order in which a guard starts calls.

The load is more than the targets can do, of many kinds and organisations. The
class of a request is that of its organisation, if it has one, and else that of
its route. Within a class the importance of the route decides: organisations
are often all of the same class.

In a queue, calls that begun requests make go before new requests of the same
importance: one that finds no room wastes what was done.
"""

from parsleystile import context
from parsleystile.gen import ttypes
from parsleystile import ids

# Organisation that stands for calls with the rank of their root request. It
# has one share and one level.
TREE_ORGANISATION = ids.OrganisationId('\0tree')
_CLASSES = len(context.Importance)
_LAST_CLASS = _CLASSES - 1
# Calls of begun requests, and new requests.
_STEPS_PER_ROUTE_CLASS = 2
_STEPS_PER_CLASS = _STEPS_PER_ROUTE_CLASS * _CLASSES
STEPS = _STEPS_PER_CLASS * _CLASSES


def rank(
    organisation_priority: int | None, route_priority: int, draw: float
) -> float:
    """Return the rank of a request; the lowest is refused last.

    Args:
        organisation_priority: 0 is the highest; None if it has none.
        route_priority: 0 is the highest.
        draw: Random number in [0, 1).
    """
    route_class = _importance_class(route_priority)
    if organisation_priority is None:
        importance = route_class
    else:
        importance = _importance_class(organisation_priority)
    return importance + (route_class + draw) / _CLASSES


def _importance_class(priority: int) -> int:
    return max(0, min(priority, _LAST_CLASS))


def step(importance: int, draw: float, is_child: bool) -> int:
    """Return the place in the order; the lowest is started first.

    Args:
        importance: Integer part of the rank.
        draw: The rest of it, which holds the class of the route.
        is_child: Whether a begun request makes the call.
    """
    route_class = min(int(draw * _CLASSES), _LAST_CLASS)
    return (
        _STEPS_PER_CLASS * importance
        + _STEPS_PER_ROUTE_CLASS * route_class
        + (0 if is_child else 1)
    )


def sharing_organisation(call: ttypes.Call) -> ids.OrganisationId:
    """Return the organisation whose share and level a call comes under."""
    if call.has_root_rank:
        return TREE_ORGANISATION
    return ids.OrganisationId(call.organisation)
