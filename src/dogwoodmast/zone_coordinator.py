"""Coordinator of a zone: leases of targets and low watermarks.

This state machine does no I/O and reads no clock.  One instance serves one
coordinator epoch; a new epoch starts with a new instance.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.holder_plan import plan_holders
from dogwoodmast.low_watermark import LowWatermarks
from dogwoodmast.ownership import HolderTable, Member, ZoneRecord
from dogwoodmast.peer_group import PeerGroup
from dogwoodmast.zone_messages import LeaseRound, RoundAck
from dogwoodmast.zone_protocol import CoordinatorEpoch

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.zone_peer import Peer


@attrs.frozen
class SendRound:
    """Action: send a lease round to a member."""

    member: Member
    """Member to send the round to."""
    message: LeaseRound
    """Round to send."""


@attrs.frozen
class ZoneTargets:
    """Targets of a zone and the properties of their services."""

    names: frozenset[str] = frozenset()
    """Names of all configured targets of the zone."""
    longest_request: float = 0
    """Longest time that a request may run on a target that does not check
    fences, in seconds; zero if all targets check fences."""
    fenced_services: frozenset[str] = frozenset()
    """Names of the services whose targets check fences."""


def _make_peers(coordinator: ZoneCoordinator) -> PeerGroup:
    return PeerGroup(coordinator.record, coordinator.started_at)


@attrs.define(eq=False)
class ZoneCoordinator:
    """Coordinator state of one zone for one coordinator epoch."""

    _epoch: CoordinatorEpoch
    _record: ZoneRecord
    started_at: float
    """Monotonic time at which the epoch began, in seconds."""
    _plan: dict[str, int] = attrs.field(factory=dict)
    _targets: ZoneTargets = ZoneTargets()
    _drained: frozenset[str] = frozenset()
    _low_watermarks: LowWatermarks = attrs.field(factory=LowWatermarks)
    _holder_table_number: int = 0
    _published_plan: dict[str, int] = attrs.field(factory=dict)
    _peers: PeerGroup = attrs.field(
        init=False, default=attrs.Factory(_make_peers, takes_self=True)
    )

    @property
    def epoch(self) -> CoordinatorEpoch:
        """Epoch of this coordinator."""
        return self._epoch

    @property
    def record(self) -> ZoneRecord:
        """Latest known record of the zone."""
        return self._record

    @property
    def peers(self) -> PeerGroup:
        """Members of the zone, including the coordinator itself."""
        return self._peers

    @property
    def holder_table_number(self) -> int:
        """Number of the latest holder table in this epoch; zero before the
        first."""
        return self._holder_table_number

    def holder_table(self) -> HolderTable:
        """Build the table of the planned holder of each target.

        :return: Holder table to publish.
        """
        holders = {}
        for target, number in sorted(self._plan.items()):
            peer = self._peers.find(number)
            if peer is not None:
                holders[target] = peer.member
        me = self._peers.find(self._epoch.member)
        coordinator = self._record.members[0] if me is None else me.member
        return HolderTable(self._record.zone, coordinator, holders)

    def has_quorum(self, now: float) -> bool:
        """Tell whether a majority of members acknowledges the epoch.

        :param now: Monotonic time in seconds.
        :return: ``True`` while leases may be granted.
        """
        return self._peers.has_quorum(now)

    def on_record(self, record: ZoneRecord) -> None:
        """Adopt a newer record of the zone.

        :param record: Record of the zone; ignored unless it is newer.
        """
        if record.version > self._record.version:
            self._record = record
            self._peers.on_record(record)

    def on_targets(self, targets: ZoneTargets, drained: frozenset[str]) -> None:
        """Replace the targets and the drained VMs used in the next update.

        :param targets: Targets of the zone.
        :param drained: Names of entry VMs that must not become or stay
            leaseholders; other names, such as targets, are ignored.
        """
        self._targets = targets
        self._drained = drained

    def on_ack(self, number: int, ack: RoundAck, now: float) -> bool:
        """Process an acknowledgement of a member.

        :param number: Number of the member.
        :param ack: Acknowledgement of a round.
        :param now: Monotonic time of arrival, in seconds.
        :return: ``True`` if the next rounds should be sent at once.
        """
        peer = self._peers.find(number)
        if peer is None:
            return False
        last_ack = peer.last_ack
        if not self._peers.on_ack(peer, ack, now):
            return False
        self._low_watermarks.on_ack(ack)
        quorum_gained = self._peers.record_first_quorum(now)
        if last_ack is None:
            self._adopt_claimed_targets(peer)
        if (
            not quorum_gained
            and last_ack is not None
            and ack.has_same_state(last_ack)
        ):
            return False
        return self.update_leases(now) or last_ack is None or quorum_gained

    def update_leases(self, now: float) -> bool:
        """Update the holder plan, the leases and the low watermarks.

        Does nothing without a quorum.

        :param now: Monotonic time in seconds.
        :return: ``True`` if leases or low watermarks changed, so that the
            members have to be informed.
        """
        if not self.has_quorum(now):
            return False
        self._peers.record_first_quorum(now)
        self._plan_holders(now)
        watermark_rose = self._low_watermarks.update(
            self._peers, now, self._targets.longest_request
        )
        planned = self._planned_targets()
        changed = [
            peer.replace_targets(
                self._grants(peer, planned[peer.member_number], now)
            )
            for peer in self._peers
            if peer.sequence or self._is_up_to_date(peer)
        ]
        return any(changed) or watermark_rose

    def rounds(self, now: float) -> tuple[SendRound, ...]:
        """Build the next round for every member.

        :param now: Monotonic time before the rounds are sent, in seconds.
        :return: Rounds to send.
        """
        self.update_leases(now)
        has_quorum = self.has_quorum(now)
        return tuple(self._round(peer, has_quorum, now) for peer in self._peers)

    def removable_members(self, now: float) -> Iterable[Member]:
        """Select the members that may be removed from the member list.

        :param now: Monotonic time in seconds.
        :return: Members that have left, and terminated members whose
            requests can no longer run.
        """
        longest_request = self._targets.longest_request
        return tuple(
            peer.member
            for peer in self._peers
            if peer.has_left
            or self._peers.is_removable(peer, now, longest_request)
        )

    def successor(self, now: float) -> Member | None:
        """Select the member to offer the role to when this one leaves.

        :param now: Monotonic time in seconds.
        :return: First other member in the order of succession that may hold
            leases, or ``None``.
        """
        for peer in self._peers:
            is_self = peer.member_number == self._epoch.member
            if not is_self and self._is_eligible(peer, now):
                return peer.member
        return None

    def _adopt_claimed_targets(self, peer: Peer) -> None:
        """Keep targets at the member that already holds their leases."""
        for target in peer.claimed_targets:
            planned = self._peers.find(self._plan.get(target, 0))
            if planned is None or not planned.targets.get(target):
                self._plan[target] = peer.member_number

    def _round(self, peer: Peer, has_quorum: bool, now: float) -> SendRound:
        granting = has_quorum and peer.sequence > 0
        message = LeaseRound(
            term=self._epoch.term,
            rank=self._epoch.rank,
            member=self._epoch.member,
            receiver=peer.member_number,
            members_version=self._record.members_version,
            number=peer.register_round(self._record.members_version, now),
            renews=peer.renew_leases() if granting else 0,
            record_version=self._record.version,
            holders=self._holder_table_number,
            floor=self._low_watermarks.unfenced,
            fenced_floor=self._low_watermarks.fenced,
            sequence=peer.sequence if granting else 0,
            full=not peer.has_acked,
            targets=peer.unconfirmed_targets() if granting else (),
        )
        return SendRound(peer.member, message)

    def _is_eligible(self, peer: Peer, now: float) -> bool:
        drained = peer.member.vm in self._drained
        return not drained and self._peers.can_hold_leases(peer, now)

    def _plan_holders(self, now: float) -> None:
        """Plan the holders once all members that are not silent have acked.

        Until then it is not known which targets they hold.
        """
        awaits_reports = any(
            not peer.has_acked and not self._peers.is_silent(peer, now)
            for peer in self._peers
        )
        eligible = [
            peer.member_number
            for peer in self._peers
            if self._is_eligible(peer, now)
        ]
        if eligible and not awaits_reports:
            self._plan = plan_holders(self._targets.names, self._plan, eligible)
        if self._plan != self._published_plan:
            self._published_plan = dict(self._plan)
            self._holder_table_number += 1

    def _planned_targets(self) -> defaultdict[int, list[str]]:
        planned = defaultdict(list)
        for target, number in self._plan.items():
            planned[number].append(target)
        return planned

    def _grants(
        self, peer: Peer, targets: list[str], now: float
    ) -> dict[str, bool]:
        return {
            target: self._is_grantable(target, peer, now) for target in targets
        }

    def _is_grantable(self, target: str, peer: Peer, now: float) -> bool:
        """Tell whether a member may be granted a target's lease.

        It must know the required record version.  Unless it already has an
        unexpired lease of the target, no other member may hold one.
        """
        if not self._is_up_to_date(peer):
            return False
        if peer.targets.get(target) and now < peer.lease_expires_by:
            return True
        return not self._peers.may_be_leased_elsewhere(target, peer, now)

    def _is_up_to_date(self, peer: Peer) -> bool:
        """Tell whether a member knows the record that leases depend on.

        An earlier coordinator may have announced a low watermark that this
        one has not received.  It cannot exceed the highest version at which
        a member of the first quorum had settled, so that version is required
        too.
        """
        required = max(
            self._peers.required_version, self._low_watermarks.unfenced
        )
        return peer.has_acked and peer.record_version >= required
