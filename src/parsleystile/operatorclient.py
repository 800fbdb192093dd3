"""Client of a node's listener for operators, over HTTP."""

import asyncio
import dataclasses
import enum
import typing

import expression
import msgspec
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from parsleystile import burn
from parsleystile import changes
from parsleystile import errors
from parsleystile import explain
from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import transport

KEY_HEADER = 'X-Operator-Key'
JSON_TYPE = 'application/json'
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_PARALLEL = 32
CONNECT_TIMEOUT_MS = 1000

# Codes of curl with which no byte of a request left.
_NOTHING_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)


class OperatorError(errors.ParsleystileError):
    """Base of failures to get an answer from the fleet."""


class UnreachableError(OperatorError):
    """No node was reached; the request was not sent."""


class NoAnswerError(OperatorError):
    """The request was sent and its answer did not come."""


class RejectedError(OperatorError):
    """A node answered that it won't do this.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


class ChangeOutcome(enum.Enum):
    """What became of a change."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class ChangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A change as it is sent."""

    change_id: str
    operator: str
    change: changes.Change
    based_on: int | None


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What a node says about a change.

    Attributes:
        version: Version of the document with the change; 0 if none.
        path: What in the document is at fault.
        key_id: Id of the key that the change issued.
    """

    outcome: ChangeOutcome
    version: ids.ConfigVersion = ids.ConfigVersion(0)
    reason: str = ''
    path: str = ''
    key_id: str = ''


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """How far a version has come in one failure domain."""

    in_force: int
    total: int
    waiting: list[str] = []


class ConfigAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The document that a node has in force."""

    version: ids.ConfigVersion
    document: fleetconfig.FleetConfig


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change; ``change`` has its kind and its fields."""

    version: ids.ConfigVersion
    change_id: str
    operator: str
    at_wall_ms: int
    change: dict[str, typing.Any]


class History(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted changes, oldest first.

    Attributes:
        is_complete: The table answered; if not, these are the changes
            that the node remembers.
    """

    records: list[Record]
    is_complete: bool = True


class Problem(msgspec.Struct, frozen=True):
    """An error document; nodes may leave any field out."""

    detail: str = ''
    title: str = ''
    reason: str = ''
    path: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSettings:
    """Whom to ask and as whom.

    Attributes:
        key: The operator's key; never shown or logged.
    """

    nodes: tuple[transport.Address, ...]
    operator: str
    key: str = dataclasses.field(repr=False)
    timeout_ms: int = 5000


BodyResult = expression.Result[bytes, OperatorError]
T = typing.TypeVar('T')


def _url(node: transport.Address, path: str) -> str:
    host = f'[{node.host}]' if ':' in node.host else node.host
    return f'http://{host}:{node.port}{path}'


def _problem_text(body: bytes, status: int) -> str:
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except msgspec.DecodeError:
        return f'status {status}'
    told = problem.detail or problem.reason or problem.title
    told = told or f'status {status}'
    return f'{problem.path}: {told}' if problem.path else told


InForceByDomain = dict[str, InForce]


class OperatorClient:
    """Asks the nodes of a fleet one after another until one answers."""

    def __init__(
        self, settings: ClientSettings, http: httpclient.AsyncHTTPClient
    ) -> None:
        self._settings = settings
        self._http = http

    @property
    def nodes(self) -> tuple[transport.Address, ...]:
        """The nodes that this client asks."""
        return self._settings.nodes

    def use_key(self, key: str) -> None:
        """Show another key from now on: the operator's own was replaced."""
        self._settings = dataclasses.replace(self._settings, key=key)

    async def _send(
        self, node: transport.Address, path: str, body: bytes | None
    ) -> BodyResult:
        """Send one request to one node."""
        request = httpclient.HTTPRequest(
            _url(node, path),
            method='GET' if body is None else 'POST',
            body=body,
            headers={
                KEY_HEADER: self._settings.key,
                'Content-Type': JSON_TYPE,
            },
            connect_timeout=CONNECT_TIMEOUT_MS / 1000,
            request_timeout=self._settings.timeout_ms / 1000,
            follow_redirects=False,
        )
        try:
            answer = await self._http.fetch(request)
        except curl_httpclient.CurlError as exc:
            if exc.errno in _NOTHING_SENT:
                return expression.Error(
                    UnreachableError(f'node {node} cannot be reached')
                )
            return expression.Error(
                NoAnswerError(f'node {node} did not answer: {exc}')
            )
        except httpclient.HTTPClientError as exc:
            return expression.Error(self._rejected(node, exc))
        return expression.Ok(answer.body)

    @staticmethod
    def _rejected(
        node: transport.Address, exc: httpclient.HTTPClientError
    ) -> OperatorError:
        body = exc.response.body if exc.response else b''
        told = _problem_text(body or b'', exc.code)
        if exc.code == 401:
            told = f'{told}; check the operator key'
        return RejectedError(exc.code, f'node {node}: {told}')

    async def get(self, path: str) -> BodyResult:
        """Ask nodes in turn until one answers."""
        got: BodyResult = expression.Error(
            UnreachableError('no node was named')
        )
        for node in self._settings.nodes:
            got = await self._send(node, path, None)
            if got.is_ok() or isinstance(got.error, RejectedError):
                return got
        return got

    async def get_from(self, node: transport.Address, path: str) -> BodyResult:
        """Ask one node only."""
        return await self._send(node, path, None)

    async def get_from_all(
        self, path: str
    ) -> list[tuple[transport.Address, BodyResult]]:
        """Ask every node, a bounded number at a time."""
        gate = asyncio.Semaphore(MAX_PARALLEL)

        async def ask(node: transport.Address) -> BodyResult:
            async with gate:
                return await self._send(node, path, None)

        got = await asyncio.gather(*map(ask, self.nodes))
        return list(zip(self.nodes, got, strict=True))

    async def config(
        self,
    ) -> expression.Result[ConfigAnswer, OperatorError]:
        """Read the document in force at the first node that answers."""
        return decode_body(await self.get('/v1/config'), ConfigAnswer)

    async def history(self) -> expression.Result[History, OperatorError]:
        """Read the accepted changes."""
        return decode_body(await self.get('/v1/config/history'), History)

    async def in_force(
        self, version: int
    ) -> expression.Result[dict[str, InForce], OperatorError]:
        """Ask how far a version has come, by failure domain."""
        path = f'/v1/changes/{version}/in-force'
        return decode_body(await self.get(path), dict[str, InForce])

    async def submit(
        self,
        change: changes.Change,
        change_id: str,
        based_on: int | None = None,
    ) -> expression.Result[ChangeAnswer, OperatorError]:
        """Submit a change; another node is tried only if none was sent.

        Args:
            change: What to change.
            change_id: Unique to this change; the fleet takes it once.
            based_on: Version that the change was made from; a later
                change of the same path makes this one a conflict.
        """
        request = ChangeRequest(
            change_id=change_id,
            operator=self._settings.operator,
            change=change,
            based_on=based_on,
        )
        body = msgspec.json.encode(request)
        got: BodyResult = expression.Error(
            UnreachableError('no node was named')
        )
        for node in self._settings.nodes:
            got = await self._send(node, '/v1/changes', body)
            if got.is_ok() or not isinstance(got.error, UnreachableError):
                break
        return decode_body(got, ChangeAnswer)

    async def drain(
        self, node: transport.Address
    ) -> expression.Result[bytes, OperatorError]:
        """Tell one node to drain."""
        return await self._send(node, '/v1/drain', b'{}')


def decode_body(
    got: BodyResult, kind: type[T]
) -> expression.Result[T, OperatorError]:
    """Read the body of an answer as JSON of a type."""
    if got.is_error():
        return expression.Error(got.error)
    try:
        return expression.Ok(msgspec.json.decode(got.ok, type=kind))
    except msgspec.DecodeError as exc:
        return expression.Error(
            RejectedError(200, f'the answer cannot be read: {exc}')
        )


def operator_client(settings: ClientSettings) -> OperatorClient:
    """Create a client on the running event loop."""
    http = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=MAX_PARALLEL
    )
    return OperatorClient(settings, http)


async def fetch_snapshots(
    client: OperatorClient,
) -> tuple[list[burn.Snapshot], list[OperatorError]]:
    """Fetch the burn counters of every node and what kept some away."""
    found, failed = [], []
    for _, got in await client.get_from_all('/v1/burn'):
        snapshot = decode_body(got, burn.Snapshot)
        if snapshot.is_ok():
            found.append(snapshot.ok)
        else:
            failed.append(snapshot.error)
    return found, failed


async def fetch_explanations(
    client: OperatorClient, root_id: str
) -> tuple[list[explain.Explanation], list[OperatorError]]:
    """Fetch what every node remembers of a call."""
    found, failed = [], []
    for _, got in await client.get_from_all(f'/v1/explain/{root_id}'):
        told = decode_body(got, explain.Explanation)
        if told.is_ok():
            found.append(told.ok)
        else:
            failed.append(told.error)
    return found, failed
