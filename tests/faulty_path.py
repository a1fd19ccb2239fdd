"""Loopback proxy in front of a listener, with the misbehaviour of a network."""

from __future__ import annotations

import asyncio
import enum
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHUNK = 65_536
SLOW_DELAY = 0.15
"""Time by which a slow path holds up each piece, in seconds."""


class PathState(enum.Enum):
    """What a path does with bytes."""

    OPEN = 'open'
    SLOW = 'slow'
    RESET = 'reset'
    """Connections are reset, and new ones at once."""
    SILENT = 'silent'
    """Bytes are held up both ways; connections still open."""
    ONE_WAY = 'one way'
    """Bytes arrive at the listener, and none come back."""


@attrs.define(eq=False)
class FaultyPath:
    """Proxy of one listener."""

    listen: Address
    forward: Address
    _state: PathState = PathState.OPEN
    _is_down: bool = False
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    def set_down(self, *, is_down: bool) -> None:
        """Tell whether the listener's process has ended."""
        self._is_down = is_down
        self._reset_if_closed()

    def turn(self, state: PathState) -> None:
        """Let the path behave otherwise from now on."""
        self._state = state
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        self._reset_if_closed()

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Serve until the block ends."""
        server = await asyncio.start_server(
            self._accept, self.listen.host, self.listen.port
        )
        try:
            yield
        finally:
            server.close()
            for writer in tuple(self._writers):
                writer.transport.abort()

    def _reset_if_closed(self) -> None:
        if self._is_down or self._state is PathState.RESET:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self._reset_if_closed()
        with suppress(OSError, asyncio.CancelledError):
            await self._join(reader, writer)
        writer.transport.abort()
        self._writers.discard(writer)

    async def _join(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        back, onward = await asyncio.open_connection(
            self.forward.host, self.forward.port
        )
        self._writers.add(onward)
        try:
            async with anyio.create_task_group() as tasks:
                scope = tasks.cancel_scope
                tasks.start_soon(self._pump, (reader, onward), False, scope)
                tasks.start_soon(self._pump, (back, writer), True, scope)
        finally:
            onward.transport.abort()
            self._writers.discard(onward)

    async def _pump(
        self,
        ends: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        is_back: bool,
        scope: anyio.CancelScope,
    ) -> None:
        source, sink = ends
        with suppress(OSError):
            while chunk := await source.read(CHUNK):
                await self._pass(is_back=is_back)
                sink.write(chunk)
                await sink.drain()
        await self._pass(is_back=is_back)
        scope.cancel()

    async def _pass(self, *, is_back: bool) -> None:
        """Wait while the path holds bytes of this direction up."""
        holding = {PathState.SILENT, *((PathState.ONE_WAY,) * is_back)}
        while self._state in holding:
            await self._changed.wait()
        if self._state is PathState.SLOW:
            await asyncio.sleep(SLOW_DELAY)
