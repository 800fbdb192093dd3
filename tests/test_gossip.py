import asyncio
import random

import pytest

from parsleystile import _gossip_messages as messages
from parsleystile import errors
from parsleystile import gossipcodec
from parsleystile import gossipsocket
from parsleystile import metrics
from stubs import gossipnetwork

SECRET = b's' * 32
BODIES = [
    messages.Ping(2**48),
    messages.Ack(5),
    messages.Ack(5, True),
    messages.PingRequest(7, 'b-0'),
    messages.DigestOffer((0, 2**32 - 1)),
    messages.DigestOffer(tuple(range(256))),
    messages.RecordsRequest(4, (1, 3)),
    messages.Records(),
]


def _message(body, count=2):
    updates = tuple(
        messages.Update(gossipnetwork.member_of(f'n-{i}', 'a', i, 1), 'w')
        for i in range(count)
    )
    return messages.Message('a-0', 10**13, 7, body, updates, ('k1', 'k20'))


@pytest.mark.parametrize('body', BODIES, ids=lambda b: type(b).__name__)
def test_messages_survive_the_wire(body):
    message = _message(body)
    assert gossipcodec.decode(gossipcodec.encode(message)) == message


def test_a_view_survives_the_wire():
    view = tuple(
        gossipnetwork.member_of(f'n-{i}', 'a', i, 1) for i in range(99)
    )
    assert gossipcodec.decode_view(gossipcodec.encode_view(view)) == view


def test_broken_bytes_are_refused_as_such():
    rng = random.Random(1)
    whole = gossipcodec.encode(_message(messages.DigestOffer((1, 2))))
    refused = 0
    for _ in range(3000):
        data = bytearray(whole[: rng.randrange(1, len(whole) + 1)])
        for _ in range(rng.randrange(3)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        try:
            gossipcodec.decode(bytes(data))
        except errors.FrameError:
            refused += 1
    assert refused > 2000


def test_long_names_never_make_a_datagram_too_long():
    name = 'n' * 200
    updates = [
        messages.Update(gossipnetwork.member_of(f'{name}{i}', 'a', i, 1))
        for i in range(8)
    ]
    parts = list(messages.chunks(updates))
    assert [u for part in parts for u in part] == updates
    for part in parts:
        message = messages.Message('a', 1, 1, messages.Ping(1), part)
        size = len(gossipcodec.encode(message))
        assert size <= gossipcodec.MAX_DATAGRAM_BYTES


def test_only_a_proof_of_the_same_secret_opens():
    authenticator = gossipcodec.authenticator(SECRET)
    signed = authenticator.sign(b'payload')
    assert authenticator.verify(signed) == b'payload'
    assert gossipcodec.authenticator(b'other').verify(signed) is None
    assert authenticator.verify(b'') is None
    for i in range(len(signed)):
        forged = bytearray(signed)
        forged[i] ^= 1
        assert authenticator.verify(bytes(forged)) is None


def test_sockets_pass_on_proved_datagrams_and_count_the_others():
    async def scenario():
        counted = metrics.memory_metrics()
        receiver = gossipsocket.gossip_socket(SECRET, counted)
        sender = gossipsocket.gossip_socket(SECRET, metrics.memory_metrics())
        stranger = gossipsocket.gossip_socket(
            b'other', metrics.memory_metrics()
        )
        to = await receiver.listen('127.0.0.1', 0)
        source = await sender.listen('127.0.0.1', 0)
        await stranger.listen('127.0.0.1', 0)
        got = asyncio.Queue()
        receiver.handle_datagrams(
            lambda data, frm: got.put_nowait((data, frm))
        )
        stranger.send_datagram(to, b'forged')
        sender.send_datagram(to, b'x' * 5000)
        sender.send_datagram(to, b'proved')
        first = await asyncio.wait_for(got.get(), 10)
        for socket in (receiver, sender, stranger):
            socket.close()
        return first, source, counted.counters, got.empty()

    first, source, counters, is_empty = asyncio.run(scenario())
    assert first == (b'proved', source)
    assert counters == {'gossip.unproved': 1}
    assert is_empty
