"""Finds the body in a large frame, so that it is not decoded and copied.

A body that is the last field of its struct ends one byte before the frame.
The fields before it are skipped as the thrift binary protocol lays them out.
"""

import struct

_STOP = 0
_STRING = 11
_STRUCT = 12
_LIST = 15
# Sizes in bytes of the types that have one: bool, byte, double, i16, i32, i64.
_SIZES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
_FIELD = struct.Struct('!Bh')
_LENGTH = struct.Struct('!I')
_LIST_HEADER = struct.Struct('!BI')
# Structs in a message are nested no deeper.
_MAX_DEPTH = 4


def find_last_body(
    data: bytearray, start: int, end: int, field_id: int
) -> int | None:
    """Return where a body begins that is the last field of a struct.

    Args:
        data: Buffer with the struct.
        start: Where the struct begins.
        end: Where it ends, after its stop byte.
        field_id: Id of the field of the body.

    Returns:
        None if the struct is laid out differently, or is malformed.
    """
    try:
        return _find(data, start, end, field_id)
    except (struct.error, IndexError, ValueError):
        return None


def _find(data: bytearray, start: int, end: int, field_id: int) -> int | None:
    at = start
    while data[at] != _STOP:
        kind, found_id = _FIELD.unpack_from(data, at)
        at += _FIELD.size
        if kind == _STRING and found_id == field_id:
            (size,) = _LENGTH.unpack_from(data, at)
            at += _LENGTH.size
            is_last = at + size + 1 == end and data[end - 1] == _STOP
            return at if is_last else None
        at = _skip(data, at, kind, _MAX_DEPTH)
        if at >= end:
            return None
    return None


def _skip(data: bytearray, at: int, kind: int, depth: int) -> int:
    """Return where a value ends."""
    if not depth:
        raise ValueError('nested too deeply')
    match kind:
        case _ if kind in _SIZES:
            return at + _SIZES[kind]
        case _ if kind == _STRING:
            return at + _LENGTH.size + _LENGTH.unpack_from(data, at)[0]
        case _ if kind == _STRUCT:
            while data[at] != _STOP:
                field_kind, _ = _FIELD.unpack_from(data, at)
                at = _skip(data, at + _FIELD.size, field_kind, depth - 1)
            return at + 1
        case _ if kind == _LIST:
            item_kind, count = _LIST_HEADER.unpack_from(data, at)
            at += _LIST_HEADER.size
            for _ in range(count):
                at = _skip(data, at, item_kind, depth - 1)
            return at
        case _:
            raise ValueError(f'type {kind}')
