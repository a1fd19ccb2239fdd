"""Transport that joins the writes of one step of the event loop.

A server writes the head and the body of a response one after another; each
write would be a system call.
"""

from __future__ import annotations

import asyncio
from typing import Any

MAX_JOINED_BYTES = 65_536
"""Bytes from which on writes are passed on at once, so that flow control sees
them."""


class JoinedWrites:
    """Wrapper of a transport; all but writes and the close pass through."""

    @property
    def written(self) -> int:
        """Number of bytes that were written."""
        return self._passed_on + self._size

    def __init__(self, transport: Any) -> None:
        """Wrap a transport.

        :param transport: Open transport of a connection.
        """
        self._transport = transport
        self.is_closing = transport.is_closing
        self._loop = asyncio.get_running_loop()
        self._chunks: list[bytes] = []
        self._size = 0
        self._passed_on = 0

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the transport.

        :param name: Name of the attribute.
        :return: Attribute.
        """
        return getattr(self._transport, name)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the client has yet to take.

        :return: Number of bytes.
        """
        return self._size + int(self._transport.get_write_buffer_size())

    def write(self, chunk: bytes) -> None:
        """Send bytes, at the latest in the next step of the event loop.

        :param chunk: Bytes to send.
        """
        if not self._chunks:
            self._loop.call_soon(self.flush)
        self._chunks.append(chunk)
        self._size += len(chunk)
        if self._size >= MAX_JOINED_BYTES:
            self.flush()

    def flush(self) -> None:
        """Pass the bytes that were written to the transport."""
        if not self._chunks:
            return
        joined = b''.join(self._chunks)
        self._chunks.clear()
        self._passed_on += self._size
        self._size = 0
        if not self._transport.is_closing():
            self._transport.write(joined)

    def close(self) -> None:
        """Close the connection after all bytes have been sent."""
        self.flush()
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, and drop what has not been sent."""
        self._chunks.clear()
        self._size = 0
        self._transport.abort()
