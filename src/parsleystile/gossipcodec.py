"""Gossip wire format: Thrift compact structs behind a truncated HMAC."""

import hashlib
import hmac
import struct
import typing

from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift.transport import TTransport

from parsleystile import _gossip_messages as messages
from parsleystile import bucketdigests
from parsleystile import errors
from parsleystile.gen.gossip import ttypes
from parsleystile import ids
from parsleystile import members
from parsleystile import transport

# HMAC-SHA-256 truncated to half its length, as RFC 2104 allows.
MAC_BYTES = 16
# Fits in one Ethernet packet, with space left for tunnel headers.
MAX_DATAGRAM_BYTES = 1400
MAX_STRING_BYTES = 256
MAX_RECORDS = 65_536
_DIGEST_BYTES = 4
_MAX_BINARY_BYTES = _DIGEST_BYTES * bucketdigests.MAX_BUCKETS
_KEY_PERSON = b'pst-gossip'

_Struct = typing.TypeVar('_Struct')


def derive_key(fleet_secret: bytes) -> bytes:
    """Derive the gossip MAC key from the fleet's secret."""
    return hashlib.blake2b(
        fleet_secret, digest_size=32, person=_KEY_PERSON
    ).digest()


class DatagramAuthenticator:
    """Adds and verifies the MAC of datagrams within one fleet."""

    def __init__(self, fleet_secret: bytes) -> None:
        self._key = derive_key(fleet_secret)

    def sign(self, payload: bytes) -> bytes:
        """Return a datagram of the MAC and ``payload``."""
        return self._mac(payload) + payload

    def verify(self, datagram: bytes) -> bytes | None:
        """Return the payload; None if the MAC is not valid."""
        payload = datagram[MAC_BYTES:]
        mac = datagram[:MAC_BYTES]
        if not hmac.compare_digest(mac, self._mac(payload)):
            return None
        return payload

    def _mac(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, 'sha256')[:MAC_BYTES]


def encode(message: messages.Message) -> bytes:
    """Encode a message."""
    datagram = ttypes.Datagram(
        message.sender,
        message.incarnation,
        message.config_version,
        _body(message.body),
    )
    if message.updates:
        datagram.updates = [_record(u) for u in message.updates]
    if message.withdrawn:
        datagram.withdrawn = list(message.withdrawn)
    return _write(datagram)


def decode(data: bytes) -> messages.Message:
    """Decode a message.

    Raises:
        FrameError: The bytes are not a valid message.
    """
    datagram = _read(data, ttypes.Datagram(), MAX_DATAGRAM_BYTES)
    if datagram.body is None:
        raise errors.FrameError('datagram without a body')
    try:
        return messages.Message(
            ids.NodeId(_text(datagram.sender)),
            ids.Incarnation(_number(datagram.incarnation)),
            ids.ConfigVersion(_number(datagram.config_version)),
            _body_of(datagram.body),
            tuple(_update(r) for r in datagram.updates or ()),
            tuple(ids.KeyId(_text(k)) for k in datagram.withdrawn or ()),
        )
    except (TypeError, ValueError) as exc:
        raise errors.FrameError(f'invalid datagram: {exc}') from exc


def encode_view(view: typing.Iterable[members.Member]) -> bytes:
    """Encode a member list, to be sent over a link."""
    records = [_record(messages.Update(member)) for member in view]
    return _write(ttypes.View(records))


def decode_view(data: bytes) -> tuple[members.Member, ...]:
    """Decode a member list encoded by ``encode_view``.

    Raises:
        FrameError: The bytes are not a valid member list.
    """
    view = _read(data, ttypes.View(), len(data))
    try:
        return tuple(_update(r).member for r in view.records or ())
    except (TypeError, ValueError) as exc:
        raise errors.FrameError(f'invalid member list: {exc}') from exc


def _write(value: typing.Any) -> bytes:
    buffer = TTransport.TMemoryBuffer()
    value.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def _read(data: bytes, value: _Struct, limit: int) -> _Struct:
    if len(data) > limit:
        raise errors.FrameError(
            f'{len(data)} bytes exceed the limit of {limit} bytes'
        )
    buffer = TTransport.TMemoryBuffer(data)
    protocol = TCompactProtocol.TCompactProtocolAccelerated(
        buffer,
        string_length_limit=_MAX_BINARY_BYTES,
        container_length_limit=MAX_RECORDS,
    )
    try:
        value.read(protocol)
    except (
        Thrift.TException,
        EOFError,
        OverflowError,
        TypeError,
        ValueError,
        MemoryError,
    ) as exc:
        raise errors.FrameError(f'invalid Thrift encoding: {exc}') from exc
    return value


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > MAX_STRING_BYTES:
        raise ValueError(
            f'expected a short string, got {type(value).__name__}'
        )
    return value


def _number(value: object) -> int:
    if not isinstance(value, int) or value < 0:
        raise ValueError(f'expected a non-negative integer, got {value!r}')
    return value


def _port(value: object) -> int:
    number = _number(value)
    if number > 65535:
        raise ValueError(f'port {number} exceeds 65535')
    return number


def _record(update: messages.Update) -> ttypes.Record:
    member = update.member
    is_same = member.gossip.host == member.link.host
    return ttypes.Record(
        member.node_id,
        member.vm,
        member.region,
        member.failure_domain,
        member.service,
        member.slots,
        member.link.host,
        member.link.port,
        '' if is_same else member.gossip.host,
        member.gossip.port,
        member.incarnation,
        int(member.state),
        update.witness or None,
    )


def _update(record: ttypes.Record) -> messages.Update:
    link = transport.Address(_text(record.link_host), _port(record.link_port))
    gossip_host = _text(record.gossip_host) or link.host
    member = members.Member(
        node_id=ids.NodeId(_text(record.node_id)),
        vm=ids.VmId(_text(record.vm)),
        region=ids.RegionId(_text(record.region)),
        failure_domain=ids.FailureDomainId(_text(record.failure_domain)),
        service=ids.ServiceName(_text(record.service_name)),
        slots=_number(record.slots),
        link=link,
        gossip=transport.Address(gossip_host, _port(record.gossip_port)),
        incarnation=ids.Incarnation(_number(record.incarnation)),
        state=members.MemberState(record.state),
    )
    witness = ids.NodeId(_text(record.witness)) if record.witness else ''
    return messages.Update(member, ids.NodeId(witness))


def _body(body: messages.Body) -> ttypes.Body:
    match body:
        case messages.Ping(sequence=sequence):
            return ttypes.Body(ping=ttypes.Ping(sequence))
        case messages.Ack(sequence=sequence, is_stranger=is_stranger):
            return ttypes.Body(ack=ttypes.Ack(sequence, is_stranger or None))
        case messages.PingRequest(sequence=sequence, subject=subject):
            request = ttypes.PingRequest(sequence, subject)
            return ttypes.Body(ping_request=request)
        case messages.DigestOffer(digests=digests):
            packed = struct.pack(f'>{len(digests)}I', *digests)
            return ttypes.Body(digest_offer=ttypes.DigestOffer(packed))
        case messages.RecordsRequest(count=count, buckets=buckets):
            wanted = ttypes.RecordsRequest(count, list(buckets))
            return ttypes.Body(records_request=wanted)
        case messages.Records():
            return ttypes.Body()
        case _:
            typing.assert_never(body)


def _body_of(body: ttypes.Body) -> messages.Body:
    if body.ping is not None:
        return messages.Ping(_number(body.ping.sequence))
    if body.ack is not None:
        is_stranger = bool(body.ack.is_stranger)
        return messages.Ack(_number(body.ack.sequence), is_stranger)
    if body.ping_request is not None:
        request = body.ping_request
        subject = ids.NodeId(_text(request.subject))
        return messages.PingRequest(_number(request.sequence), subject)
    if body.digest_offer is not None:
        return messages.DigestOffer(_digests(body.digest_offer.digests))
    if body.records_request is not None:
        wanted = body.records_request
        buckets = tuple(_number(b) for b in wanted.buckets or ())
        return messages.RecordsRequest(_number(wanted.count), buckets)
    return messages.Records()


def _digests(packed: object) -> tuple[int, ...]:
    if not isinstance(packed, bytes) or len(packed) % _DIGEST_BYTES:
        raise ValueError('length of digests is not a multiple of 4 bytes')
    count = len(packed) // _DIGEST_BYTES
    if count > bucketdigests.MAX_BUCKETS:
        raise ValueError(f'{count} digests exceed the number of buckets')
    return struct.unpack(f'>{count}I', packed)


def authenticator(fleet_secret: bytes) -> DatagramAuthenticator:
    """Create the authenticator of the fleet with this secret."""
    return DatagramAuthenticator(fleet_secret)
