"""Member list of a zone: which processes to add and to remove.

The module does no I/O and reads no clock; callers pass in the time.

A member's process is considered terminated when the VM list has not shown
its VM for :data:`ABSENCE_TIMEOUT`, or when a later incarnation of the VM has
been observed.  Absence is conclusive because a process is added as a member
only after the VM list has shown its VM.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.ownership import Member, ZoneRecord
from dogwoodmast.vm_list import VmListing, VmState

if TYPE_CHECKING:
    from collections.abc import Iterable

ABSENCE_TIMEOUT = 1.0
"""Time for which a member's VM must be absent from the VM list before its
process is considered terminated, in seconds."""
JOIN_REQUEST_LIFETIME = 5.0
"""Time after which a join request that was not repeated expires, in
seconds."""


@attrs.frozen
class PendingJoin:
    """Join request of a process that is waiting to be added."""

    member: Member
    """Process that asks to be added."""
    requested_at: float
    """Monotonic time of its latest request, in seconds."""


@attrs.define(eq=False)
class Membership:
    """One entry VM's view of the entry VMs of its zone."""

    _zone: str
    _latest_incarnations: dict[str, str] = attrs.field(factory=dict)
    _absent_since: dict[str, float] = attrs.field(factory=dict)
    _listed_vms: frozenset[str] | None = None
    _leaving_vms: frozenset[str] = frozenset()
    _pending_joins: dict[int, PendingJoin] = attrs.field(factory=dict)

    @property
    def leaving(self) -> frozenset[str]:
        """Names of the entry VMs that the VM list shows as leaving."""
        return self._leaving_vms

    def on_incarnation(self, vm: str, incarnation: str) -> None:
        """Record an observed incarnation if it is the latest of its VM.

        :param vm: Name of the VM.
        :param incarnation: Incarnation of the process; later ones compare
            greater.
        """
        if incarnation > self._latest_incarnations.get(vm, ''):
            self._latest_incarnations[vm] = incarnation

    def on_listing(
        self, listing: VmListing, record: ZoneRecord | None, now: float
    ) -> None:
        """Update listed, leaving and absent VMs from the VM list.

        :param listing: Latest VM list.
        :param record: Record of the zone, or ``None`` if it is not known.
        :param now: Monotonic time in seconds.
        """
        vms = listing.entry_vms(self._zone)
        self._listed_vms = frozenset(vm.name for vm in vms)
        self._leaving_vms = frozenset(
            vm.name for vm in vms if vm.state is VmState.LEAVING
        )
        members = () if record is None else record.members
        self._absent_since = {
            member.vm: self._absent_since.get(member.vm, now)
            for member in members
            if member.vm not in self._listed_vms
        }

    def on_join(self, member: Member, now: float) -> None:
        """Record a join request and the incarnation that sent it.

        :param member: Process that asks to be added.
        :param now: Monotonic time in seconds.
        """
        self.on_incarnation(member.vm, member.incarnation)
        self._pending_joins[member.number] = PendingJoin(member, now)

    def may_join(self, vm: str) -> bool:
        """Tell whether the latest VM list shows a VM.

        :param vm: Name of the VM.
        :return: ``True`` if its process may be added; ``False`` also before
            the VM list was first read.
        """
        return self._listed_vms is not None and vm in self._listed_vms

    def terminated(
        self, members: Iterable[Member], now: float
    ) -> frozenset[int]:
        """Select the members whose processes have terminated.

        :param members: Members to check.
        :param now: Monotonic time in seconds.
        :return: Numbers of the terminated members.
        """
        return frozenset(
            member.number
            for member in members
            if self._is_terminated(member, now)
        )

    def next_member_to_add(
        self, record: ZoneRecord, now: float
    ) -> Member | None:
        """Select the first process with a valid join request.

        :param record: Record of the zone.
        :param now: Monotonic time in seconds.
        :return: Process to add, or ``None`` if no request qualifies.
        """
        for pending in self._pending_joins.values():
            if (
                now - pending.requested_at < JOIN_REQUEST_LIFETIME
                and self._is_admissible(pending.member, record)
            ):
                return pending.member
        return None

    def _is_admissible(self, member: Member, record: ZoneRecord) -> bool:
        return (
            record.find_member(member.number) is None
            and self.may_join(member.vm)
            and member.vm not in self._leaving_vms
            and member.incarnation == self._latest_incarnations.get(member.vm)
        )

    def _is_terminated(self, member: Member, now: float) -> bool:
        if self._latest_incarnations.get(member.vm, '') > member.incarnation:
            return True
        absent_since = self._absent_since.get(member.vm)
        return (
            absent_since is not None and now - absent_since >= ABSENCE_TIMEOUT
        )


def with_member(record: ZoneRecord, member: Member) -> ZoneRecord:
    """Append a member to the member list.

    :param record: Record of the zone.
    :param member: Member to add.
    :return: Next version of the record.
    """
    return with_member_list(record, (*record.members, member))


def without_member(record: ZoneRecord, number: int) -> ZoneRecord:
    """Remove a member from the member list.

    :param record: Record of the zone.
    :param number: Number of the member to remove.
    :return: Next version of the record.
    """
    kept = tuple(member for member in record.members if member.number != number)
    return with_member_list(record, kept)


def with_member_list(
    record: ZoneRecord, members: tuple[Member, ...]
) -> ZoneRecord:
    """Replace the member list by one that differs in a single member.

    :param record: Record of the zone.
    :param members: New member list.
    :return: Next version of the record.
    """
    version = record.version + 1
    return attrs.evolve(
        record, version=version, members=members, members_version=version
    )


def with_new_term(record: ZoneRecord, member: Member) -> ZoneRecord:
    """Begin a new term with a member first in the order of succession.

    :param record: Record of the zone.
    :param member: Current member that is to coordinate the term.
    :return: Next version of the record.
    """
    others = tuple(other for other in record.members if other != member)
    return attrs.evolve(
        record,
        term=record.term + 1,
        version=record.version + 1,
        members=(member, *others),
    )


def recover_membership(
    record: ZoneRecord, member: Member, membership: Membership, now: float
) -> ZoneRecord | None:
    """Add a process as the first member if all members have terminated.

    No member is left then that could add the process in the regular way.

    :param record: Record of the zone.
    :param member: Process to add.
    :param membership: View of the zone's entry VMs.
    :param now: Monotonic time in seconds.
    :return: Next version of the record, which begins a new term, or ``None``
        if a member may still run or the VM list does not show the VM.
    """
    if not membership.may_join(member.vm):
        return None
    if len(membership.terminated(record.members, now)) < len(record.members):
        return None
    joined = with_member(record, member)
    new_term = with_new_term(joined, member)
    return attrs.evolve(new_term, version=joined.version)
