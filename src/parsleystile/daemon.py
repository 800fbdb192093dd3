"""The process around a node: sockets, timers, signals."""

import asyncio
import pathlib
import random
import secrets
import signal

from parsleystile import clock as clocks
from parsleystile import httpfront
from parsleystile import link
from parsleystile import logevents
from parsleystile import logs
from parsleystile import metrics as metric
from parsleystile import nettransport
from parsleystile import node as nodes
from parsleystile import rendezvous
from parsleystile import settings as node_settings
from parsleystile import tableclient
from parsleystile import targetclient
from parsleystile import targetwatch
from parsleystile import ticker
from parsleystile import wire

# The target beside a node is reached over the loopback interface only.
_LOOPBACK = '127.0.0.1'
_MEMBER_REFRESH_MS = 100.0
_SWEEP_PERIOD_MS = 1000.0


class Daemon:
    """One node with its listeners."""

    def __init__(self, settings: node_settings.NodeSettings) -> None:
        self._settings = settings
        self._clock = clocks.system_clock()
        self._rng = random.Random(secrets.randbits(64))
        self._ticker = ticker.ticker(self._clock)
        self._metrics = _metrics(settings.statsd)
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until told to stop, then stop without cutting a call."""
        await self._start()
        await self._stopping.wait()
        await self._stop()

    def stop(self) -> None:
        """Begin the planned stop."""
        self._stopping.set()

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
        self._target = targetclient.target_client(limits.body_bytes)
        self._table = tableclient.table_client(
            settings.table.url,
            identity.failure_domain,
            self._clock,
            self._rng,
            tableclient.TableLimits(timeout_ms=settings.table.timeout_ms),
        )
        self.node = nodes.build_node(
            nodes.Environment(
                identity=identity,
                link=address,
                gossip=address,
                secret=secret,
                clock=self._clock,
                rng=self._rng,
                wheel=self._ticker.wheel,
                transport=nettransport.net_transport(self._links),
                target=self._target,
                table=self._table,
                metrics=self._metrics,
            )
        )
        self._links.handle_calls(self.node.guard.submit)
        self._callers = self._front(self.node.ingress.handle)
        self._targets = self._front(self.node.egress.handle)
        caller_port = self._callers.listen(
            listeners.host, listeners.caller_port
        )
        target_port = self._targets.listen(_LOOPBACK, listeners.target_port)
        self._poll = rendezvous.rendezvous(self.node, self._table)
        self._ticker.every(nodes.WATCH_PERIOD_MS, self._watch_target)
        for front in (self._callers, self._targets):
            self._ticker.every(_SWEEP_PERIOD_MS, front.sweep)
        self._ticker.every(_MEMBER_REFRESH_MS, self.node.refresh_members)
        logs.event(
            logevents.NodeStarted(
                failure_domain=identity.failure_domain,
                caller_address=f'{listeners.host}:{caller_port}',
                target_address=f'{_LOOPBACK}:{target_port}',
                link_address=str(address),
                gossip_address='',
                operator_address='',
            )
        )

    def _front(self, handle: httpfront.OnExchange) -> httpfront.HttpFront:
        return httpfront.http_front(
            handle, self._clock, self._metrics, self._settings.limits
        )

    def _watch_target(self) -> None:
        self.node.handle_target(targetwatch.Tick())

    async def _stop(self) -> None:
        self._poll.close()
        self._ticker.close()
        await self._links.close()
        self._target.close()


def _metrics(settings: node_settings.StatsdSettings | None) -> metric.Metrics:
    if settings is None:
        return metric.memory_metrics()
    return metric.statsd_metrics(settings.host, settings.port, settings.prefix)


async def _main(settings: node_settings.NodeSettings) -> None:
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)
    await daemon.run()


def run(settings: node_settings.NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT."""
    asyncio.run(_main(settings))
