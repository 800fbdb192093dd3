import asyncio

import hypothesis
from hypothesis import strategies as st
import pytest

from parsleystile import errors
from parsleystile import exchange as exchanges
from tests import drivenfleet
from tests import fuzz
from tests import fuzz_sockets

_INPUTS = 150
_SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.mark.parametrize('name', fuzz.parsers())
def test_a_parser_neither_crashes_nor_hangs(name):
    result = fuzz.run(name, fuzz.parsers()[name], _INPUTS)
    assert (result.crashes, result.hangs) == (0, 0), result.first


def test_a_crash_is_counted():
    def feed(data):
        raise KeyError(data)

    result = fuzz.run('bad', fuzz.Parser('caller', feed, (b'a',)), 5)
    assert result.crashes == result.inputs > 0


@pytest.mark.parametrize(('fuzzer', 'samples'), fuzz_sockets.FUZZERS)
def test_a_socket_user_neither_crashes_nor_hangs(fuzzer, samples):
    result = asyncio.run(fuzzer(fuzz.generate_inputs(samples, _INPUTS)))
    assert (result.crashes, result.hangs) == (0, 0), result.first


_HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                'X-Api-Key',
                'X-Parsleystile-Context',
                'X-Request-Timeout-Ms',
                'Idempotency-Key',
                'X-Parsleystile-Organisation',
                'Accept',
            ]
        ),
        st.text(max_size=20) | st.sampled_from(['0', '-1', '9' * 30]),
    ),
    max_size=6,
)


def _collector(replies):
    return lambda exchange, reply: replies.append(reply)


@hypothesis.settings(_SETTINGS, max_examples=_INPUTS)
@hypothesis.given(
    path=st.sampled_from(['/a', '/book', '/.parsleystile/announce'])
    | st.text(max_size=30),
    headers=_HEADERS,
    body=st.binary(max_size=60),
)
def test_a_node_ends_every_request(path, headers, body):
    plan = drivenfleet.Plan(1, (), (drivenfleet.Fate.WELL,), (), ())
    fleet = drivenfleet.Fleet(plan)
    node = fleet.node_at(drivenfleet.address_of(0))
    for handle in (node.ingress.handle, node.egress.handle):
        replies = []
        flat = [text for pair in headers for text in pair]
        exchange = exchanges.Exchange(
            'POST', path, flat, body, 0.0, _collector(replies)
        )
        handle(exchange)
        fleet.run()
        # Without a valid key or token there is nothing but a refusal.
        assert [type(reply) for reply in replies] == [errors.Refusal]


def test_a_seed_gives_the_same_inputs():
    samples = fuzz_sockets.HTTP_SAMPLES
    assert fuzz.generate_inputs(samples, 20) == fuzz.generate_inputs(
        samples, 20
    )
