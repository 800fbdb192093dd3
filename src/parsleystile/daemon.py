"""The process of a node: sockets, timers and signals."""

import asyncio
import gc
import pathlib
import random
import secrets
import signal
import typing

from parsleystile import burn
from parsleystile import clock as clocks
from parsleystile import controlplane
from parsleystile import drain
from parsleystile import explain
from parsleystile import gossipsocket
from parsleystile import health
from parsleystile import history
from parsleystile import httplistener
from parsleystile import ids
from parsleystile import link
from parsleystile import logevents
from parsleystile import logs
from parsleystile import membership
from parsleystile import metrics as metric
from parsleystile import nettransport
from parsleystile import node as nodes
from parsleystile import observer
from parsleystile import operatorapi
from parsleystile import plannedstop
from parsleystile import settings as node_settings
from parsleystile import statechanges
from parsleystile import tableclient
from parsleystile import targetclient
from parsleystile import targetwatch
from parsleystile import ticker
from parsleystile import transport
from parsleystile import wire

# The local target connects over the loopback interface only.
_LOOPBACK = '127.0.0.1'
_SWEEP_PERIOD_MS = 1000.0
_GC_ALLOCATIONS = 5_000
_GC_GENERATION_1 = 20
_GC_GENERATION_2 = 50


class Daemon:
    """One node with its listeners and timers."""

    def __init__(self, settings: node_settings.NodeSettings) -> None:
        self._settings = settings
        self._clock = clocks.system_clock()
        self._rng = random.Random(secrets.randbits(64))
        self._ticker = ticker.ticker(self._clock)
        self._metrics = _metrics(settings.statsd)
        self._stopped = asyncio.Event()
        self._stop_requested = False
        self._planned_stop: plannedstop.PlannedStop | None = None

    async def run(self) -> None:
        """Serve until a stop is requested and the planned stop has ended."""
        await self._start()
        if self._stop_requested:
            self._planned_stop.request()
        await self._stopped.wait()
        await self._stop()

    def stop(self) -> None:
        """Begin the planned stop."""
        self._stop_requested = True
        if self._planned_stop is not None:
            self._planned_stop.request()

    async def _start(self) -> None:
        settings = self._settings
        listeners = settings.listeners
        secret = pathlib.Path(settings.fleet_secret_file).read_bytes().strip()
        identity = settings.identity
        limits = settings.limits
        self._links = link.links(
            link.LinkSettings(
                identity.node_id,
                secret,
                limits.body_bytes + wire.FRAME_OVERHEAD_BYTES,
            ),
            self._clock,
            self._ticker.wheel,
            self._metrics,
        )
        address = await self._links.listen(listeners.host, listeners.link_port)
        self._datagrams = gossipsocket.gossip_socket(secret, self._metrics)
        gossip_address = await self._datagrams.listen(
            listeners.host, listeners.gossip_port
        )
        network = nettransport.net_transport(self._links, self._datagrams)
        self._target_client = targetclient.target_client(limits.body_bytes)
        self._table = tableclient.table_client(
            settings.table.url,
            identity.failure_domain,
            self._clock,
            self._rng,
            tableclient.TableLimits(timeout_ms=settings.table.timeout_ms),
        )
        self._observer = observer.observer(
            identity.node_id,
            identity.failure_domain,
            self._clock.now_ms(),
            logs.log_event,
            self._history_recorder(),
        )
        self.node = nodes.build_node(
            nodes.Environment(
                identity=identity,
                link=address,
                gossip=gossip_address,
                secret=secret,
                clock=self._clock,
                rng=self._rng,
                wheel=self._ticker.wheel,
                transport=network,
                target=self._target_client,
                table=self._table,
                metrics=self._metrics,
                observed=self._observer,
            )
        )
        self._links.handle_calls(self.node.guard.submit)
        self._caller_listener = self._make_http_listener(
            self.node.ingress.handle
        )
        self._target_listener = self._make_http_listener(
            self.node.egress.handle
        )
        caller_port = self._caller_listener.listen(
            listeners.host, listeners.caller_port
        )
        target_port = self._target_listener.listen(
            _LOOPBACK, listeners.target_port
        )
        self._control_plane = self._make_control_plane(network)
        self._planned_stop = self._make_planned_stop()
        self._operators_listener = self._make_operator_listener()
        operator_address = self._operators_listener.listen(
            listeners.host, listeners.operator_port
        )
        self._ticker.every(membership.TICK_MS, self._tick)
        self._ticker.every(nodes.IDLE_TICK_PERIOD_MS, self.node.tick)
        self._ticker.every(
            nodes.TARGET_WATCH_PERIOD_MS, self._tick_target_watch
        )
        self._watcher = statechanges.state_change_logger(
            self.node.view, logs.log_event
        )
        self._ticker.every(statechanges.SAMPLE_PERIOD_MS, self._watcher.tick)
        for listener in (self._caller_listener, self._target_listener):
            self._ticker.every(_SWEEP_PERIOD_MS, listener.sweep)
        self._observer.started()
        logs.log_event(
            logevents.NodeStarted(
                failure_domain=identity.failure_domain,
                caller_address=f'{listeners.host}:{caller_port}',
                target_address=f'{_LOOPBACK}:{target_port}',
                link_address=str(address),
                gossip_address=str(gossip_address),
                operator_address=str(operator_address),
            )
        )

    def _make_http_listener(
        self, handle: httplistener.OnExchange
    ) -> httplistener.HttpListener:
        return httplistener.http_listener(
            handle, self._clock, self._metrics, self._settings.limits
        )

    def _make_control_plane(
        self, network: transport.Transport
    ) -> controlplane.ControlPlane:
        bootstrap = self._settings.bootstrap_operator
        if bootstrap is not None:
            self.node.key_ring.set_bootstrap(
                bootstrap.name, bootstrap.fingerprint
            )
        return controlplane.control_plane(
            controlplane.Dependencies(
                machine=self.node.membership,
                key_ring=self.node.key_ring,
                put_in_force=self.node.put_in_force,
                clock=self._clock,
                rng=self._rng,
                network=network,
                rows=self._table,
                metrics=self._metrics,
                peers=tuple(map(_peer_address, self._settings.peers)),
            )
        )

    def _make_planned_stop(self) -> plannedstop.PlannedStop:
        return plannedstop.planned_stop(
            plannedstop.Steps(
                announce_leave=self._control_plane.leave,
                refuse_new=self._refuse_new,
                calls_in_flight=self._calls_in_flight,
                owed=self._owed,
                refuse_callers=self._refuse_callers,
                hand_back=self._hand_back,
                end=self._stopped.set,
            ),
            self._clock,
        )

    def _make_operator_listener(self) -> operatorapi.OperatorListener:
        return operatorapi.operator_listener(
            operatorapi.Sources(
                plane=self._control_plane,
                membership=self.node.membership,
                key_ring=self.node.key_ring,
                metrics=self._metrics,
                calls_in_flight=self._calls_in_flight,
                health=self._health,
                phase=lambda: self._planned_stop.phase.value,
                explain=self._explain,
                burn=self._burn,
                drain=lambda: self._planned_stop.request(is_final=False),
            )
        )

    def _history_recorder(self) -> history.Recorder | None:
        path = self._settings.history_file
        if not path:
            return None
        # Unbuffered, so that the record survives a kill of the process.
        return history.file_recorder(
            self._settings.identity.node_id,
            self._clock,
            path,
            buffer_entries=1,
        )

    def _health(self) -> health.Health:
        return health.assess(
            config_version=self.node.config().version,
            is_draining=self._planned_stop.phase is not drain.Phase.SERVING,
            has_target=bool(self.node.membership.local_member.service),
            cut_off_since_ms=self._table.cut_off_since_ms,
            calls_in_flight=self._calls_in_flight(),
            now_ms=self._clock.now_ms(),
        )

    def _explain(self, root_id: ids.RootId) -> explain.Explanation:
        return self._observer.call_log.explain(root_id, self._clock.now_ms())

    def _burn(self) -> burn.Snapshot:
        return self._observer.burn_recorder.snapshot(self._clock.now_ms())

    def _refuse_new(self) -> None:
        self.node.refuse_new()
        self._caller_listener.stop_listening()

    def _refuse_callers(self) -> None:
        self.node.ingress.is_draining = True

    def _calls_in_flight(self) -> int:
        return self.node.calls_in_flight + self._caller_listener.open_count

    def _owed(self) -> int:
        return (
            self.node.calls_in_flight
            + self._caller_listener.owed_count
            + self._target_listener.owed_count
            + (self._links.unsent_bytes > 0)
        )

    def _hand_back(self, on_done: typing.Callable[[], None]) -> None:
        task = asyncio.get_running_loop().create_task(self.node.hand_back())
        task.add_done_callback(lambda ended: on_done())
        self._hand_back_task = task

    def _tick(self) -> None:
        # One timer for all: an iteration of the event loop costs more than
        # this work.
        self._control_plane.tick()
        self.node.refresh_members()
        self._planned_stop.tick()

    def _tick_target_watch(self) -> None:
        self.node.handle_target(targetwatch.Tick())

    async def _stop(self) -> None:
        self._control_plane.close()
        self._ticker.close()
        self._datagrams.close()
        await self._operators_listener.close()
        await self._caller_listener.close()
        await self._target_listener.close()
        await self._links.close()
        self._target_client.close()
        if self._observer.history_recorder is not None:
            self._observer.history_recorder.close()


def _peer_address(peer: str) -> transport.Address:
    host, _, port = peer.rpartition(':')
    return transport.Address(host, int(port))


def _metrics(settings: node_settings.StatsdSettings | None) -> metric.Metrics:
    if settings is None:
        return metric.memory_metrics()
    return metric.statsd_metrics(settings.host, settings.port, settings.prefix)


async def _main(settings: node_settings.NodeSettings) -> None:
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop)
    _tune_garbage_collector()
    await daemon.run()


def _tune_garbage_collector() -> None:
    # Imported objects live as long as the process, and each full collection
    # that traverses them stops all calls for milliseconds.
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_ALLOCATIONS, _GC_GENERATION_1, _GC_GENERATION_2)


def run(settings: node_settings.NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT."""
    asyncio.run(_main(settings))
