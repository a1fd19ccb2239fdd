"""One HTTP connection to a target.

The connection carries one exchange at a time.  It is used again only if the
last answer was complete and nothing came after it.  It is a protocol of the
event loop instead of a stream, since the tasks and scopes of a stream cost
more processor time than the exchange itself.
"""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from collections import deque
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import httptools

from dogwoodmast._asgi import RawHeaders
from dogwoodmast.errors import ConnectFailed, ExchangeAborted

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodmast.address import Address

CONNECT_TIMEOUT = 0.5
"""Time allowed to open a connection, in seconds; a target that is up answers
within the time between zones, and a lost packet is sent again after 0.2 s."""
TCP_USER_TIMEOUT = 500
"""Time for which the kernel goes on sending bytes that a target does not
acknowledge, in milliseconds; one lost packet is sent again after 200 ms, and
a target that lost power is noticed before most deadlines."""
READ_AHEAD = 262_144
"""Bytes of a body that are taken from the socket before they are asked for;
the rest waits in the target."""

_KEEP_TIMEOUT = re.compile(rb'timeout=(\d+)')
_BODILESS = frozenset((b'GET', b'HEAD', b'DELETE', b'OPTIONS'))
_NO_LINGER = struct.pack('ii', 1, 0)
_NO_CONTENT = frozenset((204, 304))
_FIRST_FINAL = 200


@attrs.frozen
class OutgoingRequest:
    """Request as it is sent to a target."""

    method: bytes
    """HTTP method."""
    path: bytes
    """Path with query."""
    headers: RawHeaders
    """Headers, without those that frame the body."""
    body: bytes
    """Body."""

    def packed(self) -> bytes:
        """Write the request.

        :return: Its bytes.
        """
        lines = [b'%b %b HTTP/1.1' % (self.method, self.path)]
        lines.extend(b'%b: %b' % header for header in self.headers)
        if self.body or self.method not in _BODILESS:
            lines.append(b'content-length: %d' % len(self.body))
        lines.extend((b'', self.body))
        return b'\r\n'.join(lines)


@attrs.frozen
class AnswerHead:
    """Beginning of a target's answer."""

    status: int
    """HTTP status."""
    headers: RawHeaders
    """Headers, with names in lower case."""


class TargetConnection(asyncio.Protocol):
    """Open connection to one target."""

    def __init__(self, name: str) -> None:
        """Create a connection that is not yet open.

        :param name: Name of the target, for errors.
        """
        self._name = name
        self._transport: Any = None
        self._exchange: _Exchange | None = None
        self._is_spoiled = False
        self._keep_time: float | None = None

    @classmethod
    async def connect(cls, name: str, address: Address) -> TargetConnection:
        """Open a connection.

        :param name: Name of the target.
        :param address: Its address.
        :return: The connection.
        :raises ConnectFailed: If it cannot be opened.
        """
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(
                    lambda: cls(name), address.host, address.port
                )
        except ConnectionRefusedError:
            raise ConnectFailed(name, is_absent=True) from None
        except (OSError, TimeoutError):
            raise ConnectFailed(name) from None
        return connection

    @property
    def keep_time(self) -> float | None:
        """Time for which the target keeps it when idle, if it told one."""
        return self._keep_time

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may begin."""
        return (
            self._exchange is None
            and not self._is_spoiled
            and not self._transport.is_closing()
        )

    async def send_request(self, outgoing: OutgoingRequest) -> AnswerHead:
        """Send a request and await the beginning of its answer.

        :param outgoing: The request.
        :return: Status and headers.
        :raises ExchangeAborted: If the connection broke.
        """
        assert self._exchange is None
        exchange = _Exchange(outgoing.method == b'HEAD', self._transport)
        self._exchange = exchange
        if self._is_spoiled:
            exchange.fail('closed before the request')
        else:
            self._transport.write(outgoing.packed())
        await exchange.await_news(lambda: exchange.head is not None)
        if exchange.head is None:
            raise ExchangeAborted(self._name, exchange.failure)
        self._keep_time = _keep_time(exchange.head.headers)
        return exchange.head

    async def read_body(self) -> AsyncIterator[bytes]:
        """Read the rest of the answer.

        :return: Its pieces; the iterator ends only with the whole answer.
        :raises ExchangeAborted: If the connection broke.
        """
        exchange = self._exchange
        assert exchange is not None
        while True:
            await exchange.await_news(lambda: bool(exchange.pieces))
            if exchange.pieces:
                yield exchange.take_piece()
            elif exchange.is_whole:
                break
            else:
                raise ExchangeAborted(self._name, exchange.failure)
        self._exchange = None
        self._is_spoiled = self._is_spoiled or not exchange.may_go_on

    async def discard_body(self) -> None:
        """Read the rest of the answer without keeping it.

        :raises ExchangeAborted: If the connection broke.
        """
        await _drain(self.read_body())

    async def aclose(self) -> None:
        """Close the connection."""
        self._transport.close()

    async def reset(self) -> None:
        """Close the connection so that nothing unsent is delivered."""
        raw = self._transport.get_extra_info('socket')
        if raw is not None and not self._transport.is_closing():
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self._transport.abort()

    def connection_made(self, transport: Any) -> None:
        """Keep the transport.

        :param transport: Transport of the connection.
        """
        self._transport = transport
        raw = transport.get_extra_info('socket')
        raw.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT
        )
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Take what the target sent.

        :param data: Its bytes.
        """
        if self._exchange is None or self._exchange.is_whole:
            # Bytes beyond an answer belong to no request.
            self._is_spoiled = True
            return
        self._exchange.feed(data)

    def eof_received(self) -> bool:
        """Take the end of what the target sends.

        :return: Whether to keep the connection half open.
        """
        self._is_spoiled = True
        if self._exchange is not None:
            self._exchange.end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection.

        :param exc: Why it ended, or ``None``.
        """
        self._is_spoiled = True
        if self._exchange is not None:
            self._exchange.fail(type(exc).__name__ if exc else 'closed')


class _Exchange:
    """One answer while it comes in."""

    def __init__(self, is_head: bool, transport: Any) -> None:
        self.head: AnswerHead | None = None
        self.pieces: deque[bytes] = deque()
        self.is_whole = False
        self.failure = ''
        self.may_go_on = False
        self._is_head = is_head
        self._transport = transport
        self._headers: RawHeaders = []
        self._waiter: asyncio.Future[None] | None = None
        self._size = 0
        self._is_paused = False
        self._ends_with_connection = False
        self._parser = httptools.HttpResponseParser(self)

    async def await_news(self, is_there: Any) -> None:
        """Wait until something is there, or the exchange has ended."""
        while not (is_there() or self.is_whole or self.failure):
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def take_piece(self) -> bytes:
        """Take the next piece of the body."""
        piece = self.pieces.popleft()
        self._size -= len(piece)
        if self._is_paused and self._size < READ_AHEAD:
            self._is_paused = False
            self._transport.resume_reading()
        return piece

    def feed(self, data: bytes) -> None:
        """Parse bytes of the answer."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail('protocol upgrade')
        except httptools.HttpParserError as error:
            if not self.is_whole:
                self.fail(type(error).__name__)
            self.may_go_on = False
        if self._size > READ_AHEAD and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def end(self) -> None:
        """Take an orderly end of the connection."""
        if self.head is not None and self._ends_with_connection:
            self.is_whole = True
            self._wake()
        else:
            self.fail('closed')

    def fail(self, reason: str) -> None:
        """Give up the exchange."""
        if not self.is_whole:
            self.failure = self.failure or reason
        self._wake()

    def on_header(self, name: bytes, field: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), field.rstrip(b' \t')))

    def on_headers_complete(self) -> None:
        """Take the end of the headers."""
        status = self._parser.get_status_code()
        headers = self._headers
        self._headers = []
        if self.is_whole or status < _FIRST_FINAL:
            return
        names = {name for name, _ in headers}
        self._ends_with_connection = (
            not names & {b'content-length', b'transfer-encoding'}
            and not self._is_head
            and status not in _NO_CONTENT
        )
        self.head = AnswerHead(status, headers)
        if self._is_head:
            self.is_whole = True

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        if self.is_whole:
            return
        self.pieces.append(body)
        self._size += len(body)

    def on_message_begin(self) -> None:
        """Recognize an answer beyond the one that was asked for."""
        if self.is_whole:
            self.may_go_on = False

    def on_message_complete(self) -> None:
        """Take the end of the answer."""
        if self.head is None or self.is_whole:
            return
        self.is_whole = True
        self.may_go_on = self._parser.should_keep_alive()

    def _wake(self) -> None:
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


async def _drain(pieces: AsyncIterator[bytes]) -> int:
    return sum([len(piece) async for piece in pieces])


def _keep_time(headers: RawHeaders) -> float | None:
    for name, field in headers:
        if name == b'keep-alive':
            found = _KEEP_TIMEOUT.search(field)
            return float(found[1]) if found else None
    return None
