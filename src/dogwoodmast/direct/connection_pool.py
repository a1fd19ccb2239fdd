"""Connections of one entry VM to a target or to the store."""

from __future__ import annotations

import attrs

from dogwoodmast.address import Address
from dogwoodmast.clock import Clock
from dogwoodmast.direct.target_connection import TargetConnection

IDLE_TIME = 4.0
"""Time after which an idle connection is no longer used where the target
does not say how long it keeps one, in seconds."""
IDLE_MARGIN = 1.0
"""Time by which a connection is given up before the target would, in
seconds; a request must not cross the target's close."""


@attrs.frozen
class _Idle:
    connection: TargetConnection
    until: float


@attrs.define(eq=False)
class ConnectionPool:
    """Idle connections to one address, most recently used first."""

    _name: str
    _address: Address
    _clock: Clock
    _idle: list[_Idle] = attrs.field(factory=list)

    async def acquire(self) -> TargetConnection:
        """Take an idle connection, or open one.

        :return: The connection, owned by the caller.
        :raises ConnectFailed: If none can be opened.
        """
        now = self._clock.monotonic()
        while self._idle:
            idle = self._idle.pop()
            if now < idle.until and idle.connection.is_usable:
                return idle.connection
            await idle.connection.aclose()
        return await TargetConnection.connect(self._name, self._address)

    async def release(self, connection: TargetConnection) -> None:
        """Keep a connection for later, or close it.

        :param connection: Connection that :meth:`take` gave.
        """
        if not connection.is_usable:
            await connection.reset()
            return
        kept = connection.keep_time
        idle_time = IDLE_TIME if kept is None else kept - IDLE_MARGIN
        until = self._clock.monotonic() + idle_time
        self._idle.append(_Idle(connection, until))

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().connection.aclose()
