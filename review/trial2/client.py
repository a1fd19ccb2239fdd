"""Small HTTP/1.1 client, one connection for each request."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from dogwoodmast.address import Address

HOST_NAME = 'shop.example'
"""Host of all configured routes."""
NO_STATUS = 0
"""Status of an answer that did not come."""


@attrs.frozen
class Answer:
    """What a client got."""

    attempt: str
    """Attempt ID of the request."""
    status: int
    """HTTP status, ``NO_STATUS`` if there was no complete answer."""
    headers: dict[str, str] = attrs.field(factory=dict)
    """Headers, with names in lower case."""
    body: bytes = b''
    """Body."""

    @property
    def is_served(self) -> bool:
        """Whether it is a target's success."""
        return self.status == 200 and 'response-seal' in self.headers


@attrs.define(eq=False)
class Client:
    """Client that gives each attempt an ID of its own."""

    name: str
    """Begin of its attempt IDs."""
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    async def send(
        self,
        address: Address,
        path: str,
        *,
        method: str = 'GET',
        timeout_ms: int = 1500,
        key: int | None = None,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request on a new connection, and read its answer.

        :param address: Address of an entry VM.
        :param path: Path with query.
        :param method: HTTP method.
        :param timeout_ms: Deadline in milliseconds.
        :param key: Shard key, or ``None`` to send none.
        :param body: Body.
        :param headers: Further headers.
        :return: Answer.
        """
        attempt = f'{self.name}-{next(self._numbers)}'
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'Request-Attempt-Id: {attempt}',
            f'Request-Deadline-Ms: {timeout_ms}',
        ]
        if key is not None:
            lines.append(f'Shard-Key: {key}')
        lines += [f'{name}: {one}' for name, one in (headers or {}).items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join([*lines, '', '']).encode()
        try:
            async with asyncio.timeout(timeout_ms / 1000 + 1):
                return await _exchange(address, attempt, head + body)
        except (OSError, TimeoutError, EOFError, ValueError):
            return Answer(attempt, NO_STATUS)


async def _exchange(address: Address, attempt: str, request: bytes) -> Answer:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write(request)
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = {
            name.strip().lower(): found.strip()
            for name, _, found in (one.partition(':') for one in lines[1:])
            if name
        }
        status = int(lines[0].split(' ')[1])
        if 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        else:
            body = await _read_chunks(reader)
        return Answer(attempt, status, headers, body)
    finally:
        writer.close()


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b'\r\n')
    return bytes(body)
