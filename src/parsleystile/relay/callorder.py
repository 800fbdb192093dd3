"""Order in which a guard starts calls, and in which they give way.

The load is a queue of requests and of calls that requests already begun make:
one of these that finds no room wastes what was done. Calls go before new
requests of their class. Among them the draw of the request decides, in
quarters, so that the same requests find room for each of their calls.
"""

from parsleystile import context
from parsleystile.gen import ttypes
from parsleystile import ids

# Organisation that stands for calls with the rank of their root request. It
# has one share and one level.
TREE_ORGANISATION = ids.OrganisationId('\0tree')
_BANDS = 4
_STEPS_PER_CLASS = _BANDS + 1
STEPS = _STEPS_PER_CLASS * len(context.Importance)


def step(importance: int, draw: float, is_child: bool) -> int:
    """Return the place in the order; the lowest is started first."""
    within_class = int(draw * _BANDS) if is_child else _BANDS
    return _STEPS_PER_CLASS * importance + within_class


def sharing_organisation(call: ttypes.Call) -> ids.OrganisationId:
    """Return the organisation whose share and level a call comes under."""
    if call.has_root_rank:
        return TREE_ORGANISATION
    return ids.OrganisationId(call.organisation)
