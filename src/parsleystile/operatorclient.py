"""HTTP client of the operator API of nodes."""

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
MAX_PARALLEL_REQUESTS = 32
CONNECT_TIMEOUT_MS = 1000

# Errors of libcurl after which no byte of the request was sent.
_NOT_SENT_CODES = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)


class OperatorError(errors.ParsleystileError):
    """Base of errors of requests to the fleet."""


class UnreachableError(OperatorError):
    """No node could be reached; the request was not sent."""


class NoAnswerError(OperatorError):
    """The request was sent but no answer was received."""


class RejectedError(OperatorError):
    """A node rejected the request.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


class ChangeOutcome(enum.Enum):
    """Outcome of a change."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class ChangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A change as submitted to a node."""

    change_id: str
    operator: str
    change: changes.Change
    based_on: int | None


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a node to a change.

    Attributes:
        version: Version of the document with the change; 0 if none.
        path: Path in the document of the invalid value.
        key_id: Id of the key that the change issued.
    """

    outcome: ChangeOutcome
    version: ids.ConfigVersion = ids.ConfigVersion(0)
    reason: str = ''
    path: str = ''
    key_id: str = ''


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a version in one failure domain.

    Attributes:
        in_force: Number of nodes at which the version is in force.
        waiting: Nodes that have not confirmed the version.
    """

    in_force: int
    total: int
    waiting: list[str] = []


class ConfigAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration document in force at a node."""

    version: ids.ConfigVersion
    document: fleetconfig.FleetConfig


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change; ``change`` holds its kind and its fields."""

    version: ids.ConfigVersion
    change_id: str
    operator: str
    at_wall_ms: int
    change: dict[str, typing.Any]


class History(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted changes, oldest first.

    Attributes:
        is_complete: Whether the records were read from the table. If not,
            they are those that the node holds in memory.
    """

    records: list[Record]
    is_complete: bool = True


class Problem(msgspec.Struct, frozen=True):
    """A problem document; nodes may omit any field."""

    detail: str = ''
    title: str = ''
    reason: str = ''
    path: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSettings:
    """Nodes to ask and the operator's credentials.

    Attributes:
        nodes: Operator listeners, in the order in which they are tried.
        operator: Name that the fleet records with each change.
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
    text = problem.detail or problem.reason or problem.title
    text = text or f'status {status}'
    return f'{problem.path}: {text}' if problem.path else text


InForceByDomain = dict[str, InForce]


class OperatorClient:
    """Sends requests to nodes, trying each in turn until one answers."""

    def __init__(
        self, settings: ClientSettings, http: httpclient.AsyncHTTPClient
    ) -> None:
        self._settings = settings
        self._http = http

    @property
    def nodes(self) -> tuple[transport.Address, ...]:
        """Nodes to which this client sends requests."""
        return self._settings.nodes

    def replace_key(self, key: str) -> None:
        """Use a new key, after that of the operator was replaced."""
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
            response = await self._http.fetch(request)
        except curl_httpclient.CurlError as exc:
            if exc.errno in _NOT_SENT_CODES:
                return expression.Error(
                    UnreachableError(f'node {node} cannot be reached')
                )
            return expression.Error(
                NoAnswerError(f'node {node} did not answer: {exc}')
            )
        except httpclient.HTTPClientError as exc:
            return expression.Error(self._rejected(node, exc))
        return expression.Ok(response.body)

    @staticmethod
    def _rejected(
        node: transport.Address, exc: httpclient.HTTPClientError
    ) -> OperatorError:
        body = exc.response.body if exc.response else b''
        text = _problem_text(body or b'', exc.code)
        if exc.code == 401:
            text = f'{text}; check the operator key'
        return RejectedError(exc.code, f'node {node}: {text}')

    async def get(self, path: str) -> BodyResult:
        """Read a resource from the first node that answers."""
        result: BodyResult = expression.Error(
            UnreachableError('no node given')
        )
        for node in self._settings.nodes:
            result = await self._send(node, path, None)
            if result.is_ok() or isinstance(result.error, RejectedError):
                return result
        return result

    async def get_from(self, node: transport.Address, path: str) -> BodyResult:
        """Read a resource from one node."""
        return await self._send(node, path, None)

    async def get_from_all(
        self, path: str
    ) -> list[tuple[transport.Address, BodyResult]]:
        """Read a resource from every node, with bounded parallelism."""
        semaphore = asyncio.Semaphore(MAX_PARALLEL_REQUESTS)

        async def fetch_one(node: transport.Address) -> BodyResult:
            async with semaphore:
                return await self._send(node, path, None)

        results = await asyncio.gather(*map(fetch_one, self.nodes))
        return list(zip(self.nodes, results, strict=True))

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
        """Read the progress of a version, by failure domain."""
        path = f'/v1/changes/{version}/in-force'
        return decode_body(await self.get(path), dict[str, InForce])

    async def submit(
        self,
        change: changes.Change,
        change_id: str,
        based_on: int | None = None,
    ) -> expression.Result[ChangeAnswer, OperatorError]:
        """Submit a change; try another node only if no request was sent.

        Args:
            change: What to change.
            change_id: Unique to this change; the fleet applies it once.
            based_on: Version from which the change was made; a later
                change of the same path makes this one a conflict.
        """
        request = ChangeRequest(
            change_id=change_id,
            operator=self._settings.operator,
            change=change,
            based_on=based_on,
        )
        body = msgspec.json.encode(request)
        result: BodyResult = expression.Error(
            UnreachableError('no node given')
        )
        for node in self._settings.nodes:
            result = await self._send(node, '/v1/changes', body)
            if result.is_ok() or not isinstance(
                result.error, UnreachableError
            ):
                break
        return decode_body(result, ChangeAnswer)

    async def drain(
        self, node: transport.Address
    ) -> expression.Result[bytes, OperatorError]:
        """Tell one node to drain."""
        return await self._send(node, '/v1/drain', b'{}')


def decode_body(
    result: BodyResult, kind: type[T]
) -> expression.Result[T, OperatorError]:
    """Decode the body of an answer as JSON of a type."""
    if result.is_error():
        return expression.Error(result.error)
    try:
        return expression.Ok(msgspec.json.decode(result.ok, type=kind))
    except msgspec.DecodeError as exc:
        return expression.Error(RejectedError(200, f'invalid answer: {exc}'))


def operator_client(settings: ClientSettings) -> OperatorClient:
    """Create a client on the running event loop."""
    http = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=MAX_PARALLEL_REQUESTS
    )
    return OperatorClient(settings, http)


async def fetch_snapshots(
    client: OperatorClient,
) -> tuple[list[burn.Snapshot], list[OperatorError]]:
    """Fetch the burn counters of all nodes, and the errors of the others."""
    answers, failures = [], []
    for _, result in await client.get_from_all('/v1/burn'):
        snapshot = decode_body(result, burn.Snapshot)
        if snapshot.is_ok():
            answers.append(snapshot.ok)
        else:
            failures.append(snapshot.error)
    return answers, failures


async def fetch_explanations(
    client: OperatorClient, root_id: str
) -> tuple[list[explain.Explanation], list[OperatorError]]:
    """Fetch the recorded steps of a call from all nodes, and the errors."""
    answers, failures = [], []
    for _, result in await client.get_from_all(f'/v1/explain/{root_id}'):
        explanation = decode_body(result, explain.Explanation)
        if explanation.is_ok():
            answers.append(explanation.ok)
        else:
            failures.append(explanation.error)
    return answers, failures
