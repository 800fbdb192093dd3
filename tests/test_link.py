import asyncio
import contextlib

import pytest

from parsleystile import clock
from parsleystile import deadlines
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import link
from parsleystile import metrics
from parsleystile import transport
from parsleystile import wire
from tests import asyncutil

_LOAD = ttypes.Load(1, 2, 0, 3.0)


def call(path='/x', body=b''):
    return ttypes.Call(
        call_id=0,
        root_id='r',
        organisation='lava',
        importance=1,
        deadline_ms=1000,
        depth=1,
        retry_allowance=2,
        idempotent=True,
        draw=0.5,
        caller_service='',
        callee_service='yard',
        route='yard',
        method='GET',
        path=path,
        headers=[],
        body=body,
        idempotency_key='',
    )


def answer(body):
    return ttypes.Answer(
        call_id=0,
        outcome=errors.Outcome.ANSWERED,
        status=200,
        headers=[],
        body=body,
        reason=0,
        detail='',
        retry_after_ms=0,
        retry_unspent=0,
        load=_LOAD,
        is_final=False,
    )


class _Node:
    """The links of one node."""

    def __init__(self, secret=b's', node_id='n', max_frame_bytes=200_000):
        self.metrics = metrics.memory_metrics()
        self.wheel = deadlines.DeadlineWheel()
        self.clock = clock.manual_clock()
        self.links = link.links(
            link.LinkSettings(node_id, secret, max_frame_bytes),
            self.clock,
            self.wheel,
            self.metrics,
        )
        self.calls = []
        self.cancelled = []
        self.links.handle_calls(self._serve)

    def _serve(self, received, on_answer):
        self.calls.append((received, on_answer))
        cancelled = self.cancelled

        class Pending(transport.PendingCall):
            def cancel(self):
                cancelled.append(received.path)

        return Pending()


@contextlib.asynccontextmanager
async def _pair(secret=b's', max_frame_bytes=200_000):
    client = _Node(max_frame_bytes=max_frame_bytes)
    server = _Node(secret, max_frame_bytes=max_frame_bytes)
    peer = transport.Peer(await server.links.listen('127.0.0.1', 0))
    try:
        yield client, server, peer
    finally:
        await client.links.close()
        await server.links.close()
        await asyncio.sleep(0)


def test_answers_out_of_order_reach_their_callers():
    async def body():
        async with _pair() as (client, server, peer):
            boxes = [asyncutil.CallbackResult() for _ in range(3)]
            for i, box in enumerate(boxes):
                client.links.call(peer, call(f'/{i}'), box.put)
            await asyncutil.wait_until(lambda: len(server.calls) == 3)
            for received, on_answer in reversed(server.calls):
                on_answer(answer(received.path.encode()))
            bodies = [(await box.get()).body for box in boxes]
            assert bodies == [b'/0', b'/1', b'/2']

    asyncutil.run(body())


def test_a_cancelled_call_is_cancelled_at_the_peer_and_its_answer_dropped():
    async def body():
        async with _pair() as (client, server, peer):
            box, other = asyncutil.CallbackResult(), asyncutil.CallbackResult()
            pending = client.links.call(peer, call('/gone'), box.put)
            await asyncutil.wait_until(lambda: server.calls)
            pending.cancel()
            await asyncutil.wait_until(lambda: server.cancelled == ['/gone'])
            server.calls[0][1](answer(b'late'))
            client.links.call(peer, call('/next'), other.put)
            await asyncutil.wait_until(lambda: len(server.calls) == 2)
            server.calls[1][1](answer(b'next'))
            assert (await other.get()).body == b'next'
            assert box.count == 0
            assert client.metrics.counters['link.late_answers'] == 1

    asyncutil.run(body())


def test_calls_sent_on_a_lost_link_are_unknown():
    async def body():
        async with _pair() as (client, server, peer):
            box = asyncutil.CallbackResult()
            client.links.call(peer, call(), box.put)
            await asyncutil.wait_until(lambda: server.calls)
            await server.links.close()
            refusal = await box.get()
            assert refusal.outcome is errors.Outcome.UNKNOWN
            assert refusal.reason is errors.Reason.LINK_LOST
            await asyncutil.wait_until(lambda: server.cancelled == ['/x'])

    asyncutil.run(body())


def test_a_refused_connection_is_not_run_and_the_next_call_reconnects():
    async def body():
        client, server = _Node(), _Node()
        address = await server.links.listen('127.0.0.1', 0)
        peer = transport.Peer(address)
        await server.links.close()
        box = asyncutil.CallbackResult()
        client.links.call(peer, call(), box.put)
        refusal = await box.get()
        assert refusal.outcome is errors.Outcome.NOT_RUN
        second_server = _Node()
        await second_server.links.listen(address.host, address.port)
        second_box = asyncutil.CallbackResult()
        client.links.call(peer, call(), second_box.put)
        await asyncutil.wait_until(lambda: second_server.calls)
        second_server.calls[0][1](answer(b'ok'))
        assert (await second_box.get()).body == b'ok'
        await client.links.close()
        await second_server.links.close()

    asyncutil.run(body())


def test_peers_with_different_secrets_exchange_no_calls():
    async def body():
        async with _pair(secret=b'other') as (client, server, peer):
            box = asyncutil.CallbackResult()
            client.links.call(peer, call(), box.put)
            refusal = await box.get()
            assert refusal.outcome is errors.Outcome.NOT_RUN
            assert server.calls == []
            assert client.metrics.counters['link.rejected_proofs'] == 1

    asyncutil.run(body())


def test_nothing_is_sent_to_a_node_that_took_over_an_address():
    # The lost node counted as reachable; its calls ran at another one.
    async def body():
        async with _pair() as (client, server, peer):
            server.links.handle_control('ping', lambda p, reply: reply(b''))
            lost = transport.Peer(peer.address, 'lost')
            box, ping = asyncutil.CallbackResult(), asyncutil.CallbackResult()
            client.links.call(lost, call(), box.put)
            client.links.control(lost, 'ping', b'', 500, ping.put)
            refusal = await box.get()
            assert refusal.outcome is errors.Outcome.NOT_RUN
            assert refusal.reason is errors.Reason.UNREACHABLE
            assert 'n answers in place of lost' in refusal.detail
            assert isinstance(await ping.get(), errors.Refusal)
            assert server.calls == []
            assert client.metrics.counters['link.wrong_peers'] == 1
            found = asyncutil.CallbackResult()
            present = transport.Peer(peer.address, 'n')
            client.links.control(present, 'ping', b'', 500, found.put)
            assert await found.get() == b''

    asyncutil.run(body())


def test_a_node_that_started_again_under_its_id_is_reached_again():
    async def body():
        async with _pair() as (client, server, peer):
            named = transport.Peer(peer.address, 'n')
            box = asyncutil.CallbackResult()
            client.links.call(named, call(), box.put)
            await asyncutil.wait_until(lambda: server.calls)
            await server.links.close()
            await box.get()
            again = _Node()
            await again.links.listen(peer.address.host, peer.address.port)
            client.links.call(named, call(), box.put)
            await asyncutil.wait_until(lambda: again.calls)
            await again.links.close()

    asyncutil.run(body())


def test_a_peer_that_skips_the_handshake_is_disconnected():
    async def body():
        async with _pair() as (_, server, peer):
            reader, writer = await asyncio.open_connection(
                peer.address.host, peer.address.port
            )
            writer.write(wire.encode(wire.FrameKind.CALL, call()))
            assert await reader.read() == b''
            assert server.calls == []
            assert server.metrics.counters['link.frame_errors'] == 1
            writer.close()

    asyncutil.run(body())


def test_a_silent_peer_is_disconnected_after_the_handshake_timeout():
    async def body():
        async with _pair() as (_, server, peer):
            reader, writer = await asyncio.open_connection(
                peer.address.host, peer.address.port
            )
            await asyncutil.wait_until(
                lambda: server.links.accepted_count == 1
            )
            server.wheel.expire(server.clock.advance(2000.0))
            assert await reader.read() == b''
            writer.close()

    asyncutil.run(body())


def test_control_requests_are_answered_or_expire():
    async def body():
        async with _pair() as (client, server, peer):
            server.links.handle_control('echo', lambda p, reply: reply(p + p))
            server.links.handle_control('mute', lambda p, reply: None)
            box, mute = asyncutil.CallbackResult(), asyncutil.CallbackResult()
            client.links.control(peer, 'echo', b'a', 500, box.put)
            assert await box.get() == b'aa'
            client.links.control(peer, 'mute', b'a', 500, mute.put)
            client.wheel.expire(client.clock.advance(600.0))
            refusal = await mute.get()
            assert refusal.outcome is errors.Outcome.UNKNOWN

    asyncutil.run(body())


def test_answers_are_flushed_when_a_node_closes():
    async def body():
        async with _pair() as (client, server, peer):
            box = asyncutil.CallbackResult()
            client.links.call(peer, call(), box.put)
            await asyncutil.wait_until(lambda: server.calls)
            server.calls[0][1](answer(b'x' * 100_000))
            await server.links.close()
            assert (await box.get()).body == b'x' * 100_000

    asyncutil.run(body())


@pytest.mark.parametrize('is_ready', [False, True])
def test_a_large_call_ends_no_other_call_of_its_link(is_ready):
    async def body():
        async with _pair(max_frame_bytes=40_000_000) as pair:
            client, server, peer = pair
            box = asyncutil.CallbackResult()
            if is_ready:
                client.links.call(peer, call('/first'), box.put)
                await asyncutil.wait_until(lambda: server.calls)
                server.calls.pop()[1](answer(b''))
            large = bytes(30_000_000)
            client.links.call(peer, call('/large', large), box.put)
            second = asyncutil.CallbackResult()
            client.links.call(peer, call('/second', large), second.put)
            boxes = [asyncutil.CallbackResult() for _ in range(5)]
            for i, small in enumerate(boxes):
                client.links.call(peer, call(f'/{i}'), small.put)
            refusal = await second.get()
            assert refusal.outcome is errors.Outcome.NOT_RUN
            assert refusal.reason is errors.Reason.QUEUE_FULL
            await asyncutil.wait_until(lambda: len(server.calls) == 6)
            assert server.calls[0][0].body == large
            for received, on_answer in server.calls:
                on_answer(answer(received.body or received.path.encode()))
            bodies = [(await small.get()).body for small in boxes]
            assert bodies == [b'/0', b'/1', b'/2', b'/3', b'/4']

    asyncutil.run(body())
