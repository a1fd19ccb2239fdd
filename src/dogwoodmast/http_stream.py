"""Network backend for httpcore without time-outs of its own.

httpcore's own streams set up a time-out for every read and write.  Here a
cancel scope around the whole exchange bounds its time instead.  Writes are
buffered and sent in one piece at the next read, that is, when the response is
first waited for.
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
    """TCP stream that ignores time-outs and buffers writes."""

    def __init__(self, stream: SocketStream) -> None:
        """Wrap a connected stream.

        :param stream: Connected stream; :meth:`aclose` closes it.
        """
        self._stream = stream
        self._write_buffer: list[bytes] = []

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send the buffered writes, then wait for data.

        :param max_bytes: Largest number of bytes to return.
        :param timeout: Ignored.
        :return: Received bytes; empty at the end of the stream.
        :raises httpcore.ReadError: If sending or receiving failed.
        """
        try:
            await self._flush()
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b''
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer bytes until the next read.

        :param buffer: Bytes to send.
        :param timeout: Ignored.
        """
        if buffer:
            self._write_buffer.append(buffer)

    async def aclose(self) -> None:
        """Close the connection without waiting; buffered writes are lost."""
        await anyio.aclose_forcefully(self._stream)

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection that httpcore asks for.

        :param info: ``socket``, or ``is_readable``, which shows that an idle
            connection was closed by the server.
        :return: Its value, or ``None`` for any other property.
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
        if self._write_buffer:
            pending = b''.join(self._write_buffer)
            self._write_buffer.clear()
            await self._stream.send(pending)


def _is_readable(raw: socket.socket) -> bool:
    """Tell whether a read would return at once, with data or the end."""
    poll = select.poll()
    poll.register(raw, select.POLLIN)
    return bool(poll.poll(0))


class UntimedNetworkBackend(httpcore.AsyncNetworkBackend):
    """Network backend of httpcore that opens :class:`UntimedStream`."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection.

        :param host: IP address.
        :param port: TCP port.
        :param timeout: Time limit for connecting, in seconds, or ``None``.
        :param local_address: Ignored.
        :param socket_options: Options to set on the socket.
        :return: Connected stream.
        :raises httpcore.ConnectTimeout: If the time limit passed.
        :raises httpcore.ConnectError: If the connection failed.
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
