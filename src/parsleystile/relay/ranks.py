"""Ranks of requests from outside, by which an overload refuses them.

The load is more than the targets can do, of many kinds of requests and many
organisations, most of which are of one class. The class of a request is that
of its organisation, if that has one, and else that of its route. Within a
class the importance of the route decides, then chance.
"""

from parsleystile import context

_CLASSES = len(context.Importance)


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
    return max(0, min(priority, _CLASSES - 1))
