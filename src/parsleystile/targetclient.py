"""HTTP calls to the target beside this node, by libcurl.

Handles are reused and libcurl is driven straight from the event loop by its
socket and timer callbacks; tornado's wrapper costs most of a millisecond a
call.
"""

import abc
import asyncio
import collections
import dataclasses
import os
import stat

import pycurl

from parsleystile import errors
from parsleystile import targetanswer
from parsleystile import transport

_MAX_IDLE_HANDLES = 256
_MAX_CONNECTIONS = 256
_MAX_RESPONSE_HEADERS = 256
_CONNECT_TIMEOUT_MS = 500
_MS_PER_S = 1000.0
# Below this libcurl treats a timeout as none.
_MIN_TIMEOUT_MS = 1
# libcurl would add these on its own; a Content-Type of the caller's wins,
# being first.
_SUPPRESSED_HEADERS = ('Expect:', 'Content-Type:', 'Accept:', 'User-Agent:')
_STATUS_LINE = b'HTTP/'
_FIRST_FINAL_STATUS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """One request to the target.

    Attributes:
        headers: Names and values in turn.
        timeout_ms: The transfer is given up after this long.
    """

    method: str
    url: str
    headers: list[str]
    body: bytes
    timeout_ms: float


class TargetCaller(abc.ABC):
    """Sends requests to the target; faked in driven runs."""

    @abc.abstractmethod
    def send(
        self, request: TargetRequest, on_answer: targetanswer.OnTargetAnswer
    ) -> transport.PendingCall:
        """Start a request; ``on_answer`` is called once unless cancelled.

        The refusal has outcome ``NOT_RUN`` only if no byte of the request
        was written to the target.
        """


class _Transfer(transport.PendingCall):
    """One request under way on one handle."""

    __slots__ = (
        'body',
        'body_bytes',
        'client',
        'handle',
        'header_lines',
        'is_head',
        'on_answer',
        'sends',
        'too_large',
    )

    def __init__(
        self,
        client: 'TargetClient',
        handle: pycurl.Curl,
        on_answer: targetanswer.OnTargetAnswer,
        is_head: bool,
    ) -> None:
        # A handle keeps its no-body option; one that sent HEAD is not kept.
        self.is_head = is_head
        self.client = client
        self.handle = handle
        self.on_answer: targetanswer.OnTargetAnswer | None = on_answer
        self.header_lines: list[bytes] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.sends = 0
        self.too_large = False

    def on_header(self, line: bytes) -> None:
        if line.startswith(_STATUS_LINE):
            # Headers of an interim response go before the final ones.
            self.header_lines.clear()
        self.header_lines.append(line)

    def on_body(self, chunk: bytes) -> int:
        self.body_bytes += len(chunk)
        if self.body_bytes > self.client.max_body_bytes:
            self.too_large = True
            return 0
        self.body.append(chunk)
        return len(chunk)

    def on_before_send(self, *_addresses: object) -> int:
        # libcurl sends a request again by itself when a reused connection
        # closes before the answer; the target may have run it by then.
        self.sends += 1
        if self.sends > 1:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def cancel(self) -> None:
        self.client.abandon(self)


class TargetClient(TargetCaller):
    """Sends requests to one target; each ends in exactly one answer.

    Args:
        max_body_bytes: A longer answer is refused.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_body_bytes: int
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self._loop = loop
        self._idle: collections.deque[pycurl.Curl] = collections.deque()
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._watched: dict[int, int] = {}
        self._wakeups: set[int] = set()
        self._collects = False
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MAX_CONNECTIONS)

    def send(
        self, request: TargetRequest, on_answer: targetanswer.OnTargetAnswer
    ) -> transport.PendingCall:
        """Start a request; see ``TargetCaller.send``."""
        handle = self._idle.pop() if self._idle else _new_handle()
        transfer = _Transfer(self, handle, on_answer, request.method == 'HEAD')
        _set_request(handle, request, transfer)
        self._transfers[handle] = transfer
        self._multi.add_handle(handle)
        # Start now; the timer that libcurl asks for would fire one turn of
        # the loop later.
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        if transfer.sends == 0 and not self._collects:
            # It may have failed already; the caller has no handle on it yet.
            self._collects = True
            self._loop.call_soon(self._collect)
        return transfer

    @property
    def in_flight(self) -> int:
        """Requests under way."""
        return len(self._transfers)

    def abandon(self, transfer: _Transfer) -> None:
        """Close the connection of a request under way; no answer comes."""
        transfer.on_answer = None
        if self._transfers.pop(transfer.handle, None) is not None:
            # Taking an unfinished transfer off closes its connection, which
            # tells the target that nobody waits.
            self._multi.remove_handle(transfer.handle)
            transfer.handle.close()

    def close(self) -> None:
        """Drop everything; requests under way get no answer."""
        for transfer in list(self._transfers.values()):
            self.abandon(transfer)
        if self._timer is not None:
            self._timer.cancel()
        for fd in list(self._watched):
            self._unwatch(fd)
        self._multi.close()

    def _on_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            return
        due_s = self._loop.time() + timeout_ms / _MS_PER_S
        if self._timer is not None:
            # A timer that fires early does no harm, and nearly every
            # transfer ends long before its own.
            if self._timer.when() <= due_s:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due_s, self._on_timeout)

    def _on_timeout(self) -> None:
        self._timer = None
        # libcurl tells the next time only when it changes.
        next_ms = self._multi.timeout()
        self._act(pycurl.SOCKET_TIMEOUT, 0)
        if self._timer is None and next_ms > 0:
            self._on_timer(next_ms)

    def _on_socket(
        self, event: int, fd: int, _multi: object, _data: object
    ) -> None:
        if event == pycurl.POLL_REMOVE:
            # libcurl names its own wake-up descriptor anew for each
            # transfer; it lives as long as the multi handle.
            if fd not in self._wakeups:
                self._unwatch(fd)
            return
        if fd not in self._watched and not _is_socket(fd):
            self._wakeups.add(fd)
        before = self._watched.get(fd, 0)
        self._watched[fd] = event
        if event & pycurl.POLL_IN and not before & pycurl.POLL_IN:
            self._loop.add_reader(fd, self._act, fd, pycurl.CSELECT_IN)
        elif before & pycurl.POLL_IN and not event & pycurl.POLL_IN:
            self._loop.remove_reader(fd)
        if event & pycurl.POLL_OUT and not before & pycurl.POLL_OUT:
            self._loop.add_writer(fd, self._act, fd, pycurl.CSELECT_OUT)
        elif before & pycurl.POLL_OUT and not event & pycurl.POLL_OUT:
            self._loop.remove_writer(fd)

    def _unwatch(self, fd: int) -> None:
        event = self._watched.pop(fd, 0)
        if event & pycurl.POLL_IN:
            self._loop.remove_reader(fd)
        if event & pycurl.POLL_OUT:
            self._loop.remove_writer(fd)

    def _act(self, fd: int, mask: int) -> None:
        self._multi.socket_action(fd, mask)
        self._collect()

    def _collect(self) -> None:
        self._collects = False
        more = 1
        while more:
            more, done, failed = self._multi.info_read()
            for handle in done:
                self._finish(handle, pycurl.E_OK)
            for handle, code, _message in failed:
                self._finish(handle, code)

    def _finish(self, handle: pycurl.Curl, code: int) -> None:
        transfer = self._transfers.pop(handle, None)
        if transfer is None:
            return
        self._multi.remove_handle(handle)
        result = _result(transfer, handle, code)
        is_reusable = code == pycurl.E_OK and not transfer.is_head
        if is_reusable and len(self._idle) < _MAX_IDLE_HANDLES:
            self._idle.append(handle)
        else:
            handle.close()
        on_answer, transfer.on_answer = transfer.on_answer, None
        if on_answer is not None:
            on_answer(result)


def _is_socket(fd: int) -> bool:
    return stat.S_ISSOCK(os.fstat(fd).st_mode)


def _new_handle() -> pycurl.Curl:
    handle = pycurl.Curl()
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, _CONNECT_TIMEOUT_MS)
    # The environment of the node must not send calls elsewhere.
    handle.setopt(pycurl.PROXY, '')
    handle.setopt(pycurl.PATH_AS_IS, 1)
    handle.setopt(pycurl.TCP_NODELAY, 1)
    return handle


def _set_request(
    handle: pycurl.Curl, request: TargetRequest, transfer: _Transfer
) -> None:
    handle.setopt(pycurl.URL, request.url)
    pairs = zip(request.headers[::2], request.headers[1::2], strict=True)
    # 'Name;' sends an empty value; 'Name:' would remove the header.
    lines = [f'{k}: {v}' if v else f'{k};' for k, v in pairs]
    lines += _SUPPRESSED_HEADERS
    handle.setopt(pycurl.HTTPHEADER, lines)
    handle.setopt(pycurl.CUSTOMREQUEST, request.method)
    if request.method == 'HEAD':
        handle.setopt(pycurl.NOBODY, 1)
    elif request.body or request.method in ('POST', 'PUT', 'PATCH'):
        handle.setopt(pycurl.POSTFIELDSIZE, len(request.body))
        handle.setopt(pycurl.COPYPOSTFIELDS, request.body)
    else:
        handle.setopt(pycurl.HTTPGET, 1)
    handle.setopt(
        pycurl.TIMEOUT_MS, max(_MIN_TIMEOUT_MS, int(request.timeout_ms))
    )
    handle.setopt(pycurl.HEADERFUNCTION, transfer.on_header)
    handle.setopt(pycurl.WRITEFUNCTION, transfer.on_body)
    handle.setopt(pycurl.PREREQFUNCTION, transfer.on_before_send)


def _result(
    transfer: _Transfer, handle: pycurl.Curl, code: int
) -> targetanswer.TargetAnswer | errors.Refusal:
    if code == pycurl.E_OK:
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        if status < _FIRST_FINAL_STATUS:
            return errors.unknown(
                errors.Reason.TARGET_FAILED, f'target ended at {status}'
            )
        headers = _parse_headers(transfer.header_lines)
        if len(headers) > 2 * _MAX_RESPONSE_HEADERS:
            return errors.unknown(
                errors.Reason.TOO_LARGE, f'{len(headers) // 2} headers'
            )
        return targetanswer.TargetAnswer(
            status, headers, b''.join(transfer.body)
        )
    if transfer.sends == 0:
        return errors.not_run(
            errors.Reason.UNREACHABLE, f'target not reached: curl {code}'
        )
    if transfer.too_large:
        return errors.unknown(
            errors.Reason.TOO_LARGE, 'answer of the target is too large'
        )
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return errors.unknown(errors.Reason.DEADLINE, 'target took too long')
    return errors.unknown(
        errors.Reason.TARGET_FAILED, f'answer cut off: curl {code}'
    )


def _parse_headers(lines: list[bytes]) -> list[str]:
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(b':')
        if colon:
            headers.append(name.decode('latin-1').strip())
            headers.append(value.decode('latin-1').strip())
    return headers


def target_client(max_body_bytes: int) -> TargetClient:
    """Create a client on the running event loop."""
    return TargetClient(asyncio.get_running_loop(), max_body_bytes)
