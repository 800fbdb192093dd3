"""HTTP client for the local target, based on libcurl.

Handles are reused, and the socket and timer callbacks of libcurl are connected
directly to the event loop: tornado's wrapper adds most of a millisecond to
each call.
"""

import abc
import asyncio
import collections
import dataclasses
import os
import stat

import pycurl

from parsleystile import answermemory
from parsleystile import errors
from parsleystile import targetanswer
from parsleystile import transport

_MAX_IDLE_HANDLES = 256
_MAX_CONNECTIONS = 256
_MAX_RESPONSE_HEADERS = 256
_CONNECT_TIMEOUT_MS = 500
_MS_PER_S = 1000.0
# libcurl takes a timeout of 0 to mean no timeout.
_MIN_TIMEOUT_MS = 1
# Headers that libcurl adds by default. A Content-Type of the caller comes
# first in the list and so has precedence.
_SUPPRESSED_HEADERS = ('Expect:', 'Content-Type:', 'Accept:', 'User-Agent:')
_STATUS_LINE = b'HTTP/'
_LENGTH_HEADER = b'content-length:'
_FIRST_FINAL_STATUS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """One request to the target.

    Attributes:
        headers: Names and values, alternating.
        timeout_ms: Limit on the duration of the whole transfer.
    """

    method: str
    url: str
    headers: list[str]
    body: bytes
    timeout_ms: float


class TargetCaller(abc.ABC):
    """Sends requests to the target; replaced by a fake in simulations."""

    @abc.abstractmethod
    def send(
        self, request: TargetRequest, on_answer: targetanswer.OnTargetAnswer
    ) -> transport.PendingCall:
        """Start a request; ``on_answer`` is called once unless cancelled.

        The refusal has outcome ``NOT_RUN`` only if no byte of the request
        was written to the target.
        """


class _Transfer(transport.PendingCall, answermemory.UnfinishedAnswer):
    """One request in progress on one handle."""

    __slots__ = (
        'body',
        'body_bytes',
        'client',
        'handle',
        'failure',
        'header_lines',
        'held_bytes',
        'is_head',
        'on_answer',
        'send_count',
    )

    def __init__(
        self,
        client: 'TargetClient',
        handle: pycurl.Curl,
        on_answer: targetanswer.OnTargetAnswer,
        is_head: bool,
    ) -> None:
        # The no-body option of a handle cannot be undone, so a handle that
        # sent HEAD is not reused.
        self.is_head = is_head
        self.client = client
        self.handle = handle
        self.on_answer: targetanswer.OnTargetAnswer | None = on_answer
        self.header_lines: list[bytes] = []
        self.body = answermemory.AnswerBody()
        self.body_bytes = 0
        self.held_bytes = 0
        # Why the answer was rejected.
        self.failure = ''
        self.send_count = 0

    def on_header(self, line: bytes) -> int:
        if line.startswith(_STATUS_LINE):
            # A new status line: what came before was an interim response.
            self.header_lines.clear()
            self.failure = targetanswer.status_problem(_status(line))
            if self.failure:
                # libcurl would take one below 100 for an interim response.
                return 0
        self.header_lines.append(line)
        return len(line)

    def on_body(self, chunk: bytes) -> int:
        self.body_bytes += len(chunk)
        if self.body_bytes > self.client.max_body_bytes:
            self.failure = self.client.size_problem
        if self.failure:
            return 0
        self.body.append(chunk)
        grown_bytes = self.body_bytes - self.held_bytes
        if grown_bytes > answermemory.HELD_STEP_BYTES:
            self.client.memory.count(self, self.body_bytes)
        return len(chunk)

    @property
    def has_declared_length(self) -> bool:
        lines = self.header_lines
        return any(li.lower().startswith(_LENGTH_HEADER) for li in lines)

    def evict(self, why: str) -> None:
        self.failure = why
        self.release()
        self.client.finish_evicted(self)

    def release(self) -> None:
        """Release the memory of the answer."""
        self.body.clear()
        self.header_lines.clear()
        if self.held_bytes:
            self.client.memory.count(self, 0)

    def on_before_send(self, *_addresses: object) -> int:
        # libcurl resends a request on its own when a reused connection closes
        # before the answer. The target may already have executed it.
        self.send_count += 1
        if self.send_count > 1:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def cancel(self) -> None:
        self.client.cancel(self)


class TargetClient(TargetCaller):
    """Sends requests to one target; each ends in exactly one answer.

    Args:
        max_body_bytes: Longest answer body that is accepted.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_body_bytes: int
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.size_problem = f'the answer exceeds {max_body_bytes} bytes'
        self.memory = answermemory.answer_memory(
            # One answer alone may be larger.
            max(max_body_bytes, answermemory.MAX_HELD_BYTES)
        )
        self._loop = loop
        self._idle_handles: collections.deque[pycurl.Curl] = (
            collections.deque()
        )
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._fd_events: dict[int, int] = {}
        self._wakeup_fds: set[int] = set()
        self._collect_scheduled = False
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MAX_CONNECTIONS)

    def send(
        self, request: TargetRequest, on_answer: targetanswer.OnTargetAnswer
    ) -> transport.PendingCall:
        """See ``TargetCaller.send``."""
        handle = (
            self._idle_handles.pop() if self._idle_handles else _new_handle()
        )
        transfer = _Transfer(self, handle, on_answer, request.method == 'HEAD')
        _set_request(handle, request, transfer)
        self._transfers[handle] = transfer
        self._multi.add_handle(handle)
        # Start at once: the timer that libcurl requests would fire only in
        # the next iteration of the event loop.
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        if transfer.send_count == 0 and not self._collect_scheduled:
            # The transfer may already have failed. Report that later, as the
            # caller does not have the returned object yet.
            self._collect_scheduled = True
            self._loop.call_soon(self._process_completed)
        return transfer

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return len(self._transfers)

    def cancel(self, transfer: _Transfer) -> None:
        """Cancel a request by closing its connection; it gets no answer."""
        transfer.on_answer = None
        transfer.release()
        # The handle may already be in use for another request.
        if self._transfers.get(transfer.handle) is transfer:
            del self._transfers[transfer.handle]
            # Removing an unfinished transfer closes its connection, by which
            # the target sees the cancellation.
            self._multi.remove_handle(transfer.handle)
            transfer.handle.close()

    def finish_evicted(self, transfer: _Transfer) -> None:
        """End a transfer that was given up."""

        # Later, as libcurl does not allow it in its own callbacks.
        def finish() -> None:
            on_answer = transfer.on_answer
            if on_answer is not None:
                self.cancel(transfer)
                on_answer(targetanswer.bad_answer(transfer.failure))

        self._loop.call_soon(finish)

    def close(self) -> None:
        """Close all connections; requests in progress get no answer."""
        for transfer in list(self._transfers.values()):
            self.cancel(transfer)
        if self._timer is not None:
            self._timer.cancel()
        for fd in list(self._fd_events):
            self._unregister_fd(fd)
        self._multi.close()

    def _on_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            return
        deadline_s = self._loop.time() + timeout_ms / _MS_PER_S
        if self._timer is not None:
            # Keep an earlier timer: firing early is harmless, and nearly all
            # transfers end long before their timeout.
            if self._timer.when() <= deadline_s:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(deadline_s, self._on_timeout)

    def _on_timeout(self) -> None:
        self._timer = None
        # libcurl calls the timer callback only when the timeout changes.
        next_ms = self._multi.timeout()
        self._on_fd_ready(pycurl.SOCKET_TIMEOUT, 0)
        if self._timer is None and next_ms > 0:
            self._on_timer(next_ms)

    def _on_socket(
        self, event: int, fd: int, _multi: object, _data: object
    ) -> None:
        if event == pycurl.POLL_REMOVE:
            # libcurl registers its own wake-up descriptor again for each
            # transfer; it stays open as long as the multi handle.
            if fd not in self._wakeup_fds:
                self._unregister_fd(fd)
            return
        if fd not in self._fd_events and not _is_socket(fd):
            self._wakeup_fds.add(fd)
        before = self._fd_events.get(fd, 0)
        self._fd_events[fd] = event
        if event & pycurl.POLL_IN and not before & pycurl.POLL_IN:
            self._loop.add_reader(fd, self._on_fd_ready, fd, pycurl.CSELECT_IN)
        elif before & pycurl.POLL_IN and not event & pycurl.POLL_IN:
            self._loop.remove_reader(fd)
        if event & pycurl.POLL_OUT and not before & pycurl.POLL_OUT:
            self._loop.add_writer(
                fd, self._on_fd_ready, fd, pycurl.CSELECT_OUT
            )
        elif before & pycurl.POLL_OUT and not event & pycurl.POLL_OUT:
            self._loop.remove_writer(fd)

    def _unregister_fd(self, fd: int) -> None:
        event = self._fd_events.pop(fd, 0)
        if event & pycurl.POLL_IN:
            self._loop.remove_reader(fd)
        if event & pycurl.POLL_OUT:
            self._loop.remove_writer(fd)

    def _on_fd_ready(self, fd: int, mask: int) -> None:
        self._multi.socket_action(fd, mask)
        self._process_completed()

    def _process_completed(self) -> None:
        self._collect_scheduled = False
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
        result = _transfer_result(transfer, handle, code)
        # A reused handle keeps its callbacks and with them the transfer.
        transfer.release()
        is_reusable = code == pycurl.E_OK and not transfer.is_head
        if is_reusable and len(self._idle_handles) < _MAX_IDLE_HANDLES:
            self._idle_handles.append(handle)
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
    # Do not use a proxy that is named in the environment.
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
    # Limits the declared length too, which says nothing in an answer to HEAD.
    max_bytes = 0 if transfer.is_head else transfer.client.max_body_bytes
    handle.setopt(pycurl.MAXFILESIZE, max_bytes)
    handle.setopt(pycurl.HEADERFUNCTION, transfer.on_header)
    handle.setopt(pycurl.WRITEFUNCTION, transfer.on_body)
    handle.setopt(pycurl.PREREQFUNCTION, transfer.on_before_send)


def _status(line: bytes) -> int:
    """Return the status of a status line; 0 if there is no number."""
    digits = line.partition(b' ')[2][:3]
    return int(digits) if digits.isdigit() else 0


def _transfer_result(
    transfer: _Transfer, handle: pycurl.Curl, code: int
) -> targetanswer.TargetAnswer | errors.Refusal:
    if transfer.failure:
        return targetanswer.bad_answer(transfer.failure)
    if code == pycurl.E_OK:
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        if status < _FIRST_FINAL_STATUS:
            return targetanswer.bad_answer(f'target ended at {status}')
        headers = targetanswer.parse_headers(transfer.header_lines)
        if len(headers) > 2 * _MAX_RESPONSE_HEADERS:
            return targetanswer.bad_answer(
                f'the answer exceeds {_MAX_RESPONSE_HEADERS} headers'
            )
        return targetanswer.TargetAnswer(status, headers, transfer.body.take())
    if transfer.send_count == 0:
        return errors.not_run(
            errors.Reason.UNREACHABLE, f'target not reached: curl {code}'
        )
    if code == pycurl.E_FILESIZE_EXCEEDED:
        return targetanswer.bad_answer(transfer.client.size_problem)
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return errors.unknown(errors.Reason.DEADLINE, 'target took too long')
    return targetanswer.bad_answer(f'answer cut off: curl {code}')


def target_client(max_body_bytes: int) -> TargetClient:
    """Create a client on the running event loop."""
    return TargetClient(asyncio.get_running_loop(), max_body_bytes)
