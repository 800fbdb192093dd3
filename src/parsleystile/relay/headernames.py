"""Names of the HTTP headers of a platform."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, spelled as they are sent.

    Attributes:
        call_id: Id of one attempt of a caller; targets echo it.
        deadline: Milliseconds that the sender will still wait.
        organisation: Organisation on whose behalf a call runs.
        caller_service: Service that made the call.
        expected_target: Id of the target; any other target refuses the call.
        not_run: Set by a target that did not run the call.
        rate_limit: Calls a second that a target takes from all nodes.
        leaving: Set to 1 by a target that is about to leave.
        key: Holds the caller's key after ``key_scheme``.
    """

    call_id: str
    deadline: str
    organisation: str
    caller_service: str
    expected_target: str
    not_run: str
    rate_limit: str
    leaving: str
    key: str = 'Authorization'
    key_scheme: str = 'Bearer '

    def set_by_node(self) -> frozenset[str]:
        """Return the lower-case names that are dropped from requests."""
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
