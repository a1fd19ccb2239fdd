"""What targets may send: cut, garbled, doubled, unframed and early answers."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodmast.direct.target_connection import (
    OutgoingRequest,
    TargetConnection,
)
from dogwoodmast.errors import ExchangeAborted

ASKED = OutgoingRequest(b'GET', b'/x', [(b'host', b'h')], b'')
BODIES = st.binary(max_size=300)
CUTS = st.lists(st.integers(0, 500), max_size=4)


@attrs.define(eq=False)
class FakeTransport:
    """Transport that keeps what is written."""

    written: bytearray = attrs.field(factory=bytearray)
    closed: bool = False

    def write(self, sent: bytes) -> None:
        """Take bytes."""
        self.written += sent

    def is_closing(self) -> bool:
        """Tell whether it was closed."""
        return self.closed

    def get_extra_info(self, _name: str) -> Any:
        """Stand for the socket, too."""
        return self

    def setsockopt(self, *_option: Any) -> None:
        """Take an option of the socket."""

    def pause_reading(self) -> None:
        """Take the wish for fewer bytes."""

    def resume_reading(self) -> None:
        """Take the wish for more bytes."""


def framed(body: bytes, framing: str) -> bytes:
    """Write an answer with one of the framings of HTTP."""
    match framing:
        case 'length':
            head = b'content-length: %d\r\n' % len(body)
            return b'HTTP/1.1 200 OK\r\n%b\r\n%b' % (head, body)
        case 'chunked':
            chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
            head = b'transfer-encoding: chunked\r\n'
            return b'HTTP/1.1 200 OK\r\n%b\r\n%b0\r\n\r\n' % (head, chunk)
    return b'HTTP/1.1 200 OK\r\n\r\n%b' % body


def chunks(sent: bytes, cuts: list[int]) -> list[bytes]:
    """Cut bytes into the pieces that a network might make of them."""
    inner = {cut for cut in cuts if cut < len(sent)}
    places = sorted({0, len(sent), *inner})
    return [sent[first:last] for first, last in itertools.pairwise(places)]


async def exchange(
    pieces: list[bytes], end: str
) -> tuple[TargetConnection, bytes]:
    """Ask once, let the pieces arrive and the connection end."""
    connection = TargetConnection('t')
    connection.connection_made(FakeTransport())

    async def answer() -> None:
        for piece in pieces:
            connection.data_received(piece)
            await asyncio.sleep(0)
        if end == 'closed':
            connection.eof_received()
        elif end == 'reset':
            connection.connection_lost(ConnectionResetError())

    feeding = asyncio.create_task(answer())
    try:
        await connection.send_request(ASKED)
        body = b''.join([piece async for piece in connection.read_body()])
    finally:
        await feeding
    return connection, body


@given(BODIES, CUTS, st.sampled_from(('length', 'chunked')))
def test_whole_answer_is_read(
    body: bytes, cuts: list[int], framing: str
) -> None:
    """However it is cut into pieces, and the connection serves again."""
    pieces = chunks(framed(body, framing), cuts)
    connection, found = asyncio.run(exchange(pieces, ''))
    assert found == body
    assert connection.is_usable


@given(
    BODIES,
    st.integers(1, 400),
    st.sampled_from(('length', 'chunked')),
    st.sampled_from(('closed', 'reset')),
)
def test_cut_answer_is_never_whole(
    body: bytes, missing: int, framing: str, end: str
) -> None:
    """An answer that lacks its last bytes is a failure."""
    sent = framed(body, framing)
    kept = sent[: max(0, len(sent) - missing)]
    with pytest.raises(ExchangeAborted):
        asyncio.run(exchange([kept] if kept else [], end))


@given(BODIES, CUTS)
def test_answer_without_a_length_ends_with_its_connection(
    body: bytes, cuts: list[int]
) -> None:
    """An orderly end makes it whole, a reset does not."""
    pieces = chunks(framed(body, 'none'), cuts)
    connection, found = asyncio.run(exchange(pieces, 'closed'))
    assert found == body
    assert not connection.is_usable
    with pytest.raises(ExchangeAborted):
        asyncio.run(exchange(pieces, 'reset'))


@given(
    BODIES,
    st.sampled_from(('length', 'chunked')),
    st.binary(min_size=1, max_size=60) | st.just(framed(b'late', 'length')),
)
def test_bytes_after_an_answer_end_the_connection(
    body: bytes, framing: str, extra: bytes
) -> None:
    """They belong to no request, and no later request gets them."""
    sent = framed(body, framing) + extra
    connection, found = asyncio.run(exchange([sent], ''))
    assert found == body
    assert not connection.is_usable


@given(st.binary(min_size=1, max_size=200))
def test_garbage_is_a_failure(garbage: bytes) -> None:
    """Bytes that are no answer fail the exchange and nothing else."""
    with pytest.raises(ExchangeAborted):
        asyncio.run(exchange([b'\x00%b' % garbage], 'closed'))
