"""HTTP/1.1 client connection to a target.

A connection carries one exchange at a time.  It is reused only if the last
response was complete and no bytes followed it.  It is implemented as an
asyncio protocol rather than on streams, whose tasks and cancel scopes take
more CPU time than the exchange itself.
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

CONNECT_TIMEOUT = 0.25
"""Time allowed to open a connection, in seconds; many round trips between
availability zones.  Nothing has been sent before, so the request takes another
way then."""
TCP_USER_TIMEOUT_MS = 500
"""Value of the socket option ``TCP_USER_TIMEOUT``: time after which the kernel
closes a connection whose sent bytes are not acknowledged, in milliseconds.
It covers one retransmission, after 200 ms, and detects a target that lost
power before most deadlines."""
READ_AHEAD_BYTES = 262_144
"""Bytes of a body that are buffered before they are read; beyond that, reading
from the socket pauses, so that flow control stops the target."""

READ_SIZE = 262_144
"""Bytes that the event loop passes on at a time at most; they may be body that
is not parsed yet."""
MAX_OVERHEAD_BYTES = 131_072
"""Bytes of a response besides its body that are accepted, eight times the usual
limit of callers' headers; more for bodies in small chunks."""
OVERHEAD_PER_BODY_BYTE = 16
"""Bytes of framing that are accepted for each byte of the body, as many as
chunks of one byte with short extensions take."""

BYTES_PER_HEADER = 128
"""Memory that a header takes beside its name and its value, in bytes."""
SMALL_CHUNK_BYTES = 1024
"""Size below which parts of a body are joined, in bytes; as objects of their
own, they would take many times the memory of their content."""

MAX_EXTRA_RESPONSES = 4
"""Number of responses to other requests that are accepted after one request."""
MAX_DISCARDED_BYTES = 1_048_576
"""Size up to which a body that nobody wants is read, in bytes; twice that of
the largest document in the platform contract."""

MAX_LINE_END_BYTES = 16
"""Line ends at the end of received bytes that are parsed one by one, to tell
those that end a response from those that follow it."""

_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d+)')
_METHODS_WITHOUT_BODY = frozenset((b'GET', b'HEAD', b'DELETE', b'OPTIONS'))
_LINGER_ZERO = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` that makes a close send a TCP reset."""
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200


@attrs.frozen
class OutgoingRequest:
    """HTTP request to a target."""

    method: bytes
    """HTTP method."""
    path: bytes
    """Path with query string."""
    headers: RawHeaders
    """Headers, without ``content-length`` and ``transfer-encoding``."""
    body: bytes
    """Complete body, empty if there is none."""

    def encode(self) -> bytes:
        """Serialize the request as HTTP/1.1.

        :return: Bytes to send, with a ``content-length`` if the method or the
            body calls for one.
        """
        lines = [b'%b %b HTTP/1.1' % (self.method, self.path)]
        lines.extend(b'%b: %b' % header for header in self.headers)
        if self.body or self.method not in _METHODS_WITHOUT_BODY:
            lines.append(b'content-length: %d' % len(self.body))
        lines.extend((b'', self.body))
        return b'\r\n'.join(lines)


@attrs.frozen
class ResponseHead:
    """Status line and headers of a response."""

    status: int
    """HTTP status."""
    headers: RawHeaders
    """Headers, with names in lower case."""
    has_length: bool = True
    """Whether the end of the body is told by the response itself, and not by
    the end of the connection."""


class TargetConnection(asyncio.Protocol):
    """Open connection to one target."""

    def __init__(self, name: str) -> None:
        """Create a protocol instance that is not yet connected.

        :param name: Name of the target, for error messages.
        """
        self._name = name
        self._transport: Any = None
        self._stream: _ResponseStream | None = None
        self._must_close = False
        self._is_new = True
        self._keep_alive_timeout: float | None = None

    @classmethod
    async def connect(cls, name: str, address: Address) -> TargetConnection:
        """Open a connection within ``CONNECT_TIMEOUT``.

        :param name: Name of the target, for error messages.
        :param address: Address of the target.
        :return: The open connection.
        :raises ConnectFailed: If it cannot be opened; ``is_absent`` is set if
            the target's host refused it because no process listens.
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
    def keep_alive_timeout(self) -> float | None:
        """Idle timeout that the last response announced, in seconds.

        ``None`` if the response had no ``keep-alive`` header with a timeout.
        """
        return self._keep_alive_timeout

    @property
    def is_new(self) -> bool:
        """Whether no request has been sent yet.

        A response to the first one cannot be that to an earlier one.
        """
        return self._is_new

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and ready for another exchange."""
        return (
            self._stream is None
            and not self._must_close
            and not self._transport.is_closing()
        )

    async def send_request(self, outgoing: OutgoingRequest) -> ResponseHead:
        """Send a request and wait for the head of the response.

        :param outgoing: Request to send.
        :return: Status and headers.
        :raises ExchangeAborted: If the connection broke first.
        """
        assert self._stream is None
        stream = _ResponseStream(outgoing.method == b'HEAD', self._transport)
        self._stream = stream
        self._is_new = False
        if self._must_close:
            stream.fail('connection closed before the request was sent')
        else:
            self._transport.write(outgoing.encode())
        head = await self._receive_head(stream)
        self._keep_alive_timeout = _keep_alive_timeout(head.headers)
        return head

    async def receive_another(self) -> ResponseHead:
        """Wait for the head of the response after one that was discarded.

        The connection is not reused afterwards, since it is not known whether
        more responses follow.

        :return: Status and headers.
        :raises ExchangeAborted: If the connection broke first, the response
            before was not complete, or there was too much to discard.
        """
        stream = self._stream
        assert stream is not None
        self._must_close = True
        await self._discard(self._read_chunks(stream))
        stream.skip()
        return await self._receive_head(stream)

    async def read_body(self) -> AsyncIterator[bytes]:
        """Read the body of the response.

        :return: Chunks of the body; the iterator ends normally only after a
            complete response.
        :raises ExchangeAborted: If the connection broke first.
        """
        stream = self._stream
        assert stream is not None
        async for chunk in self._read_chunks(stream):
            yield chunk
        self._stream = None
        self._must_close = self._must_close or not stream.can_reuse

    async def _receive_head(self, stream: _ResponseStream) -> ResponseHead:
        response = stream.first
        await stream.wait_until(lambda: response.head is not None)
        if response.head is None:
            raise ExchangeAborted(self._name, stream.failure)
        return response.head

    async def _read_chunks(
        self, stream: _ResponseStream
    ) -> AsyncIterator[bytes]:
        response = stream.first
        while True:
            await stream.wait_until(lambda: bool(response.chunks))
            if response.chunks:
                yield stream.pop_chunk()
            elif response.is_complete:
                break
            else:
                raise ExchangeAborted(self._name, stream.failure)

    async def discard_body(self) -> None:
        """Read the body of the response and discard it.

        :raises ExchangeAborted: If the connection broke first, or there was too
            much to discard.
        """
        await self._discard(self.read_body())

    async def _discard(self, chunks: AsyncIterator[bytes]) -> None:
        size = 0
        async for chunk in chunks:
            size += len(chunk)
            if size > MAX_DISCARDED_BYTES:
                raise ExchangeAborted(self._name, 'too much to discard')

    async def aclose(self) -> None:
        """Close the connection after unsent bytes have been sent."""
        self._transport.close()

    async def reset(self) -> None:
        """Abort the connection with a TCP reset and drop unsent bytes."""
        sock = self._transport.get_extra_info('socket')
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        self._transport.abort()

    def connection_made(self, transport: Any) -> None:
        """Store the transport and set the socket's time-out.

        The event loop has already switched Nagle's algorithm off.

        :param transport: Transport of the new connection.
        """
        self._transport = transport
        sock = transport.get_extra_info('socket')
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the response that is in progress.

        :param data: Received bytes.
        """
        if self._stream is None:
            # Bytes after a complete response belong to no request, and may
            # have no end.
            self._must_close = True
            self._transport.close()
            return
        self._stream.feed(data)
        if self._stream.failure:
            # The target may go on sending for as long as it is read from.
            self._must_close = True
            self._transport.close()

    def eof_received(self) -> bool:
        """Handle the end of the data that the target sends.

        :return: False, which closes the connection instead of leaving it half
            open.
        """
        self._must_close = True
        if self._stream is not None:
            self._stream.on_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response that is in progress, if any.

        :param exc: Cause, or ``None`` if the connection was closed regularly.
        """
        self._must_close = True
        if self._stream is not None:
            self._stream.fail(
                type(exc).__name__ if exc else 'connection closed'
            )


@attrs.define(eq=False)
class _IncomingResponse:
    """Response that is being received."""

    head: ResponseHead | None = None
    chunks: deque[bytes] = attrs.field(factory=deque)
    is_complete: bool = False
    _small: bytearray = attrs.field(factory=bytearray)

    def add(self, body: bytes) -> None:
        """Append a part of the body, joined with others if it is small."""
        if len(body) < SMALL_CHUNK_BYTES:
            self._small += body
        else:
            self.flush()
            self.chunks.append(body)

    def flush(self) -> None:
        """Let small parts that have been joined be read."""
        if self._small:
            self.chunks.append(bytes(self._small))
            self._small.clear()


class _HeadTooLong(Exception):
    """The headers of a response take too much memory."""


class _ResponseStream:
    """Responses that arrive after one request, with the parser's callbacks.

    More than one arrive if the target repeats those to earlier requests.
    """

    def __init__(self, is_head: bool, transport: Any) -> None:
        self.failure = ''
        self.can_reuse = False
        self._responses = deque([_IncomingResponse()])
        self._extra = 0
        self._is_head = is_head
        self._transport = transport
        self._headers: RawHeaders = []
        self._waiter: asyncio.Future[None] | None = None
        self._size = 0
        self._head_size = 0
        self._received = 0
        self._body_size = 0
        self._is_paused = False
        self._ends_with_connection = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def first(self) -> _IncomingResponse:
        """Response that is read next."""
        return self._responses[0]

    @property
    def _last(self) -> _IncomingResponse:
        """Response that the parser is in, or was in last."""
        return self._responses[-1]

    async def wait_until(self, condition: Any) -> None:
        """Wait for a condition, or for the first response to end or fail."""
        while not (condition() or self.first.is_complete or self.failure):
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def skip(self) -> None:
        """Drop the first response, which is complete and read."""
        self._responses.popleft()
        if not self._responses:
            self._responses.append(_IncomingResponse())
            if self._is_head or self._transport.is_closing():
                # Whether a body follows that response is not known.
                self.fail('connection closed')

    def pop_chunk(self) -> bytes:
        """Remove the next chunk of the body, and resume reading if paused."""
        chunk = self.first.chunks.popleft()
        self._size -= len(chunk)
        if self._is_paused and self._size < READ_AHEAD_BYTES:
            self._is_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
        return chunk

    def feed(self, data: bytes) -> None:
        """Parse received bytes, and pause reading if the buffer is full."""
        self._received += len(data)
        if self._last.is_complete:
            self.can_reuse = False
        if self._has_too_much_overhead():
            self.fail('response has no end')
            return
        try:
            self._parse(data)
        except httptools.HttpParserUpgrade:
            self.fail('unexpected protocol upgrade')
        except httptools.HttpParserError as error:
            self.fail(type(error).__name__)
            self.can_reuse = False
        for response in self._responses:
            response.flush()
        must_pause = self._size > READ_AHEAD_BYTES and not self.failure
        if must_pause and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def _parse(self, data: bytes) -> None:
        """Pass bytes to the parser, and notice line ends after the response.

        The parser skips line ends between two responses without a word.
        """
        line_ends = len(data) - len(data.rstrip(b'\r\n'))
        start = len(data) - min(line_ends, MAX_LINE_END_BYTES)
        if start:
            self._parser.feed_data(data[:start])
        for byte in data[start:]:
            if self._last.is_complete:
                self.can_reuse = False
                return
            self._parser.feed_data(bytes((byte,)))

    def _has_too_much_overhead(self) -> bool:
        overhead = self._received - self._body_size
        return (
            overhead
            > MAX_OVERHEAD_BYTES
            + READ_SIZE
            + OVERHEAD_PER_BODY_BYTE * self._body_size
        )

    def on_eof(self) -> None:
        """Handle a regular close by the target.

        It completes a response that has no length of its own.
        """
        is_at_end = self._last.head is not None and self._ends_with_connection
        if is_at_end and not self.failure:
            self._last.is_complete = True
            self._wake()
        else:
            self.fail('connection closed')

    def fail(self, reason: str) -> None:
        """Record the cause of a failure; complete responses remain."""
        self.failure = self.failure or reason
        self._wake()

    def on_header(self, name: bytes, field: bytes) -> None:
        """Store a header, unless all of them take too much memory.

        :raises _HeadTooLong: If they do, which the parser passes on.
        """
        self._head_size += len(name) + len(field) + BYTES_PER_HEADER
        if self._head_size > MAX_OVERHEAD_BYTES:
            self.fail('response head is too long')
            raise _HeadTooLong
        self._headers.append((name.lower(), field.rstrip(b' \t')))

    def on_headers_complete(self) -> None:
        """Handle the end of the headers; skip interim responses (1xx)."""
        status = self._parser.get_status_code()
        headers = self._headers
        self._headers = []
        if self._last.is_complete or status < _FIRST_FINAL_STATUS:
            return
        names = {name for name, _ in headers}
        self._ends_with_connection = (
            not names & {b'content-length', b'transfer-encoding'}
            and not self._is_head
            and status not in _STATUSES_WITHOUT_BODY
        )
        self._last.head = ResponseHead(
            status, headers, not self._ends_with_connection
        )
        if self._is_head:
            self._last.is_complete = True

    def on_body(self, body: bytes) -> None:
        """Append a chunk of the body."""
        if self._last.is_complete:
            return
        self._last.add(body)
        self._size += len(body)
        self._body_size += len(body)

    def on_message_begin(self) -> None:
        """Start another response, and rule out reuse."""
        self._headers = []
        if not self._last.is_complete or self._is_head:
            return
        self.can_reuse = False
        self._extra += 1
        if self._extra > MAX_EXTRA_RESPONSES:
            self.fail('too many responses')
        else:
            self._responses.append(_IncomingResponse())

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self._last.head is None or self._last.is_complete:
            return
        self._last.is_complete = True
        self.can_reuse = not self._extra and self._parser.should_keep_alive()

    def _wake(self) -> None:
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


def _keep_alive_timeout(headers: RawHeaders) -> float | None:
    for name, field in headers:
        if name == b'keep-alive':
            found = _KEEP_ALIVE_TIMEOUT.search(field)
            return float(found[1]) if found else None
    return None
