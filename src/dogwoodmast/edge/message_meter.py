"""Meter of a request that arrives in pieces.

The parser reports a header once it is whole, and keeps what it has of it until
then.  The meter counts what has arrived as well as what was reported, so that
neither one endless line nor endless lines are kept.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.edge.connection_phase import EndReason

if TYPE_CHECKING:
    from dogwoodmast._asgi import RawHeaders
    from dogwoodmast.edge.connection_limits import ConnectionLimits

FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header line besides name and value: colon, space, CR and LF."""
FIELD_MEMORY = 160
"""Memory that the objects of one header take besides its bytes."""
REQUEST_MEMORY = 4096
"""Memory that the objects of one request take besides its headers and body."""
HEAD_PIECE_BYTES = 512
"""Bytes that are parsed at a time where heads may follow one another."""
BODY_PIECE_BYTES = 65_536
"""Bytes that are parsed at a time within a body of known length."""
LINE_ALLOWANCE = 65_536
"""Bytes that may arrive besides the headers: the request line, and whitespace
that is no part of a value."""


class Stage(enum.Enum):
    """Part of a request that is being read."""

    BETWEEN = 'between'
    """No request has begun; empty lines may have arrived."""
    HEAD = 'head'
    """Request line and headers."""
    BODY = 'body'
    """Body and trailers."""


@attrs.define(eq=False)
class MessageMeter:
    """Counts the bytes of the request that is being read."""

    stage: Stage = Stage.BETWEEN
    """Part that is being read."""
    unreported: int = 0
    """Bytes that arrived since the start of the head, or since a part of the
    body was reported."""
    field_bytes: int = 0
    """Size of the headers, or of the trailers, that were reported."""
    fields: int = 0
    """Number of these."""
    body_bytes: int = 0
    """Size of the parts of the body that were reported."""
    discarded: int = 0
    """Bytes of the body that arrived after its response."""

    @property
    def memory(self) -> int:
        """Estimate of the memory that an unfinished head takes, in bytes."""
        if self.stage is Stage.BODY:
            return 0
        return self.unreported + self.fields * FIELD_MEMORY

    def request_memory(self, fields: int) -> int:
        """Estimate the memory that a request takes without its body.

        Its head has just been read.

        :param fields: Number of its headers.
        :return: Size in bytes.
        """
        return REQUEST_MEMORY + self.unreported + fields * FIELD_MEMORY

    def on_body_bytes(self, count: int, *, is_discarded: bool) -> None:
        """Count bytes of a body or trailers that are about to be parsed.

        :param count: Number of bytes.
        :param is_discarded: Whether the response to their request is complete.
        """
        self.unreported += count
        if is_discarded:
            self.discarded += count

    def on_begin(self) -> None:
        """Begin a head."""
        self.stage = Stage.HEAD

    def on_headers(self, headers: RawHeaders) -> None:
        """Count the headers that were reported so far.

        :param headers: Headers of the request that is being read.
        """
        for name, field in headers[self.fields :]:
            self.on_field(name, field)

    def on_field(self, name: bytes, field: bytes) -> None:
        """Count a header or a trailer.

        :param name: Name.
        :param field: Value.
        """
        self.field_bytes += len(name) + len(field) + FIELD_OVERHEAD_BYTES
        self.fields += 1

    def on_head_end(self) -> None:
        """Begin a body."""
        self.stage = Stage.BODY
        self.body_bytes = 0
        self.unreported = 0
        self.field_bytes = 0
        self.fields = 0

    def on_body(self, count: int) -> None:
        """Count a part of the body.

        :param count: Number of bytes.
        """
        self.unreported = 0
        self.body_bytes += count

    def on_end(self) -> None:
        """Count from the end of a request on."""
        self.stage = Stage.BETWEEN
        self.unreported = 0
        self.body_bytes = 0
        self.field_bytes = 0
        self.fields = 0
        self.discarded = 0

    def piece_size(self, available: int, headers: RawHeaders) -> int:
        """Return how many bytes may be parsed at once.

        :param available: Number of bytes that have arrived.
        :param headers: Headers of the request that is being read.
        :return: Number of bytes, which hold the heads of few requests.
        """
        if self.stage is not Stage.BODY or available <= HEAD_PIECE_BYTES:
            return HEAD_PIECE_BYTES
        rest = announced_length(headers) - self.body_bytes
        return max(HEAD_PIECE_BYTES, min(rest, BODY_PIECE_BYTES))

    def excess(self, limits: ConnectionLimits) -> EndReason | None:
        """Tell which limit a request exceeds.

        :param limits: Limits on the connection.
        :return: Why it is refused, or ``None`` if it is within them.
        """
        allowed = limits.header_bytes + LINE_ALLOWANCE
        if self.field_bytes > limits.header_bytes or self.unreported > allowed:
            return EndReason.HEADER_BYTES
        if self.discarded > limits.body_bytes:
            return EndReason.DISCARDED_BYTES
        return None


def announced_length(headers: RawHeaders) -> int:
    """Return the length of a body that its request announces.

    :param headers: Headers of the request.
    :return: Length in bytes; 0 if none is announced.
    """
    for name, field in headers:
        if name == b'content-length' and field.isdigit():
            return int(field)
    return 0
