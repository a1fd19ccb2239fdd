"""Synchronization of an entry VM's documents with peers and the platform."""

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
class DocumentPuller:
    """Pulls documents from peers, with at most one pull at a time."""

    _services: ZoneServices
    _node: ZoneNode
    _pulling: bool = False

    async def pull(self, address: Address | None) -> None:
        """Pull newer documents unless a pull is in progress.

        :param address: Address of the peer to pull from; ``None`` to try all
            other members in turn until one answers.
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
class PlatformWatcher:
    """Reads the platform continuously while this VM coordinates the zone."""

    _services: ZoneServices
    _scope: anyio.CancelScope | None = None

    def update(self, tasks: TaskGroup, *, has_role: bool) -> None:
        """Start or stop the platform reader if the role has changed.

        :param tasks: Task group in which the reader runs.
        :param has_role: Whether this entry VM has the coordinator role.
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
