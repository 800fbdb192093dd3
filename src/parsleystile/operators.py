"""HTTP API for operators: the state of a node and configuration changes."""

import dataclasses
import typing

import expression
import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from parsleystile import _operator_answers as answers
from parsleystile import changes
from parsleystile import configservice
from parsleystile import configstore
from parsleystile import controlplane
from parsleystile import errors
from parsleystile import health
from parsleystile import ids
from parsleystile import keys
from parsleystile import logevents
from parsleystile import logs
from parsleystile import members
from parsleystile import membership
from parsleystile import metrics as metric
from parsleystile import transport

KEY_HEADER = 'X-Operator-Key'
MAX_BODY_BYTES = 4 * 1024 * 1024
_PROBLEM_TYPE = 'application/problem+json'


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """The parts of a node that the API reads and controls.

    Attributes:
        health: Returns whether the node accepts new calls.
        phase: Returns the phase of the planned stop.
        explain: Returns the recorded steps of a call.
        burn: Returns the counters of the service level objectives.
        drain: Begins a planned stop that keeps the process running.
    """

    plane: controlplane.ControlPlane
    membership: membership.Membership
    key_ring: keys.KeyRing
    metrics: metric.Metrics
    calls_in_flight: typing.Callable[[], int]
    health: typing.Callable[[], health.Health]
    phase: typing.Callable[[], str]
    explain: typing.Callable[[ids.RootId], msgspec.Struct]
    burn: typing.Callable[[], msgspec.Struct]
    drain: typing.Callable[[], None]


class _Handler(web.RequestHandler):
    """Base of all handlers: answers in JSON and checks the operator's key."""

    needs_key = True

    def initialize(self, sources: Sources) -> None:
        self.sources = sources
        self.operator = ids.OperatorName('')

    def prepare(self) -> None:
        self.set_header('Cache-Control', 'no-store')
        if not self.needs_key:
            return
        presented = self.request.headers.get(KEY_HEADER, '')
        operator = self.sources.key_ring.authenticate_operator(presented)
        if operator is None:
            self.sources.metrics.incr('operators.rejected')
            peer = self.request.remote_ip or ''
            logs.log_event(
                logevents.PeerRejected(
                    address=peer, why='the key belongs to no operator'
                )
            )
            self.send_problem(401, 'operator key missing or rejected')
            return
        self.operator = operator

    def send_json(self, document: typing.Any) -> None:
        """Finish the request with a JSON document."""
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(document))

    def send_problem(self, status: int, title: str, detail: str = '') -> None:
        """Finish the request with a problem document."""
        self.set_status(status)
        self.set_header('Content-Type', _PROBLEM_TYPE)
        document = answers.Problem(title=title, status=status, detail=detail)
        self.finish(msgspec.json.encode(document))

    def write_error(self, status_code: int, **kwargs: object) -> None:
        self.send_problem(status_code, self._reason)


class _NotFound(_Handler):
    needs_key = False

    def prepare(self) -> None:
        self.send_problem(404, f'no resource {self.request.path[:200]}')


class _Health(_Handler):
    needs_key = False

    def get(self) -> None:
        current = self.sources.health()
        self.set_status(current.status)
        self.send_json(current)


class _Status(_Handler):
    def get(self) -> None:
        sources = self.sources
        me = sources.membership.local_member
        config = sources.plane.config.state.config
        self.send_json(
            answers.StatusAnswer(
                node_id=me.node_id,
                failure_domain=me.failure_domain,
                phase=sources.phase(),
                calls_in_flight=sources.calls_in_flight(),
                config_version=config.version,
                active_preset=config.active_preset,
                domains_out=config.domains_out,
                members=len(sources.membership.live_members()),
                unreachable_domains=sorted(
                    sources.membership.unreachable_domains()
                ),
                pending_withdrawals=sorted(
                    sources.key_ring.pending_withdrawals
                ),
            )
        )


class _Members(_Handler):
    def get(self) -> None:
        known = self.sources.membership
        unreachable = known.unreachable_domains()
        everyone = sorted(known.live_members(), key=lambda m: m.node_id)
        self.send_json([_member_answer(m, unreachable) for m in everyone])


class _Config(_Handler):
    def get(self) -> None:
        config = self.sources.plane.config.state.config
        self.send_json(
            answers.ConfigAnswer(version=config.version, document=config)
        )


class _History(_Handler):
    async def get(self) -> None:
        service = self.sources.plane.config
        match await service.history():
            case expression.Result(tag='ok', ok=records):
                answer = answers.HistoryAnswer(
                    records=records, is_complete=True
                )
            case _:
                records = list(service.state.records)
                answer = answers.HistoryAnswer(
                    records=records, is_complete=False
                )
        self.send_json(answer)


class _Changes(_Handler):
    async def post(self) -> None:
        match _decode_change_request(self.request.body):
            case expression.Result(tag='ok', ok=request):
                pass
            case expression.Result(error=error):
                self.send_json(_refused_answer(error))
                return
        if request.operator != self.operator:
            error = errors.SettingsError(
                'operator',
                f'{request.operator!r} is not the owner of the key shown',
            )
            self.send_json(_refused_answer(error))
            return
        result = await self.sources.plane.submit(request)
        logs.log_event(
            logevents.ChangeDecided(
                change_id=request.change_id,
                operator=request.operator,
                change=changes.path_of(request.change),
                outcome=result.outcome.value,
                version=result.version,
                why=str(result.error or ''),
            )
        )
        self.send_json(self._change_answer(request.change, result))

    def _change_answer(
        self, change: changes.Change, result: configservice.ChangeResult
    ) -> answers.ChangeAnswer:
        answer = _result_answer(result)
        is_accepted = result.outcome is configservice.ChangeOutcome.ACCEPTED
        if is_accepted and isinstance(change, changes.IssueKey):
            digest = self.sources.key_ring.digest_of(change.digest)
            config = self.sources.plane.config.state.config
            for key_id, key in config.keys.items():
                if key.digest == digest:
                    return msgspec.structs.replace(answer, key_id=key_id)
        return answer


class _InForce(_Handler):
    def get(self, version: str) -> None:
        domains = self.sources.plane.in_force(ids.ConfigVersion(int(version)))
        self.send_json(
            {
                d.domain: answers.InForceAnswer(
                    in_force=d.in_force, total=d.total, waiting=d.waiting
                )
                for d in domains
            }
        )


class _Explain(_Handler):
    def get(self, root_id: str) -> None:
        self.send_json(self.sources.explain(ids.RootId(root_id)))


class _Burn(_Handler):
    def get(self) -> None:
        self.send_json(self.sources.burn())


class _Drain(_Handler):
    def post(self) -> None:
        self.sources.drain()
        self.send_json({'phase': self.sources.phase()})


def _member_answer(
    member: members.Member,
    unreachable: typing.Container[ids.FailureDomainId],
) -> answers.MemberAnswer:
    return answers.MemberAnswer(
        node_id=member.node_id,
        vm=member.vm,
        region=member.region,
        failure_domain=member.failure_domain,
        service=member.service,
        slots=member.slots,
        state=member.state.name.lower(),
        is_reachable=member.failure_domain not in unreachable,
        link=str(member.link),
        incarnation=member.incarnation,
    )


def _decode_change_request(
    body: bytes,
) -> expression.Result[configstore.ChangeRequest, errors.SettingsError]:
    try:
        return expression.Ok(
            msgspec.json.decode(body, type=configstore.ChangeRequest)
        )
    except msgspec.MsgspecError as exc:
        return expression.Error(errors.settings_error(exc, 'request'))


def _refused_answer(error: errors.SettingsError) -> answers.ChangeAnswer:
    outcome = configservice.ChangeOutcome.REFUSED
    return _result_answer(configservice.ChangeResult(outcome, error=error))


def _result_answer(result: configservice.ChangeResult) -> answers.ChangeAnswer:
    match result.error:
        case errors.SettingsError(path=path, problem=problem):
            return answers.ChangeAnswer(
                outcome=result.outcome.value,
                version=result.version,
                reason=problem,
                path=path,
            )
    return answers.ChangeAnswer(
        outcome=result.outcome.value,
        version=result.version,
        reason=str(result.error or ''),
    )


def operator_application(sources: Sources) -> web.Application:
    """Create the HTTP application of the operator API."""
    arguments = {'sources': sources}
    routes = [
        (r'/v1/health', _Health),
        (r'/v1/status', _Status),
        (r'/v1/members', _Members),
        (r'/v1/config', _Config),
        (r'/v1/config/history', _History),
        (r'/v1/changes', _Changes),
        (r'/v1/changes/(\d{1,12})/in-force', _InForce),
        (r'/v1/explain/([A-Za-z0-9._-]{1,64})', _Explain),
        (r'/v1/burn', _Burn),
        (r'/v1/drain', _Drain),
    ]
    return web.Application(
        [(path, handler, arguments) for path, handler in routes],
        default_handler_class=_NotFound,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )


class OperatorListener:
    """The HTTP listener of one node for operators."""

    def __init__(self, sources: Sources) -> None:
        self._server = httpserver.HTTPServer(
            operator_application(sources), max_body_size=MAX_BODY_BYTES
        )

    def listen(self, host: str, port: int) -> transport.Address:
        """Open the listener; return the bound address."""
        [sock] = netutil.bind_sockets(port, host)
        self._server.add_socket(sock)
        bound = sock.getsockname()
        return transport.Address(bound[0], bound[1])

    async def close(self) -> None:
        """Close the listener and its connections."""
        self._server.stop()
        await self._server.close_all_connections()


def operator_listener(sources: Sources) -> OperatorListener:
    """Create a listener that is not yet listening."""
    return OperatorListener(sources)
