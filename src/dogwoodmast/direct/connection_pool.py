"""Pool of reusable connections from an entry VM to a target or the store."""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

from dogwoodmast.address import Address
from dogwoodmast.clock import Clock
from dogwoodmast.direct.target_connection import TargetConnection
from dogwoodmast.errors import ConnectFailed

DEFAULT_IDLE_TIMEOUT = 4.0
"""Time after which an idle connection is no longer reused if the server has
not sent a ``keep-alive`` timeout, in seconds."""
IDLE_TIMEOUT_MARGIN = 1.0
"""Time by which a connection expires here before the server's timeout, in
seconds, so that no request is sent while the server closes it."""


@attrs.frozen
class _IdleConnection:
    connection: TargetConnection
    usable_until: float


@attrs.define(eq=False)
class ConnectionPool:
    """Idle connections to one address, reused in last-in, first-out order."""

    _name: str
    _address: Address
    _clock: Clock
    _on_connect: Callable[[bool], None] | None = None
    _idle: list[_IdleConnection] = attrs.field(factory=list)

    @property
    def has_idle(self) -> bool:
        """Whether there is an idle connection that may be reused."""
        return (
            bool(self._idle)
            and self._clock.monotonic() < self._idle[-1].usable_until
        )

    async def acquire(
        self, avoided: Collection[TargetConnection] = ()
    ) -> TargetConnection:
        """Return an idle connection, or open a new one.

        :param avoided: Connections that are not returned; idle ones stay idle.
        :return: Connection for exclusive use, until :meth:`release`.
        :raises ConnectFailed: If a new connection cannot be opened.
        """
        return await self._take_idle(avoided) or await self.connect()

    async def _take_idle(
        self, avoided: Collection[TargetConnection]
    ) -> TargetConnection | None:
        now = self._clock.monotonic()
        kept: list[_IdleConnection] = []
        found = None
        while self._idle and found is None:
            idle = self._idle.pop()
            if now >= idle.usable_until or not idle.connection.is_usable:
                await idle.connection.aclose()
            elif idle.connection in avoided:
                kept.append(idle)
            else:
                found = idle.connection
        self._idle.extend(reversed(kept))
        return found

    async def acquire_new(self) -> TargetConnection:
        """Return a connection that has carried no request.

        :return: Connection for exclusive use, until :meth:`release`.
        :raises ConnectFailed: If a new connection cannot be opened.
        """
        used = [
            one.connection for one in self._idle if not one.connection.is_new
        ]
        return await self.acquire(used)

    async def connect(self) -> TargetConnection:
        """Open a new connection.

        :return: Connection for exclusive use, until :meth:`release`.
        :raises ConnectFailed: If it cannot be opened.
        """
        try:
            connection = await TargetConnection.connect(
                self._name, self._address
            )
        except ConnectFailed:
            self._report(is_open=False)
            raise
        self._report(is_open=True)
        return connection

    def _report(self, *, is_open: bool) -> None:
        if self._on_connect is not None:
            self._on_connect(is_open)

    async def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool, or reset it if it is not reusable.

        :param connection: Connection from :meth:`acquire`.
        """
        if not connection.is_usable:
            await connection.reset()
            return
        advertised = connection.keep_alive_timeout
        idle_timeout = (
            DEFAULT_IDLE_TIMEOUT
            if advertised is None
            else advertised - IDLE_TIMEOUT_MARGIN
        )
        usable_until = self._clock.monotonic() + idle_timeout
        self._idle.append(_IdleConnection(connection, usable_until))

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().connection.aclose()
