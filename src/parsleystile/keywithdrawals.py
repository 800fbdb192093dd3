"""Withdrawal of keys while the table is unavailable.

Withdrawals only add to a set, so they need no consensus: one is accepted
once several other members hold it, spreads by gossip, and is written to the
table by the first member that can.
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

WITHDRAW_KIND = 'keys.withdraw'
# Number of other members that must hold a withdrawal before it is accepted.
REQUIRED_CONFIRMATIONS = 3
MAX_MEMBERS_ASKED = 12
CONFIRM_TIMEOUT_MS = 1000
# The member that received the withdrawal writes it first. The others follow
# one after another, to limit the load on a table that has just recovered.
OWN_WRITE_DELAY_MS = 1000.0
RELAYED_WRITE_DELAY_MS = 15_000.0
WRITE_STAGGER_MS = 20.0
WRITE_RETRY_MS = 5000.0
# Recorded as the operator if another member writes the withdrawal.
RELAY_OPERATOR = 'relayed'


class WithdrawNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Notifies a member of withdrawn keys; the reply is a copy of it."""

    key_ids: tuple[ids.KeyId, ...]


@dataclasses.dataclass(slots=True)
class _PendingWithdrawal:
    operator: str
    due_ms: float


class KeyWithdrawals:
    """Withdrawals that the table does not contain yet."""

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        key_ring: keys.KeyRing,
        membership_state: membership.Membership,
        member_service: memberservice.MemberService,
        config_service: configservice.ConfigService,
        network: transport.Transport,
        metrics: metric.Metrics,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._key_ring = key_ring
        self._membership = membership_state
        self._members = member_service
        self._config = config_service
        self._network = network
        self._metrics = metrics
        self._pending: dict[ids.KeyId, _PendingWithdrawal] = {}
        self._tasks = _tasks.background_tasks()
        network.handle_control(WITHDRAW_KIND, self._on_notice)
        member_service.on_withdrawn = self.add_relayed

    def close(self) -> None:
        """Cancel running tasks."""
        self._tasks.close()

    def add_relayed(self, key_ids: typing.Iterable[ids.KeyId]) -> None:
        """Withdraw keys that another member reports as withdrawn."""
        size = len(self._membership.live_members())
        wait_ms = RELAYED_WRITE_DELAY_MS + self._rng.uniform(
            0, size * WRITE_STAGGER_MS
        )
        for key_id in key_ids:
            self._add(key_id, RELAY_OPERATOR, wait_ms)
        self.sync_pending()

    def sync_pending(self) -> None:
        """Drop withdrawals that the document contains and gossip the rest."""
        unrecorded = self._key_ring.pending_withdrawals
        for key_id in self._pending.keys() - unrecorded:
            del self._pending[key_id]
        self._members.handle(membership.WithdrawnKeys(unrecorded))

    def tick(self, now_ms: float) -> None:
        """Write due withdrawals to the table."""
        for key_id, pending in self._pending.items():
            if pending.due_ms <= now_ms:
                pending.due_ms = now_ms + WRITE_RETRY_MS
                self._tasks.start(
                    key_id,
                    lambda k=key_id, p=pending: self._write_to_table(k, p),
                )

    async def withdraw(
        self, key_id: ids.KeyId, operator: str
    ) -> configservice.ChangeResult:
        """Withdraw a key by confirmation of other members."""
        config = self._config.state.config
        if key_id not in config.keys and not config.is_withdrawn(key_id):
            error = errors.SettingsError(
                f'keys.{key_id}', f'there is no {key_id!r}'
            )
            return configservice.ChangeResult(
                configservice.ChangeOutcome.REFUSED, error=error
            )
        self._add(key_id, operator, OWN_WRITE_DELAY_MS)
        self.sync_pending()
        needed = min(REQUIRED_CONFIRMATIONS, len(self._reachable_peers()))
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
            self._pending[key_id] = _PendingWithdrawal(operator, due_ms)

    def _reachable_peers(self) -> list[members.Member]:
        me = self._membership.local_member.node_id
        unreachable = self._membership.unreachable_domains()
        return [
            m
            for m in self._membership.live_members()
            if m.node_id != me and m.failure_domain not in unreachable
        ]

    async def _confirm(self, key_id: ids.KeyId) -> int:
        peers = self._reachable_peers()
        asked = self._rng.sample(peers, min(MAX_MEMBERS_ASKED, len(peers)))
        answers = await asyncio.gather(
            *(self._request_confirmation(member, key_id) for member in asked)
        )
        return sum(answers)

    def _request_confirmation(
        self, member: members.Member, key_id: ids.KeyId
    ) -> asyncio.Future[bool]:
        confirmed = asyncio.get_running_loop().create_future()

        def on_reply(reply: bytes | errors.Refusal) -> None:
            if not confirmed.done():
                confirmed.set_result(not isinstance(reply, errors.Refusal))

        self._network.control(
            member.peer,
            WITHDRAW_KIND,
            msgspec.json.encode(WithdrawNotice(key_ids=(key_id,))),
            CONFIRM_TIMEOUT_MS,
            on_reply,
        )
        return confirmed

    def _on_notice(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        try:
            notice = msgspec.json.decode(payload, type=WithdrawNotice)
        except msgspec.MsgspecError:
            # No reply, so that the sender does not count this node.
            self._metrics.incr('keys.bad_notices')
            return
        self.add_relayed(notice.key_ids)
        reply(payload)

    async def _write_to_table(
        self, key_id: ids.KeyId, pending: _PendingWithdrawal
    ) -> None:
        request = configstore.ChangeRequest(
            change_id=f'withdraw-{key_id}',
            operator=pending.operator,
            change=changes.WithdrawKey(key_id=key_id),
        )
        await self._config.submit(request)


def key_withdrawals(
    clock: clocks.Clock,
    rng: random.Random,
    key_ring: keys.KeyRing,
    membership_state: membership.Membership,
    member_service: memberservice.MemberService,
    config_service: configservice.ConfigService,
    network: transport.Transport,
    metrics: metric.Metrics,
) -> KeyWithdrawals:
    """Create the withdrawals of a node, initially none."""
    return KeyWithdrawals(
        clock,
        rng,
        key_ring,
        membership_state,
        member_service,
        config_service,
        network,
        metrics,
    )
