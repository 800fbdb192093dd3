"""A stub target that announces itself, answers calls and makes child calls.

Run as ``python -m stubs.target --service catalogue --node-port 7002``. For
each call, every ``--child PATH`` is called in order through the node of the
target. ``POST /control`` changes its behaviour.
"""

import argparse
import asyncio
import json
import pathlib
import secrets
import signal
import sys
import time

import msgspec
from tornado import curl_httpclient
from tornado import httpclient
from tornado import web

from stubs import requestrecorder

_HEARTBEAT_S = 1.0
_CONTEXT_HEADER = 'X-Parsleystile-Context'
_MS_PER_S = 1000.0
_WARM_UP_STEP_S = 0.05
# Capacity over current slots: up to its slots, a target serves concurrent
# calls at full speed. Beyond them, it slows down in proportion, and it is
# expected to fail above this multiple.
_OVERLOAD_FACTOR = 3


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """How the target answers from now on.

    Attributes:
        work_ms: Time that a call takes, without its child calls.
        cold_factor: Multiplies ``work_ms`` while the target is cold.
        cold_calls: Calls until the target is warm.
        error_share: Share of calls that fail with status 500; evenly
            spaced, so every 1/share-th call fails.
        cut_after_read: Close the connection instead of answering.
        turns_cold: Restart the warm-up without notifying the node.
    """

    work_ms: float = 0.0
    cold_factor: float = 1.0
    cold_calls: int = 0
    error_share: float = 0.0
    cut_after_read: bool = False
    turns_cold: bool = False


class Target:
    """State shared by the handlers: behaviour, counts, HTTP client."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.instance = secrets.token_hex(8)
        self.behaviour = Behaviour(work_ms=options.work_ms)
        self.running = 0
        self.peak = 0
        self.executed = 0
        self.cancelled = 0
        self.is_leaving = False
        self.current_slots = options.cold_slots or options.slots
        self.child_base = (
            options.child_base or f'http://127.0.0.1:{options.node_port}'
        )
        self.http = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=1000
        )
        self.recorder = requestrecorder.target_recorder(
            options.name, options.history, options.failure_domain
        )
        self._record = None
        if options.record:
            path = pathlib.Path(options.record)
            self._record = path.open('a', buffering=1)

    def write_record(self, event: str, request) -> None:
        """Append an event of a request to the record file, if any."""
        if self._record is not None:
            line = {
                'event': event,
                'at_s': time.monotonic(),
                'target': self.options.name,
                'path': request.path,
                'headers': list(request.headers.get_all()),
                'body': request.body.decode('latin-1'),
            }
            self._record.write(json.dumps(line) + '\n')

    async def announce(self, port: int) -> None:
        """Announce the target to its node repeatedly until it leaves."""
        announcement = {
            'service': self.options.service,
            'instance': self.instance,
            'port': port,
            'slots': self.options.slots,
        }
        options = self.options
        self.recorder.record_announcement(options.service, options.slots)
        while not self.is_leaving:
            await self._post('announce', json.dumps(announcement))
            await asyncio.sleep(_HEARTBEAT_S)

    async def warm_up(self) -> None:
        """Raise the slots from cold to warm; record each change."""
        options = self.options
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        self.recorder.record_capacity(
            _OVERLOAD_FACTOR * self.current_slots, is_declared=True
        )
        while options.cold_slots:
            if self.behaviour.turns_cold:
                self.behaviour.turns_cold = False
                start_s = loop.time()
            ratio = min(1.0, (loop.time() - start_s) / options.warm_up_s)
            slots = options.cold_slots + int(
                ratio * (options.slots - options.cold_slots)
            )
            if slots != self.current_slots:
                self.current_slots = slots
                self.recorder.record_capacity(
                    _OVERLOAD_FACTOR * slots, is_declared=False
                )
            await asyncio.sleep(_WARM_UP_STEP_S)

    async def leave(self, grace_s: float) -> None:
        """Deregister, then wait up to ``grace_s`` until no call runs."""
        self.is_leaving = True
        self.recorder.record_leaving()
        await self._post('leave', '')
        for _ in range(int(grace_s * 100)):
            if not self.running:
                return
            await asyncio.sleep(0.01)

    async def _post(self, action: str, body: str) -> None:
        url = (
            f'http://127.0.0.1:{self.options.node_port}/.parsleystile/{action}'
        )
        await self.http.fetch(url, method='POST', body=body, raise_error=False)

    async def call_child(self, path: str, headers) -> int:
        """Call another service through the node; return the HTTP status."""
        forwarded = {_CONTEXT_HEADER: headers.get(_CONTEXT_HEADER, '')}
        request_ids = requestrecorder.parse_ids(
            headers.get(requestrecorder.REQUEST_IDS_HEADER, '')
        )
        if request_ids is not None:
            request_ids = self.recorder.record_child_call(request_ids, path)
            forwarded[requestrecorder.REQUEST_IDS_HEADER] = str(request_ids)
        fetched = await requestrecorder.fetch(
            self.http,
            httpclient.HTTPRequest(
                f'{self.child_base}{path}',
                headers=forwarded,
                request_timeout=60,
            ),
        )
        if request_ids is not None:
            self.recorder.record_child_answer(request_ids.request_id, fetched)
        return fetched.response.code


class _CallHandler(web.RequestHandler):
    def initialize(self, target: Target) -> None:
        self.target = target
        self.task: asyncio.Task | None = None

    def on_connection_close(self) -> None:
        if self.task is not None:
            self.target.cancelled += 1
            self.target.write_record('cancelled', self.request)
            self.target.recorder.record_end(self.request, b'')
            self.task.cancel()

    async def _serve(self) -> None:
        target = self.target
        target.running += 1
        target.executed += 1
        target.peak = max(target.peak, target.running)
        target.write_record('executed', self.request)
        target.recorder.record_execution(self.request)
        self.task = asyncio.current_task()
        try:
            await self._answer()
        except asyncio.CancelledError:
            if not self._finished:
                self._finished = True
        finally:
            target.running -= 1

    async def _answer(self) -> None:
        target = self.target
        behaviour = target.behaviour
        work_ms = behaviour.work_ms
        if behaviour.cold_calls > 0:
            behaviour.cold_calls -= 1
            work_ms *= behaviour.cold_factor
        if target.options.cold_slots:
            work_ms *= max(1.0, target.running / target.current_slots)
        if work_ms:
            await asyncio.sleep(work_ms / _MS_PER_S)
        if behaviour.cut_after_read:
            target.recorder.record_end(self.request, b'')
            self.request.connection.stream.close()
            return
        for path in target.options.child:
            status = await target.call_child(path, self.request.headers)
            if status >= 400:
                self.set_status(502)
                self._end(f'child {path} answered {status}'.encode())
                return
        ratio = behaviour.error_share
        if ratio and target.executed % max(1, round(1 / ratio)) == 0:
            self.set_status(500)
        self.set_header('X-Target', target.options.name)
        body = self.request.body or b'x' * target.options.answer_bytes
        self._end(target.recorder.unique_body(self.request, body))

    def _end(self, body: bytes) -> None:
        # Recorded before the write, so that a kill in between cannot leave
        # an answer that has no record.
        self.target.recorder.record_end(self.request, body)
        self.write(body)

    get = post = put = delete = patch = _serve


class _ControlHandler(web.RequestHandler):
    def initialize(self, target: Target) -> None:
        self.target = target

    def get(self) -> None:
        target = self.target
        self.write(
            {
                'running': target.running,
                'peak': target.peak,
                'executed': target.executed,
                'cancelled': target.cancelled,
            }
        )

    def post(self) -> None:
        self.target.behaviour = msgspec.json.decode(
            self.request.body, type=Behaviour
        )


def _options(argv: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--service', required=True)
    parser.add_argument('--node-port', type=int, default=0)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', default='target')
    parser.add_argument('--slots', type=int, default=50)
    parser.add_argument('--cold-slots', type=int, default=0)
    parser.add_argument('--warm-up-s', type=float, default=3.0)
    parser.add_argument('--work-ms', type=float, default=0.0)
    parser.add_argument('--answer-bytes', type=int, default=200)
    parser.add_argument('--child', action='append', default=[])
    parser.add_argument('--child-base', default='')
    parser.add_argument('--record', default='')
    parser.add_argument('--history', default='')
    parser.add_argument('--failure-domain', default='')
    parser.add_argument('--grace-s', type=float, default=10.0)
    return parser.parse_args(argv)


async def _main(options: argparse.Namespace) -> None:
    target = Target(options)
    app = web.Application(
        [
            ('/control', _ControlHandler, {'target': target}),
            ('/.*', _CallHandler, {'target': target}),
        ],
        log_function=lambda handler: None,
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    server = app.listen(options.port, '127.0.0.1')
    sockets = list(server._sockets.values())
    port = sockets[0].getsockname()[1]
    print(json.dumps({'port': port}), flush=True)
    if options.node_port:
        heartbeat = loop.create_task(target.announce(port))
        warm_up = loop.create_task(target.warm_up())
        await stopping.wait()
        heartbeat.cancel()
        warm_up.cancel()
        await target.leave(options.grace_s)
    else:
        await stopping.wait()
    server.stop()


if __name__ == '__main__':
    asyncio.run(_main(_options(sys.argv[1:])))
