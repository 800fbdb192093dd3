"""System tests: a fleet of real processes, with load and injected faults.

Each process records a history of events, which the invariant checkers
examine after the run. Delays in the scripts only pace the load and the
faults; no assertion depends on them.
"""

import asyncio
import itertools
import json
import random
import signal

from tornado import curl_httpclient
from tornado import httpclient

from parsleystile import checks
from parsleystile import clock
from parsleystile import errors
from parsleystile import events
from parsleystile import fleetconfig
from parsleystile import history
from stubs import processes
from stubs import requestrecorder

HOST = '127.0.0.1'
KEYS = {'org1': 'key-of-org1-0001', 'org2': 'key-of-org2-0002'}
OPERATOR_KEY = 'key-of-the-operator-0001'
SERVICES = ('reserve', 'stock')
# Kinds of faults in the recorded history.
PAUSE = 'pause'
KILL = 'kill'
PLATFORM = 'platform'


def config(secret, **changes):
    """Return the initial configuration, in which reserve calls stock."""
    limits = fleetconfig.Organisation(rate_per_s=500.0, burst=500)

    def route(prefix, service, **fields):
        return fleetconfig.Route(
            path_prefix=prefix, service=service, timeout_ms=3000, **fields
        )

    fields = {
        'version': 1,
        'organisations': dict.fromkeys(KEYS, limits),
        'routes': {
            'look': route('/look', 'reserve', is_idempotent=True),
            'book': route(
                '/book',
                'reserve',
                importance=fleetconfig.ImportanceName.CRITICAL,
            ),
            'open': route(
                '/open', 'reserve', is_idempotent=True, is_open=True
            ),
            'stock': route('/stock', 'stock', is_idempotent=True),
        },
        'keys': {
            f'k{number}': fleetconfig.Key(
                organisation=name, digest=processes.key_digest(secret, key)
            )
            for number, (name, key) in enumerate(KEYS.items(), start=1)
        },
        'next_key': len(KEYS) + 1,
        'operators': {
            'op': fleetconfig.Operator(
                digest=processes.key_digest(secret, OPERATOR_KEY)
            )
        },
    }
    return fleetconfig.FleetConfig(**(fields | changes))


def specs(domains=2, work_ms=5, options=()):
    """Return the specifications of one node per service and domain."""
    node_specs = []
    for domain in range(domains):
        for service in SERVICES:
            child = ['--child=/stock'] if service == 'reserve' else []
            node_specs.append(
                processes.NodeSpec(
                    name=f'{service}{domain}',
                    service=service,
                    failure_domain=f'd{domain}',
                    target_options=(
                        f'--work-ms={work_ms}',
                        *child,
                        *options,
                    ),
                )
            )
    return node_specs


class SystemTest:
    """A small fleet with simulated callers, an operator and faults."""

    def __init__(self, fleet, seed, document):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self._request_numbers = itertools.count(1)
        self._change_numbers = itertools.count(1)
        self._recorder = history.file_recorder(
            'trial',
            clock.system_clock(),
            fleet.directory / 'trial.history',
            buffer_entries=1,
        )
        self._http = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=400
        )
        self.paths = ['/look', '/book', '/open']
        self.organisations = list(KEYS)
        self._config = document
        for organisation, limits in document.organisations.items():
            self.record(
                events.LimitsSet(
                    organisation=organisation,
                    rate_per_s=limits.rate_per_s,
                    burst=limits.burst,
                )
            )

    @property
    def nodes(self):
        return self.fleet.nodes

    def record(self, event):
        self._recorder.record(event)

    def history(self):
        return history.read(self.fleet.history_paths)

    def close(self):
        self._recorder.close()
        self._http.close()

    # Callers.

    async def call(self, via, organisation, path, idempotency_key=''):
        """Send one request; record it and its answer as the caller sees it."""
        number = next(self._request_numbers)
        request_id = f'q{number}'
        route = self._config.match_route('POST', path)[1]
        request_ids = requestrecorder.RequestIds(request_id, path, request_id)
        self.record(
            events.RequestSent(
                request_id=request_id,
                call_path=path,
                root_request_id=request_id,
                organisation=organisation,
                key=KEYS[organisation],
                key_id=f'k{list(KEYS).index(organisation) + 1}',
                via=via,
                is_open=route.is_open,
                idempotent=route.is_idempotent,
                idempotency_key=idempotency_key,
                retry_allowance=self._config.preset.retry_allowance,
            )
        )
        headers = {
            'X-Api-Key': KEYS[organisation],
            'X-Parsleystile-Context': 'forged',
            'Authorization': f'Bearer {KEYS[organisation]}',
            requestrecorder.REQUEST_IDS_HEADER: str(request_ids),
        }
        if idempotency_key:
            headers['Idempotency-Key'] = idempotency_key
        port = self.nodes[via].caller_port
        size = self.rng.choice([10, 2000, 60_000])
        fetched = await requestrecorder.fetch(
            self._http,
            httpclient.HTTPRequest(
                f'http://{HOST}:{port}{path}/{number}',
                method='POST',
                body=b'b' * size,
                headers=headers,
                request_timeout=10,
            ),
        )
        event = requestrecorder.answered_event(request_id, fetched)
        self.record(event)
        return event

    async def load(self, seconds, per_s, entry_nodes=None):
        """Send requests to random nodes at a mean rate (Poisson arrivals)."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        calls = []
        while loop.time() < end_s:
            via = self.rng.choice(entry_nodes or list(self.nodes))
            organisation = self.rng.choice(self.organisations)
            path = self.rng.choice(self.paths)
            calls.append(loop.create_task(self.call(via, organisation, path)))
            await asyncio.sleep(self.rng.expovariate(per_s))
        await asyncio.gather(*calls)

    # Operators.

    async def submit_change(self, change, via=None, change_id=None):
        """Submit a change; record it if it was accepted."""
        number = next(self._change_numbers)
        change_id = change_id or f'change-{number}'
        via = via or next(iter(self.nodes))
        body = json.dumps(
            {'change_id': change_id, 'operator': 'op', 'change': change}
        )
        fetched = await requestrecorder.fetch(
            self._http,
            httpclient.HTTPRequest(
                f'http://{HOST}:{self.nodes[via].operator_port}/v1/changes',
                method='POST',
                body=body,
                headers={'X-Operator-Key': OPERATOR_KEY},
                request_timeout=20,
            ),
        )
        answer = fetched.response
        if answer.code != 200:
            return {'outcome': 'unknown', 'reason': str(answer.error)}
        result = json.loads(answer.body)
        if result['outcome'] == 'accepted':
            self._record_accepted(change, change_id, result['version'])
        return result

    def _record_accepted(self, change, change_id, version):
        match change:
            case {'kind': 'switch-preset', 'name': name}:
                accepted = events.ConfigAccepted(
                    version=version, change_id=change_id, preset=name
                )
                self.record(accepted)
            case {'kind': 'withdraw-key', 'key_id': key_id}:
                self.record(events.KeyWithdrawn(key_id=key_id))
            case {'kind': 'take-domain-out', 'domain': domain}:
                self.record(events.DomainOut(failure_domain=domain))
            case {'kind': 'bring-domain-back', 'domain': domain}:
                self.record(events.DomainIn(failure_domain=domain))

    # Faults.

    def set_platform_faults(self, **faults):
        """Set the faults of the table stub; without any, remove them."""
        self.record(
            events.FaultStarted(kind=PLATFORM)
            if faults
            else events.FaultEnded(kind=PLATFORM)
        )
        self.fleet.set_table_faults(faults)

    def pause(self, name):
        self.record(events.FaultStarted(kind=PAUSE, subjects=(name,)))
        self.nodes[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.nodes[name].process.send_signal(signal.SIGCONT)
        self.record(events.FaultEnded(kind=PAUSE, subjects=(name,)))

    def kill(self, name):
        """Kill a node and its target, as when a VM fails."""
        self.record(events.FaultStarted(kind=KILL, subjects=(name,)))
        node = self.nodes[name]
        for process in (node.process, node.target):
            process.kill()
            process.wait()
        self.record(events.NodeStopped(subject=name, exit_code=-9))

    async def replace(self, name):
        """Restart a killed or stopped node and its target."""
        await asyncio.to_thread(self.fleet.restart_node, name)
        await asyncio.to_thread(self.fleet.start_target, self.nodes[name])
        self.record(events.FaultEnded(kind=KILL, subjects=(name,)))

    async def stop(self, name):
        """Stop a node gracefully, then its target."""
        node = self.nodes[name]
        self.record(events.StopPlanned(subject=name))
        code = await asyncio.to_thread(processes.terminate, node.process)
        self.record(events.NodeStopped(subject=name, exit_code=code))
        await asyncio.to_thread(processes.terminate, node.target)

    async def turn_cold(self, name):
        """Make a target cold without notifying its node."""
        port = self.nodes[name].target_http_port
        work_ms = next(
            float(option.removeprefix('--work-ms='))
            for option in self.nodes[name].spec.target_options
            if option.startswith('--work-ms=')
        )
        await requestrecorder.fetch(
            self._http,
            httpclient.HTTPRequest(
                f'http://{HOST}:{port}/control',
                method='POST',
                body=json.dumps({'work_ms': work_ms, 'turns_cold': True}),
            ),
        )

    async def stop_target(self, name):
        """Stop a target gracefully while its node keeps running."""
        await asyncio.to_thread(processes.terminate, self.nodes[name].target)


def run(script, seed=1, node_specs=None, **changes):
    """Run ``script(system)`` against a fleet; return the history.

    Args:
        script: Coroutine function that takes the ``SystemTest``.
        seed: Seed of the random requests.
        node_specs: Nodes to start; those of ``specs()`` by default.
        changes: Fields to replace in the initial configuration.
    """

    async def main(fleet, document):
        system = SystemTest(fleet, seed, document)
        try:
            await _wait_until_serving(system)
            await script(system)
        finally:
            system.close()

    with processes.Fleet(records=True) as fleet:
        document = config(fleet.secret, **changes)
        fleet.start_table()
        fleet.write_config(document)
        for spec in node_specs or specs():
            fleet.start_node(spec)
        asyncio.run(main(fleet, document))
        return history.read(fleet.history_paths)


async def _wait_until_serving(system):
    """Wait until every node answers a request."""
    for _ in range(200):
        answers = await asyncio.gather(
            *(system.call(name, 'org1', '/look') for name in system.nodes)
        )
        if all(a.outcome is errors.Outcome.ANSWERED for a in answers):
            return
        await asyncio.sleep(0.1)
    logs = '\n'.join(system.fleet.log_text(n)[-2000:] for n in system.nodes)
    raise processes.FleetError(f'no answer from each node\n{logs}')


def assert_invariants_hold(
    recorded_history, bounds=checks.invariants.DEFAULT_BOUNDS
):
    """Assert that no invariant is violated in a history."""
    violations = checks.check(recorded_history, bounds)
    assert not violations, '\n'.join(
        str(violation) for violation in violations
    )
