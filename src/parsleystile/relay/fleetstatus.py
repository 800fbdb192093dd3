"""Which configuration and which settings each node of a fleet has in force.

An operator asks any node; that node asks all others over their links. Nothing
is exchanged unless somebody asks, so a large fleet at rest pays nothing.
"""

import dataclasses
import enum
import typing

import msgspec

from parsleystile import errors
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile.relay import memberlist
from parsleystile.relay import memberrow
from parsleystile.relay import telemetry

# Path of the status on a node's metrics listener.
PATH = '/fleet'
STATUS_KIND = 'fleet.status'
_TIMEOUT_MS = 1_000.0
# Nodes that are named for each failure domain; the others are counted.
_MAX_NAMED_NODES = 5


class SettingsState(enum.Enum):
    """Whether a node has taken up its settings file."""

    CURRENT = 'current'
    # The file changed and has not been read yet.
    PENDING = 'pending'
    # Some of the settings apply from the next start.
    NEEDS_RESTART = 'needs-restart'
    # The file is invalid; the earlier settings stay in force.
    INVALID = 'invalid'


class NodeStatus(msgspec.Struct, frozen=True):
    """What one node has in force.

    Attributes:
        policy_version: Version of the configuration; None without one.
        settings_state: Whether its settings file is in force; None if the
            node did not answer.
    """

    node_id: ids.NodeId
    domain: ids.FailureDomainId
    policy_version: int | None = None
    settings_state: SettingsState | None = None


class DomainStatus(msgspec.Struct, frozen=True):
    """What the nodes of a failure domain have in force.

    Attributes:
        nodes: Number of nodes.
        in_force: Nodes with the newest configuration.
        settings_current: Nodes whose settings file is in force.
        silent: Nodes that did not answer.
        waiting_for: Some of the nodes that are behind or silent, by name.
    """

    domain: ids.FailureDomainId
    nodes: int
    in_force: int
    settings_current: int
    silent: int
    waiting_for: list[ids.NodeId]


class RolloutStatus(msgspec.Struct, frozen=True):
    """How far a roll-out is, as far as the asked node knows.

    Attributes:
        nodes: Serving nodes of the service by version and failure domain.
    """

    service: ids.ServiceName
    version: str
    stage: str
    nodes: dict[str, dict[ids.FailureDomainId, int]]


class FleetStatus(msgspec.Struct, frozen=True):
    """What a fleet has in force.

    Attributes:
        policy_version: Newest configuration that a node has in force; None
            if no node has any.
    """

    policy_version: int | None
    domains: list[DomainStatus]
    rollouts: list[RolloutStatus] = []


def summarise(statuses: typing.Iterable[NodeStatus]) -> FleetStatus:
    """Count the nodes of each failure domain by what they have in force."""
    by_domain: dict[ids.FailureDomainId, list[NodeStatus]] = {}
    newest: int | None = None
    for status in statuses:
        by_domain.setdefault(status.domain, []).append(status)
        if status.policy_version is not None:
            newest = max(status.policy_version, newest or 0)
    return FleetStatus(
        newest,
        [
            _summarise_domain(domain, by_domain[domain], newest)
            for domain in sorted(by_domain)
        ],
    )


def _summarise_domain(
    domain: ids.FailureDomainId, nodes: list[NodeStatus], newest: int | None
) -> DomainStatus:
    in_force = [n for n in nodes if n.policy_version == newest is not None]
    current = [n for n in nodes if n.settings_state is SettingsState.CURRENT]
    done = {n.node_id for n in in_force} & {n.node_id for n in current}
    waiting_for = sorted(n.node_id for n in nodes if n.node_id not in done)
    return DomainStatus(
        domain=domain,
        nodes=len(nodes),
        in_force=len(in_force),
        settings_current=len(current),
        silent=sum(n.settings_state is None for n in nodes),
        waiting_for=waiting_for[:_MAX_NAMED_NODES],
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of a status service.

    Attributes:
        policy_version: Returns the version in force here; None without one.
        settings_state: Returns the state of this node's settings file.
        rollouts: Returns the roll-outs that this node knows of.
    """

    links: links_module.Links
    member_list: memberlist.MemberList
    recorder: telemetry.Recorder
    policy_version: typing.Callable[[], int | None]
    settings_state: typing.Callable[[], SettingsState]
    rollouts: typing.Callable[[], list[RolloutStatus]] = list


class StatusService:
    """Answers for this node and asks the others."""

    def __init__(self, deps: Dependencies) -> None:
        self._deps = deps
        deps.links.handle_control(STATUS_KIND, self._on_request)

    def _own(self) -> NodeStatus:
        own = self._deps.member_list.own_row
        return NodeStatus(
            own.node_id,
            own.domain,
            self._deps.policy_version(),
            self._deps.settings_state(),
        )

    def _on_request(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        del payload
        reply(msgspec.msgpack.encode(self._own()))

    def gather(self, on_done: typing.Callable[[FleetStatus], None]) -> None:
        """Ask all nodes; ``on_done`` is called once, within a second."""
        statuses = [self._own()]
        others = self._deps.member_list.others()
        left = len(others)
        if not left:
            on_done(self._summarise(statuses))
            return

        def add(status: NodeStatus) -> None:
            nonlocal left
            statuses.append(status)
            left -= 1
            if not left:
                on_done(self._summarise(statuses))

        for row in others:
            self._ask(row, add)

    def _summarise(self, statuses: list[NodeStatus]) -> FleetStatus:
        summary = summarise(statuses)
        return msgspec.structs.replace(summary, rollouts=self._deps.rollouts())

    def _ask(
        self,
        row: memberrow.Row,
        on_status: typing.Callable[[NodeStatus], None],
    ) -> None:
        silent = NodeStatus(row.node_id, row.domain)

        def on_reply(reply: bytes | errors.Refusal) -> None:
            if isinstance(reply, errors.Refusal):
                on_status(silent)
                return
            try:
                on_status(msgspec.msgpack.decode(reply, type=NodeStatus))
            except msgspec.MsgspecError as exc:
                self._deps.recorder.input_rejected(STATUS_KIND, str(exc))
                on_status(silent)

        self._deps.links.control(
            row.peer, STATUS_KIND, b'', _TIMEOUT_MS, on_reply
        )


def status_service(deps: Dependencies) -> StatusService:
    """Create the status service of a node."""
    return StatusService(deps)
