"""Loopback path from one entry VM to one target that can be cut."""

from __future__ import annotations

import asyncio
import enum
import socket
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHUNK = 65_536
"""Maximum number of bytes that are read at a time."""
BACKLOG_CONNECTIONS = 3
"""Connections that fill the queue of a listener that accepts none."""


class Cut(enum.Enum):
    """How a path is cut."""

    NONE = 'none'
    RESET = 'reset'
    """Open connections are reset, and new ones refused."""
    HANG = 'hang'
    """Open connections go silent, and new ones are not established."""
    NEW_REFUSED = 'new refused'
    """Open connections live on, and new ones are refused."""


@attrs.define(eq=False)
class CutPath:
    """TCP proxy in front of one target, for one entry VM."""

    listen: Address
    """Address of the proxy."""
    forward: Address
    """Address of the target."""
    _cut: Cut = Cut.NONE
    _healed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _listener: AsyncExitStack = attrs.field(factory=AsyncExitStack)

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Forward connections until the block ends."""
        await self.change(Cut.NONE)
        try:
            yield
        finally:
            await self._listener.aclose()
            self._reset_connections()

    async def change(self, cut: Cut) -> None:
        """Cut the path, or heal it.

        :param cut: How it is cut from now on.
        """
        await self._listener.aclose()
        self._listener = AsyncExitStack()
        self._cut = cut
        match cut:
            case Cut.NONE:
                self._healed.set()
                server = await asyncio.start_server(
                    self._accept, self.listen.host, self.listen.port
                )
                self._listener.callback(server.close)
            case Cut.RESET:
                self._reset_connections()
            case Cut.HANG:
                self._healed = asyncio.Event()
                self._fill_backlog()

    def _fill_backlog(self) -> None:
        listener = self._listener.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.listen.host, self.listen.port))
        listener.listen(0)
        for _ in range(BACKLOG_CONNECTIONS):
            filler = self._listener.enter_context(socket.socket())
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect((self.listen.host, self.listen.port))

    def _reset_connections(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.CancelledError):
            await self._relay(reader, writer)
        writer.transport.abort()
        self._writers.discard(writer)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream = await asyncio.open_connection(
            self.forward.host, self.forward.port
        )
        self._writers.add(upstream[1])
        try:
            async with anyio.create_task_group() as tasks:
                scope = tasks.cancel_scope
                tasks.start_soon(self._copy, reader, upstream[1], scope)
                tasks.start_soon(self._copy, upstream[0], writer, scope)
        finally:
            upstream[1].transport.abort()
            self._writers.discard(upstream[1])

    async def _copy(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        scope: anyio.CancelScope,
    ) -> None:
        with suppress(OSError):
            while chunk := await source.read(CHUNK):
                await self._healed.wait()
                sink.write(chunk)
                await sink.drain()
        await self._healed.wait()
        scope.cancel()
