"""Bad bytes for what listens: callers' HTTP, links, answers of targets.

Each input goes over a real socket of the loopback interface, and must end
in a closed connection or an answer; a valid request must work afterwards.
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
_LIMIT_S = 2.0
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


async def _exchange_bytes(port, data, ends=True):
    """Send bytes, end the stream, and read until the other end closes."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        await writer.drain()
        if ends:
            writer.write_eof()
        return await asyncio.wait_for(reader.read(), _LIMIT_S)
    except ConnectionError:
        return b''
    finally:
        writer.close()


class _Watch:
    """Counts exceptions that nobody caught."""

    def __init__(self, figure):
        self.figure = figure
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_exception)

    def _on_exception(self, _loop, context):
        self.figure.crashes += 1
        self.figure.first = self.figure.first or repr(context)


async def callers(data_list):
    """Feed the callers' listener."""
    figure = fuzz.Figure('HTTP bytes', 'caller')
    _Watch(figure)

    def echo(exchange):
        refusal = exchanges.split_headers(exchange)
        answer = exchanges.Answer(200, [], exchange.body)
        exchange.finish(refusal or answer)

    front = httplistener.http_listener(
        echo,
        clock.system_clock(),
        metrics.memory_metrics(),
        settings.Limits(),
    )
    port = front.listen(HOST, 0)
    for data in data_list:
        figure.inputs += 1
        try:
            await _exchange_bytes(port, data)
        except TimeoutError:
            figure.hangs += 1
            figure.first = figure.first or repr(data)
    last = b'GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    answer = await _exchange_bytes(port, last, ends=False)
    assert answer.startswith(b'HTTP/1.1 200'), answer
    await front.close()
    return figure


async def nodes(data_list):
    """Feed the link listener before the handshake."""
    figure = fuzz.Figure('link bytes', 'anybody')
    _Watch(figure)
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
        figure.inputs += 1
        try:
            await _exchange_bytes(address.port, data)
        except TimeoutError:
            figure.hangs += 1
            figure.first = figure.first or repr(data)
    # Nobody without the secret gets a call through.
    assert served == []
    await links.close()
    return figure


async def targets(data_list):
    """Answer the target client with bad bytes."""
    figure = fuzz.Figure('target answers', 'target')
    _Watch(figure)
    pending = iter(data_list)

    async def serve(reader, writer):
        # The client may open a connection that it then has no use for.
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(next(pending))
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    client = targetclient.target_client(1000)
    for _ in data_list:
        figure.inputs += 1
        answered = asyncio.get_running_loop().create_future()
        request = targetclient.TargetRequest(
            'GET', f'http://{HOST}:{port}/', [], b'', 1000.0
        )
        client.send(request, answered.set_result)
        result = await asyncio.wait_for(answered, 2 * _LIMIT_S)
        if isinstance(result, errors.Refusal):
            # Bytes had left, whatever came back.
            assert result.outcome is errors.Outcome.UNKNOWN, result
    client.close()
    server.close()
    return figure


FEEDS = (
    (callers, HTTP_SAMPLES),
    (nodes, fuzz.parsers()['frames'].samples),
    (targets, ANSWER_SAMPLES),
)


def main(argv):
    """Print a figure for each listener."""
    options = fuzz.options(argv)
    found = 0
    for feed, samples in FEEDS:
        data_list = fuzz.draw(samples, options.inputs, options.seed)
        figure = asyncio.run(feed(data_list))
        found += fuzz.report(figure)
    return 1 if found else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
