"""Target on plain sockets, which records requests byte by byte."""

from __future__ import annotations

import asyncio
import time

import attrs

from dogwoodmast.address import Address

_OK = (
    b'HTTP/1.1 200 OK\r\n'
    b'Request-Attempt-Id: %b\r\n'
    b'Response-Seal: sealed\r\n'
    b'Content-Length: 2\r\n'
    b'\r\n'
    b'ok'
)


@attrs.frozen
class Received:
    """Request that a target ran."""

    at: float
    """Monotonic time, in seconds."""
    line: bytes
    """Request line."""
    headers: dict[bytes, bytes]
    """Headers, with names in lower case."""
    body: bytes
    """Body."""

    @property
    def attempt(self) -> str:
        """Attempt ID."""
        return self.headers.get(b'request-attempt-id', b'').decode('latin-1')


@attrs.define(eq=False)
class RawTarget:
    """Target that runs each request at once."""

    address: Address
    """Address to listen on."""
    received: list[Received] = attrs.field(factory=list)
    """Requests in the order in which they ran."""

    async def start(self) -> asyncio.Server:
        """Start to listen.

        :return: Server, which the caller closes.
        """
        return await asyncio.start_server(
            self._serve, self.address.host, self.address.port
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await _read_request(reader)
                self.received.append(request)
                attempt = request.headers.get(b'request-attempt-id', b'')
                writer.write(_OK % attempt)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Received:
    head = await reader.readuntil(b'\r\n\r\n')
    line, *lines = head.strip().split(b'\r\n')
    headers = {}
    for one in lines:
        name, _, field = one.partition(b':')
        headers[name.strip().lower()] = field.strip()
    length = int(headers.get(b'content-length', b'0'))
    body = await reader.readexactly(length)
    return Received(time.monotonic(), line, headers, body)
