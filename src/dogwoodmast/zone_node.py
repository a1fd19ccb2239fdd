"""State machine of one entry VM in its zone.

It combines the roles of member, candidate and coordinator.  It does no I/O
and reads no clock: its owner passes in events with the time at which they
happened, and carries out the actions that it collects.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address
from dogwoodmast.coordinator_role import CoordinatorRole
from dogwoodmast.ownership import HolderTable, Member, ZoneRecord
from dogwoodmast.record_write_scheduler import (
    RecordPlan,
    RecordWriteScheduler,
    WriteRecord,
)
from dogwoodmast.takeover import Candidacy
from dogwoodmast.zone_member import WorkStatus, ZoneMember
from dogwoodmast.zone_messages import (
    JoinAnswer,
    JoinRequest,
    LeaseRound,
    ProbeAnswer,
    RoleOffer,
    RoleTaken,
    RoundAck,
    RoundRefusal,
    TakeoverProbe,
    WrongReceiver,
)
from dogwoodmast.zone_state import ZoneState

if TYPE_CHECKING:
    from dogwoodmast.document_store import DocumentVersion
    from dogwoodmast.membership import Membership
    from dogwoodmast.zone_actions import ZoneAction
    from dogwoodmast.zone_coordinator import ZoneCoordinator, ZoneTargets


class ZoneNode:
    """State machine of one entry VM in its zone."""

    def __init__(
        self,
        me: Member,
        membership: Membership,
        plan: RecordPlan,
        member: ZoneMember | None = None,
    ) -> None:
        """Create a node without a record of the zone.

        :param me: Identity of this process.
        :param membership: View of the zone's entry VMs.
        :param plan: Function that plans the next assignment of partitions
            to targets.
        :param member: Member state of this process; a new one by default.
        """
        membership.on_incarnation(me.vm, me.incarnation)
        self._zone_state = ZoneState(me, membership)
        self._member = member or ZoneMember()
        self._role = CoordinatorRole(
            self._zone_state,
            self._member,
            RecordWriteScheduler(me, membership, plan),
            Candidacy(me),
        )

    @property
    def member(self) -> ZoneMember:
        """Member state of this process."""
        return self._member

    @property
    def role(self) -> CoordinatorRole:
        """State of the coordinator role at this entry VM."""
        return self._role

    @property
    def coordinator(self) -> ZoneCoordinator | None:
        """Coordinator state, or ``None`` while this VM lacks the role."""
        return self._role.coordinator

    @property
    def record(self) -> ZoneRecord | None:
        """Latest known record of the zone, or ``None``."""
        return self._zone_state.record

    @property
    def is_listed(self) -> bool:
        """Whether the known record lists this process as a member."""
        return self._zone_state.is_listed

    @property
    def membership(self) -> Membership:
        """View of the zone's entry VMs."""
        return self._zone_state.membership

    @property
    def coordinator_address(self) -> Address | None:
        """Link address of the coordinator, or ``None`` if it is not known.

        Without a member that matches the highest acknowledged epoch, the
        first member in the order of succession is assumed.
        """
        zone_state = self._zone_state
        if self.coordinator is not None:
            return zone_state.me.address
        known = zone_state.find(self._member.highest_epoch.member)
        if known is None and zone_state.record is not None:
            known = zone_state.record.members[0]
        return None if known is None else known.address

    def take_actions(self) -> list[ZoneAction]:
        """Return and clear the collected actions.

        :return: Actions to carry out, in order.
        """
        return self._role.take_actions()

    def on_record(self, record: ZoneRecord, now: float) -> None:
        """Adopt a newer record of the zone.

        :param record: Record of the zone; ignored unless it is newer.
        :param now: Monotonic time in seconds.
        """
        if self._zone_state.update_record(record, now):
            self._member.on_record(record)
            if self.coordinator is not None:
                self.coordinator.on_record(record)

    def on_holders(self, version: DocumentVersion, table: HolderTable) -> None:
        """Adopt a newer holder table.

        :param version: Version of the table.
        :param table: Holder table of the zone; ignored unless it is newer.
        """
        self._zone_state.update_holders(version, table)

    def on_targets(self, targets: ZoneTargets, drained: frozenset[str]) -> None:
        """Replace the targets of the zone and the drained VMs.

        :param targets: Targets of the zone.
        :param drained: Names of the targets and entry VMs that operators
            drain; these entry VMs must not become or stay leaseholders.
        """
        self._member.on_fenced_services(targets.fenced_services)
        self._role.on_targets(targets, drained)

    def on_tick(self, now: float) -> None:
        """Coordinate the zone, or check whether a takeover is due.

        :param now: Monotonic time in seconds.
        """
        self._role.on_tick(now)

    def on_written(self, written: WriteRecord, now: float) -> None:
        """Adopt a record that this process has written to the platform.

        :param written: Write that succeeded.
        :param now: Monotonic time in seconds.
        """
        self.on_record(written.record, now)
        self._role.on_written(written, now)

    def on_write_failed(
        self, current: ZoneRecord | None, retry_at: float, now: float
    ) -> None:
        """Handle a failed write of the zone's record.

        :param current: Conflicting record in the platform, or ``None`` if
            the platform failed.
        :param retry_at: Monotonic time before which a coordinator does not
            write again, in seconds.
        :param now: Monotonic time in seconds.
        """
        if current is not None:
            self.on_record(current, now)
        self._role.on_write_failed(current, retry_at, now)

    def on_round(
        self, message: LeaseRound, status: WorkStatus, now: float
    ) -> RoundAck | RoundRefusal | WrongReceiver:
        """Acknowledge or refuse a coordinator's round.

        Requests a pull if the coordinator has newer documents.

        :param message: Round of a coordinator.
        :param status: State of the member's own requests.
        :param now: Monotonic time before the answer is sent, in seconds.
        :return: Acknowledgement, refusal, or the own identity if the round
            is addressed to another process.
        """
        if message.receiver != self._zone_state.me.number:
            return _wrong_receiver(self._zone_state.me)
        answer = self._member.on_round(message, status, now)
        if isinstance(answer, RoundAck) and self._zone_state.is_behind(message):
            self._role.request_pull(message.member)
        return answer

    def on_probe(
        self, probe: TakeoverProbe, now: float
    ) -> ProbeAnswer | WrongReceiver:
        """Vote on the takeover by a candidate.

        A coordinator with a quorum always votes against it.

        :param probe: Probe of the candidate.
        :param now: Monotonic time in seconds.
        :return: Vote, or the own identity if the probe is addressed to
            another process.
        """
        if probe.receiver != self._zone_state.me.number:
            return _wrong_receiver(self._zone_state.me)
        answer = self._member.on_probe(probe, now)
        coordinator = self.coordinator
        if coordinator is not None and coordinator.has_quorum(now):
            return attrs.evolve(answer, lost=False)
        return answer

    def on_role_offer(
        self, offer: RoleOffer, now: float
    ) -> RoleTaken | WrongReceiver:
        """Accept or reject the role of a coordinator that is leaving.

        :param offer: Offer of the coordinator.
        :param now: Monotonic time in seconds.
        :return: Whether the role is accepted, or the own identity if the
            offer is addressed to another process.
        """
        if offer.receiver != self._zone_state.me.number:
            return _wrong_receiver(self._zone_state.me)
        return self._role.on_role_offer(offer, now)

    def on_join(self, request: JoinRequest, now: float) -> JoinAnswer:
        """Record the join request of a process.

        :param request: Join request.
        :param now: Monotonic time in seconds.
        :return: Whether this entry VM is the coordinator, and the address
            of the coordinator if it is known.
        """
        address = Address.parse(request.address)
        joining = Member(request.vm, request.incarnation, address)
        self._zone_state.membership.on_join(joining, now)
        known = self.coordinator_address
        me = self._zone_state.me
        return JoinAnswer(
            vm=me.vm,
            incarnation=me.incarnation,
            accepted=self.coordinator is not None,
            coordinator='' if known is None else str(known),
        )

    def leave(self) -> None:
        """Request the handover of all targets and of the coordinator role."""
        self._member.leave()


def _wrong_receiver(me: Member) -> WrongReceiver:
    return WrongReceiver(me.vm, me.incarnation)
