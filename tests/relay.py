"""TCP relays that simulate network partitions and black-holed connections.

A relay forwards connections to a listener.  While the network between the
two ends of a connection is cut, the relay holds its bytes back without
closing it, as TCP does while it retransmits lost segments.
"""

from __future__ import annotations

from contextlib import ExitStack, suppress
from functools import partial
from typing import TYPE_CHECKING

import anyio
import attrs
from anyio.from_thread import BlockingPortal, start_blocking_portal
from anyio.streams.buffered import BufferedByteReceiveStream

from dogwoodmast._wire import decode
from dogwoodmast.address import Address
from dogwoodmast.errors import MalformedFrame
from dogwoodmast.frames import (
    LENGTH_BYTES,
    Hello,
    unpack_frame,
    unpack_length,
)

if TYPE_CHECKING:
    from anyio.abc import SocketStream, TaskStatus


_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    MalformedFrame,
)


@attrs.frozen
class Relay:
    """Addresses of a relay, and names of the two sides."""

    listen: Address
    """Address at which the relay listens."""
    forward: Address
    """Address to which it forwards connections."""
    server_names: frozenset[str]
    """Names of the server: its VM and zone, or ``platform`` or ``vm-list``."""
    client_names: frozenset[str] = frozenset()
    """Names of the client: its VM and zone.  If empty, they are read from the
    ``Hello`` message with which a link begins."""


@attrs.define(eq=False)
class _RelayedConnection:
    """Names of the client and of the server of one connection."""

    end_names: tuple[frozenset[str], frozenset[str]]
    blackholed: bool = False

    def connects(self, pair: frozenset[str]) -> bool:
        # A pair of equal names is a set of one name.
        client, server = self.end_names
        if len(pair) == 1:
            return bool(pair & client) and bool(pair & server)
        left, right = pair
        return (left in client and right in server) or (
            left in server and right in client
        )


@attrs.define(eq=False)
class Network:
    """Relays of one fleet, which run in an event loop in their own thread."""

    _cuts: set[frozenset[str]] = attrs.field(factory=set)
    _connections: set[_RelayedConnection] = attrs.field(factory=set)
    _stack: ExitStack = attrs.field(factory=ExitStack)
    _peak_counts: dict[Address, int] = attrs.field(factory=dict)
    _open_counts: dict[Address, int] = attrs.field(factory=dict)
    _portal: BlockingPortal | None = None
    _healed: anyio.Event | None = None

    @property
    def portal(self) -> BlockingPortal:
        """Portal that runs functions in the event loop of the relays."""
        assert self._portal is not None
        return self._portal

    def __enter__(self) -> Network:
        """Start the event loop thread."""
        self._portal = self._stack.enter_context(start_blocking_portal())
        self._healed = self._portal.call(anyio.Event)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop all relays and the thread."""
        self._stack.close()

    def add(self, relay: Relay) -> None:
        """Start a relay and return when it listens."""
        future, _ = self.portal.start_task(self._serve, relay)
        self._stack.callback(future.cancel)

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Cut the network between the VMs or zones of each pair.

        :param pairs: Names of VMs, of zones, ``platform`` or ``vm-list``.
            A pair of equal names cuts the connections within that zone.
        """
        self.portal.call(self._cuts.update, map(frozenset, pairs))

    def heal(self) -> None:
        """End all cuts and deliver the bytes held back."""
        self.portal.call(self._heal)

    def blackhole(self, name: str) -> None:
        """Hold back all bytes of a server's open connections permanently."""
        self.portal.call(self._blackhole, name)

    def peak_connections(self, listen: Address) -> int:
        """Return the peak number of concurrent connections of a relay."""
        return self._peak_counts.get(listen, 0)

    def _heal(self) -> None:
        self._cuts.clear()
        assert self._healed is not None
        self._healed.set()
        self._healed = anyio.Event()

    def _blackhole(self, name: str) -> None:
        for connection in self._connections:
            connection.blackholed = (
                connection.blackholed or name in connection.end_names[1]
            )

    async def _serve(
        self,
        relay: Relay,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        listener = await anyio.create_tcp_listener(
            local_host=relay.listen.host, local_port=relay.listen.port
        )
        async with listener:
            task_status.started()
            await listener.serve(partial(self._accept, relay))

    async def _accept(self, relay: Relay, client: SocketStream) -> None:
        address = relay.listen
        self._open_counts[address] = self._open_counts.get(address, 0) + 1
        self._peak_counts[address] = max(
            self.peak_connections(address), self._open_counts[address]
        )
        try:
            async with client:
                with suppress(*_CONNECTION_ERRORS):
                    await self._relay_connection(relay, client)
        finally:
            self._open_counts[address] -= 1

    async def _relay_connection(
        self, relay: Relay, client: SocketStream
    ) -> None:
        received = b''
        client_names = relay.client_names
        if not client_names:
            received, hello = await _read_hello(client)
            client_names = frozenset((hello.vm, hello.zone))
        connection = _RelayedConnection((client_names, relay.server_names))
        self._connections.add(connection)
        try:
            await self._wait_while_held(connection)
            await self._relay_both_ways(
                relay.forward, connection, client, received
            )
        finally:
            self._connections.discard(connection)

    async def _relay_both_ways(
        self,
        forward: Address,
        connection: _RelayedConnection,
        client: SocketStream,
        received: bytes,
    ) -> None:
        async with await anyio.connect_tcp(
            forward.host, forward.port
        ) as server:
            if received:
                await server.send(received)
            async with anyio.create_task_group() as tasks:
                scope = tasks.cancel_scope
                tasks.start_soon(self._pump, connection, client, server, scope)
                tasks.start_soon(self._pump, connection, server, client, scope)

    async def _pump(
        self,
        connection: _RelayedConnection,
        source: SocketStream,
        sink: SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        with suppress(*_CONNECTION_ERRORS):
            async for chunk in source:
                await self._wait_while_held(connection)
                await sink.send(chunk)
        await self._wait_while_held(connection)
        scope.cancel()

    async def _wait_while_held(self, connection: _RelayedConnection) -> None:
        while connection.blackholed or any(
            connection.connects(pair) for pair in self._cuts
        ):
            assert self._healed is not None
            await self._healed.wait()


async def _read_hello(client: SocketStream) -> tuple[bytes, Hello]:
    reader = BufferedByteReceiveStream(client)
    prefix = await reader.receive_exactly(LENGTH_BYTES)
    body = await reader.receive_exactly(unpack_length(prefix))
    frame = unpack_frame(body)
    hello = decode(frame.kind, frame.payload)
    if not isinstance(hello, Hello):
        raise MalformedFrame('a link must begin with a Hello message')
    return prefix + body + reader.buffer, hello
