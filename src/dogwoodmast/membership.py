"""Who is to be listed as a member of a zone, free of I/O and clocks.

A member is gone when the VM list has not shown its VM for a while, or when
a later incarnation of its VM was heard.  Both mean that its process has
ended, since a member is listed only after the VM list showed its VM.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.ownership import Member, ZoneRecord
from dogwoodmast.vm_list import VmListing, VmState

if TYPE_CHECKING:
    from collections.abc import Iterable

ABSENCE_CONFIRMATION = 1.0
"""Time that the VM list must not show a VM for, in seconds."""
JOIN_LIFETIME = 5.0
"""Time after which a request to join is forgotten, in seconds."""


@attrs.frozen
class JoinWish:
    """Request of a process to be listed."""

    member: Member
    """The process."""
    at: float
    """When it was last made."""


@attrs.define(eq=False)
class Membership:
    """What one entry VM knows of its zone's entry VMs."""

    _zone: str
    _latest: dict[str, str] = attrs.field(factory=dict)
    _absent_since: dict[str, float] = attrs.field(factory=dict)
    _listed: frozenset[str] | None = None
    _leaving: frozenset[str] = frozenset()
    _wishes: dict[int, JoinWish] = attrs.field(factory=dict)

    @property
    def leaving(self) -> frozenset[str]:
        """Entry VMs that the VM list shows as leaving."""
        return self._leaving

    def on_incarnation(self, vm: str, incarnation: str) -> None:
        """Take in that a process was heard.

        :param vm: Name of its VM.
        :param incarnation: Identity of the run.
        """
        if incarnation > self._latest.get(vm, ''):
            self._latest[vm] = incarnation

    def on_listing(
        self, listing: VmListing, record: ZoneRecord | None, now: float
    ) -> None:
        """Take in the VM list.

        :param listing: What it shows.
        :param record: Record of the zone.
        :param now: Current time.
        """
        vms = listing.entry_vms(self._zone)
        self._listed = frozenset(vm.name for vm in vms)
        self._leaving = frozenset(
            vm.name for vm in vms if vm.state is VmState.LEAVING
        )
        members = () if record is None else record.members
        self._absent_since = {
            member.vm: self._absent_since.get(member.vm, now)
            for member in members
            if member.vm not in self._listed
        }

    def on_join(self, member: Member, now: float) -> None:
        """Take in a request to join.

        :param member: Process that asks.
        :param now: Current time.
        """
        self.on_incarnation(member.vm, member.incarnation)
        self._wishes[member.number] = JoinWish(member, now)

    def may_join(self, vm: str) -> bool:
        """Tell whether the VM list shows a VM.

        :param vm: Name of the VM.
        :return: ``True`` if it may be listed as a member.
        """
        return self._listed is not None and vm in self._listed

    def gone(self, members: Iterable[Member], now: float) -> frozenset[int]:
        """Select the members whose processes have surely ended.

        :param members: Listed members.
        :param now: Current time.
        :return: Their numbers.
        """
        return frozenset(
            member.number for member in members if self._is_gone(member, now)
        )

    def next_member_to_add(
        self, record: ZoneRecord, now: float
    ) -> Member | None:
        """Choose who is listed next.

        :param record: Record of the zone.
        :param now: Current time.
        :return: A process that asked, or ``None``.
        """
        for wish in self._wishes.values():
            if now - wish.at < JOIN_LIFETIME and self._is_welcome(
                wish.member, record
            ):
                return wish.member
        return None

    def _is_welcome(self, member: Member, record: ZoneRecord) -> bool:
        return (
            record.find_member(member.number) is None
            and self.may_join(member.vm)
            and member.vm not in self._leaving
            and member.incarnation == self._latest.get(member.vm)
        )

    def _is_gone(self, member: Member, now: float) -> bool:
        if self._latest.get(member.vm, '') > member.incarnation:
            return True
        absent = self._absent_since.get(member.vm)
        return absent is not None and now - absent >= ABSENCE_CONFIRMATION


def with_member(record: ZoneRecord, member: Member) -> ZoneRecord:
    """List one more member.

    :param record: Record of the zone.
    :param member: The member.
    :return: Record to write next.
    """
    return relisted(record, (*record.members, member))


def without_member(record: ZoneRecord, number: int) -> ZoneRecord:
    """Take one member off the list.

    :param record: Record of the zone.
    :param number: Number of the member.
    :return: Record to write next.
    """
    kept = tuple(one for one in record.members if one.number != number)
    return relisted(record, kept)


def relisted(record: ZoneRecord, members: tuple[Member, ...]) -> ZoneRecord:
    """Change the member list.

    :param record: Record of the zone.
    :param members: New list, which differs by one member.
    :return: Record to write next.
    """
    version = record.version + 1
    return attrs.evolve(
        record, version=version, members=members, members_version=version
    )


def with_new_term(record: ZoneRecord, member: Member) -> ZoneRecord:
    """Begin a term with a member as the first in the order of succession.

    :param record: Record of the zone.
    :param member: A listed member.
    :return: Record to write next.
    """
    others = tuple(one for one in record.members if one != member)
    return attrs.evolve(
        record,
        term=record.term + 1,
        version=record.version + 1,
        members=(member, *others),
    )


def recover_membership(
    record: ZoneRecord, member: Member, membership: Membership, now: float
) -> ZoneRecord | None:
    """List a process first when every member has ended.

    :param record: Record of the zone.
    :param member: The process.
    :param membership: What it knows of the zone's entry VMs.
    :param now: Current time.
    :return: Record that begins a new term, or ``None``.
    """
    if not membership.may_join(member.vm):
        return None
    if len(membership.gone(record.members, now)) < len(record.members):
        return None
    listed = with_member(record, member)
    raised = with_new_term(listed, member)
    return attrs.evolve(raised, version=listed.version)
