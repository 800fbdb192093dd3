"""Asks of one borrower on their way to lenders, one at a time to each."""

import dataclasses
import typing

from parsleystile import ids
from parsleystile import quotawire

ASK_TIMEOUT_MS = 200.0
# A lender that did not answer is left alone for so long, twice as long each
# time in a row.
DOWN_MS = 500.0
LONGEST_DOWN_MS = 4_000.0
# A lender of which nothing was asked for so long is forgotten.
FORGET_MS = 60_000.0

MakeItem = typing.Callable[
    [ids.OrganisationId, ids.NodeId], quotawire.AskItem | None
]


@dataclasses.dataclass(frozen=True, slots=True)
class SendAsk:
    """Action: send ``ask`` to the lender ``to``."""

    to: ids.NodeId
    ask: quotawire.Ask


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """What a reply answers.

    Attributes:
        asked_at_ms: When the ask was made; grants count from then.
    """

    organisations: tuple[ids.OrganisationId, ...]
    asked_at_ms: float


@dataclasses.dataclass(slots=True)
class _Link:
    """What is known of one lender."""

    seq: int = 0
    asked_at_ms: float | None = None
    used_ms: float = 0.0
    asked: tuple[ids.OrganisationId, ...] = ()
    pending: dict[ids.OrganisationId, None] = dataclasses.field(
        default_factory=dict
    )
    down_until_ms: float = 0.0
    down_ms: float = DOWN_MS / 2
    epoch: str = ''


class LenderLinks:
    """Asks under way and waiting, by lender."""

    def __init__(self, borrower: ids.NodeId, process: str) -> None:
        self._borrower = borrower
        self._process = process
        self._links: dict[ids.NodeId, _Link] = {}
        # One sequence for all, so that a lender forgotten and found again
        # does not take a new ask for an old one.
        self._seq = 0

    def is_down(self, lender: ids.NodeId, now_ms: float) -> bool:
        """Return whether a lender is left alone for now."""
        link = self._links.get(lender)
        return link is not None and now_ms < link.down_until_ms

    def epoch(self, lender: ids.NodeId) -> str:
        """Return the epoch of a lender's last grants."""
        link = self._links.get(lender)
        return '' if link is None else link.epoch

    def add(
        self, lender: ids.NodeId, organisation: ids.OrganisationId
    ) -> bool:
        """Queue an organisation; return whether an ask is due now."""
        link = self._links.setdefault(lender, _Link())
        link.pending[organisation] = None
        return link.asked_at_ms is None

    def due(self, make_item: MakeItem, now_ms: float) -> list[SendAsk]:
        """Return an ask for each lender that is free and has some queued."""
        return [
            self._ask(lender, link, make_item, now_ms)
            for lender, link in list(self._links.items())
            if link.pending and link.asked_at_ms is None
        ]

    def answered(
        self, lender: ids.NodeId, seq: int, epoch: str
    ) -> Answered | None:
        """Take in a reply; None if it came too late to count on."""
        link = self._outstanding(lender, seq)
        if link is None:
            return None
        answered = Answered(link.asked, link.asked_at_ms)
        link.asked, link.asked_at_ms = (), None
        link.epoch = epoch
        link.down_ms = DOWN_MS / 2
        return answered

    def failed(
        self, lender: ids.NodeId, seq: int, now_ms: float
    ) -> list[ids.OrganisationId]:
        """Take in a failure; return the organisations left without ask."""
        link = self._outstanding(lender, seq)
        if link is None:
            return []
        stranded = [*link.asked, *link.pending]
        link.asked, link.asked_at_ms = (), None
        link.pending.clear()
        link.down_ms = min(2 * link.down_ms, LONGEST_DOWN_MS)
        link.down_until_ms = now_ms + link.down_ms
        return stranded

    def expire(self, now_ms: float) -> list[ids.OrganisationId]:
        """Fail what took too long; forget lenders out of use."""
        stranded = []
        for lender, link in list(self._links.items()):
            if link.asked_at_ms is not None:
                if now_ms >= link.asked_at_ms + ASK_TIMEOUT_MS:
                    stranded += self.failed(lender, link.seq, now_ms)
            elif not link.pending and now_ms > link.used_ms + FORGET_MS:
                del self._links[lender]
        return stranded

    def _outstanding(self, lender: ids.NodeId, seq: int) -> _Link | None:
        link = self._links.get(lender)
        if link is None or link.seq != seq or link.asked_at_ms is None:
            return None
        return link

    def _ask(
        self,
        lender: ids.NodeId,
        link: _Link,
        make_item: MakeItem,
        now_ms: float,
    ) -> SendAsk:
        self._seq += 1
        link.seq = self._seq
        link.asked_at_ms = link.used_ms = now_ms
        link.asked = tuple(link.pending)
        link.pending.clear()
        made = [make_item(name, lender) for name in link.asked]
        items = [item for item in made if item is not None]
        ask = quotawire.Ask(
            self._borrower, self._process, link.seq, link.epoch, items
        )
        return SendAsk(lender, ask)


def lender_links(borrower: ids.NodeId, process: str) -> LenderLinks:
    """Create links over which nothing was asked yet.

    Args:
        borrower: This node.
        process: Unique to this process of the node.
    """
    return LenderLinks(borrower, process)
