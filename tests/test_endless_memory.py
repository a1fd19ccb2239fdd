"""Memory that bytes without end take on many connections at once."""

from __future__ import annotations

import asyncio
import tracemalloc
from typing import Any

import anyio
import attrs
import pytest

from dogwoodmast.direct.target_connection import (
    MAX_DISCARDED_BYTES,
    READ_SIZE,
    OutgoingRequest,
    TargetConnection,
)
from dogwoodmast.errors import ExchangeAborted

pytestmark = pytest.mark.anyio

CONNECTIONS = 13
"""A tenth of the connections that one target accepts from all VMs together."""
MEMORY = 10_000_000
"""Memory that they may take, in bytes: a tenth of what is left of the 160 MB of
the smallest entry VMs beside an idle process, which takes about 60 MB."""
ROUNDS = 16
"""Number of times that a target sends as much as is read at once, if it may."""
START = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % START
REQUEST = OutgoingRequest(b'GET', b'/x', [], b'')
ENDLESS = (
    pytest.param(START, b'a:\r\n', id='empty headers'),
    pytest.param(START, b'a:%b\r\n' % (b'x' * 999), id='headers'),
    pytest.param(b'%ba:' % START, b'x', id='one header'),
    pytest.param(START, b'a:\r\n b\r\n', id='folded headers'),
    pytest.param(b'', b'x', id='no response'),
    pytest.param(b'', b'HTTP/1.1 100 \r\na:\r\n\r\n', id='interim'),
    pytest.param(CHUNKED, b'2\r\nxx\r\n', id='small chunks'),
    pytest.param(CHUNKED, b'1;a=b\r\nx\r\n', id='chunk extensions'),
    pytest.param(b'%b\r\n' % START, b'x', id='body without length'),
    pytest.param(b'%b0\r\n' % CHUNKED, b'a:\r\n', id='trailers'),
    pytest.param(
        b'', b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', id='responses'
    ),
)
"""Start of what a target sends, and what follows without end."""


@attrs.define(eq=False)
class Flow:
    """Transport of a connection, on which a target sends."""

    is_reading: bool = True
    """Whether the connection takes more bytes."""

    def pause_reading(self) -> None:
        """Take no more bytes for now."""
        self.is_reading = False

    def resume_reading(self) -> None:
        """Take more bytes."""
        self.is_reading = True

    def close(self) -> None:
        """Take no more bytes."""
        self.is_reading = False

    def is_closing(self) -> bool:
        """Tell whether the connection is being closed."""
        return not self.is_reading

    def write(self, _request: bytes) -> None:
        """Send a request."""

    def get_extra_info(self, _name: str) -> Any:
        """Return the socket."""
        return self

    def setsockopt(self, *_option: object) -> None:
        """Set an option of the socket."""


def connect() -> tuple[TargetConnection, Flow]:
    """Open a connection."""
    connection, flow = TargetConnection('t'), Flow()
    connection.connection_made(flow)
    return connection, flow


@pytest.mark.parametrize(('start', 'repeated'), ENDLESS)
async def test_bytes_without_end_take_little_memory(
    start: bytes, repeated: bytes
) -> None:
    """A VM keeps what is not read yet, and parses what it has received.

    Guards against a VM that runs out of memory, with which the requests of all
    other callers end.
    """
    pieces = repeated * (READ_SIZE // len(repeated))
    opened = [connect() for _ in range(CONNECTIONS)]
    waiting = [one.send_request(REQUEST) for one, _ in opened]
    for call in waiting:
        call.send(None)
    tracemalloc.start()
    try:
        for connection, flow in opened:
            connection.data_received(start)
            for _ in range(ROUNDS):
                if flow.is_reading:
                    connection.data_received(pieces)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    for call in waiting:
        call.close()
    assert not any(flow.is_reading for _, flow in opened)
    assert peak <= MEMORY


async def test_bytes_without_end_on_an_idle_connection_are_not_read() -> None:
    """No request is under way: the connection has only been opened."""
    connection, flow = connect()
    connection.data_received(b'x' * READ_SIZE)
    assert not flow.is_reading
    assert not connection.is_usable


async def test_discarded_body_without_end_is_not_read_on() -> None:
    """The answer to a grant, a release or a probe says all in its head."""
    connection, flow = connect()
    call = connection.send_request(REQUEST)
    call.send(None)
    connection.data_received(CHUNKED)
    with pytest.raises(StopIteration):
        call.send(None)
    piece = b'4000\r\n%b\r\n' % (b'x' * 16_384)
    sent: list[int] = []

    async def send_without_end() -> None:
        while not flow.is_closing():
            connection.data_received(piece)
            sent.append(len(piece))
            await asyncio.sleep(0)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_without_end)
        with anyio.fail_after(5), pytest.raises(ExchangeAborted):
            await connection.discard_body()
        tasks.cancel_scope.cancel()
    assert sum(sent) <= 2 * MAX_DISCARDED_BYTES
