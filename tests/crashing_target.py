"""Stand-in of a target that a certain request crashes."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

POISON = b'poison'
"""Word in the path of a request that crashes a target."""
DOWN_TIME = 0.5
"""Time until a crashed target listens again, in seconds."""


@attrs.define(eq=False)
class CrashingTarget:
    """Target that ends when it runs a request with the word."""

    address: Address
    crashes: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.address.host, self.address.port
        )

    async def stop(self) -> None:
        """End with all connections."""
        for task in self._tasks:
            task.cancel()
        self._end()

    def _end(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if POISON in head.split(b'\r\n')[0]:
                    self._crash()
                    return
                writer.write(_answer(head))

    def _crash(self) -> None:
        self.crashes += 1
        self._end()
        self._tasks.add(asyncio.create_task(self._return()))

    async def _return(self) -> None:
        await asyncio.sleep(DOWN_TIME)
        await self.start()


def _answer(head: bytes) -> bytes:
    attempt = next(
        line.split(b': ')[1]
        for line in head.split(b'\r\n')
        if line.lower().startswith(b'request-attempt-id')
    )
    return (
        b'HTTP/1.1 200 OK\r\nRequest-Attempt-Id: %b\r\n'
        b'Response-Seal: sealed\r\nContent-Length: 2\r\n\r\nok' % attempt
    )


@contextlib.asynccontextmanager
async def crashing(*targets: CrashingTarget) -> AsyncIterator[None]:
    """Run targets until the block ends."""
    try:
        for target in targets:
            await target.start()
        yield
    finally:
        for target in targets:
            await target.stop()
