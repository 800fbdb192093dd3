"""HTTP client of the platform's table service."""

import asyncio
import dataclasses
import random
import typing

import expression
import msgspec
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from parsleystile import breaker
from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import ids
from parsleystile import logevents
from parsleystile import logs
from parsleystile import table
from parsleystile import tablewire

DEFAULT_TIMEOUT_MS = 500.0
MAX_IN_FLIGHT = 16
MAX_QUEUED = 512
READ_ATTEMPTS = 3
WRITE_ATTEMPTS = 2
INITIAL_BACKOFF_MS = 20.0
# Longest answer; with MAX_IN_FLIGHT it bounds the memory of all answers.
MAX_ANSWER_BYTES = 8 * 1_048_576

_HTTP_OK = 200
_HTTP_CONFLICT = 409
_HTTP_UNAVAILABLE = 503
# curl errors without an established connection: nothing was sent.
_NEVER_SENT = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
    }
)

_T = typing.TypeVar('_T')
_BodyResult = expression.Result[bytes, errors.TableError]


@dataclasses.dataclass(frozen=True, slots=True)
class TableLimits:
    """Limits of one client.

    Attributes:
        timeout_ms: Timeout of a request, including its time in the queue.
        in_flight: Maximum number of concurrent requests.
        queued: Maximum number of waiting requests; further ones fail.
    """

    timeout_ms: float = DEFAULT_TIMEOUT_MS
    in_flight: int = MAX_IN_FLIGHT
    queued: int = MAX_QUEUED


class HttpTableClient(table.TableClient):
    """Table client over HTTP.

    Reads are retried after any failure, writes only after one that certainly
    had no effect.
    """

    def __init__(
        self,
        url: str,
        failure_domain: ids.FailureDomainId,
        clock: clocks.Clock,
        rng: random.Random,
        limits: TableLimits,
    ) -> None:
        self._url = url.rstrip('/')
        self._headers = {
            tablewire.DOMAIN_HEADER: failure_domain,
            'Content-Type': 'application/json',
        }
        self._clock = clock
        self._rng = rng
        self._limits = limits
        self._breaker = breaker.circuit_breaker(rng)
        self._slots = asyncio.Semaphore(limits.in_flight)
        self._waiting = 0
        self._http = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=limits.in_flight,
            max_body_size=MAX_ANSWER_BYTES,
        )

    @property
    def cut_off_since_ms(self) -> float | None:
        """When the table became unavailable, in ms; None while it answers."""
        if self._breaker.state is breaker.BreakerState.CLOSED:
            return None
        return self._breaker.opened_at_ms

    async def read(
        self, key: str
    ) -> expression.Result[table.Row | None, errors.TableError]:
        """Read one row; None if it is absent."""
        request = tablewire.ReadRequest(key)
        result = await self._read_rows(tablewire.READ_PATH, request)
        return result.map(lambda rows: rows[0] if rows else None)

    async def scan(
        self, prefix: str
    ) -> expression.Result[list[table.Row], errors.TableError]:
        """Read all rows whose keys start with ``prefix``, in key order."""
        request = tablewire.ScanRequest(prefix)
        return await self._read_rows(tablewire.SCAN_PATH, request)

    async def transact(
        self, writes: list[table.Write]
    ) -> expression.Result[list[int], errors.TableError]:
        """Apply all writes or none; return the new versions."""
        request = tablewire.TransactRequest(
            [
                tablewire.WireWrite(w.key, w.value, w.expected_version)
                for w in writes
            ]
        )
        sent = await self._send(
            tablewire.TRANSACT_PATH, request, WRITE_ATTEMPTS
        )
        match sent:
            case expression.Result(tag='ok', ok=body):
                response = _decode(body, tablewire.TransactResponse)
                return response.map(lambda decoded: decoded.versions)
            case expression.Result(error=error):
                return expression.Error(error)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def _read_rows(
        self, path: str, request: msgspec.Struct
    ) -> expression.Result[list[table.Row], errors.TableError]:
        sent = await self._send(path, request, READ_ATTEMPTS)
        match sent:
            case expression.Result(tag='ok', ok=body):
                response = _decode(body, tablewire.RowsResponse)
                return response.map(_to_rows).map_error(_as_unavailable)
            case expression.Result(error=error):
                return expression.Error(_as_unavailable(error))

    async def _send(
        self, path: str, request: msgspec.Struct, attempts: int
    ) -> _BodyResult:
        if self._waiting >= self._limits.queued:
            return expression.Error(
                errors.TableUnavailableError(
                    f'{self._waiting} requests are already queued'
                )
            )
        deadline_ms = self._clock.now_ms() + self._limits.timeout_ms
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            body = msgspec.json.encode(request)
            return await self._send_with_retries(
                path, body, attempts, deadline_ms
            )
        finally:
            self._slots.release()

    async def _send_with_retries(
        self, path: str, body: bytes, attempts: int, deadline_ms: float
    ) -> _BodyResult:
        is_read = path != tablewire.TRANSACT_PATH
        for attempt in range(attempts):
            result = await self._send_once(path, body, deadline_ms)
            match result:
                case expression.Result(tag='error', error=error):
                    is_safe = is_read or isinstance(
                        error, errors.TableUnavailableError
                    )
                case _:
                    return result
            backoff_ms = INITIAL_BACKOFF_MS * 2**attempt * self._rng.random()
            now_ms = self._clock.now_ms()
            is_last = attempt + 1 == attempts
            if is_last or not is_safe or now_ms + backoff_ms > deadline_ms:
                return result
            await asyncio.sleep(backoff_ms / 1e3)
        return result

    async def _send_once(
        self, path: str, body: bytes, deadline_ms: float
    ) -> _BodyResult:
        now_ms = self._clock.now_ms()
        if now_ms >= deadline_ms:
            return _unavailable('timed out before the request was sent')
        if not self._breaker.allow_request(now_ms):
            return _unavailable('circuit breaker is open')
        request = httpclient.HTTPRequest(
            self._url + path,
            method='POST',
            headers=self._headers,
            body=body,
            connect_timeout=(deadline_ms - now_ms) / 1e3,
            request_timeout=(deadline_ms - now_ms) / 1e3,
        )
        send_counter = _SendCounter()
        request.prepare_curl_callback = send_counter.attach
        has_result = False
        try:
            response = await self._http.fetch(request, raise_error=False)
            result = _to_result(response)
            has_result = True
        except httpclient.HTTPError as exc:
            message = str(exc)
            result = (
                _unknown(message)
                if send_counter.count
                else _unavailable(message)
            )
            has_result = True
        finally:
            # A cancelled task must not leave the breaker half-open.
            if not has_result:
                self._breaker.on_failure(self._clock.now_ms())
        self._report_result(result)
        return result

    def _report_result(self, result: _BodyResult) -> None:
        cut_off_before_ms = self.cut_off_since_ms
        self._update_breaker(result)
        cut_off_after_ms = self.cut_off_since_ms
        if cut_off_before_ms is None and cut_off_after_ms is not None:
            logs.log_event(
                logevents.TableCutOff(
                    why='consecutive requests failed',
                    evidence=str(result.error)[:200],
                    failures=self._breaker.failures,
                )
            )
        elif cut_off_before_ms is not None and cut_off_after_ms is None:
            logs.log_event(
                logevents.TableRestored(
                    why='a request was answered',
                    cut_off_ms=self._clock.now_ms() - cut_off_before_ms,
                )
            )

    def _update_breaker(self, result: _BodyResult) -> None:
        match result:
            case expression.Result(
                tag='error',
                error=errors.TableUnavailableError()
                | errors.TableResultUnknownError(),
            ):
                self._breaker.on_failure(self._clock.now_ms())
            case _:
                self._breaker.on_success()


class _SendCounter:
    """Counts how often libcurl sends a request, and prevents a resend.

    libcurl resends a request by itself when a reused connection is closed
    before the response. A write whose first copy took effect would then be
    reported as a conflict with itself.
    """

    def __init__(self) -> None:
        self.count = 0

    def attach(self, handle: pycurl.Curl) -> None:
        """Count the requests that a handle sends, and limit its answers."""
        # Rejects a declared length at the head.
        handle.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
        handle.setopt(pycurl.PREREQFUNCTION, self._before_send)

    def _before_send(self, *_addresses: object) -> int:
        self.count += 1
        if self.count > 1:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK


def _to_result(response: httpclient.HTTPResponse) -> _BodyResult:
    if response.code == _HTTP_OK:
        return expression.Ok(response.body)
    if response.code == _HTTP_CONFLICT:
        return _to_conflict(response.body)
    if response.code == _HTTP_UNAVAILABLE:
        return _unavailable('the table service returned status 503')
    error = response.error
    if isinstance(error, curl_httpclient.CurlError):
        if error.errno in _NEVER_SENT:
            return _unavailable(str(error))
        return _unknown(str(error))
    return _unknown(f'the table service returned status {response.code}')


def _to_conflict(body: bytes) -> _BodyResult:
    match _decode(body, tablewire.ConflictResponse):
        case expression.Result(tag='ok', ok=found):
            return expression.Error(
                errors.VersionConflictError(
                    found.key, found.expected, found.found
                )
            )
        case expression.Result(error=error):
            return expression.Error(error)


def _decode(
    body: bytes, kind: type[_T]
) -> expression.Result[_T, errors.TableError]:
    try:
        return expression.Ok(msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError as exc:
        return _unknown(f'invalid response of the table service: {exc}')


def _to_rows(response: tablewire.RowsResponse) -> list[table.Row]:
    return [
        table.Row(row.key, row.value, row.version) for row in response.rows
    ]


def _unavailable(problem: str) -> expression.Result:
    return expression.Error(errors.TableUnavailableError(problem))


def _unknown(problem: str) -> expression.Result:
    return expression.Error(errors.TableResultUnknownError(problem))


def _as_unavailable(error: errors.TableError) -> errors.TableError:
    # A read has no effect, so a lost response leaves no doubt.
    if isinstance(error, errors.TableResultUnknownError):
        return errors.TableUnavailableError(str(error))
    return error


def table_client(
    url: str,
    failure_domain: ids.FailureDomainId,
    clock: clocks.Clock,
    rng: random.Random,
    limits: TableLimits | None = None,
) -> HttpTableClient:
    """Create a client of the table service at ``url``.

    Must be called in a running event loop.

    Args:
        url: Base URL of the table service.
        failure_domain: Sent with each request.
        clock: This node's clock.
        rng: Source of jitter.
        limits: Limits of the client; None for the defaults.
    """
    return HttpTableClient(
        url, failure_domain, clock, rng, limits or TableLimits()
    )
