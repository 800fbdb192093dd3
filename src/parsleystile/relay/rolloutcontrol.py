"""A node's part in the roll-outs of its fleet.

Each node knows how far each roll-out is. Nodes beside targets of the service
count answers and report them to its judges, three of them. The judges decide
and tell all nodes by their member rows.
"""

import abc
import dataclasses
import typing
import zlib

import msgspec

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile import members
from parsleystile.relay import fleetstatus
from parsleystile.relay import guard as guards
from parsleystile.relay import logevents
from parsleystile.relay import memberlist
from parsleystile.relay import policy as policies
from parsleystile.relay import rollout
from parsleystile.relay import rolloutcounts
from parsleystile.relay import rolloutgroups
from parsleystile.relay import rolloutplan
from parsleystile.relay import telemetry

REPORT_KIND = 'rollout.report'
TICK_PERIOD_MS = 250.0
JUDGES = 3
_REPORT_TIMEOUT_MS = 1_000.0
_REPORT_PERIOD_MS = 500.0
# Nodes of each version that report often; the others the rarer, the more.
_FREQUENT_REPORTERS = 6
_RARE_REPORTERS_PER_PERIOD = 6
# A new target's node that no judge answers for this time takes no calls.
_JUDGE_SILENCE_MS = 3_000.0
# A new target's node asks a judge for news at least this often.
_NEWS_PERIOD_MS = 1_500.0
# Time in which all senders hear that the new version gets everything.
_SPREAD_MS = 1_000.0
# Time in which most senders learn of an order. A guard that refused earlier
# would have calls refused twice that others chose without knowing it.
_ORDER_SPREAD_MS = 500.0
# The judges after the first write the row this much later each.
_WRITE_STAGGER_MS = 1_500.0


class VerdictStore(abc.ABC):
    """Keeps the verdict where the operator reads it; does not block."""

    @abc.abstractmethod
    def want(self, progress: rollout.Progress) -> None:
        """Write a stage in the background unless a verdict is there.

        The stage that the row has then is told to the control's ``hear``.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of a node's control.

    Attributes:
        exposure_ratio: Share of calls that a bad version may get.
        publish: Puts stages on this node's row.
    """

    links: links_module.Links
    member_list: memberlist.MemberList
    guard: guards.Guard
    choice: rolloutgroups.VersionChoice
    clock: clocks.Clock
    recorder: telemetry.Recorder
    exposure_ratio: float
    publish: typing.Callable[[tuple[rollout.Progress, ...]], None]


class RolloutControl:
    """Knows, reports and, as a judge, decides.

    Attributes:
        store: Keeps the verdicts; None without such a store.
    """

    def __init__(self, deps: Dependencies) -> None:
        self.store: VerdictStore | None = None
        self._deps = deps
        self._progress: dict[ids.ServiceName, rollout.Progress] = {}
        self._orders: dict[ids.ServiceName, policies.Rollout] = {}
        self._started_ms: dict[ids.ServiceName, float] = {}
        self._stage_ms: dict[ids.ServiceName, float] = {}
        # When this node heard of the order, however old it was.
        self._known_ms: dict[ids.ServiceName, float] = {}
        self._groups_of: dict[ids.ServiceName, rolloutgroups.Groups] = {}
        self._domains_out: frozenset[ids.FailureDomainId] = frozenset()
        self._plan: rolloutplan.Plan | None = None
        self._counts = rolloutcounts.counts()
        self._counted = (0, '')
        self._reported_ms = float('-inf')
        self._reported_order = 0
        self._asked_ms = float('-inf')
        self._was_quiet = False
        self._judge_heard_ms = deps.clock.now_ms()
        self._confirmed = (0, -1)
        deps.links.handle_control(REPORT_KIND, self._on_report)
        deps.guard.on_result = self._count

    # What is known.

    def progress_of(self, service: ids.ServiceName) -> rollout.Progress | None:
        """Return how far the roll-out of a service is; None without one."""
        return self._progress.get(service)

    def status(self) -> list[fleetstatus.RolloutStatus]:
        """Return all roll-outs, by service, for an operator."""
        statuses = []
        for service, progress in sorted(self._progress.items()):
            nodes: dict[str, dict[ids.FailureDomainId, int]] = {}
            for member in self._deps.member_list.members_of(service):
                counts = nodes.setdefault(self.version_of(member.node_id), {})
                domain = member.failure_domain
                counts[domain] = counts.get(domain, 0) + 1
            statuses.append(
                fleetstatus.RolloutStatus(
                    service,
                    progress.target_version,
                    _stage_name(progress.stage),
                    nodes,
                )
            )
        return statuses

    def set_policy(self, policy: policies.Policy) -> None:
        """Take over the orders of a policy."""
        self._domains_out = policy.domains_out
        self._orders = policy.rollouts
        for service, order in policy.rollouts.items():
            known = self._progress.get(service)
            if known is None or known.order < order.order:
                begun = rollout.begin(
                    known, service, order.order, order.target_version
                )
                self._set(begun, 'ordered')
        for service in self._progress:
            # Groups depend on the domains that are out.
            self.register(service)

    def hear(self, heard: rollout.Progress, source: str) -> None:
        """Join what another node or the store knows."""
        known = self._progress.get(heard.service)
        joined = rollout.join(known, heard)
        if known is not None and joined.order == known.order:
            started_ms = self._deps.clock.now_ms() - heard.age_ms
            if heard.order == known.order:
                before_ms = self._started_ms[heard.service]
                self._started_ms[heard.service] = min(before_ms, started_ms)
            joined = msgspec.structs.replace(joined, age_ms=known.age_ms)
        if joined != known:
            self._set(joined, source)

    def _set(self, progress: rollout.Progress, why: str) -> None:
        service = progress.service
        now_ms = self._deps.clock.now_ms()
        known = self._progress.get(service)
        if known is None or known.order != progress.order:
            self._started_ms[service] = now_ms - progress.age_ms
            self._known_ms[service] = now_ms
            self._plan = None
        self._progress[service] = progress
        is_new = known is None or (known.order, known.stage) != (
            progress.order,
            progress.stage,
        )
        if is_new:
            self._stage_ms[service] = now_ms
            self._deps.recorder.log.write(
                logevents.RolloutChanged(
                    service=service,
                    order=progress.order,
                    version=progress.target_version,
                    stage=_stage_name(progress.stage),
                    age_ms=int(now_ms - self._started_ms[service]),
                    barred=list(progress.barred),
                    why=why,
                )
            )
        self.register(service)
        self._publish()
        self._update_guard()

    def _aged(self, progress: rollout.Progress) -> rollout.Progress:
        age_ms = self._deps.clock.now_ms() - self._started_ms[progress.service]
        return msgspec.structs.replace(progress, age_ms=max(0, int(age_ms)))

    # Groups.

    def version_of(self, node_id: ids.NodeId) -> str:
        """Return the version of a node's target; empty if not known."""
        row = self._deps.member_list.row(node_id)
        return '' if row is None else row.version

    def register(self, service: ids.ServiceName) -> None:
        """Give the members of a service to the balancer."""
        progress = self._progress.get(service)
        ratio = self._deps.exposure_ratio
        groups = rolloutgroups.split(
            self._deps.member_list.members_of(service),
            self.version_of,
            progress,
            ratio,
            self._domains_out,
        )
        if progress is not None:
            self._groups_of[service] = groups
        self._deps.choice.set_groups(service, groups, progress, ratio)

    def _groups(self, service: ids.ServiceName) -> rolloutgroups.Groups:
        """Return the groups as last registered."""
        if service not in self._groups_of:
            self.register(service)
        return self._groups_of[service]

    def on_members_changed(self) -> None:
        """Hear what the changed rows say."""
        for heard in self._deps.member_list.take_heard_rollouts():
            self.hear(heard, 'row')
        self._update_guard()

    # The own target.

    @property
    def _own_service(self) -> ids.ServiceName:
        return self._deps.member_list.own_row.service

    def _own_progress(self) -> rollout.Progress | None:
        return self._progress.get(self._own_service)

    def _update_guard(self) -> None:
        progress = self._own_progress()
        is_open = progress is None or self._is_own_open(progress)
        self._deps.guard.set_version_open(is_open)

    def _is_own_open(self, progress: rollout.Progress) -> bool:
        own = self._deps.member_list.own_row
        now_ms = self._deps.clock.now_ms()
        if progress.stage >= rollout.Stage.ROLLED_BACK:
            if progress.stage == rollout.Stage.COMPLETED:
                return own.version not in {*progress.barred, *progress.left}
            return own.version not in (
                *progress.barred,
                progress.target_version,
            )
        if own.version in progress.barred:
            return False
        if own.version != progress.target_version:
            since_ms = now_ms - self._stage_ms[own.service]
            is_whole = progress.stage == rollout.Stage.WHOLE
            return not is_whole or since_ms < _SPREAD_MS
        if now_ms - self._known_ms[own.service] < _ORDER_SPREAD_MS:
            return True
        if now_ms - self._judge_heard_ms > _JUDGE_SILENCE_MS:
            return False
        groups = self._groups(own.service)
        return any(
            member.node_id == own.node_id
            for member in groups.new + groups.usual
        )

    def _count(
        self, route: str, is_failure: bool, time_ms: float, is_cold: bool
    ) -> None:
        progress = self._own_progress()
        if progress is None or progress.is_done:
            return
        version = self._deps.member_list.own_row.version
        if self._counted != (progress.order, version):
            self._counted = (progress.order, version)
            self._counts.clear()
        self._counts.add(route, is_failure, time_ms, is_cold)
        self._deps.recorder.version_answered(
            self._own_service, version, is_failure
        )

    # Reports and judging.

    def tick(self) -> None:
        """Report, judge and keep the guard up to date; called often."""
        if not self._progress:
            return
        self.on_members_changed()
        self._update_guard()
        progress = self._own_progress()
        own = self._deps.member_list.own_row
        if progress is None or not own.service:
            return
        found = self._deps.member_list.members_of(own.service)
        judges = sorted(found, key=lambda m: m.node_id)[:JUDGES]
        if not progress.is_done and judges:
            self._report(progress, found, judges)
        for rank, judge in enumerate(judges):
            if judge.node_id == own.node_id:
                self._judge(progress, found, rank)

    def _report(
        self,
        progress: rollout.Progress,
        found: list[members.Member],
        judges: list[members.Member],
    ) -> None:
        now_ms = self._deps.clock.now_ms()
        guard = self._deps.guard
        is_quiet = not guard.is_version_open and not guard.in_flight
        own = self._deps.member_list.own_row
        node_hash = zlib.crc32(own.node_id.encode())
        period_ms = self._period_ms(found)
        if self._reported_order != progress.order:
            # All nodes learn of an order at once; the rare ones spread out.
            self._reported_order = progress.order
            passed = 1.0
            if period_ms > _REPORT_PERIOD_MS:
                passed = node_hash / 2**32
            self._reported_ms = now_ms - passed * period_ms
        is_due = now_ms - self._reported_ms >= period_ms
        routes = self._counts.routes
        if is_due or is_quiet != self._was_quiet:
            self._reported_ms = now_ms
        elif (
            is_quiet
            and own.version != progress.target_version
            and now_ms - self._asked_ms >= _NEWS_PERIOD_MS
        ):
            # The move waits for this, and a judge may have started since.
            routes = {}
        elif (
            own.version == progress.target_version
            and now_ms - max(self._asked_ms, self._judge_heard_ms)
            >= _NEWS_PERIOD_MS
        ):
            # Without counts, and each node asks one judge.
            routes = {}
            index = node_hash % len(judges)
            judges = judges[index : index + 1]
        else:
            return
        self._asked_ms, self._was_quiet = now_ms, is_quiet
        report = rolloutcounts.Report(
            own.node_id,
            own.incarnation,
            own.version,
            self._aged(progress),
            routes,
            is_quiet,
        )
        payload = msgspec.msgpack.encode(report)
        for judge in judges:
            if judge.node_id == own.node_id:
                self._take_report(
                    msgspec.msgpack.decode(payload, type=rolloutcounts.Report)
                )
                self._judge_heard_ms = now_ms
            else:
                self._deps.links.control(
                    judge.peer,
                    REPORT_KIND,
                    payload,
                    _REPORT_TIMEOUT_MS,
                    self._on_reply,
                )

    def _period_ms(self, found: list[members.Member]) -> float:
        own = self._deps.member_list.own_row
        groups = self._groups(own.service)
        usual = sorted(groups.usual, key=lambda m: m.node_id)
        frequent = (
            usual[:_FREQUENT_REPORTERS] + groups.new[:_FREQUENT_REPORTERS]
        )
        if any(member.node_id == own.node_id for member in frequent):
            return rolloutplan.period_ms(self._own_progress().stage)
        return _REPORT_PERIOD_MS * max(
            1.0, len(found) / _RARE_REPORTERS_PER_PERIOD
        )

    def _on_report(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        try:
            report = msgspec.msgpack.decode(payload, type=rolloutcounts.Report)
        except msgspec.MsgspecError as exc:
            self._deps.recorder.input_rejected(REPORT_KIND, str(exc))
            reply(b'')
            return
        self.hear(report.progress, report.node_id)
        self._take_report(report)
        known = self._progress.get(report.progress.service)
        reply(msgspec.msgpack.encode(self._aged(known)))

    def _take_report(self, report: rolloutcounts.Report) -> None:
        if report.progress.service != self._own_service:
            return
        plan = self._plan_of(self._progress[self._own_service])
        if plan is not None and report.progress.order == plan.order:
            plan.judge.add(report, self._deps.clock.now_ms())

    def _on_reply(self, reply: bytes | errors.Refusal) -> None:
        if isinstance(reply, errors.Refusal) or not reply:
            # Reachability notes refusals; the next report is soon.
            return
        try:
            heard = msgspec.msgpack.decode(reply, type=rollout.Progress)
        except msgspec.MsgspecError as exc:
            self._deps.recorder.input_rejected(REPORT_KIND, str(exc))
            return
        self._judge_heard_ms = self._deps.clock.now_ms()
        self.hear(heard, 'judge')

    def _plan_of(self, progress: rollout.Progress) -> rolloutplan.Plan | None:
        """Return this node's plan; None if it doesn't know the order."""
        order = self._orders.get(progress.service)
        if order is None or order.order != progress.order:
            return None
        if self._plan is None or self._plan.order != order.order:
            self._plan = rolloutplan.plan(
                order.order, order.target_version, order.duration_ms
            )
        return self._plan

    def _judge(
        self,
        progress: rollout.Progress,
        found: list[members.Member],
        rank: int,
    ) -> None:
        plan = self._plan_of(progress)
        self._publish()
        if plan is None:
            return
        decision = plan.decide(progress.stage, self._view(progress, found))
        if decision.stage > progress.stage:
            left = progress.left
            if decision.stage == rollout.Stage.WHOLE:
                left = self._old_versions(progress, found)
            self._set(
                msgspec.structs.replace(
                    progress, stage=decision.stage, left=left
                ),
                decision.why,
            )
        if decision.wanted is not None:
            self._want(progress, decision.wanted, rank)

    def _old_versions(
        self, progress: rollout.Progress, found: list[members.Member]
    ) -> tuple[str, ...]:
        versions = {self.version_of(member.node_id) for member in found}
        return tuple(sorted(versions - {progress.target_version}))

    def _view(
        self, progress: rollout.Progress, found: list[members.Member]
    ) -> rolloutplan.View:
        new, old = set(), set()
        for member in found:
            version = self.version_of(member.node_id)
            is_new = version == progress.target_version
            (new if is_new else old).add(member.node_id)
        is_whole = progress.stage == rollout.Stage.WHOLE
        return rolloutplan.View(
            now_ms=self._deps.clock.now_ms(),
            age_ms=self._aged(progress).age_ms,
            new_targets=len(new),
            old_nodes=frozenset(old),
            old_unreachable=is_whole
            and any(
                row.service == progress.service
                and row.is_serving
                and row.version != progress.target_version
                for row in self._deps.member_list.unreachable()
            ),
        )

    def _want(
        self, progress: rollout.Progress, wanted: rollout.Stage, rank: int
    ) -> None:
        if self.store is None or self._confirmed == (progress.order, wanted):
            return
        since_ms = self._deps.clock.now_ms() - self._stage_ms[progress.service]
        if since_ms >= rank * _WRITE_STAGGER_MS:
            self.store.want(
                msgspec.structs.replace(self._aged(progress), stage=wanted)
            )

    def on_row(self, row: rollout.Progress) -> None:
        """Take over what the store's row says of an order."""
        self._confirmed = (row.order, row.stage)
        if row.stage == rollout.Stage.TRIAL and self._is_alone(row):
            row = msgspec.structs.replace(row, stage=rollout.Stage.WHOLE)
        self.hear(row, 'store')

    def _is_alone(self, progress: rollout.Progress) -> bool:
        """Whether the service has targets, and of no other version."""
        found = self._deps.member_list.members_of(progress.service)
        versions = {self.version_of(member.node_id) for member in found}
        return versions == {progress.target_version}

    def _publish(self) -> None:
        """Put the own service's stage on the row, if a judge has to."""
        progress = self._own_progress()
        member_list = self._deps.member_list
        if progress is None or progress.stage == rollout.Stage.PREPARED:
            return
        own = member_list.own_row
        found = sorted(m.node_id for m in member_list.members_of(own.service))
        if own.node_id not in found[:JUDGES]:
            return
        known = {p.service: p for p in own.rollouts}.get(progress.service)
        if known is not None and _same(known, progress):
            return
        self._deps.publish((self._aged(progress),))


def _same(one: rollout.Progress, other: rollout.Progress) -> bool:
    return msgspec.structs.replace(one, age_ms=0) == msgspec.structs.replace(
        other, age_ms=0
    )


def _stage_name(stage: int) -> str:
    if stage > rollout.Stage.COMPLETED:
        return f'stage {stage}'
    return rollout.Stage(stage).name.lower().replace('_', '-')


def rollout_control(deps: Dependencies) -> RolloutControl:
    """Create the control of a node that knows of no roll-out."""
    return RolloutControl(deps)
