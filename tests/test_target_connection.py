"""Responses of targets: truncated, malformed, repeated and early ones."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import attrs
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from dogwoodmast.direct.target_connection import (
    OutgoingRequest,
    TargetConnection,
)
from dogwoodmast.errors import ExchangeAborted

REQUEST = OutgoingRequest(b'GET', b'/x', [(b'host', b'h')], b'')
"""Request of all exchanges."""
BODIES = st.binary(max_size=300)
"""Bodies of responses."""
SPLIT_POINTS = st.lists(st.integers(0, 500), max_size=4)
"""Offsets at which the bytes of a response are split into chunks."""


@attrs.define(eq=False)
class FakeTransport:
    """Transport and socket that record what is written."""

    written: bytearray = attrs.field(factory=bytearray)
    """Bytes that were written."""
    closed: bool = False
    """Whether the transport counts as closed."""

    def write(self, sent: bytes) -> None:
        """Record bytes.

        :param sent: Bytes to write.
        """
        self.written += sent

    def is_closing(self) -> bool:
        """Tell whether the transport is closed.

        :return: Value of ``closed``.
        """
        return self.closed

    def get_extra_info(self, _name: str) -> Any:
        """Return the transport itself in place of its socket.

        :return: Object that accepts socket options.
        """
        return self

    def setsockopt(self, *_option: Any) -> None:
        """Ignore a socket option."""

    def close(self) -> None:
        """Close the transport."""
        self.closed = True

    def pause_reading(self) -> None:
        """Ignore that the reader's buffer is full."""

    def resume_reading(self) -> None:
        """Ignore that the reader's buffer has room again."""


def make_response(body: bytes, framing: str) -> bytes:
    """Encode a response with status 200.

    :param body: Body of the response.
    :param framing: ``length`` for ``content-length``, ``chunked`` for the
        chunked transfer coding, ``none`` for a body that the end of the
        connection delimits.
    :return: Encoded response.
    """
    match framing:
        case 'length':
            head = b'content-length: %d\r\n' % len(body)
            return b'HTTP/1.1 200 OK\r\n%b\r\n%b' % (head, body)
        case 'chunked':
            chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
            head = b'transfer-encoding: chunked\r\n'
            return b'HTTP/1.1 200 OK\r\n%b\r\n%b0\r\n\r\n' % (head, chunk)
    return b'HTTP/1.1 200 OK\r\n\r\n%b' % body


def split_bytes(sent: bytes, cuts: list[int]) -> list[bytes]:
    """Split bytes into chunks, as a network may.

    :param sent: Bytes to split.
    :param cuts: Offsets of the splits; those beyond the end are ignored.
    :return: Chunks in order.
    """
    split_points = {cut for cut in cuts if cut < len(sent)}
    bounds = sorted({0, len(sent), *split_points})
    return [sent[first:last] for first, last in itertools.pairwise(bounds)]


async def run_exchange(
    pieces: list[bytes], termination: str
) -> tuple[TargetConnection, bytes]:
    """Send a request and read the response.

    :param pieces: Chunks that arrive.
    :param termination: ``closed`` or ``reset`` for the way in which the
        connection ends after them, or empty if it stays open.
    :return: The connection and the body of the response.
    :raises ExchangeAborted: If the response is not complete.
    """
    connection = TargetConnection('t')
    connection.connection_made(FakeTransport())

    async def deliver() -> None:
        for piece in pieces:
            connection.data_received(piece)
            await asyncio.sleep(0)
        if termination == 'closed':
            connection.eof_received()
        elif termination == 'reset':
            connection.connection_lost(ConnectionResetError())

    delivery = asyncio.create_task(deliver())
    try:
        await connection.send_request(REQUEST)
        body = b''.join([piece async for piece in connection.read_body()])
    finally:
        await delivery
    return connection, body


@given(BODIES, SPLIT_POINTS, st.sampled_from(('length', 'chunked')))
def test_complete_response_is_read(
    body: bytes, cuts: list[int], framing: str
) -> None:
    """A complete response is read, and the connection can be reused.

    Guards against a parser that depends on how the network splits the bytes.
    """
    pieces = split_bytes(make_response(body, framing), cuts)
    connection, found = asyncio.run(run_exchange(pieces, ''))
    assert found == body
    assert connection.is_usable


@given(
    BODIES,
    st.integers(1, 400),
    st.sampled_from(('length', 'chunked')),
    st.sampled_from(('closed', 'reset')),
)
def test_truncated_response_is_a_failure(
    body: bytes, missing: int, framing: str, termination: str
) -> None:
    """A response without its last bytes fails the exchange.

    The connection ends too early.  Guards against passing a truncated body on
    as a complete one.
    """
    sent = make_response(body, framing)
    kept = sent[: max(0, len(sent) - missing)]
    with pytest.raises(ExchangeAborted):
        asyncio.run(run_exchange([kept] if kept else [], termination))


@given(BODIES, SPLIT_POINTS)
def test_response_without_length_ends_with_the_connection(
    body: bytes, cuts: list[int]
) -> None:
    """A close completes a response without length; a reset does not.

    Guards against taking a reset, which may have dropped bytes, for the end of
    the body.
    """
    pieces = split_bytes(make_response(body, 'none'), cuts)
    connection, found = asyncio.run(run_exchange(pieces, 'closed'))
    assert found == body
    assert not connection.is_usable
    with pytest.raises(ExchangeAborted):
        asyncio.run(run_exchange(pieces, 'reset'))


@given(
    BODIES,
    st.sampled_from(('length', 'chunked')),
    st.binary(min_size=1, max_size=60)
    | st.just(make_response(b'late', 'length')),
)
@example(b'', 'length', b'\r')
@example(b'', 'chunked', b'\n' * 40)
@example(b'\n' * 40, 'length', b'\r\n')
def test_bytes_after_an_answer_end_the_connection(
    body: bytes, framing: str, extra: bytes
) -> None:
    """A connection with bytes after a response is not used again.

    Guards against giving these bytes, such as a late response, to the next
    request of another caller.
    """
    sent = make_response(body, framing) + extra
    connection, found = asyncio.run(run_exchange([sent], ''))
    assert found == body
    assert not connection.is_usable


@given(st.binary(min_size=1, max_size=200))
def test_malformed_response_is_a_failure(garbage: bytes) -> None:
    """Bytes that are no HTTP response fail the exchange.

    Guards against an exception other than ``ExchangeAborted``, which callers of
    the connection do not handle.
    """
    with pytest.raises(ExchangeAborted):
        asyncio.run(run_exchange([b'\x00%b' % garbage], 'closed'))
