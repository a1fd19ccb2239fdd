"""How an entry VM comes to be listed as a member of its zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.backoff import Backoff
from dogwoodmast.errors import PlatformError
from dogwoodmast.membership import recover_membership
from dogwoodmast.ownership import ZoneRecord
from dogwoodmast.record_writer import WriteRecord
from dogwoodmast.zone_links import ZoneLinks
from dogwoodmast.zone_node import ZoneNode
from dogwoodmast.zone_records import ZoneRecords
from dogwoodmast.zone_services import ZoneServices

if TYPE_CHECKING:
    from dogwoodmast.address import Address
    from dogwoodmast.vm_list import VmListing

READ_DELAY = 0.5
"""Upper bound of the first delay between reads, in seconds."""
LONGEST_READ_DELAY = 5.0
"""Upper bound of the delays between reads, in seconds."""


@attrs.define(eq=False)
class ZoneJoining:
    """Attempts of one entry VM to be listed."""

    _services: ZoneServices
    _node: ZoneNode
    _links: ZoneLinks
    _records: ZoneRecords
    _read_at: float = 0
    _backoff: Backoff = attrs.field(
        factory=lambda: Backoff(READ_DELAY, LONGEST_READ_DELAY)
    )

    async def attempt(self, listing: VmListing | None) -> None:
        """Make one attempt.

        :param listing: VM list, or ``None`` if it was never read.
        """
        reached = await self._read_platform()
        record = self._node.record
        if record is None:
            await self._begin_without_record(listing, reached)
            return
        async with anyio.create_task_group() as tasks:
            for address in self._addresses(listing):
                tasks.start_soon(self._links.send_join, address)
        if not self._node.is_listed:
            await self._reform(record)

    async def _reform(self, record: ZoneRecord) -> None:
        services = self._services
        reform = recover_membership(
            record, services.me, self._node.membership, services.now
        )
        if reform is not None:
            await self._records.write(WriteRecord(record, reform, 'reform'))

    async def _read_platform(self) -> bool:
        if self._services.now < self._read_at:
            return False
        try:
            await self._services.reader.refresh()
        except PlatformError:
            self._read_at = self._services.now + self._backoff.next_delay()
            return False
        self._read_at = self._services.now + LONGEST_READ_DELAY
        return True

    async def _begin_without_record(
        self, listing: VmListing | None, reached: bool
    ) -> None:
        me = self._services.me
        if reached:
            if self._node.membership.may_join(me.vm):
                await self._records.write(self._first_record())
            self._read_at = 0
            return
        for address in self._addresses(listing):
            if await self._services.exchange.pull(address):
                return

    def _first_record(self) -> WriteRecord:
        zone = self._services.zone
        empty = ZoneRecord(zone, 0, 0, (), {})
        first = ZoneRecord(
            zone, 1, 1, (self._services.me,), {}, members_version=1
        )
        return WriteRecord(empty, first, 'creation')

    def _addresses(self, listing: VmListing | None) -> list[Address]:
        record = self._node.record
        members = () if record is None else record.members
        known = {member.address for member in members}
        if listing is not None:
            vms = listing.entry_vms(self._services.zone)
            known.update(vm.address for vm in vms)
        known.discard(self._services.me.address)
        return sorted(known)
