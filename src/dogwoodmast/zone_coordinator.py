"""A zone's coordinator: leases of targets and the floor.

The machine is free of I/O and clocks.  It lives for one epoch; a new
epoch starts with a new machine.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.holder_plan import plan_holders
from dogwoodmast.low_watermark import Floors
from dogwoodmast.ownership import HolderTable, Member, ZoneRecord
from dogwoodmast.peer_group import PeerGroup
from dogwoodmast.zone_messages import LeaseRound, RoundAck
from dogwoodmast.zone_protocol import CoordinatorEpoch

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.zone_peer import Peer


@attrs.frozen
class SendRound:
    """Action: send a round to a member."""

    member: Member
    """The member."""
    message: LeaseRound
    """The round."""


@attrs.frozen
class ZoneTargets:
    """Targets of a zone and what their requests may need."""

    names: frozenset[str] = frozenset()
    """All targets of the zone that may be fronted."""
    longest_request: float = 0
    """Longest that a request may run, in seconds."""
    fenced_services: frozenset[str] = frozenset()
    """Services whose targets check fences."""


def _make_peers(coordinator: ZoneCoordinator) -> PeerGroup:
    return PeerGroup(coordinator.record, coordinator.started)


@attrs.define(eq=False)
class ZoneCoordinator:
    """Coordinator of one zone under one epoch."""

    _authority: CoordinatorEpoch
    _record: ZoneRecord
    started: float
    """When the epoch began."""
    _plan: dict[str, int] = attrs.field(factory=dict)
    _targets: ZoneTargets = ZoneTargets()
    _drained: frozenset[str] = frozenset()
    _floors: Floors = attrs.field(factory=Floors)
    _holders: int = 0
    _published: dict[str, int] = attrs.field(factory=dict)
    _peers: PeerGroup = attrs.field(
        init=False, default=attrs.Factory(_make_peers, takes_self=True)
    )

    @property
    def epoch(self) -> CoordinatorEpoch:
        """Authority that the coordinator acts under."""
        return self._authority

    @property
    def record(self) -> ZoneRecord:
        """Record of the zone that is known."""
        return self._record

    @property
    def peers(self) -> PeerGroup:
        """All listed members."""
        return self._peers

    @property
    def holders(self) -> int:
        """Number of the holder table."""
        return self._holders

    def holder_table(self) -> HolderTable:
        """List who is to front each target.

        :return: Table to be told to everyone.
        """
        holders = {}
        for target, number in sorted(self._plan.items()):
            peer = self._peers.find(number)
            if peer is not None:
                holders[target] = peer.member
        own = self._peers.find(self._authority.member)
        coordinator = self._record.members[0] if own is None else own.member
        return HolderTable(self._record.zone, coordinator, holders)

    def has_quorum(self, now: float) -> bool:
        """Tell whether a majority acknowledges the epoch.

        :param now: Current time.
        :return: ``True`` while leases may be granted.
        """
        return self._peers.has_quorum(now)

    def on_record(self, record: ZoneRecord) -> None:
        """Take in a newer record of the zone.

        :param record: The record; an older one is ignored.
        """
        if record.version > self._record.version:
            self._record = record
            self._peers.on_record(record)

    def on_targets(self, targets: ZoneTargets, drained: frozenset[str]) -> None:
        """Take in which targets there are and who must not front them.

        :param targets: The targets.
        :param drained: Names of the entry VMs.
        """
        self._targets = targets
        self._drained = drained

    def on_ack(self, number: int, ack: RoundAck, now: float) -> bool:
        """Take in a member's acknowledgement.

        :param number: Number of the member.
        :param ack: The acknowledgement.
        :param now: Time of its arrival.
        :return: Whether rounds should be sent at once.
        """
        peer = self._peers.find(number)
        if peer is None:
            return False
        last_ack = peer.last_ack
        if not self._peers.on_ack(peer, ack, now):
            return False
        self._floors.on_ack(ack)
        stood = self._peers.record_first_quorum(now)
        if last_ack is None:
            self._adopt_claims(peer)
        if not stood and last_ack is not None and ack.repeats(last_ack):
            return False
        return self.refresh(now) or last_ack is None or stood

    def refresh(self, now: float) -> bool:
        """Bring plan, leases and floors up to date.

        :param now: Current time.
        :return: Whether members have to be told.
        """
        if not self.has_quorum(now):
            return False
        self._peers.record_first_quorum(now)
        self._plan_holders(now)
        raised = self._floors.update(
            self._peers, now, self._targets.longest_request
        )
        planned = self._planned_targets()
        changed = [
            peer.replace_targets(
                self._grants(peer, planned[peer.member_number], now)
            )
            for peer in self._peers
            if peer.sequence or self._knows_enough(peer)
        ]
        return any(changed) or raised

    def rounds(self, now: float) -> tuple[SendRound, ...]:
        """Make the next round for every member.

        :param now: Time before the sending.
        :return: Rounds to send.
        """
        self.refresh(now)
        acting = self.has_quorum(now)
        return tuple(self._round(peer, acting, now) for peer in self._peers)

    def removable_members(self, now: float) -> Iterable[Member]:
        """List the members that may be taken off the list.

        :param now: Current time.
        :return: Members that have left, or that are gone and may run
            nothing any more.
        """
        longest_request = self._targets.longest_request
        return tuple(
            peer.member
            for peer in self._peers
            if peer.has_left
            or self._peers.is_removable(peer, now, longest_request)
        )

    def successor(self, now: float) -> Member | None:
        """Choose who takes over when the coordinator leaves.

        :param now: Current time.
        :return: A member that is heard, or ``None``.
        """
        for peer in self._peers:
            own = peer.member_number == self._authority.member
            if not own and self._is_eligible(peer, now):
                return peer.member
        return None

    def _adopt_claims(self, peer: Peer) -> None:
        for target in peer.claimed_targets:
            planned = self._peers.find(self._plan.get(target, 0))
            if planned is None or not planned.targets.get(target):
                self._plan[target] = peer.member_number

    def _round(self, peer: Peer, acting: bool, now: float) -> SendRound:
        granting = acting and peer.sequence > 0
        message = LeaseRound(
            term=self._authority.term,
            rank=self._authority.rank,
            member=self._authority.member,
            receiver=peer.member_number,
            members_version=self._record.members_version,
            number=peer.on_sent(self._record.members_version, now),
            renews=peer.renewal() if granting else 0,
            record_version=self._record.version,
            holders=self._holders,
            floor=self._floors.all,
            fenced_floor=self._floors.fenced,
            sequence=peer.sequence if granting else 0,
            full=not peer.has_acked,
            targets=peer.unconfirmed_targets() if granting else (),
        )
        return SendRound(peer.member, message)

    def _is_eligible(self, peer: Peer, now: float) -> bool:
        drained = peer.member.vm in self._drained
        return not drained and self._peers.can_hold_leases(peer, now)

    def _plan_holders(self, now: float) -> None:
        awaited = any(
            not peer.has_acked and not self._peers.is_silent(peer, now)
            for peer in self._peers
        )
        eligible = [
            peer.member_number
            for peer in self._peers
            if self._is_eligible(peer, now)
        ]
        if eligible and not awaited:
            self._plan = plan_holders(self._targets.names, self._plan, eligible)
        if self._plan != self._published:
            self._published = dict(self._plan)
            self._holders += 1

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
        if not self._knows_enough(peer):
            return False
        if peer.targets.get(target) and now < peer.lease_expires_by:
            return True
        return not self._peers.may_be_leased_elsewhere(target, peer, now)

    def _knows_enough(self, peer: Peer) -> bool:
        required = max(self._peers.required_version, self._floors.all)
        return peer.has_acked and peer.record_version >= required
