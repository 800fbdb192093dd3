"""Fuzzes every parser of input from outside the process.

``python -m tests.fuzz --inputs 2000`` prints a JSON object for each parser
with the numbers of inputs, crashes and hangs. A crash is an undocumented
exception; a hang is an input that takes longer than a second.
"""

import argparse
import contextlib
import dataclasses
import json
import signal
import sys
import typing

import hypothesis
from hypothesis import strategies as st
import msgspec

from parsleystile import _gossip_messages as messages
from parsleystile import changes
from parsleystile import configstore
from parsleystile import egress
from parsleystile import errors
from parsleystile import events
from parsleystile import exchange as exchanges
from parsleystile import fleetconfig
from parsleystile.gen import ttypes
from parsleystile import gossipcodec
from parsleystile import keys
from parsleystile import members
from parsleystile import quotawire
from parsleystile import settings
from parsleystile import transport
from parsleystile import wire

_HANG_S = 1.0
_MAX_BYTES = 400


class HangError(Exception):
    """Parsing an input exceeded the time limit."""


@dataclasses.dataclass(frozen=True)
class Parser:
    """A parser under test.

    Attributes:
        peer: Who supplies the input in production.
        feed: Parses one input.
        samples: Valid inputs, to be mutated.
        may_raise: Documented exceptions for invalid input.
    """

    peer: str
    feed: typing.Callable[[bytes], object]
    samples: tuple[bytes, ...]
    may_raise: tuple[type[Exception], ...] = ()


@dataclasses.dataclass
class Result:
    """Result of a run; printed as JSON under the names of the fields.

    Attributes:
        faces: Who supplies the input in production.
        first: The first input that crashed or hung.
    """

    parser: str
    faces: str
    inputs: int = 0
    crashes: int = 0
    hangs: int = 0
    first: str = ''


def _mutate(sample, edits):
    data = bytearray(sample)
    for kind, at, piece in edits:
        position = at % (len(data) + 1)
        if kind == 'cut':
            del data[position:]
        elif kind == 'insert':
            data[position:position] = piece
        else:
            data[position : position + len(piece)] = piece
    return bytes(data)


def input_strategy(samples):
    """Return a strategy of random bytes and mutated samples."""
    edit = st.tuples(
        st.sampled_from(['cut', 'insert', 'write']),
        st.integers(0, 5000),
        st.binary(min_size=1, max_size=8),
    )
    mutated = st.builds(
        _mutate,
        st.sampled_from(samples),
        st.lists(edit, min_size=0, max_size=4),
    )
    return mutated | st.binary(max_size=_MAX_BYTES)


@contextlib.contextmanager
def _time_limit():
    def on_alarm(_number, _frame):
        raise HangError

    previous_handler = signal.signal(signal.SIGALRM, on_alarm)
    signal.setitimer(signal.ITIMER_REAL, _HANG_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)


def run_one(parser, data, result):
    """Feed one input and count it in the result."""
    result.inputs += 1
    try:
        with _time_limit():
            parser.feed(data)
    except HangError:
        result.hangs += 1
        result.first = result.first or repr(data)
    except parser.may_raise:
        pass
    except Exception as exc:
        result.crashes += 1
        result.first = result.first or f'{type(exc).__name__}: {data!r}'


def generate_inputs(samples, count, seed=1):
    """Return inputs that depend only on the samples, count and seed."""
    generated = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=count,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(input_strategy(samples))
    def collect(data):
        generated.append(data)

    collect()
    return generated


def run(name, parser, count, seed=1):
    """Feed ``count`` inputs to a parser; return the result."""
    result = Result(name, parser.peer)
    for data in generate_inputs(parser.samples, count, seed):
        run_one(parser, data, result)
    return result


def _decode_first(feed):
    return lambda data: feed(data.decode('latin-1'))


def _decode_frames(data):
    decoder = wire.FrameDecoder(4096)
    half = len(data) // 2
    return decoder.feed(data[:half]) + decoder.feed(data[half:])


def _split_headers(data):
    fields = data.decode('latin-1').split('\n')
    headers = fields[1:] if len(fields) % 2 else fields[1:-1]
    exchange = exchanges.Exchange(
        'POST', fields[0], headers, data, 0.0, lambda e, r: None
    )
    exchanges.split_headers(exchange)


def _apply_change(data):
    match changes.decode(data):
        case result if result.is_ok():
            changes.apply(_document(), result.ok)


def _document():
    limits = fleetconfig.Organisation(rate_per_s=1.0, burst=1)
    route = fleetconfig.Route(path_prefix='/a', service='a')
    return fleetconfig.FleetConfig(
        version=1, organisations={'o': limits}, routes={'a': route}
    )


def _samples():
    call = ttypes.Call(
        1,
        'r',
        'o',
        1,
        100,
        1,
        1,
        True,
        0.5,
        'a',
        'b',
        'c',
        'GET',
        '/a',
        ['k', 'v'],
        b'body',
        'i',
        ttypes.TargetNotice('i-1', 1, 2.5, False),
        40,
    )
    answer = ttypes.Answer(
        1,
        1,
        200,
        ['k', 'v'],
        b'body',
        0,
        '',
        0,
        1,
        ttypes.Load(
            1, 2, 3, 3.0, 5, ttypes.TargetNotice('i-1', 1, 2.5, False), 2.5
        ),
        False,
    )
    hello = ttypes.Hello('n', b'n' * 16, b'p' * 32)
    control = ttypes.Control(1, False, 'config.fetch', b'{}')
    address = transport.Address('127.0.0.1', 7000)
    member = members.Member('n1', 'vm', 'r', 'd', 's', 4, address, address, 3)
    return {
        'frames': (
            wire.encode(wire.FrameKind.CALL, call),
            wire.encode(wire.FrameKind.ANSWER, answer),
            wire.encode(wire.FrameKind.HELLO, hello),
            wire.encode(wire.FrameKind.CONTROL, control),
            wire.encode(wire.FrameKind.CANCEL, ttypes.Cancel(1)),
        ),
        'view': (gossipcodec.encode_view([member]),),
        'datagram': tuple(map(gossipcodec.encode, _datagrams(member))),
    }


def _datagrams(member):
    update = messages.Update(member)
    bodies = (
        messages.Ping(1),
        messages.Ack(1, True),
        messages.PingRequest(1, 'n2'),
        messages.DigestOffer((1, 2, 3)),
        messages.RecordsRequest(16, (1, 2)),
        messages.Records(),
    )
    for body in bodies:
        yield messages.Message('n1', 3, 7, body, (update,), ('k1',))


def parsers():
    """Return every parser by name."""
    samples = _samples()
    ring = keys.key_ring(b'secret')
    document = _document()
    encoded = fleetconfig.encode(document)
    toml = settings_text().encode()
    authenticator = gossipcodec.authenticator(b'secret')
    frame_error = (errors.FrameError,)
    decode_error = (msgspec.MsgspecError, UnicodeDecodeError)
    grant_request = b'\x93\x01\x02\x90'
    return {
        'HTTP headers': Parser(
            'caller', _split_headers, (b'/a\nX-Api-Key\nk\nAccept\n*/*',)
        ),
        'route': Parser(
            'caller',
            _decode_first(lambda path: document.match_route('GET', path)),
            (b'/a/b?c=d', b'/a/%2e%2e/b'),
        ),
        'key': Parser(
            'caller', _decode_first(ring.authenticate), (b'abcdef',)
        ),
        'announcement': Parser(
            'target',
            lambda data: msgspec.json.decode(data, type=egress.Announcement),
            (b'{"service":"a","instance":"i","port":1,"slots":2}',),
            decode_error,
        ),
        'settings': Parser(
            'operator', _decode_first(settings.parse_settings), (toml,)
        ),
        'document': Parser('operator', fleetconfig.decode, (encoded,)),
        'change': Parser(
            'operator',
            _apply_change,
            (
                b'{"kind":"switch-preset","name":"peak"}',
                b'{"kind":"withdraw-key","key_id":"k1"}',
                b'{"kind":"apply-document","document":' + encoded + b'}',
            ),
        ),
        'change request': Parser(
            'operator',
            lambda data: msgspec.json.decode(
                data, type=configstore.ChangeRequest
            ),
            (
                b'{"change_id":"c","operator":"o","change":'
                b'{"kind":"switch-preset","name":"peak"}}',
            ),
            decode_error,
        ),
        'frames': Parser(
            'node', _decode_frames, samples['frames'], frame_error
        ),
        'datagram': Parser(
            'node', gossipcodec.decode, samples['datagram'], frame_error
        ),
        'signed datagram': Parser(
            'anybody', authenticator.verify, (authenticator.sign(b'payload'),)
        ),
        'member view': Parser(
            'node', gossipcodec.decode_view, samples['view'], frame_error
        ),
        'grant request': Parser(
            'node',
            lambda data: msgspec.msgpack.decode(
                data, type=quotawire.GrantRequest
            ),
            (grant_request,),
            (msgspec.MsgspecError,),
        ),
        'history line': Parser(
            'operator',
            lambda data: msgspec.json.decode(data, type=events.Entry),
            (
                b'{"node_id":"n","sequence":1,"wall_ms":1.0,"now_ms":1.0,'
                b'"event":{"type":"KeyWithdrawn","key_id":"k1"}}',
            ),
            decode_error,
        ),
    }


def settings_text():
    """Return the text of valid settings."""
    return """
fleet_secret_file = "secret"
[identity]
node_id = "n1"
vm = "vm1"
region = "r"
failure_domain = "d"
[table]
url = "http://127.0.0.1:7000"
[listeners]
host = "127.0.0.1"
caller_port = 8080
"""


def parse_options(argv):
    """Parse the command line of a fuzz run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--inputs', type=int, default=2000)
    parser.add_argument('--seed', type=int, default=1)
    return parser.parse_args(argv)


def print_result(result):
    """Print a result as a line; return the number of failures."""
    print(json.dumps(dataclasses.asdict(result)), flush=True)
    return result.crashes + result.hangs


def main(argv):
    options = parse_options(argv)
    failures = 0
    for name, parser in parsers().items():
        failures += print_result(
            run(name, parser, options.inputs, options.seed)
        )
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
