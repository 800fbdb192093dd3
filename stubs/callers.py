"""Stand-in callers: send requests at a steady rate and tally the outcomes."""

import asyncio
import collections
import dataclasses
import random

import msgspec
from tornado import curl_httpclient
from tornado import httpclient

_KEY_HEADER = 'X-Api-Key'
_OUTCOME_HEADER = 'X-Parsleystile-Outcome'
_TIMEOUT_S = 10.0
_MAX_CLIENTS = 500


class Problem(msgspec.Struct, frozen=True):
    """What a refusal says."""

    title: str = 'no problem document'


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind.

    Attributes:
        caller: Names the row of the tally.
        key: Of the caller's organisation; empty for none.
        ports: Caller ports of the nodes to send to, by turns.
    """

    caller: str
    method: str
    path: str
    rate_per_s: float
    key: str
    ports: tuple[int, ...]


class Tally:
    """Outcomes by caller."""

    def __init__(self) -> None:
        self.outcomes: dict[str, collections.Counter[str]] = {}

    def note(self, caller: str, outcome: str) -> None:
        """Count one outcome."""
        counts = self.outcomes.setdefault(caller, collections.Counter())
        counts[outcome] += 1

    def total(self, outcome: str) -> int:
        """Return how often an outcome was seen."""
        return sum(counts[outcome] for counts in self.outcomes.values())


class Callers:
    """Sends streams of requests; each request is sent once."""

    def __init__(self, rng: random.Random, tally: Tally) -> None:
        self._rng = rng
        self._tally = tally
        self._serial = 0
        self._http = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )

    async def run(self, streams: list[Stream], duration_s: float) -> None:
        """Send all streams for a time, then wait for the last answers."""
        await asyncio.gather(
            *(self._run_stream(s, duration_s) for s in streams)
        )

    async def _run_stream(self, stream: Stream, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        at_s = loop.time()
        ends_s = at_s + duration_s
        sent: list[asyncio.Task] = []
        while True:
            at_s += self._rng.expovariate(stream.rate_per_s)
            if at_s >= ends_s:
                break
            await asyncio.sleep(max(0.0, at_s - loop.time()))
            sent.append(loop.create_task(self._send(stream)))
        await asyncio.gather(*sent)

    async def _send(self, stream: Stream) -> None:
        self._serial += 1
        mark = f'request-{self._serial}'
        headers = {}
        if stream.key:
            headers[_KEY_HEADER] = stream.key
        body = None
        if stream.method == 'POST':
            headers['Idempotency-Key'] = mark
            body = mark
        port = stream.ports[self._serial % len(stream.ports)]
        request = httpclient.HTTPRequest(
            f'http://127.0.0.1:{port}{stream.path}',
            method=stream.method,
            headers=headers,
            body=body,
            request_timeout=_TIMEOUT_S,
        )
        answer = await self._http.fetch(request, raise_error=False)
        self._tally.note(stream.caller, _outcome(answer, body))


def _outcome(answer: httpclient.HTTPResponse, sent: str | None) -> str:
    """Return what became of a request, as its caller sees it."""
    told = answer.headers.get(_OUTCOME_HEADER, 'no answer')
    if told == 'answered':
        if answer.code >= 400:
            return f'status {answer.code}'
        if sent is not None and answer.body != sent.encode():
            return 'wrong answer'
        return told
    if told == 'no answer':
        return told
    try:
        problem = msgspec.json.decode(answer.body, type=Problem)
    except msgspec.DecodeError:
        problem = Problem()
    return f'{told}: {problem.title}'
