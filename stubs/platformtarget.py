"""A stub of a users' back end that follows its published protocol."""

import asyncio
import typing

from parsleystile import clock as clocks
from parsleystile.relay import httpserver
from parsleystile.relay import policy as policies

_ATTEMPT_ID_HEADER = 'Parsleystile-Attempt-Id'
# A target takes whatever the operators allow.
_MAX_HEADER_BYTES = 65_536
_MAX_BODY_BYTES = 64 * 1_048_576
_EXPECTED_INSTANCE_HEADER = 'Parsleystile-Expected-Instance'


class PlatformTarget:
    """A back end that answers with a signature header.

    Attributes:
        target_id: Id of the target; other requests get status 421.
        executed_headers: Headers of each executed request; names are in
            lower case.
        arrived_ms: Time of each request, also of those that did not run.
        work_ms: Duration of a request.
        notices: Further headers of each answer, names and values in turn.
        custom_answer: Answers the requests instead if set.
    """

    def __init__(self, target_id: str) -> None:
        self.target_id = target_id
        self.executed_headers: list[dict[str, str]] = []
        self.arrived_ms: list[float] = []
        self.work_ms = 0.0
        self.notices: list[str] = []
        self.custom_answer: (
            typing.Callable[[httpserver.Request], None] | None
        ) = None
        self.address: tuple[str, int] = ('', 0)
        self._clock = clocks.system_clock()
        self._server = httpserver.http_server(
            self._clock, frozenset(), self._handle
        )
        self._server.limits = policies.CallerLimits(
            _MAX_HEADER_BYTES, _MAX_BODY_BYTES
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
        """Number of open connections."""
        return len(self._server.connections)

    def _handle(self, request: httpserver.Request) -> None:
        self.arrived_ms.append(self._clock.now_ms())
        names = [name.lower() for name in request.headers[::2]]
        headers = dict(zip(names, request.headers[1::2], strict=True))
        if headers.get(_EXPECTED_INSTANCE_HEADER.lower()) != self.target_id:
            request.answer(421, self.notices, b'')
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
                *self.notices,
            ],
            b'done' + request.body,
        )


def platform_target(target_id: str) -> PlatformTarget:
    """Create a back end that is not listening yet."""
    return PlatformTarget(target_id)
