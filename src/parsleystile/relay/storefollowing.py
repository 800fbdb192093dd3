"""Whether a node follows the store, and why; logged when it changes."""

import random

from parsleystile import clock as clocks
from parsleystile.relay import logevents
from parsleystile.relay import memberlist
from parsleystile.relay import storeage
from parsleystile.relay import telemetry

# A node that had no exchange for this time follows the store by itself.
_ISOLATED_MS = 2_500.0


class StoreFollowing:
    """Decides from the member list, the exchanges and the age of readings.

    Attributes:
        age: Age of the reading of the store that this node's state rests on.
    """

    def __init__(
        self,
        member_list: memberlist.MemberList,
        clock: clocks.Clock,
        rng: random.Random,
        recorder: telemetry.Recorder,
    ) -> None:
        self._member_list = member_list
        self._clock = clock
        self._recorder = recorder
        self.age = storeage.store_age(rng, clock.now_ms())
        self._exchanged_ms = clock.now_ms()
        self._was_following = False

    def note_exchange(self) -> None:
        """Note an exchange of state with a peer."""
        self._exchanged_ms = self._clock.now_ms()

    def note_reading(self, read_ms: float) -> None:
        """Note that this node's state holds all of the store at a time."""
        self.age.note_reading(read_ms)

    def note_failure(self) -> None:
        """Note that a call to the store failed."""
        self.age.note_failure(self._clock.now_ms(), self._limit_ms())

    def _limit_ms(self) -> float:
        return storeage.bound_ms(self._member_list.own_domain_size)

    @property
    def is_following(self) -> bool:
        """Whether this node follows the store rather than its peers."""
        return self._reason() != ''

    def _reason(self) -> str:
        """Return why this node follows the store; empty if it doesn't."""
        now_ms = self._clock.now_ms()
        if self._member_list.is_follower:
            return 'among the first reachable nodes of its domain'
        if now_ms - self._exchanged_ms > _ISOLATED_MS:
            return 'no exchange with a peer'
        if self.age.is_volunteering(now_ms):
            return 'no news of it for too long'
        return ''

    def check(self, seen_at: int) -> None:
        """Volunteer if it is time to, and log what changed.

        Args:
            seen_at: Version of the store of this node's snapshot.
        """
        now_ms = self._clock.now_ms()
        limit_ms = self._limit_ms()
        if self.age.check(now_ms, limit_ms):
            self._recorder.log.write(
                logevents.StoreAgeChanged(
                    is_overdue=self.age.is_overdue,
                    age_ms=int(self.age.age_ms(now_ms)),
                    limit_ms=int(limit_ms),
                    seen_at=seen_at,
                )
            )
        why = self._reason()
        is_following = why != ''
        if is_following is not self._was_following:
            self._was_following = is_following
            self._recorder.log.write(
                logevents.StoreFollowingChanged(
                    is_following=is_following, why=why or 'others follow it'
                )
            )


def store_following(
    member_list: memberlist.MemberList,
    clock: clocks.Clock,
    rng: random.Random,
    recorder: telemetry.Recorder,
) -> StoreFollowing:
    """Create the decision at a node that starts."""
    return StoreFollowing(member_list, clock, rng, recorder)
