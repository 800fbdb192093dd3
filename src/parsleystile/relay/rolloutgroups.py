"""Groups of a service's targets by version, and which one a call goes to.

The load that this answers: a new version may get a bounded share of all calls
of a service, summed over all nodes and over the whole roll-out. Each sender
keeps the share alone, so that neither cuts nor restarts break it.
"""

import dataclasses
import hashlib
import random
import typing

from parsleystile import balancer
from parsleystile import ids
from parsleystile import members
from parsleystile.relay import rollout

# The balancer knows the targets of the new version as a service of this name.
_NEW_SUFFIX = '\0new'
# A sender without a target of the new version saves up no more than this.
_MAX_CREDIT = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Groups:
    """Members of a service by what they get.

    Attributes:
        usual: Members that get the calls that don't go to the new version.
        new: Members of the new version that take part now.
    """

    usual: list[members.Member]
    new: list[members.Member]


def split(
    found: typing.Sequence[members.Member],
    version_of: typing.Callable[[ids.NodeId], str],
    progress: rollout.Progress | None,
    exposure_ratio: float,
    domains_out: typing.Container[ids.FailureDomainId] = frozenset(),
) -> Groups:
    """Divide the members of a service.

    Args:
        found: Serving, reachable members.
        version_of: Returns the version of a node's target.
        progress: How far the service's roll-out is; None without one.
        exposure_ratio: Share of calls that a bad version may get.
        domains_out: Failure domains that get no calls.
    """
    if progress is None:
        return Groups(list(found), [])
    target_version = progress.target_version
    barred = {*progress.barred}
    if progress.stage == rollout.Stage.COMPLETED:
        barred.update(progress.left)
        return Groups(
            [m for m in found if version_of(m.node_id) not in barred], []
        )
    barred.add(target_version)
    usual = [m for m in found if version_of(m.node_id) not in barred]
    new = [m for m in found if version_of(m.node_id) == target_version]
    if progress.stage == rollout.Stage.PREPARED and not usual:
        # The version is alone: ordered though it runs everywhere, or moved
        # to by an order whose end this node has yet to hear of.
        return Groups(new, [])
    if rollout.share(progress.stage, exposure_ratio) <= 0.0:
        return Groups(usual, [])
    if progress.stage >= rollout.Stage.WHOLE:
        return Groups(usual, new)
    count = len(new)
    if usual:
        count = rollout.targets_needed(
            progress.stage, exposure_ratio, len(usual)
        )
    # The same ones at all senders; those of domains out get nothing anyway.
    new.sort(
        key=lambda m: (
            m.failure_domain in domains_out,
            _order_key(progress.order, m.node_id),
        )
    )
    return Groups(usual, new[:count])


def _order_key(order: int, node_id: ids.NodeId) -> bytes:
    key = f'{order}\0{node_id}'.encode()
    return hashlib.blake2b(key, digest_size=8).digest()


@dataclasses.dataclass(slots=True)
class _Shift:
    """A service that is moved.

    Attributes:
        is_judged: Whether the new version was found good in its trial.
        credits: Calls that each route may send to the new version.
    """

    order: int
    share: float
    is_judged: bool
    credits: dict[ids.RouteId, float] = dataclasses.field(default_factory=dict)


class VersionChoice:
    """Chooses the group of a call, then the balancer's target in it."""

    def __init__(self, chooser: balancer.Balancer, rng: random.Random) -> None:
        self._balancer = chooser
        self._rng = rng
        self._shifts: dict[ids.ServiceName, _Shift] = {}

    def set_groups(
        self,
        service: ids.ServiceName,
        groups: Groups,
        progress: rollout.Progress | None,
        exposure_ratio: float,
    ) -> None:
        """Register the members of a service at the balancer."""
        new_name = ids.ServiceName(service + _NEW_SUFFIX)
        new = [dataclasses.replace(m, service=new_name) for m in groups.new]
        if service in self._shifts or new:
            # A member leaves its old group before it joins the other one.
            usual_ids = {m.node_id for m in groups.usual}
            self._balancer.set_members(
                new_name, [m for m in new if m.node_id not in usual_ids]
            )
        self._balancer.set_members(service, groups.usual)
        if new:
            self._balancer.set_members(new_name, new)
        share = 0.0
        if progress is not None and new:
            share = rollout.share(progress.stage, exposure_ratio)
        if not share:
            self._shifts.pop(service, None)
            return
        shift = self._shifts.get(service)
        if shift is None or shift.order != progress.order:
            shift = self._shifts[service] = _Shift(progress.order, 0.0, False)
        shift.share = share
        shift.is_judged = progress.stage >= rollout.Stage.STEP_1

    def choose(
        self,
        service: ids.ServiceName,
        route: ids.RouteId,
        is_first: bool,
        exclude: frozenset[ids.NodeId],
        now_ms: float,
        is_idempotent: bool,
    ) -> members.Member | None:
        """Return the target for a call; see ``Balancer.choose``.

        Args:
            service: Service to call.
            route: Route of the call.
            is_first: Whether no target was tried before.
            exclude: Nodes that have refused this call.
            now_ms: Current time.
            is_idempotent: Whether the call may probe an ejected target.
        """
        shift = self._shifts.get(service)
        if shift is None:
            return self._balancer.choose(
                service, exclude, now_ms, is_idempotent
            )
        new_name = ids.ServiceName(service + _NEW_SUFFIX)
        names = [service]
        if shift.share >= 1.0 or (
            is_first and self._take_credit(shift, route)
        ):
            names = [new_name, service]
        elif shift.is_judged:
            names = [service, new_name]
        for name in names:
            member = self._balancer.choose(
                name, exclude, now_ms, is_idempotent
            )
            if member is not None:
                return member
        return None

    def _take_credit(self, shift: _Shift, route: ids.RouteId) -> bool:
        credit = shift.credits.get(route)
        if credit is None:
            credit = self._rng.random()
        credit = min(_MAX_CREDIT, credit + shift.share)
        is_taken = credit >= 1.0
        shift.credits[route] = credit - 1.0 if is_taken else credit
        return is_taken


def version_choice(
    chooser: balancer.Balancer, rng: random.Random
) -> VersionChoice:
    """Create the choice of a node that knows of no roll-out."""
    return VersionChoice(chooser, rng)
