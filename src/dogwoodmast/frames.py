"""Frames of the link protocol, and its messages other than calls.

A frame is preceded by its length as an unsigned big-endian integer.
"""

from __future__ import annotations

import struct

import attrs

from dogwoodmast._wire import decode, encode, wire_message
from dogwoodmast.errors import MalformedFrame

PROTOCOL_VERSION = 1
"""Version of the link protocol; peers close links with another one."""
MAX_FRAME_BYTES = 16_777_216
"""Largest frame that is accepted, without its length."""
LENGTH_BYTES = 4
"""Size of the length before each frame, in bytes."""

_LENGTH_PREFIX = struct.Struct('>I')


@wire_message('links')
@attrs.frozen
class Frame:
    """One message with its class name and correlation number."""

    kind: str
    """Class name of the message."""
    correlation: int
    """Number of the call that it belongs to, negated in the reply; zero for
    messages outside of calls."""
    payload: bytes
    """Thrift encoding of the message."""


@wire_message('links')
@attrs.frozen
class Hello:
    """First message on a link, identifying the process that opened it."""

    vm: str
    """Name of the entry VM."""
    zone: str
    """Availability zone of the entry VM."""
    incarnation: str
    """Unique id of the process, new at every start."""
    protocol: int
    """Version of the link protocol that the process uses."""


@wire_message('links')
@attrs.frozen
class Ping:
    """Liveness check; the peer replies with :class:`Pong`."""

    nonce: int
    """Number that the reply has to repeat."""


@wire_message('links')
@attrs.frozen
class Pong:
    """Reply to :class:`Ping`."""

    nonce: int
    """Nonce of the ping."""


@wire_message('links')
@attrs.frozen
class CancelRequest:
    """Ask the peer to cancel the handler of a call made on the same link."""

    cancelled: int
    """Correlation number of the call."""


def pack_frame(message: object, correlation: int) -> bytes:
    """Encode a message as a frame preceded by its length.

    :param message: Registered wire message.
    :param correlation: Number of the call, negated in the reply; zero for
        messages outside of calls.
    :return: Length and frame, ready to send.
    """
    frame = encode(Frame(type(message).__name__, correlation, encode(message)))
    return _LENGTH_PREFIX.pack(len(frame)) + frame


def unpack_length(prefix: bytes) -> int:
    """Decode the length before a frame.

    :param prefix: Exactly :data:`LENGTH_BYTES` bytes.
    :return: Length of the frame in bytes.
    :raises MalformedFrame: If it is over :data:`MAX_FRAME_BYTES`.
    """
    length: int = _LENGTH_PREFIX.unpack(prefix)[0]
    if length > MAX_FRAME_BYTES:
        raise MalformedFrame('frame longer than the limit')
    return length


def unpack_frame(body: bytes) -> Frame:
    """Decode a frame; its payload stays encoded.

    :param body: Bytes of the frame, without its length.
    :return: Decoded frame.
    :raises MalformedFrame: If the bytes are not a valid frame.
    """
    frame = decode(Frame.__name__, body)
    if not isinstance(frame, Frame):
        raise MalformedFrame('payload is not a frame')
    return frame
