import asyncio

import pytest

from parsleystile import errors
from parsleystile import targetanswer
from parsleystile import targetclient
from tests import asyncutil

_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Way: back\r\n\r\nhi'


class _RawTarget:
    """Sends scripted answers and counts requests and connections."""

    def __init__(self, script):
        self._script = script
        self.requests = []
        self.connections = 0
        self.closed_by_client = 0

    async def listen(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections += 1
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                self.closed_by_client += 1
                return
            length = 0
            for line in head.lower().split(b'\r\n'):
                if line.startswith(b'content-length:'):
                    length = int(line.split(b':')[1])
            body = await reader.readexactly(length)
            self.requests.append(head + body)
            answer = self._script(len(self.requests))
            if answer is None:
                writer.close()
                return
            writer.write(answer)


def _request(port, method='GET', body=b'', headers=(), timeout_ms=5000.0):
    return targetclient.TargetRequest(
        method,
        f'http://127.0.0.1:{port}/x',
        list(headers),
        body,
        timeout_ms,
    )


async def _send(client, request):
    box = asyncutil.CallbackResult()
    client.send(request, box.put)
    return await box.get()


def _with_target(script, body):
    async def main():
        target = _RawTarget(script)
        port = await target.listen()
        client = targetclient.target_client(1000)
        try:
            await body(target, client, port)
        finally:
            client.close()

    asyncutil.run(main())


def test_an_answer_is_returned_complete():
    async def body(target, client, port):
        answer = await _send(client, _request(port))
        assert answer == targetanswer.TargetAnswer(
            200, ['Content-Length', '2', 'X-Way', 'back'], b'hi'
        )

    _with_target(lambda n: _OK, body)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_a_request_is_not_resent_when_a_reused_connection_closes(method):
    # By default libcurl resends the second request.
    async def body(target, client, port):
        first = await _send(client, _request(port, method, b'a'))
        assert first.status == 200
        second = await _send(client, _request(port, method, b'b'))
        assert isinstance(second, errors.Refusal)
        assert second.outcome is errors.Outcome.UNKNOWN
        assert len(target.requests) == 2
        third = await _send(client, _request(port, method, b'c'))
        assert third.status == 200

    _with_target(lambda n: None if n == 2 else _OK, body)


def test_a_closed_idle_connection_does_not_repeat_a_request():
    async def body(target, client, port):
        assert (await _send(client, _request(port))).status == 200
        await asyncutil.wait_until(lambda: target.connections == 1)
        await asyncio.sleep(0.05)
        answer = await _send(client, _request(port))
        # Nothing runs twice, whether or not the close was detected in time.
        assert len(target.requests) <= 2
        if isinstance(answer, errors.Refusal):
            assert answer.outcome is errors.Outcome.UNKNOWN

    closing = _OK.replace(b'X-Way: back', b'Connection: close')
    _with_target(lambda n: closing, body)


def test_a_refused_connection_is_not_run():
    async def body(target, client, port):
        await asyncio.sleep(0)
        server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
        unused_port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        refusal = await _send(client, _request(unused_port))
        assert refusal.outcome is errors.Outcome.NOT_RUN
        assert refusal.reason is errors.Reason.UNREACHABLE

    _with_target(lambda n: _OK, body)


@pytest.mark.parametrize(
    ('answer', 'detail'),
    [
        (None, 'curl'),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n' + b'x' * 5000,
            '1000 bytes',
        ),
        (b'nonsense\r\n\r\n', 'curl'),
        (
            b'HTTP/1.1 200 OK\r\n'
            + b''.join(b'A%d: 1\r\n' % i for i in range(300))
            + b'Content-Length: 0\r\n\r\n',
            '256 headers',
        ),
    ],
)
def test_a_bad_answer_is_a_failure_with_unknown_outcome(answer, detail):
    async def body(target, client, port):
        refusal = await _send(client, _request(port))
        assert refusal.outcome is errors.Outcome.UNKNOWN
        assert refusal.reason is errors.Reason.TARGET_FAILED
        assert refusal.status == 502
        assert detail in refusal.detail

    _with_target(lambda n: answer, body)


def test_a_timeout_is_unknown():
    async def body(target, client, port):
        refusal = await _send(client, _request(port, timeout_ms=50))
        assert refusal.outcome is errors.Outcome.UNKNOWN
        assert refusal.reason is errors.Reason.DEADLINE

    _with_target(lambda n: b'', body)


def test_cancel_closes_the_connection_without_a_callback():
    async def body(target, client, port):
        box = asyncutil.CallbackResult()
        pending = client.send(_request(port), box.put)
        await asyncutil.wait_until(lambda: target.requests)
        pending.cancel()
        await asyncutil.wait_until(lambda: target.closed_by_client == 1)
        assert box.count == 0
        assert client.in_flight == 0

    _with_target(lambda n: b'', body)


def test_an_interim_response_is_ignored():
    async def body(target, client, port):
        answer = await _send(client, _request(port))
        assert answer.status == 200
        assert 'Link' not in answer.headers

    interim = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
    _with_target(lambda n: interim + _OK, body)


def test_requests_carry_only_the_given_headers():
    async def body(target, client, port):
        await _send(client, _request(port, 'POST', b'', ['X-A', '']))
        lines = target.requests[0].lower().split(b'\r\n')
        names = {line.split(b':')[0] for line in lines[1:] if line}
        assert names == {b'host', b'content-length', b'x-a'}

    _with_target(lambda n: _OK, body)


def test_the_method_of_a_request_does_not_affect_later_requests():
    async def body(target, client, port):
        for method in ('HEAD', 'POST', 'GET', 'DELETE', 'HEAD', 'GET'):
            await _send(client, _request(port, method, b''))
        seen = [r.split(b' ')[0] for r in target.requests]
        assert seen == [b'HEAD', b'POST', b'GET', b'DELETE', b'HEAD', b'GET']

    head = _OK.split(b'hi')[0]
    _with_target(lambda n: head if n in (1, 5) else _OK, body)


def test_a_late_cancel_does_not_affect_the_next_request():
    async def body(target, client, port):
        box = asyncutil.CallbackResult()
        first = client.send(_request(port), box.put)
        await box.get()
        second = asyncutil.CallbackResult()
        client.send(_request(port), second.put)
        await asyncutil.wait_until(lambda: len(target.requests) == 2)
        first.cancel()
        assert client.in_flight == 1
        third = await _send(client, _request(port))
        assert third.status == 200

    _with_target(lambda n: b'' if n == 2 else _OK, body)
