"""Callers of the entry VMs, each request on a new connection."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from dogwoodmast.address import Address

HOST = 'shop.example'
"""Host of all routes."""
MARGIN = 1.0
"""Time beyond its deadline for which a caller reads, in seconds."""


@attrs.frozen
class Sent:
    """Request that a caller sent, and how it ended."""

    attempt: str
    """Attempt ID."""
    line: str
    """Request line."""
    sent_at: float
    """Monotonic time at which it was sent, in seconds."""
    ended_at: float
    """Monotonic time of the end, in seconds."""
    status: int
    """Status of the answer; 0 for none."""
    body: bytes
    """Body of the answer."""


@attrs.define(eq=False)
class Callers:
    """Callers, and the record of their requests."""

    sent: list[Sent] = attrs.field(factory=list)
    """Requests that have ended."""
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    async def send(
        self,
        vm: Address,
        path: str,
        *,
        method: str = 'GET',
        key: int | None = None,
        timeout_ms: int = 1200,
        body: bytes = b'',
    ) -> Sent:
        """Send one request and read its answer.

        :param vm: Address of the entry VM.
        :param path: Path with query.
        :param method: HTTP method.
        :param key: Shard key, or ``None`` to send none.
        :param timeout_ms: Time that the caller waits, in milliseconds.
        :param body: Body of the request.
        :return: The request and how it ended.
        """
        attempt = f'{next(self._numbers):016x}'
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Attempt-Id: {attempt}',
            f'Request-Deadline-Ms: {timeout_ms}',
            'Connection: close',
        ]
        if key is not None:
            lines.append(f'Shard-Key: {key}')
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        request = '\r\n'.join([*lines, '', '']).encode() + body
        sent_at = time.monotonic()
        answer = b''
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000 + MARGIN):
                answer = await _exchange(vm, request)
        status, content = _parse(answer)
        ended = Sent(
            attempt, lines[0], sent_at, time.monotonic(), status, content
        )
        self.sent.append(ended)
        return ended


async def _exchange(vm: Address, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(vm.host, vm.port)
    try:
        writer.write(request)
        return await reader.read(-1)
    finally:
        writer.close()


def _parse(answer: bytes) -> tuple[int, bytes]:
    head, _, body = answer.partition(b'\r\n\r\n')
    words = head.split(b' ', 2)
    if len(words) < 2 or not words[1].isdigit():
        return 0, b''
    return int(words[1]), body
