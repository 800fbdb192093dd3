"""Who is in the fleet: a state machine without I/O."""

import dataclasses
import random

from parsleystile import _memberlist
from parsleystile import ids
from parsleystile import members


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent every ``TICK_MS``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """The target beside this node told what it is.

    Attributes:
        service: Empty while there is no target.
        slots: Calls that it can run at once.
    """

    service: ids.ServiceName
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """This node is to stop: get no new work, tell everyone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Learned:
    """Members were read from the table or from a peer's full list."""

    members: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigInForce:
    """This node acts on this version of the document from now on."""

    version: ids.ConfigVersion
    domains_out: tuple[ids.FailureDomainId, ...]


Event = Tick | Announce | Leave | Learned | ConfigInForce


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveConfirmed:
    """The fleet knows that this node gets no new work."""


Action = LeaveConfirmed


class Membership:
    """Knows the members; callers refresh when ``version`` changes."""

    def __init__(self, me: members.Member, rng: random.Random) -> None:
        self._me = me
        self._rng = rng
        self._list = _memberlist.MemberList()
        self._domains_out: frozenset[ids.FailureDomainId] = frozenset()
        self._own_version = 0
        self._list.merge(me, 0.0)

    @property
    def me(self) -> members.Member:
        """This node as it announces itself."""
        return self._me

    @property
    def version(self) -> int:
        """Grows whenever ``members_of`` may answer differently."""
        return self._own_version + self._list.version

    def members_of(self, service: ids.ServiceName) -> list[members.Member]:
        """Return the members of a service that may get new work."""
        return [
            m
            for m in self._list.serving(service)
            if m.failure_domain not in self._domains_out
        ]

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Take one event in and return what is to be done."""
        match event:
            case Tick():
                self._list.forget_dead(now_ms)
            case Announce(service=service, slots=slots):
                self._become(now_ms, service=service, slots=slots)
            case Leave():
                self._become(now_ms, state=members.MemberState.LEAVING)
                return [LeaveConfirmed()]
            case Learned(members=learned):
                for member in learned:
                    self._list.merge(member, now_ms)
            case ConfigInForce(domains_out=domains_out):
                self._domains_out = frozenset(domains_out)
                self._own_version += 1
        return []

    def _become(self, now_ms: float, **changes: object) -> None:
        incarnation = ids.Incarnation(self._me.incarnation + 1)
        self._me = dataclasses.replace(
            self._me, incarnation=incarnation, **changes
        )
        self._list.merge(self._me, now_ms)


def membership(me: members.Member, rng: random.Random) -> Membership:
    """Create the state of a node that knows only itself."""
    return Membership(me, rng)
