"""Check of the structure of thrift encodings before they are decoded.

The decoder of the library passes over a list of elements of an unknown type
without reading a byte, as many times as the list says.  A few bytes would so
hold a process for tens of seconds.
"""

from __future__ import annotations

import struct
import types

from thriftpy2.thrift import TType

from dogwoodmast.errors import MalformedFrame

MAX_DEPTH = 16
"""Greatest depth of structs and lists within each other."""

_SIZES = types.MappingProxyType(
    {
        TType.BOOL: 1,
        TType.I08: 1,
        TType.I16: 2,
        TType.I32: 4,
        TType.I64: 8,
        TType.DOUBLE: 8,
    }
)
"""Sizes of values without a length, in bytes."""
_COUNT = struct.Struct('>i')
_LIST_HEAD = struct.Struct('>bi')
_FIELD_NUMBER_BYTES = 2


def check_structure(payload: bytes) -> None:
    """Check that an encoded struct consists of values of known types.

    :param payload: Encoding in the thrift binary protocol.
    :raises MalformedFrame: If it is truncated, too deep, or has a value of a
        type that no message has.
    """
    try:
        end = _skip_struct(payload, 0, MAX_DEPTH)
    except (IndexError, struct.error):
        raise MalformedFrame('payload is truncated') from None
    if end > len(payload):
        raise MalformedFrame('payload is truncated')


def _skip_struct(payload: bytes, at: int, depth: int) -> int:
    kind = payload[at]
    while kind != TType.STOP:
        at = _skip(payload, at + 1 + _FIELD_NUMBER_BYTES, kind, depth - 1)
        kind = payload[at]
    return at + 1


def _skip(payload: bytes, at: int, kind: int, depth: int) -> int:
    """Return the position after a value."""
    size = _SIZES.get(kind)
    if size is not None:
        return at + size
    if depth <= 0:
        raise MalformedFrame('payload is too deep')
    match kind:
        case TType.STRING:
            length = _COUNT.unpack_from(payload, at)[0]
            return at + _COUNT.size + _not_negative(length)
        case TType.STRUCT:
            return _skip_struct(payload, at, depth)
        case TType.LIST:
            return _skip_list(payload, at, depth)
        case _:
            raise MalformedFrame(f'payload has a value of type {kind}')


def _skip_list(payload: bytes, at: int, depth: int) -> int:
    kind, count = _LIST_HEAD.unpack_from(payload, at)
    at += _LIST_HEAD.size
    size = _SIZES.get(kind)
    if size is not None:
        return at + size * _not_negative(count)
    for _ in range(_not_negative(count)):
        at = _skip(payload, at, kind, depth - 1)
    return at


def _not_negative(count: int) -> int:
    if count < 0:
        raise MalformedFrame('payload has a negative length')
    return count
