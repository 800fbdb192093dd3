"""What callers and targets of a trial see, recorded by themselves."""

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

# Carries the names of a request; opaque to the nodes.
TRIAL_HEADER = 'X-Trial'
_OUTCOME_HEADER = 'X-Parsleystile-Outcome'
_TOKEN_HEADER = 'X-Parsleystile-Context'
_OUTCOMES = {
    'answered': errors.Outcome.ANSWERED,
    'not-run': errors.Outcome.NOT_RUN,
    'unknown': errors.Outcome.UNKNOWN,
}
_DIGEST_BYTES = 8
LOST_STATUS = 599


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """Names of one request; see ``events.RequestSent``."""

    request_id: str
    call_path: str
    root_request_id: str

    def __str__(self) -> str:
        return f'{self.request_id} {self.call_path} {self.root_request_id}'


def parse(value: str) -> Trial | None:
    """Return the names in a header; None without any."""
    parts = value.split(' ')
    return Trial(*parts) if len(parts) == 3 else None


def digest(body: bytes) -> str:
    """Return the digest by which bodies are compared."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()


class _Sends:
    """Counts how often libcurl sends a request; stops the second time.

    It would send again by itself when a reused connection closes before
    the answer, and then report on the second try alone.
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
class Fetched:
    """What came of a request.

    Attributes:
        response: With status 599 if there was no answer.
        was_sent: Some of the request may have left.
    """

    response: httpclient.HTTPResponse
    was_sent: bool


async def fetch(
    http: httpclient.AsyncHTTPClient, request: httpclient.HTTPRequest
) -> Fetched:
    """Send a request once."""
    sends = _Sends()
    request.prepare_curl_callback = sends.prepare
    try:
        response = await http.fetch(request, raise_error=False)
    except (httpclient.HTTPError, OSError) as exc:
        response = httpclient.HTTPResponse(request, LOST_STATUS, error=exc)
    return Fetched(response, sends.count > 0)


def answered_event(
    request_id: str, fetched: Fetched
) -> events.RequestAnswered:
    """Return what a caller learnt from an answer, or from its loss."""
    answer = fetched.response
    if not fetched.was_sent:
        return events.RequestAnswered(
            request_id=request_id,
            outcome=errors.Outcome.NOT_RUN,
            reason=errors.Reason.UNREACHABLE,
        )
    told = answer.headers.get(_OUTCOME_HEADER, '')
    return events.RequestAnswered(
        request_id=request_id,
        outcome=_OUTCOMES.get(told, errors.Outcome.UNKNOWN),
        status=answer.code,
        body_digest=digest(answer.body or b''),
    )


class Witness:
    """Records for one target; does nothing without a file."""

    def __init__(
        self, name: str, recorder: history.Recorder | None, domain: str
    ) -> None:
        self._name = name
        self._recorder = recorder
        self._domain = domain
        self._numbers = itertools.count(1)
        self._prefix = f'{name}-{secrets.token_hex(4)}'

    def announced(self, service: str, slots: int) -> None:
        """Record that the target announces itself."""
        self._record(
            events.TargetAnnounced(
                target_id=ids.TargetId(self._name),
                service=ids.ServiceName(service),
                failure_domain=ids.FailureDomainId(self._domain),
                slots=slots,
            )
        )

    def leaving(self) -> None:
        """Record that the target is about to say that it leaves."""
        self._record(events.TargetLeaving(target_id=self._name))

    def capacity(self, slots: int, told: bool) -> None:
        """Record what the target can bear from now on."""
        self._record(
            events.TargetCapacity(target_id=self._name, slots=slots, told=told)
        )

    def executed(self, request: httputil.HTTPServerRequest) -> None:
        """Record that the target begins to run a request."""
        trial = parse(request.headers.get(TRIAL_HEADER, ''))
        if trial is None:
            return
        headers = request.headers
        self._record(
            events.Executed(
                target_id=self._name,
                request_id=trial.request_id,
                call_path=trial.call_path,
                root_request_id=trial.root_request_id,
                token=headers.get(_TOKEN_HEADER, ''),
                headers=tuple(f'{k}: {v}' for k, v in headers.get_all()),
                path=request.uri,
                body=request.body.decode('latin-1'),
            )
        )

    def ended(self, request: httputil.HTTPServerRequest, body: bytes) -> None:
        """Record that the target ends a request, before it answers."""
        trial = parse(request.headers.get(TRIAL_HEADER, ''))
        if trial is not None:
            self._record(
                events.ExecutionEnded(
                    target_id=self._name,
                    request_id=trial.request_id,
                    body_digest=digest(body),
                )
            )

    def signed(
        self, request: httputil.HTTPServerRequest, body: bytes
    ) -> bytes:
        """Return a body that no answer to another request has."""
        trial = parse(request.headers.get(TRIAL_HEADER, ''))
        if trial is None:
            return body
        return f'{trial} at {self._name}: '.encode() + body

    def child_sent(self, parent: Trial, path: str) -> Trial:
        """Record a child call; return its names."""
        child = Trial(
            f'{self._prefix}-{next(self._numbers)}',
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

    def answered(self, request_id: str, fetched: Fetched) -> None:
        """Record what became of a child call."""
        self._record(answered_event(request_id, fetched))

    def _record(self, event: events.Event) -> None:
        if self._recorder is not None:
            self._recorder.record(event)


def witness(name: str, path: str, domain: str) -> Witness:
    """Create the witness of a target; an empty path records nothing."""
    recorder = None
    if path:
        # Unbuffered: a killed target must not take its record along.
        recorder = history.file_recorder(
            ids.NodeId(name), clock.system_clock(), path, buffer_entries=1
        )
    return Witness(name, recorder, domain)
