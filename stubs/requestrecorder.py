"""Records requests as seen by callers and by stub targets."""

import dataclasses
import hashlib
import itertools
import secrets

import pycurl
from tornado import httpclient
from tornado import httputil

from parsleystile import clock
from parsleystile import errors
from parsleystile import events
from parsleystile import history
from parsleystile import ids

# Carries the ids of a request; nodes forward it unread.
REQUEST_IDS_HEADER = 'X-Trial'
_OUTCOME_HEADER = 'X-Parsleystile-Outcome'
_TOKEN_HEADER = 'X-Parsleystile-Context'
_OUTCOMES = {
    'answered': errors.Outcome.ANSWERED,
    'not-run': errors.Outcome.NOT_RUN,
    'unknown': errors.Outcome.UNKNOWN,
}
_DIGEST_BYTES = 8
NO_RESPONSE_STATUS = 599


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIds:
    """Ids of one request; see ``events.RequestSent``."""

    request_id: str
    call_path: str
    root_request_id: str

    def __str__(self) -> str:
        return f'{self.request_id} {self.call_path} {self.root_request_id}'


def parse_ids(value: str) -> RequestIds | None:
    """Parse the value of a request-ids header; None if invalid."""
    parts = value.split(' ')
    return RequestIds(*parts) if len(parts) == 3 else None


def digest(body: bytes) -> str:
    """Return the digest of a body as it appears in the history."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()


class _SendCounter:
    """Counts how often libcurl sends a request and aborts a second send.

    libcurl resends on its own when a reused connection closes before the
    response, and then reports the outcome of the second attempt only.
    """

    def __init__(self) -> None:
        self.count = 0

    def prepare(self, handle: pycurl.Curl) -> None:
        handle.setopt(pycurl.PREREQFUNCTION, self._before_send)

    def _before_send(self, *_addresses: object) -> int:
        self.count += 1
        return (
            pycurl.PREREQFUNC_OK
            if self.count == 1
            else pycurl.PREREQFUNC_ABORT
        )


@dataclasses.dataclass(frozen=True, slots=True)
class FetchResult:
    """Result of a request.

    Attributes:
        response: Has status 599 if no response was received.
        was_sent: Whether any part of the request may have been sent.
    """

    response: httpclient.HTTPResponse
    was_sent: bool


async def fetch(
    http: httpclient.AsyncHTTPClient, request: httpclient.HTTPRequest
) -> FetchResult:
    """Send a request at most once."""
    sends = _SendCounter()
    request.prepare_curl_callback = sends.prepare
    try:
        response = await http.fetch(request, raise_error=False)
    except (httpclient.HTTPError, OSError) as exc:
        response = httpclient.HTTPResponse(
            request, NO_RESPONSE_STATUS, error=exc
        )
    return FetchResult(response, sends.count > 0)


def answered_event(
    request_id: str, fetched: FetchResult
) -> events.RequestAnswered:
    """Return the event for a response, or for its absence."""
    answer = fetched.response
    if not fetched.was_sent:
        return events.RequestAnswered(
            request_id=request_id,
            outcome=errors.Outcome.NOT_RUN,
            reason=errors.Reason.UNREACHABLE,
        )
    outcome = answer.headers.get(_OUTCOME_HEADER, '')
    return events.RequestAnswered(
        request_id=request_id,
        outcome=_OUTCOMES.get(outcome, errors.Outcome.UNKNOWN),
        status=answer.code,
        body_digest=digest(answer.body or b''),
    )


class TargetRecorder:
    """Records events of one target; does nothing without a recorder."""

    def __init__(
        self, name: str, recorder: history.Recorder | None, domain: str
    ) -> None:
        self._name = name
        self._recorder = recorder
        self._domain = domain
        self._child_numbers = itertools.count(1)
        self._prefix = f'{name}-{secrets.token_hex(4)}'

    def record_announcement(self, service: str, slots: int) -> None:
        """Record that the target starts to announce itself."""
        self._record(
            events.TargetAnnounced(
                target_id=ids.TargetId(self._name),
                service=ids.ServiceName(service),
                failure_domain=ids.FailureDomainId(self._domain),
                slots=slots,
            )
        )

    def record_leaving(self) -> None:
        """Record that the target is about to deregister."""
        self._record(events.TargetLeaving(target_id=self._name))

    def record_capacity(self, slots: int, is_declared: bool) -> None:
        """Record the capacity of the target from now on.

        Args:
            slots: Concurrent calls that the target can serve.
            is_declared: Whether the node is informed of this capacity.
        """
        self._record(
            events.TargetCapacity(
                target_id=self._name, slots=slots, is_announced=is_declared
            )
        )

    def record_execution(self, request: httputil.HTTPServerRequest) -> None:
        """Record that the target starts to execute a request."""
        request_ids = parse_ids(request.headers.get(REQUEST_IDS_HEADER, ''))
        if request_ids is None:
            return
        headers = request.headers
        self._record(
            events.Executed(
                target_id=self._name,
                request_id=request_ids.request_id,
                call_path=request_ids.call_path,
                root_request_id=request_ids.root_request_id,
                token=headers.get(_TOKEN_HEADER, ''),
                headers=tuple(f'{k}: {v}' for k, v in headers.get_all()),
                path=request.uri,
                body=request.body.decode('latin-1'),
            )
        )

    def record_end(
        self, request: httputil.HTTPServerRequest, body: bytes
    ) -> None:
        """Record the end of an execution; called before the answer is sent."""
        request_ids = parse_ids(request.headers.get(REQUEST_IDS_HEADER, ''))
        if request_ids is not None:
            self._record(
                events.ExecutionEnded(
                    target_id=self._name,
                    request_id=request_ids.request_id,
                    body_digest=digest(body),
                )
            )

    def unique_body(
        self, request: httputil.HTTPServerRequest, body: bytes
    ) -> bytes:
        """Return a body that differs from the answer to any other request."""
        request_ids = parse_ids(request.headers.get(REQUEST_IDS_HEADER, ''))
        if request_ids is None:
            return body
        return f'{request_ids} at {self._name}: '.encode() + body

    def record_child_call(self, parent: RequestIds, path: str) -> RequestIds:
        """Record that a child call is sent; return its ids."""
        child = RequestIds(
            f'{self._prefix}-{next(self._child_numbers)}',
            f'{parent.call_path}{path.partition("?")[0]}',
            parent.root_request_id,
        )
        self._record(
            events.RequestSent(
                request_id=child.request_id,
                call_path=child.call_path,
                root_request_id=child.root_request_id,
                organisation=ids.OrganisationId(''),
                via=ids.NodeId(self._name),
                idempotent=True,
            )
        )
        return child

    def record_child_answer(
        self, request_id: str, fetched: FetchResult
    ) -> None:
        """Record the result of a child call."""
        self._record(answered_event(request_id, fetched))

    def _record(self, event: events.Event) -> None:
        if self._recorder is not None:
            self._recorder.record(event)


def target_recorder(name: str, path: str, domain: str) -> TargetRecorder:
    """Create the recorder of a target; an empty path records nothing."""
    recorder = None
    if path:
        # Unbuffered, so that no entry is lost when the target is killed.
        recorder = history.file_recorder(
            ids.NodeId(name), clock.system_clock(), path, buffer_entries=1
        )
    return TargetRecorder(name, recorder, domain)
