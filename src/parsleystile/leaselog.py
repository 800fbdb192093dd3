"""Logs state changes of this node's leases."""

import typing

from parsleystile import ids
from parsleystile import leases
from parsleystile import logevents
from parsleystile import ownership

OnEvent = typing.Callable[[logevents.Event], None]

_NONE = 'none'
_HELD = 'held'
_PROMISED = 'promised'
_LAPSED = 'lapsed'
_WHY = {
    _NONE: 'the lease was released or revoked; a new epoch requests one',
    _HELD: 'the table confirmed the lease',
    _PROMISED: 'the table is unavailable; every deputy promised not to revoke',
    _LAPSED: 'neither the table nor every deputy confirms the lease',
}


class LeaseLogger:
    """Logs a lease whenever its state or epoch has changed."""

    def __init__(self, name: str, on_event: OnEvent) -> None:
        self._name = name
        self._on_event = on_event
        self._state = _NONE
        self._epoch = ''

    def observe(self, owner: ownership.Ownership, now_ms: float) -> None:
        """Log a change since the last call, if there is one."""
        lease = owner.lease
        state = self._state_of(owner, now_ms)
        if state == self._state and lease.epoch == self._epoch:
            return
        if (self._state, state) != (_NONE, _NONE):
            self._on_event(
                logevents.LeaseChanged(
                    why=_WHY[state],
                    evidence=_evidence(lease, now_ms),
                    lease=self._name,
                    state_before=self._state,
                    state_after=state,
                    epoch=ids.LeaseEpoch(int(lease.epoch, 16)),
                )
            )
        self._state, self._epoch = state, lease.epoch

    @staticmethod
    def _state_of(owner: ownership.Ownership, now_ms: float) -> str:
        lease = owner.lease
        if not lease.was_confirmed or lease.is_lost:
            return _NONE
        if not lease.is_valid(now_ms):
            return _LAPSED
        return _HELD if lease.is_confirmed(now_ms) else _PROMISED


def _evidence(lease: leases.Lease, now_ms: float) -> str:
    valid_for_ms = max(0.0, lease.valid_until_ms() - now_ms)
    deputies = ','.join(lease.deputies) or '-'
    return f'valid_for_ms={valid_for_ms:.0f} deputies={deputies}'


def lease_logger(name: str, on_event: OnEvent) -> LeaseLogger:
    """Create the logger of a lease that was never held.

    Args:
        name: Name of the lease in log events.
        on_event: Called with each log event.
    """
    return LeaseLogger(name, on_event)
