"""One HTTP connection to a target.

The connection carries one exchange at a time.  It is used again only if the
last answer was complete and nothing came after it.
"""

from __future__ import annotations

import re
import socket
from typing import TYPE_CHECKING

import anyio
import attrs
import h11
import httpcore

from dogwoodmast._asgi import RawHeaders
from dogwoodmast.errors import ConnectFailed, ExchangeAborted
from dogwoodmast.http_stream import ExchangeBackend, ExchangeStream

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodmast.address import Address

CONNECT_TIMEOUT = 0.5
"""Time allowed to open a connection, in seconds; a target that is up answers
within the time between zones, and a lost packet is sent again after 0.2 s."""
TCP_USER_TIMEOUT = 2000
"""Time for which the kernel goes on sending bytes that a target does not
acknowledge, in milliseconds; well below the contact bound of the platform."""
READ_SIZE = 65_536
"""Bytes that are read at a time."""

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
_KEEP_TIMEOUT = re.compile(rb'timeout=(\d+)')
_BODILESS = frozenset((b'GET', b'HEAD', b'DELETE', b'OPTIONS'))
_STREAM_FAILURES = (
    httpcore.NetworkError,
    h11.RemoteProtocolError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@attrs.frozen
class Outgoing:
    """Request as it is sent to a target."""

    method: bytes
    """HTTP method."""
    path: bytes
    """Path with query."""
    headers: RawHeaders
    """Headers, without those that frame the body."""
    body: bytes
    """Body."""


@attrs.frozen
class AnswerHead:
    """Beginning of a target's answer."""

    status: int
    """HTTP status."""
    headers: RawHeaders
    """Headers, with names in lower case."""


class TargetConnection:
    """Open connection to one target."""

    def __init__(self, name: str, stream: ExchangeStream) -> None:
        """Wrap a stream.

        :param name: Name of the target, for errors.
        :param stream: Connected stream, owned from now on.
        """
        self._name = name
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)
        self._keep_time: float | None = None

    @classmethod
    async def connect(cls, name: str, address: Address) -> TargetConnection:
        """Open a connection.

        :param name: Name of the target.
        :param address: Its address.
        :return: The connection.
        :raises ConnectFailed: If it cannot be opened.
        """
        try:
            stream = await ExchangeBackend().connect_tcp(
                address.host,
                address.port,
                timeout=CONNECT_TIMEOUT,
                socket_options=_SOCKET_OPTIONS,
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            raise ConnectFailed(name) from None
        assert isinstance(stream, ExchangeStream)
        return cls(name, stream)

    @property
    def keep_time(self) -> float | None:
        """Time for which the target keeps it when idle, if it told one."""
        return self._keep_time

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may begin."""
        return (
            self._http.our_state is h11.IDLE
            and self._http.their_state is h11.IDLE
            and not self._http.trailing_data[0]
            and not self._stream.get_extra_info('is_readable')
        )

    async def start(self, outgoing: Outgoing) -> AnswerHead:
        """Send a request and await the beginning of its answer.

        :param outgoing: The request.
        :return: Status and headers.
        :raises ExchangeAborted: If the connection broke.
        """
        headers = list(outgoing.headers)
        if outgoing.body or outgoing.method not in _BODILESS:
            length = str(len(outgoing.body)).encode()
            headers.append((b'content-length', length))
        request = h11.Request(
            method=outgoing.method, target=outgoing.path, headers=headers
        )
        try:
            await self._stream.write(self._packed(request, outgoing.body))
            return await self._read_head()
        except _STREAM_FAILURES as error:
            raise ExchangeAborted(self._name, type(error).__name__) from None

    async def read_body(self) -> AsyncIterator[bytes]:
        """Read the rest of the answer.

        :return: Its pieces; the iterator ends only with the whole answer.
        :raises ExchangeAborted: If the connection broke.
        """
        try:
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    break
        except _STREAM_FAILURES as error:
            raise ExchangeAborted(self._name, type(error).__name__) from None
        self._end_exchange()

    async def aclose(self) -> None:
        """Close the connection."""
        with anyio.CancelScope(shield=True):
            await self._stream.aclose()

    async def reset(self) -> None:
        """Close the connection so that nothing unsent is delivered."""
        with anyio.CancelScope(shield=True):
            await self._stream.reset()

    def _packed(self, request: h11.Request, body: bytes) -> bytes:
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    async def _read_head(self) -> AnswerHead:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = list(event.headers)
                self._keep_time = _keep_time(headers)
                return AnswerHead(event.status_code, headers)
            if isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError('closed without an answer')

    async def _next_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._stream.read(READ_SIZE))

    def _end_exchange(self) -> None:
        states = (self._http.our_state, self._http.their_state)
        if states == (h11.DONE, h11.DONE):
            self._http.start_next_cycle()


def _keep_time(headers: RawHeaders) -> float | None:
    for name, value in headers:
        if name == b'keep-alive':
            found = _KEEP_TIMEOUT.search(value)
            return float(found[1]) if found else None
    return None
