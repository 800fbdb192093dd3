"""Fuzzes the HTTP listener, the link listener and the target client.

Each input is sent over a real loopback socket and must lead to a closed
connection or an answer. The HTTP listener must serve a valid request
afterwards.
"""

import asyncio
import contextlib
import sys

from parsleystile import clock
from parsleystile import deadlines
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import httplistener
from parsleystile import link
from parsleystile import metrics
from parsleystile import settings
from parsleystile import targetclient
from tests import fuzz

HOST = '127.0.0.1'
_TIMEOUT_S = 2.0
HTTP_SAMPLES = (
    b'GET /a HTTP/1.1\r\nHost: a\r\nX-Api-Key: k\r\n\r\n',
    b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody',
    b'POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\r\nbody\r\n0\r\n\r\n',
)
ANSWER_SAMPLES = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody',
    b'HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\r\nbody\r\n0\r\n\r\n',
)


async def _exchange_bytes(port, data, sends_eof=True):
    """Send bytes and read until the peer closes the connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        await writer.drain()
        if sends_eof:
            writer.write_eof()
        return await asyncio.wait_for(reader.read(), _TIMEOUT_S)
    except ConnectionError:
        return b''
    finally:
        writer.close()


class _ExceptionCounter:
    """Counts exceptions that reach the handler of the event loop."""

    def __init__(self, result):
        self.result = result
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_exception)

    def _on_exception(self, _loop, context):
        self.result.crashes += 1
        self.result.first = self.result.first or repr(context)


async def fuzz_caller_listener(data_list):
    """Send inputs to the HTTP listener for callers."""
    result = fuzz.Result('HTTP bytes', 'caller')
    _ExceptionCounter(result)

    def echo(exchange):
        refusal = exchanges.split_headers(exchange)
        answer = exchanges.Answer(200, [], exchange.body)
        exchange.finish(refusal or answer)

    listener = httplistener.http_listener(
        echo,
        clock.system_clock(),
        metrics.memory_metrics(),
        settings.Limits(),
    )
    port = listener.listen(HOST, 0)
    for data in data_list:
        result.inputs += 1
        try:
            await _exchange_bytes(port, data)
        except TimeoutError:
            result.hangs += 1
            result.first = result.first or repr(data)
    valid_request = b'GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    answer = await _exchange_bytes(port, valid_request, sends_eof=False)
    assert answer.startswith(b'HTTP/1.1 200'), answer
    await listener.close()
    return result


async def fuzz_link_listener(data_list):
    """Send inputs to the link listener in place of a handshake."""
    result = fuzz.Result('link bytes', 'anybody')
    _ExceptionCounter(result)
    served = []
    links = link.links(
        link.LinkSettings('n1', b'secret', 65536),
        clock.system_clock(),
        deadlines.DeadlineWheel(),
        metrics.memory_metrics(),
    )
    links.handle_calls(lambda call, on_answer: served.append(call))
    address = await links.listen(HOST, 0)
    for data in data_list:
        result.inputs += 1
        try:
            await _exchange_bytes(address.port, data)
        except TimeoutError:
            result.hangs += 1
            result.first = result.first or repr(data)
    # No call is served without a handshake, which needs the secret.
    assert served == []
    await links.close()
    return result


async def fuzz_target_client(data_list):
    """Answer requests of the target client with the inputs."""
    result = fuzz.Result('target answers', 'target')
    _ExceptionCounter(result)
    pending = iter(data_list)

    async def serve(reader, writer):
        # The client may open a connection and then not use it.
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(next(pending))
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    client = targetclient.target_client(1000)
    for _ in data_list:
        result.inputs += 1
        answered = asyncio.get_running_loop().create_future()
        request = targetclient.TargetRequest(
            'GET', f'http://{HOST}:{port}/', [], b'', 1000.0
        )
        client.send(request, answered.set_result)
        answer = await asyncio.wait_for(answered, 2 * _TIMEOUT_S)
        if isinstance(answer, errors.Refusal):
            # The request was sent, so it may have run.
            assert answer.outcome is errors.Outcome.UNKNOWN, answer
    client.close()
    server.close()
    return result


FUZZERS = (
    (fuzz_caller_listener, HTTP_SAMPLES),
    (fuzz_link_listener, fuzz.parsers()['frames'].samples),
    (fuzz_target_client, ANSWER_SAMPLES),
)


def main(argv):
    """Print a result for each listener."""
    options = fuzz.parse_options(argv)
    failures = 0
    for fuzzer, samples in FUZZERS:
        data_list = fuzz.generate_inputs(samples, options.inputs, options.seed)
        result = asyncio.run(fuzzer(data_list))
        failures += fuzz.print_result(result)
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
