"""Anti-entropy replication of documents between entry VMs.

The coordinator of each zone exchanges documents with the coordinators and
with one random entry VM of each other zone, at regular intervals and soon
after a change.  After a change it also exchanges with all members of its own
zone.  The number of these exchanges therefore grows with the number of
changes and zones rather than with the number of entry VMs.

Every other entry VM exchanges documents with a random peer from time to time.
This also reaches entry VMs that know no coordinator.  Newer versions of a
zone's own record and holder table are pulled by its members as soon as a
lease round mentions them; see :mod:`dogwoodmast.zone_sync`.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.zone_agent import ZoneAgent
from dogwoodmast.zone_services import ZoneServices

if TYPE_CHECKING:
    from dogwoodmast.address import Address
    from dogwoodmast.vm_list import VmListing

COORDINATOR_INTERVAL = 0.5
"""Mean interval between a coordinator's exchanges with other zones, in
seconds."""
MEMBER_INTERVAL = 4.0
"""Mean interval between exchanges with a random peer at an entry VM that is
not the coordinator, in seconds."""
BOOTSTRAP_INTERVAL = 0.3
"""Mean interval between exchanges with a random peer at an entry VM that has
not received a configuration yet, in seconds."""
BATCHING_DELAY = 0.02
"""Delay between a change and the exchange that spreads it, so that changes in
quick succession share one exchange, in seconds."""
JITTER = 0.25
"""Maximum random deviation of an interval, as a fraction of the interval."""


@attrs.define(eq=False)
class AntiEntropyLoop:
    """Exchanges documents with selected peers until cancelled."""

    _services: ZoneServices
    _agent: ZoneAgent
    _random: random.Random = attrs.field(factory=random.Random)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def on_documents(self) -> None:
        """Schedule an exchange soon if this entry VM is the coordinator."""
        if self._agent.is_coordinator:
            self._changed.set()

    async def run(self) -> None:
        """Exchange documents after changes and at intervals until cancelled."""
        self._services.exchange.subscribe(self.on_documents)
        while True:
            with anyio.move_on_after(self._interval()):
                await self._changed.wait()
                await anyio.sleep(BATCHING_DELAY)
            async with anyio.create_task_group() as tasks:
                for address in self._peers():
                    tasks.start_soon(self._services.exchange.pull, address)

    def _clear_change(self) -> bool:
        changed = self._changed.is_set()
        if changed:
            self._changed = anyio.Event()
        return changed

    def _interval(self) -> float:
        jitter = self._random.uniform(1 - JITTER, 1 + JITTER)
        if self._agent.is_coordinator:
            return COORDINATOR_INTERVAL * jitter
        if self._services.builder.configuration() is None:
            return BOOTSTRAP_INTERVAL * jitter
        return MEMBER_INTERVAL * jitter

    def _peers(self) -> list[Address]:
        listing = self._agent.listing
        changed = self._clear_change()
        if not self._agent.is_coordinator:
            return self._random_peer(listing, None)
        other_zones = self._peers_of_other_zones(listing)
        return [*other_zones, *self._own_members()] if changed else other_zones

    def _own_members(self) -> list[Address]:
        services = self._services
        record = services.builder.zone_record(services.zone)
        members = () if record is None else record.members
        return [member.address for member in members if member != services.me]

    def _peers_of_other_zones(self, listing: VmListing | None) -> list[Address]:
        services = self._services
        tables = services.builder.holder_tables()
        configuration = services.builder.configuration()
        zones = () if configuration is None else configuration.zones
        peers: list[Address] = []
        for zone in zones:
            table = tables.get(zone.name)
            if zone.name == services.zone:
                continue
            if table is not None:
                peers.append(table.coordinator.address)
            peers.extend(self._random_peer(listing, zone.name))
        return peers

    def _random_peer(
        self, listing: VmListing | None, zone: str | None
    ) -> list[Address]:
        if listing is None:
            return []
        me = self._services.me.vm
        others = [vm.address for vm in listing.entry_vms(zone) if vm.name != me]
        return [self._random.choice(others)] if others else []
