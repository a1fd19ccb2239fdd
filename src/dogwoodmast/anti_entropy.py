"""Regular comparison of documents with peers of other zones.

Within a zone, rounds tell members of news about the zone itself.  Each
coordinator compares with those of other zones regularly, and at once after
a change; it then compares with its members too.  So messages grow with the
changes and the zones, not with the entry VMs.  Every entry VM compares with
a random peer now and then, which also reaches those that know no
coordinator.
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
"""Time between a coordinator's comparisons with other zones, in seconds."""
MEMBER_INTERVAL = 4.0
"""Time between a member's comparisons with a random peer, in seconds."""
STARTING_INTERVAL = 0.3
"""Time between comparisons of an entry VM that knows no configuration, in
seconds."""
SETTLE_TIME = 0.02
"""Time after a change in which further ones are awaited, in seconds."""
JITTER = 0.25
"""Part of an interval by which it is varied at random."""


@attrs.define(eq=False)
class AntiEntropyLoop:
    """Compares documents with peers until cancelled."""

    _services: ZoneServices
    _agent: ZoneAgent
    _random: random.Random = attrs.field(factory=random.Random)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def on_documents(self) -> None:
        """Take in that documents have changed."""
        if self._agent.is_coordinator:
            self._changed.set()

    async def run(self) -> None:
        """Compare regularly until cancelled."""
        self._services.exchange.subscribe(self.on_documents)
        while True:
            with anyio.move_on_after(self._interval()):
                await self._changed.wait()
                await anyio.sleep(SETTLE_TIME)
            async with anyio.create_task_group() as tasks:
                for address in self._peers():
                    tasks.start_soon(self._services.exchange.pull, address)

    def _take_change(self) -> bool:
        changed = self._changed.is_set()
        if changed:
            self._changed = anyio.Event()
        return changed

    def _interval(self) -> float:
        spread = self._random.uniform(1 - JITTER, 1 + JITTER)
        if self._agent.is_coordinator:
            return COORDINATOR_INTERVAL * spread
        if self._services.builder.configuration() is None:
            return STARTING_INTERVAL * spread
        return MEMBER_INTERVAL * spread

    def _peers(self) -> list[Address]:
        listing = self._agent.listing
        changed = self._take_change()
        if not self._agent.is_coordinator:
            return self._random_peer(listing, None)
        others = self._other_coordinators(listing)
        return [*others, *self._own_members()] if changed else others

    def _own_members(self) -> list[Address]:
        services = self._services
        record = services.builder.zone_record(services.zone)
        members = () if record is None else record.members
        return [member.address for member in members if member != services.me]

    def _other_coordinators(self, listing: VmListing | None) -> list[Address]:
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
