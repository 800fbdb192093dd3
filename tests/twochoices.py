"""The choice of two by the load of the last answer, to compare with."""

import dataclasses

from parsleystile import targettiers

REPORT_TTL_MS = 2_000.0


@dataclasses.dataclass
class _Peer:
    member: object
    in_flight: int = 0
    told: int = 0
    limit: int = targettiers.COLD_LIMIT
    told_ms: float = float('-inf')
    in_flight_when_told: int = 0

    def load(self, now_ms):
        if now_ms - self.told_ms >= REPORT_TTL_MS:
            return self.in_flight
        since = self.in_flight - self.in_flight_when_told
        return max(self.in_flight, self.told + since)

    def cost(self, now_ms):
        return (self.load(now_ms) + 1) / self.limit


class TwoChoices:
    """Two choices, and spilling by the load of the chosen target alone."""

    def __init__(self, domain, region, node_id, rng):
        del region, node_id
        self._domain = domain
        self._rng = rng

    def set_members(self, service, found):
        self._peers = {member.node_id: _Peer(member) for member in found}
        by_domain = ([], [])
        for peer in self._peers.values():
            is_far = peer.member.failure_domain != self._domain
            by_domain[is_far].append(peer)
        far = self._rng.sample(by_domain[1], min(8, len(by_domain[1])))
        self._tiers = [tier for tier in (by_domain[0], far) if tier]

    def choose(self, service, exclude, now_ms, idempotent):
        best = None
        for tier in self._tiers:
            peers = [p for p in tier if p.member.node_id not in exclude]
            drawn = self._rng.sample(peers, min(2, len(peers)))
            if not drawn:
                continue
            peer = min(drawn, key=lambda p: p.cost(now_ms))
            used = peer.load(now_ms) / peer.limit
            if self._rng.random() >= (used - 0.75) / 0.5:
                return peer.member
            if best is None or peer.cost(now_ms) < best.cost(now_ms):
                best = peer
        return best.member

    def sent(self, node_id, now_ms):
        self._peers[node_id].in_flight += 1

    def answered(self, node_id, load, now_ms, route='', answer_ms=None):
        peer = self._peers[node_id]
        peer.in_flight -= 1
        peer.told = load.in_flight + load.queued
        peer.limit = max(1, load.limit)
        peer.told_ms = now_ms
        peer.in_flight_when_told = peer.in_flight

    def failed(self, node_id, refusal, now_ms, load):
        self.answered(node_id, load, now_ms)
