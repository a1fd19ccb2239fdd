"""Network streams for HTTP connections whose caller bounds the time.

The library's own streams open a time-out around each read and write.
These leave that to the scope around the whole exchange, and send what was
written in one piece when the answer is first waited for.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable

    from anyio.abc import SocketStream


class UntimedStream(httpcore.AsyncNetworkStream):
    """TCP stream without time-outs of its own."""

    def __init__(self, stream: SocketStream) -> None:
        """Wrap a connected stream.

        :param stream: Connected stream, owned from now on.
        """
        self._stream = stream
        self._unsent: list[bytes] = []

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send what was written, then read.

        :param max_bytes: Bytes to read at most.
        :param timeout: Not used.
        :return: Bytes, or none at the end of the stream.
        :raises httpcore.ReadError: If the connection broke.
        """
        try:
            await self._flush()
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b''
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Keep bytes until the next read.

        :param buffer: Bytes to send.
        :param timeout: Not used.
        """
        if buffer:
            self._unsent.append(buffer)

    async def aclose(self) -> None:
        """Close the connection."""
        await anyio.aclose_forcefully(self._stream)

    def get_extra_info(self, info: str) -> Any:
        """Look up a property of the connection.

        :param info: Name of the property.
        :return: Its value, or ``None``.
        """
        raw = self._stream.extra(SocketAttribute.raw_socket, None)
        match info:
            case 'socket':
                return raw
            case 'is_readable':
                return raw is None or _is_readable(raw)
            case _:
                return None

    async def _flush(self) -> None:
        if self._unsent:
            unsent = b''.join(self._unsent)
            self._unsent.clear()
            await self._stream.send(unsent)


def _is_readable(raw: socket.socket) -> bool:
    poll = select.poll()
    poll.register(raw, select.POLLIN)
    return bool(poll.poll(0))


class UntimedNetworkBackend(httpcore.AsyncNetworkBackend):
    """Opener of streams without time-outs of their own."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection.

        :param host: IP number.
        :param port: TCP port.
        :param timeout: Time allowed, in seconds, or ``None``.
        :param local_address: Not used.
        :param socket_options: Options to set on the socket.
        :return: The stream.
        :raises httpcore.ConnectTimeout: If it took too long.
        :raises httpcore.ConnectError: If it could not be opened.
        """
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError from error
        raw = stream.extra(SocketAttribute.raw_socket)
        for option in socket_options or ():
            raw.setsockopt(*option)
        return UntimedStream(stream)
