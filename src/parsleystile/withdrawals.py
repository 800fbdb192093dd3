"""Withdrawals of keys while the table is away.

A withdrawal only ever adds to a set, so it needs no agreement: it is
accepted once some other members hold it, spreads by gossip, and is written
to the table by whichever member first can.
"""

import asyncio
import dataclasses
import random
import typing

import msgspec

from parsleystile import _tasks
from parsleystile import changes
from parsleystile import clock as clocks
from parsleystile import configservice
from parsleystile import configstore
from parsleystile import errors
from parsleystile import ids
from parsleystile import keys
from parsleystile import logevents
from parsleystile import logs
from parsleystile import members
from parsleystile import memberservice
from parsleystile import membership
from parsleystile import metrics as metric
from parsleystile import transport

KIND = 'keys.withdraw'
# Other members that must hold a withdrawal before it counts as accepted.
CONFIRMATIONS = 3
MEMBERS_ASKED = 12
CONFIRM_TIMEOUT_MS = 1000
# The member that took the withdrawal writes it first; the others follow
# one after another, so that a table that is back sees few of them.
FIRST_SETTLE_MS = 1000.0
OTHER_SETTLE_MS = 15_000.0
SETTLE_SPREAD_MS = 20.0
RETRY_SETTLE_MS = 5000.0
# Recorded for a withdrawal whose taker could not write it itself.
RELAY_OPERATOR = 'relayed'


class WithdrawNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Tells a member of withdrawn keys; it answers the same."""

    key_ids: tuple[ids.KeyId, ...]


@dataclasses.dataclass(slots=True)
class _Pending:
    operator: str
    due_ms: float


class Withdrawals:
    """The withdrawals that the table does not hold yet."""

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        key_ring: keys.KeyRing,
        machine: membership.Membership,
        member_service: memberservice.MemberService,
        config_service: configservice.ConfigService,
        network: transport.Transport,
        metrics: metric.Metrics,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._key_ring = key_ring
        self._machine = machine
        self._members = member_service
        self._config = config_service
        self._network = network
        self._metrics = metrics
        self._pending: dict[ids.KeyId, _Pending] = {}
        self._tasks = _tasks.background_tasks()
        network.handle_control(KIND, self._serve)
        member_service.on_withdrawn = self.take

    def close(self) -> None:
        """Stop what is under way."""
        self._tasks.close()

    def take(self, key_ids: typing.Iterable[ids.KeyId]) -> None:
        """Withdraw keys that another member knows to be withdrawn."""
        size = len(self._machine.everyone())
        wait_ms = OTHER_SETTLE_MS + self._rng.uniform(
            0, size * SETTLE_SPREAD_MS
        )
        for key_id in key_ids:
            self._add(key_id, RELAY_OPERATOR, wait_ms)
        self.refresh()

    def refresh(self) -> None:
        """Follow a document that may hold some of the withdrawals."""
        held = self._key_ring.pending
        for key_id in self._pending.keys() - held:
            del self._pending[key_id]
        self._members.handle(membership.WithdrawnKeys(held))

    def tick(self, now_ms: float) -> None:
        """Write what is due to the table."""
        for key_id, pending in self._pending.items():
            if pending.due_ms <= now_ms:
                pending.due_ms = now_ms + RETRY_SETTLE_MS
                self._tasks.start(
                    key_id, lambda k=key_id, p=pending: self._settle(k, p)
                )

    async def withdraw(
        self, key_id: ids.KeyId, operator: str
    ) -> configservice.ChangeResult:
        """Withdraw a key without the table."""
        config = self._config.state.config
        if key_id not in config.keys and not config.is_withdrawn(key_id):
            error = errors.SettingsError(
                f'keys.{key_id}', f'there is no {key_id!r}'
            )
            return configservice.ChangeResult(
                configservice.ChangeOutcome.REFUSED, error=error
            )
        self._add(key_id, operator, FIRST_SETTLE_MS)
        self.refresh()
        needed = min(CONFIRMATIONS, len(self._others()))
        confirmed = await self._confirm(key_id)
        if confirmed < needed:
            return configservice.ChangeResult(
                configservice.ChangeOutcome.UNKNOWN,
                error=errors.TableUnavailableError(
                    f'the table is away and {confirmed} of {needed} other '
                    'nodes confirmed; ask again'
                ),
            )
        self._metrics.incr('keys.withdrawn_without_table')
        return configservice.ChangeResult(
            configservice.ChangeOutcome.ACCEPTED, config.version
        )

    def _add(self, key_id: ids.KeyId, operator: str, wait_ms: float) -> None:
        if self._key_ring.withdraw(key_id):
            key = self._config.state.config.keys.get(key_id)
            logs.log_event(
                logevents.KeyWithdrawn(
                    key_id=key_id,
                    organisation=key.organisation if key else '',
                    why='withdrawn ahead of the document',
                )
            )
            due_ms = self._clock.now_ms() + wait_ms
            self._pending[key_id] = _Pending(operator, due_ms)

    def _others(self) -> list[members.Member]:
        me = self._machine.me.node_id
        silent = self._machine.unreachable_domains()
        return [
            m
            for m in self._machine.everyone()
            if m.node_id != me and m.failure_domain not in silent
        ]

    async def _confirm(self, key_id: ids.KeyId) -> int:
        others = self._others()
        asked = self._rng.sample(others, min(MEMBERS_ASKED, len(others)))
        answers = await asyncio.gather(
            *(self._ask(member, key_id) for member in asked)
        )
        return sum(answers)

    def _ask(
        self, member: members.Member, key_id: ids.KeyId
    ) -> asyncio.Future[bool]:
        answered = asyncio.get_running_loop().create_future()

        def on_reply(reply: bytes | errors.Refusal) -> None:
            if not answered.done():
                answered.set_result(not isinstance(reply, errors.Refusal))

        self._network.control(
            member.link,
            KIND,
            msgspec.json.encode(WithdrawNotice(key_ids=(key_id,))),
            CONFIRM_TIMEOUT_MS,
            on_reply,
        )
        return answered

    def _serve(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        try:
            notice = msgspec.json.decode(payload, type=WithdrawNotice)
        except msgspec.MsgspecError:
            # No answer: whoever asks must not count on this node.
            self._metrics.incr('keys.bad_notices')
            return
        self.take(notice.key_ids)
        reply(payload)

    async def _settle(self, key_id: ids.KeyId, pending: _Pending) -> None:
        request = configstore.ChangeRequest(
            change_id=f'withdraw-{key_id}',
            operator=pending.operator,
            change=changes.WithdrawKey(key_id=key_id),
        )
        await self._config.submit(request)


def withdrawals(
    clock: clocks.Clock,
    rng: random.Random,
    key_ring: keys.KeyRing,
    machine: membership.Membership,
    member_service: memberservice.MemberService,
    config_service: configservice.ConfigService,
    network: transport.Transport,
    metrics: metric.Metrics,
) -> Withdrawals:
    """Create the withdrawals of a node that holds none."""
    return Withdrawals(
        clock,
        rng,
        key_ring,
        machine,
        member_service,
        config_service,
        network,
        metrics,
    )
