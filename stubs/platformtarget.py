"""A stand-in for a back end of the users, by its published protocol."""

import asyncio
import typing

from parsleystile import clock as clocks
from parsleystile.relay import httpserver

_ATTEMPT_ID_HEADER = 'Parsleystile-Attempt-Id'
_EXPECTED_INSTANCE_HEADER = 'Parsleystile-Expected-Instance'


class PlatformTarget:
    """Answers each request with its signature.

    Attributes:
        target_id: Of this incarnation.
        seen: Headers of each request that ran, names in lower case.
        work_ms: Time that a request takes.
        answer: Replaces the usual answer if set.
    """

    def __init__(self, target_id: str) -> None:
        self.target_id = target_id
        self.executed_headers: list[dict[str, str]] = []
        self.work_ms = 0.0
        self.custom_answer: (
            typing.Callable[[httpserver.Request], None] | None
        ) = None
        self.address: tuple[str, int] = ('', 0)
        self._server = httpserver.http_server(
            clocks.system_clock(), frozenset(), self._handle
        )

    async def start(self, host: str, port: int = 0) -> tuple[str, int]:
        """Listen; return the address."""
        self.address = await self._server.listen(host, port)
        return self.address

    def close(self) -> None:
        """Stop listening and drop every connection."""
        self._server.close()

    @property
    def connections(self) -> int:
        """Connections now open."""
        return len(self._server.connections)

    def _handle(self, request: httpserver.Request) -> None:
        names = [name.lower() for name in request.headers[::2]]
        headers = dict(zip(names, request.headers[1::2], strict=True))
        if headers.get(_EXPECTED_INSTANCE_HEADER.lower()) != self.target_id:
            request.answer(421, [], b'')
            return
        self.executed_headers.append(headers)
        if self.work_ms:
            asyncio.get_running_loop().call_later(
                self.work_ms / 1e3, self._finish, request, headers
            )
        else:
            self._finish(request, headers)

    def _finish(
        self, request: httpserver.Request, headers: dict[str, str]
    ) -> None:
        if self.custom_answer is not None:
            self.custom_answer(request)
            return
        request.answer(
            200,
            [
                _ATTEMPT_ID_HEADER,
                headers.get(_ATTEMPT_ID_HEADER.lower(), ''),
                'Parsleystile-Server-Signature',
                f'signed-by-{self.target_id}',
            ],
            b'done' + request.body,
        )


def platform_target(target_id: str) -> PlatformTarget:
    """Create a back end that listens nowhere yet."""
    return PlatformTarget(target_id)
