"""What one entry VM knows of its own zone."""

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
    """Latest record, holder table and VM list of a zone."""

    me: Member
    """The own process."""
    membership: Membership
    """What is known of the zone's entry VMs."""
    record: ZoneRecord | None = None
    """Latest record of the zone, or ``None``."""
    listed_since: float = math.inf
    """When the own process was first seen listed."""
    _holders_version: DocumentVersion = NO_VERSION
    _table: HolderTable | None = None

    @property
    def is_listed(self) -> bool:
        """Whether the own process is a member."""
        return self.find(self.me.number) is not None

    @property
    def record_version(self) -> int:
        """Version of the record, or zero."""
        return 0 if self.record is None else self.record.version

    def update_record(self, record: ZoneRecord, now: float) -> bool:
        """Take in a record if it is newer.

        :param record: The record.
        :param now: Current time.
        :return: Whether it was newer.
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
        """Take in a holder table if it is newer.

        :param version: Its version.
        :param table: The table.
        """
        if version > self._holders_version:
            self._holders_version = version
            self._table = table

    def find(self, number: int) -> Member | None:
        """Find a listed member.

        :param number: Number of the member.
        :return: The member, or ``None``.
        """
        return None if self.record is None else self.record.find_member(number)

    def gone(self, now: float) -> frozenset[int]:
        """Select the listed members whose processes have ended.

        :param now: Current time.
        :return: Their numbers.
        """
        members = () if self.record is None else self.record.members
        return self.membership.gone(members, now)

    def current_holders(self) -> dict[str, int]:
        """Tell which listed members fronted the targets so far.

        :return: Number of the member per target.
        """
        if self._table is None:
            return {}
        return {
            target: holder.number
            for target, holder in self._table.holders.items()
            if self.find(holder.number) is not None
        }

    def is_behind(self, message: LeaseRound) -> bool:
        """Tell whether a coordinator knows more.

        :param message: Its round.
        :return: ``True`` if its documents should be pulled.
        """
        if message.record_version > self.record_version:
            return True
        table = DocumentVersion(message.term, message.rank, message.holders)
        return message.holders > 0 and table > self._holders_version
