"""The latency baseline: a plain relay of tornado's server and curl client.

Run as ``python -m bench.relay --port N --to /s1=HOST:PORT ...``. Two relays
in series form the plain two-hop path.
"""

import argparse
import asyncio
import sys

from tornado import curl_httpclient
from tornado import httpclient
from tornado import httputil
from tornado import web

_NOT_FORWARDED = frozenset({'connection', 'content-length', 'host', 'date'})


class _Relay(web.RequestHandler):
    def initialize(
        self,
        routes: dict[str, str],
        client: curl_httpclient.CurlAsyncHTTPClient,
    ) -> None:
        self._routes = routes
        self._client = client

    async def get(self) -> None:
        prefix = '/' + self.request.path.split('/')[1]
        to = self._routes.get(prefix) or self._routes['/']
        answer = await self._client.fetch(
            httpclient.HTTPRequest(
                f'http://{to}{self.request.uri}',
                headers=_forwarded(self.request.headers),
                request_timeout=60,
            ),
            raise_error=False,
        )
        self.set_status(answer.code)
        for name, value in _forwarded(answer.headers).get_all():
            self.set_header(name, value)
        self.write(answer.body)


def _forwarded(headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
    forwarded = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in _NOT_FORWARDED:
            forwarded.add(name, value)
    return forwarded


async def _main(options: argparse.Namespace) -> None:
    routes = dict(pair.split('=', 1) for pair in options.to)
    client = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=1000
    )
    app = web.Application(
        [('/.*', _Relay, {'routes': routes, 'client': client})],
        log_function=lambda handler: None,
    )
    app.listen(options.port, '127.0.0.1')
    await asyncio.Event().wait()


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--to', action='append', required=True)
    asyncio.run(_main(parser.parse_args(sys.argv[1:])))
