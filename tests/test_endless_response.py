"""Targets that send bytes without end, over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore
import pytest

from direct_fleet import direct_fleet, free_address
from platform_target import PlatformTarget

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from direct_fleet import DirectFleet

pytestmark = pytest.mark.anyio

TIMEOUT_MS = 1000
"""Time that the caller allows, in milliseconds."""
MARGIN = 0.5
"""Time after it within which everything has to have ended, in seconds."""
MAX_SENT_BYTES = 16_000_000
"""Bytes that a target may get rid of while nothing of them is delivered:
buffers of the kernel on both sides, and what the VM reads."""
START = b'HTTP/1.1 200 OK\r\nRequest-Attempt-Id: a\r\nResponse-Seal: s\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % START
PIECE = 16_384
"""Size of what is sent without end, in bytes."""
FILLER = b'x' * PIECE
ENDLESS_HEADS = (
    pytest.param(START, b'X-More: %b\r\n' % FILLER[:100], id='headers'),
    pytest.param(b'%bX-Long: ' % START, FILLER, id='one header'),
    pytest.param(b'HTTP/1.1 200 ', FILLER, id='status line'),
    pytest.param(
        b'', b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n', id='interim'
    ),
    pytest.param(b'', b'\r\n' * PIECE, id='empty lines'),
    pytest.param(b'%b1;' % CHUNKED, FILLER, id='chunk extension'),
    pytest.param(
        b'%b2\r\nok\r\n0\r\n' % CHUNKED, b'X-Trailer: y\r\n', id='trailers'
    ),
)
"""Start of a response, and what follows without end: never a whole one."""
ENDLESS_BODIES = (
    pytest.param(CHUNKED, b'4000\r\n%b\r\n' % FILLER, id='chunks'),
    pytest.param(b'%b\r\n' % START, FILLER, id='without length'),
)
"""The same with an end of the head and a body without end."""


@attrs.define(eq=False)
class EndlessTarget:
    """Target that answers each request with bytes that never end."""

    start: bytes
    """What is sent first."""
    repeated: bytes
    """What is sent after it, until the connection is closed."""
    sent: int = 0
    """Bytes sent so far on all connections."""
    connections: int = 0
    """Connections on which bytes are being sent."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request without end.

        :param reader: Bytes from the entry VM.
        :param writer: Bytes to the entry VM.
        """
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            self.connections += 1
            try:
                await self._send(writer)
            finally:
                self.connections -= 1
        writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        # Small writes would keep the event loop, which the VM shares.
        piece = self.repeated * max(1, PIECE // len(self.repeated))
        writer.write(self.start)
        while True:
            writer.write(piece)
            await writer.drain()
            self.sent += len(piece)


@contextlib.asynccontextmanager
async def endless_fleet(target: EndlessTarget) -> AsyncIterator[DirectFleet]:
    """Run an entry VM whose only target is endless.

    :param target: Target to list.
    :return: Fleet that is ready.
    """
    address = free_address()
    server = await asyncio.start_server(
        target.serve, address.host, address.port
    )
    async with direct_fleet(PlatformTarget('p')) as fleet:
        await fleet.wait_until_ready()
        fleet.addresses['p'] = address
        fleet.list_target('p', born=2)
        await anyio.sleep(1)
        yield fleet
    server.close()


@pytest.mark.parametrize(('start', 'repeated'), ENDLESS_HEADS)
async def test_head_without_end_fills_the_memory(
    start: bytes, repeated: bytes
) -> None:
    """Its bytes are bounded, and its connection is closed."""
    target = EndlessTarget(start, repeated)
    async with endless_fleet(target) as fleet:
        began = time.monotonic()
        response = await fleet.send_request(
            '/payment/x', method='POST', timeout_ms=TIMEOUT_MS, attempt='a'
        )
        assert time.monotonic() - began < TIMEOUT_MS / 1000 + MARGIN
        assert response.status in {502, 504}
        await anyio.sleep(MARGIN)
        assert not target.connections
        assert target.sent < MAX_SENT_BYTES


@pytest.mark.parametrize(('start', 'repeated'), ENDLESS_BODIES)
async def test_body_without_end_outlives_its_request(
    start: bytes, repeated: bytes
) -> None:
    """It ends with the request's time, and never looks complete."""
    target = EndlessTarget(start, repeated)
    async with endless_fleet(target) as fleet:
        began = time.monotonic()
        with pytest.raises(httpcore.RemoteProtocolError):
            await fleet.send_request(
                '/payment/x', method='POST', timeout_ms=TIMEOUT_MS, attempt='a'
            )
        assert time.monotonic() - began < TIMEOUT_MS / 1000 + MARGIN
        await anyio.sleep(MARGIN)
        assert not target.connections


@pytest.mark.parametrize(('start', 'repeated'), ENDLESS_BODIES)
async def test_body_without_end_fills_the_memory_of_a_slow_caller(
    start: bytes, repeated: bytes
) -> None:
    """A caller that reads nothing stops the target by flow control."""
    target = EndlessTarget(start, repeated)
    async with endless_fleet(target) as fleet:
        caller = fleet.callers[0]
        stream = await anyio.connect_tcp(caller.host, caller.port)
        async with stream:
            await stream.send(
                b'POST /payment/x HTTP/1.1\r\nHost: shop.example\r\n'
                b'Request-Attempt-Id: a\r\nRequest-Deadline-Ms: %d\r\n'
                b'Content-Length: 0\r\n\r\n' % TIMEOUT_MS
            )
            await anyio.sleep(TIMEOUT_MS / 1000 + MARGIN)
            assert not target.connections
        assert target.sent < MAX_SENT_BYTES
