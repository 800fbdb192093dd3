"""Names of the headers that a platform's callers and targets use."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, in the spelling that is sent.

    Attributes:
        call_id: Names one try of a caller; targets echo it.
        deadline: Milliseconds that the sender will still wait.
        organisation: Tells a target on whose behalf a call runs.
        caller_service: Tells a target which service made the call.
        expected_target: A target with another id refuses the call.
        not_run: A target's word that it did not run the call.
        key: Holds the caller's key after ``key_scheme``.
    """

    call_id: str
    deadline: str
    organisation: str
    caller_service: str
    expected_target: str
    not_run: str
    key: str = 'Authorization'
    key_scheme: str = 'Bearer '

    def set_by_node(self) -> frozenset[str]:
        """Return the lower-case names that never pass from a caller."""
        return frozenset(
            name.lower()
            for name in (
                self.organisation,
                self.caller_service,
                self.expected_target,
                self.deadline,
                self.key,
            )
        )
