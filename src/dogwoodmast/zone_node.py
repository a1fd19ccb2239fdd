"""Decisions of one entry VM in its zone: member, candidate, coordinator.

The machine is free of I/O and clocks.  It is told of events with the time
at which they happened, and collects the actions that its owner carries
out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address
from dogwoodmast.coordinator_role import CoordinatorRole
from dogwoodmast.ownership import HolderTable, Member, ZoneRecord
from dogwoodmast.record_writer import RecordPlan, RecordWriter, WriteRecord
from dogwoodmast.takeover import Candidacy
from dogwoodmast.zone_knowledge import ZoneKnowledge
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

if TYPE_CHECKING:
    from dogwoodmast.knowledge import DocumentVersion
    from dogwoodmast.membership import Membership
    from dogwoodmast.zone_actions import ZoneAction
    from dogwoodmast.zone_coordinator import ZoneCoordinator, ZoneTargets


class ZoneNode:
    """One entry VM's part in its zone."""

    def __init__(
        self,
        me: Member,
        membership: Membership,
        plan: RecordPlan,
        member: ZoneMember | None = None,
    ) -> None:
        """Create a process that knows nothing yet.

        :param me: The own process.
        :param membership: What is known of the zone's entry VMs.
        :param plan: Chooses the next assignment of partitions.
        :param member: The own part as a member; a new one if left out.
        """
        membership.on_incarnation(me.vm, me.incarnation)
        self._knowledge = ZoneKnowledge(me, membership)
        self._member = member or ZoneMember()
        self._role = CoordinatorRole(
            self._knowledge,
            self._member,
            RecordWriter(me, membership, plan),
            Candidacy(me),
        )

    @property
    def member(self) -> ZoneMember:
        """The member's own part."""
        return self._member

    @property
    def role(self) -> CoordinatorRole:
        """The coordinator's role."""
        return self._role

    @property
    def coordinator(self) -> ZoneCoordinator | None:
        """The coordinator, while this entry VM has the role."""
        return self._role.coordinator

    @property
    def record(self) -> ZoneRecord | None:
        """Latest record of the zone that is known."""
        return self._knowledge.record

    @property
    def is_listed(self) -> bool:
        """Whether the entry VM is a member."""
        return self._knowledge.is_listed

    @property
    def membership(self) -> Membership:
        """What is known of the zone's entry VMs."""
        return self._knowledge.membership

    @property
    def coordinator_address(self) -> Address | None:
        """Address of the coordinator's links, if it is known."""
        knowledge = self._knowledge
        if self.coordinator is not None:
            return knowledge.me.address
        known = knowledge.find(self._member.highest.member)
        if known is None and knowledge.record is not None:
            known = knowledge.record.members[0]
        return None if known is None else known.address

    def take_actions(self) -> list[ZoneAction]:
        """Hand over the actions collected so far.

        :return: Actions to carry out, in order.
        """
        return self._role.take_actions()

    def on_record(self, record: ZoneRecord, now: float) -> None:
        """Take in the zone's record.

        :param record: Record; an older one is ignored.
        :param now: Current time.
        """
        if self._knowledge.learn_record(record, now):
            self._member.on_record(record)
            if self.coordinator is not None:
                self.coordinator.on_record(record)

    def on_holders(self, version: DocumentVersion, table: HolderTable) -> None:
        """Take in a holder table.

        :param version: Its version.
        :param table: The table.
        """
        self._knowledge.learn_holders(version, table)

    def on_targets(self, targets: ZoneTargets, drained: frozenset[str]) -> None:
        """Take in which targets there are and who must not front them.

        :param targets: Targets of the zone.
        :param drained: Entry VMs that operators drain.
        """
        self._member.on_fenced_services(targets.fenced_services)
        self._role.on_targets(targets, drained)

    def on_tick(self, now: float) -> None:
        """Do what is due.

        :param now: Current time.
        """
        self._role.on_tick(now)

    def on_written(self, written: WriteRecord, now: float) -> None:
        """Take in that a record was written.

        :param written: The write.
        :param now: Current time.
        """
        self.on_record(written.record, now)
        self._role.on_written(written, now)

    def on_write_failed(
        self, current: ZoneRecord | None, retry_at: float, now: float
    ) -> None:
        """Take in that a record could not be written.

        :param current: Record that the platform has instead, or ``None`` if
            the platform failed.
        :param retry_at: When to try again.
        :param now: Current time.
        """
        if current is not None:
            self.on_record(current, now)
        self._role.on_write_failed(current, retry_at, now)

    def on_round(
        self, message: LeaseRound, status: WorkStatus, now: float
    ) -> RoundAck | RoundRefusal | WrongReceiver:
        """Answer a coordinator's round.

        :param message: The round.
        :param status: State of the member's own requests.
        :param now: Time before the answer is sent.
        :return: The answer.
        """
        if message.receiver != self._knowledge.me.number:
            return _wrong_receiver(self._knowledge.me)
        answer = self._member.on_round(message, status, now)
        if isinstance(answer, RoundAck) and self._knowledge.is_behind(message):
            self._role.pull(message.member)
        return answer

    def on_probe(
        self, probe: TakeoverProbe, now: float
    ) -> ProbeAnswer | WrongReceiver:
        """Answer a candidate.

        :param probe: The probe.
        :param now: Current time.
        :return: The answer.
        """
        if probe.receiver != self._knowledge.me.number:
            return _wrong_receiver(self._knowledge.me)
        answer = self._member.on_probe(probe, now)
        coordinator = self.coordinator
        if coordinator is not None and coordinator.has_quorum(now):
            return attrs.evolve(answer, lost=False)
        return answer

    def on_role_offer(
        self, offer: RoleOffer, now: float
    ) -> RoleTaken | WrongReceiver:
        """Answer a coordinator that leaves.

        :param offer: The offer.
        :param now: Current time.
        :return: Whether the role is taken.
        """
        if offer.receiver != self._knowledge.me.number:
            return _wrong_receiver(self._knowledge.me)
        return self._role.on_role_offer(offer, now)

    def on_join(self, request: JoinRequest, now: float) -> JoinAnswer:
        """Answer a process that wants to be listed.

        :param request: The request.
        :param now: Current time.
        :return: The answer.
        """
        address = Address.parse(request.address)
        joining = Member(request.vm, request.incarnation, address)
        self._knowledge.membership.on_join(joining, now)
        known = self.coordinator_address
        me = self._knowledge.me
        return JoinAnswer(
            vm=me.vm,
            incarnation=me.incarnation,
            accepted=self.coordinator is not None,
            coordinator='' if known is None else str(known),
        )

    def leave(self) -> None:
        """Ask for every target and the coordinator's role to be taken."""
        self._member.leave()


def _wrong_receiver(me: Member) -> WrongReceiver:
    return WrongReceiver(me.vm, me.incarnation)
