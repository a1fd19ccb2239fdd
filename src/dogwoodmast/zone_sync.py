"""How one entry VM keeps its documents level with peers and the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.events import Event, log_event
from dogwoodmast.zone_node import ZoneNode
from dogwoodmast.zone_services import ZoneServices

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dogwoodmast.address import Address


@attrs.define(eq=False)
class PeerFollower:
    """Pulls documents from peers, from one at a time."""

    _services: ZoneServices
    _node: ZoneNode
    _pulling: bool = False

    async def pull(self, address: Address | None) -> None:
        """Pull unless a pull is under way.

        :param address: Address of the peer; ``None`` for any member.
        """
        if self._pulling:
            return
        self._pulling = True
        try:
            await self._pull_from(self._addresses(address))
        finally:
            self._pulling = False

    async def _pull_from(self, addresses: list[Address]) -> None:
        for address in addresses:
            if await self._services.exchange.pull(address):
                return

    def _addresses(self, address: Address | None) -> list[Address]:
        if address is not None:
            return [address]
        record = self._node.record
        members = () if record is None else record.members
        me = self._services.me
        return [member.address for member in members if member.vm != me.vm]


@attrs.define(eq=False)
class PlatformFollower:
    """Follows the platform while the coordinator's role is held."""

    _services: ZoneServices
    _scope: anyio.CancelScope | None = None

    def follow(self, tasks: TaskGroup, *, has_role: bool) -> None:
        """Begin or end to follow the platform.

        :param tasks: Group that the reader runs in.
        :param has_role: Whether the role is held.
        """
        if has_role and self._scope is None:
            self._scope = anyio.CancelScope()
            tasks.start_soon(self._run, self._scope)
            log_event(Event.ROLE_TAKEN, zone=self._services.zone)
        elif not has_role and self._scope is not None:
            self._scope.cancel()
            self._scope = None
            log_event(Event.ROLE_GIVEN_UP, zone=self._services.zone)

    async def _run(self, scope: anyio.CancelScope) -> None:
        with scope:
            await self._services.reader.run()
