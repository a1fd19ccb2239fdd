"""State of the own zone, as received by one entry VM."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.document_store import NO_VERSION, DocumentVersion
from dogwoodmast.membership import Membership
from dogwoodmast.ownership import HolderTable, Member, ZoneRecord

if TYPE_CHECKING:
    from dogwoodmast.zone_messages import LeaseRound


@attrs.define(eq=False)
class ZoneState:
    """Latest received record and holder table of the own zone."""

    me: Member
    """Process of this entry VM."""
    membership: Membership
    """View of the zone's entry VMs, from the VM list and join requests."""
    record: ZoneRecord | None = None
    """Latest record of the zone, or ``None`` if none has been received."""
    listed_since: float = math.inf
    """Monotonic time at which a received record first listed this process, in
    seconds; infinite if none has."""
    _holders_version: DocumentVersion = NO_VERSION
    _holder_table: HolderTable | None = None

    @property
    def is_listed(self) -> bool:
        """Whether the latest record lists this process as a member."""
        return self.find(self.me.number) is not None

    @property
    def record_version(self) -> int:
        """Version of the latest record; zero if none has been received."""
        return 0 if self.record is None else self.record.version

    def update_record(self, record: ZoneRecord, now: float) -> bool:
        """Replace the record by a newer one.

        :param record: Record of the zone; ignored unless it is newer.
        :param now: Monotonic time in seconds.
        :return: ``True`` if the record was replaced.
        """
        if record.version <= self.record_version:
            return False
        self.record = record
        if self.is_listed:
            self.listed_since = min(self.listed_since, now)
        return True

    def update_holders(
        self, version: DocumentVersion, table: HolderTable
    ) -> None:
        """Replace the holder table by a newer one.

        :param version: Version of the table's document.
        :param table: Holder table of the zone; ignored unless its version is
            newer.
        """
        if version > self._holders_version:
            self._holders_version = version
            self._holder_table = table

    def find(self, number: int) -> Member | None:
        """Find a member by its number.

        :param number: Number of the member.
        :return: Member that the latest record lists under this number, or
            ``None``.
        """
        return None if self.record is None else self.record.find_member(number)

    def terminated_members(self, now: float) -> frozenset[int]:
        """Select the members whose processes are known to have terminated.

        :param now: Monotonic time in seconds.
        :return: Numbers of these members.
        """
        members = () if self.record is None else self.record.members
        return self.membership.terminated(members, now)

    def current_holders(self) -> dict[str, int]:
        """Return the planned leaseholders of the latest holder table.

        :return: Number of the holder per target; holders that are no longer
            members are left out.
        """
        if self._holder_table is None:
            return {}
        return {
            target: holder.number
            for target, holder in self._holder_table.holders.items()
            if self.find(holder.number) is not None
        }

    def is_behind(self, message: LeaseRound) -> bool:
        """Tell whether a coordinator has a newer record or holder table.

        :param message: Lease round of the coordinator.
        :return: ``True`` if its documents should be pulled.
        """
        if message.record_version > self.record_version:
            return True
        version = DocumentVersion(message.term, message.rank, message.holders)
        return message.holders > 0 and version > self._holders_version
