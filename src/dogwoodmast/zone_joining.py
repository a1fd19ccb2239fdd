"""Joining of one entry VM to the member list of its zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.backoff import Backoff
from dogwoodmast.errors import PlatformError
from dogwoodmast.membership import recover_membership
from dogwoodmast.ownership import ZoneRecord
from dogwoodmast.record_write_scheduler import WriteRecord
from dogwoodmast.zone_links import ZoneLinks
from dogwoodmast.zone_node import ZoneNode
from dogwoodmast.zone_record_writer import ZoneRecordWriter
from dogwoodmast.zone_services import ZoneServices

if TYPE_CHECKING:
    from dogwoodmast.address import Address
    from dogwoodmast.vm_list import VmListing

INITIAL_READ_DELAY = 0.5
"""Upper bound of the first backoff delay after a failed platform read, in
seconds."""
MAX_READ_DELAY = 5.0
"""Upper bound of all backoff delays, and the delay after a successful
platform read, in seconds."""


@attrs.define(eq=False)
class ZoneJoiner:
    """Attempts of one entry VM to become a member of its zone."""

    _services: ZoneServices
    _node: ZoneNode
    _links: ZoneLinks
    _records: ZoneRecordWriter
    _next_read_at: float = 0
    _backoff: Backoff = attrs.field(
        factory=lambda: Backoff(INITIAL_READ_DELAY, MAX_READ_DELAY)
    )

    async def attempt(self, listing: VmListing | None) -> None:
        """Send join requests to all known entry VMs of the zone.

        Without a record of the zone, it is created, or pulled from another
        entry VM if the platform was not read.  If all members have
        terminated, the record is rewritten with this process as a member.

        :param listing: Latest VM list, or ``None`` if it was never read.
        """
        platform_read = await self._read_platform()
        record = self._node.record
        if record is None:
            await self._bootstrap_record(listing, platform_read)
            return
        async with anyio.create_task_group() as tasks:
            for address in self._addresses(listing):
                tasks.start_soon(self._links.send_join, address)
        if not self._node.is_listed:
            await self._recover_if_all_terminated(record)

    async def _recover_if_all_terminated(self, record: ZoneRecord) -> None:
        services = self._services
        recovered = recover_membership(
            record, services.me, self._node.membership, services.now
        )
        if recovered is not None:
            await self._records.write(WriteRecord(record, recovered, 'reform'))

    async def _read_platform(self) -> bool:
        if self._services.now < self._next_read_at:
            return False
        try:
            await self._services.reader.refresh()
        except PlatformError:
            self._next_read_at = self._services.now + self._backoff.next_delay()
            return False
        self._next_read_at = self._services.now + MAX_READ_DELAY
        return True

    async def _bootstrap_record(
        self, listing: VmListing | None, platform_read: bool
    ) -> None:
        me = self._services.me
        if platform_read:
            if self._node.membership.may_join(me.vm):
                await self._records.write(self._first_record())
            self._next_read_at = 0
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
        addresses = {member.address for member in members}
        if listing is not None:
            vms = listing.entry_vms(self._services.zone)
            addresses.update(vm.address for vm in vms)
        addresses.discard(self._services.me.address)
        return sorted(addresses)
