"""Tells the log when a lease of this node changes hands or lapses."""

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
    _NONE: 'the lease was given up or revoked; a new epoch asks for one',
    _HELD: 'the table confirmed the lease',
    _PROMISED: 'the table is out of reach; every deputy promises',
    _LAPSED: 'neither the table nor every deputy confirms the lease',
}


class LeaseLogger:
    """Compares a lease with what it was when last looked at."""

    def __init__(self, name: str, on_event: OnEvent) -> None:
        self._name = name
        self._on_event = on_event
        self._state = _NONE
        self._epoch = ''

    def observe(self, owner: ownership.Ownership, now_ms: float) -> None:
        """Log a change of state; cheap if there is none."""
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
    """Create a log of the lease ``name`` that was never held."""
    return LeaseLogger(name, on_event)
