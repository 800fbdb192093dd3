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
        messages.Update(gossipnetwork.make_member(f'n-{i}', 'a', i, 1), 'w')
        for i in range(count)
    )
    return messages.Message('a-0', 10**13, 7, body, updates, ('k1', 'k20'))


@pytest.mark.parametrize('body', BODIES, ids=lambda b: type(b).__name__)
def test_messages_round_trip(body):
    message = _message(body)
    assert gossipcodec.decode(gossipcodec.encode(message)) == message


def test_a_member_list_round_trips():
    view = tuple(
        gossipnetwork.make_member(f'n-{i}', 'a', i, 1) for i in range(99)
    )
    assert gossipcodec.decode_view(gossipcodec.encode_view(view)) == view


def test_invalid_bytes_raise_frame_errors():
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


def test_long_names_do_not_exceed_the_datagram_size():
    name = 'n' * 200
    updates = [
        messages.Update(gossipnetwork.make_member(f'{name}{i}', 'a', i, 1))
        for i in range(8)
    ]
    chunks = list(messages.chunks(updates))
    assert [u for chunk in chunks for u in chunk] == updates
    for chunk in chunks:
        message = messages.Message('a', 1, 1, messages.Ping(1), chunk)
        size = len(gossipcodec.encode(message))
        assert size <= gossipcodec.MAX_DATAGRAM_BYTES


def test_only_a_mac_of_the_same_secret_is_valid():
    authenticator = gossipcodec.authenticator(SECRET)
    signed = authenticator.sign(b'payload')
    assert authenticator.verify(signed) == b'payload'
    assert gossipcodec.authenticator(b'other').verify(signed) is None
    assert authenticator.verify(b'') is None
    for i in range(len(signed)):
        forged = bytearray(signed)
        forged[i] ^= 1
        assert authenticator.verify(bytes(forged)) is None


def test_sockets_deliver_authentic_datagrams_and_count_others():
    async def scenario():
        receiver_metrics = metrics.memory_metrics()
        receiver = gossipsocket.gossip_socket(SECRET, receiver_metrics)
        sender = gossipsocket.gossip_socket(SECRET, metrics.memory_metrics())
        other_fleet = gossipsocket.gossip_socket(
            b'other', metrics.memory_metrics()
        )
        to = await receiver.listen('127.0.0.1', 0)
        source = await sender.listen('127.0.0.1', 0)
        await other_fleet.listen('127.0.0.1', 0)
        received = asyncio.Queue()
        receiver.handle_datagrams(
            lambda data, frm: received.put_nowait((data, frm))
        )
        other_fleet.send_datagram(to, b'forged')
        sender.send_datagram(to, b'x' * 5000)
        sender.send_datagram(to, b'proved')
        first = await asyncio.wait_for(received.get(), 10)
        for socket in (receiver, sender, other_fleet):
            socket.close()
        return first, source, receiver_metrics.counters, received.empty()

    first, source, counters, is_empty = asyncio.run(scenario())
    assert first == (b'proved', source)
    assert counters == {'gossip.unproved': 1}
    assert is_empty
