"""All members of a zone, seen by its coordinator.

The group answers what holds for the members together: whether a majority
acknowledges the authority, and what silent members may still do.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.ownership import ZoneRecord
from dogwoodmast.zone_peer import Peer
from dogwoodmast.zone_protocol import (
    ACK_LEASE,
    DISPATCH_LEASE,
    LOSS_TIMEOUT,
    max_local_duration,
    quorum_size,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodmast.zone_messages import RoundAck


@attrs.define(eq=False)
class PeerGroup:
    """Members of the record that a coordinator acts under."""

    _record: ZoneRecord
    _started: float
    _peers: dict[int, Peer] = attrs.field(factory=dict)
    _gone: frozenset[int] = frozenset()
    _stood_at: float = math.inf
    required_version: int = 0
    """Version of the record that a member must know to be granted; no floor
    that an earlier authority told is above it."""

    def __attrs_post_init__(self) -> None:
        """List the members of the record."""
        self._peers = {
            member.number: Peer(member) for member in self._record.members
        }

    def __iter__(self) -> Iterator[Peer]:
        """Go through the members in the order of succession.

        :return: The members.
        """
        return iter(self._peers.values())

    def find(self, number: int) -> Peer | None:
        """Find a member.

        :param number: Number of the member.
        :return: The member, or ``None`` if it is not listed.
        """
        return self._peers.get(number)

    def is_terminated(self, peer: Peer) -> bool:
        """Tell whether a member's process has surely ended.

        :param peer: The member.
        :return: ``True`` if it has.
        """
        return peer.member_number in self._gone

    def update_terminated(self, gone: frozenset[int]) -> None:
        """Take in which members have surely ended.

        :param gone: Numbers of the members.
        """
        self._gone = gone

    def on_record(self, record: ZoneRecord) -> None:
        """Take in a newer record of the zone.

        :param record: The record.
        """
        relisted = record.members_version > self._record.members_version
        self._record = record
        if not relisted:
            return
        before = self._peers
        self._peers = {
            member.number: before.get(member.number)
            or Peer(member, joined_in_epoch=True)
            for member in record.members
        }
        for peer in self:
            peer.acked_round_sent_at = -math.inf

    def on_ack(self, peer: Peer, ack: RoundAck, now: float) -> bool:
        """Take in a member's acknowledgement.

        :param peer: The member.
        :param ack: The acknowledgement.
        :param now: Time of its arrival.
        :return: Whether it is a new one.
        """
        return peer.on_ack(ack, self._record.members_version, now)

    def has_quorum(self, now: float) -> bool:
        """Tell whether a majority acknowledges the authority.

        :param now: Current time.
        :return: ``True`` while leases may be granted.
        """
        return now < self._majority_since() + ACK_LEASE

    def member_list_acknowledged(self) -> bool:
        """Tell whether a majority has the present member list.

        :return: ``True`` if the list may change again.
        """
        return self._majority_since() > -math.inf

    def record_first_quorum(self, now: float) -> bool:
        """Note when a majority first acknowledged the authority.

        :param now: Current time.
        :return: Whether it is now.
        """
        if self._stood_at < math.inf or not self.has_quorum(now):
            return False
        self._stood_at = now
        self.required_version = max(
            peer.last_ack.settled for peer in self if peer.last_ack
        )
        return True

    def is_silent(self, peer: Peer, now: float) -> bool:
        """Tell whether a member is taken for lost.

        :param peer: The member.
        :param now: Current time.
        :return: ``True`` if it was not heard for long.
        """
        return now - max(peer.last_ack_at, self._started) >= LOSS_TIMEOUT

    def can_hold_leases(self, peer: Peer, now: float) -> bool:
        """Tell whether a member is fit to front targets.

        :param peer: The member.
        :param now: Current time.
        :return: ``True`` if it is.
        """
        if not peer.has_acked or peer.leaving or self.is_terminated(peer):
            return False
        return not self.is_silent(peer, now)

    def may_be_leased_elsewhere(
        self, target: str, peer: Peer, now: float
    ) -> bool:
        """Tell whether anybody else may hold a target's lease.

        :param target: Name of the target.
        :param peer: Member that is to be granted the lease.
        :param now: Current time.
        :return: ``False`` if nobody else can.
        """
        claimed = self._claim_stands(target, peer)
        return any(
            self._may_hold(other, target, claimed, now)
            for other in self
            if other is not peer
        )

    def may_run(self, peer: Peer, now: float, longest_request: float) -> bool:
        """Tell whether a member may still run requests.

        :param peer: The member.
        :param now: Current time.
        :param longest_request: Longest that one may run, in seconds.
        :return: ``False`` once all that it may have left has ended.
        """
        running = max_local_duration(longest_request)
        if not peer.has_acked:
            until = self._unknown_until() + running
            return not peer.joined_in_epoch and now < until
        if not self.is_silent(peer, now):
            return True
        return now < peer.lease_expires_by + running

    def is_removable(
        self, peer: Peer, now: float, longest_request: float
    ) -> bool:
        """Tell whether a member is gone with all its requests.

        :param peer: The member.
        :param now: Current time.
        :param longest_request: Longest that one may run, in seconds.
        :return: ``True`` if nothing is left of it.
        """
        running = self.may_run(peer, now, longest_request)
        return self.is_terminated(peer) and not running

    def settled(self, now: float, longest_request: float) -> int:
        """Find the version that all members have settled at.

        :param now: Current time.
        :param longest_request: Longest that a request of a silent member
            may run, in seconds.
        :return: The version.
        """
        settled = [
            peer.last_ack.settled if peer.last_ack else 0
            for peer in self
            if self.may_run(peer, now, longest_request)
        ]
        return min((*settled, self._record.version))

    def _majority_since(self) -> float:
        voters = [peer for peer in self if not self.is_terminated(peer)]
        if not voters:
            return -math.inf
        acked = sorted(
            (peer.acked_round_sent_at for peer in voters), reverse=True
        )
        return acked[quorum_size(len(voters)) - 1]

    def _claim_stands(self, target: str, peer: Peer) -> bool:
        """Tell whether nobody else can have been granted a claimed target.

        An earlier authority acts until ACK_LEASE after the own majority
        stood, and grants the target elsewhere only after the lease.
        """
        if target not in peer.claimed_targets:
            return False
        return peer.claim_valid_until >= self._stood_at + max_local_duration(
            ACK_LEASE
        )

    def _may_hold(
        self, peer: Peer, target: str, claimed: bool, now: float
    ) -> bool:
        if peer.has_acked or peer.joined_in_epoch:
            return target in peer.held and now < peer.lease_expires_by
        return not claimed and now < self._unknown_until()

    def _unknown_until(self) -> float:
        return self._stood_at + max_local_duration(ACK_LEASE + DISPATCH_LEASE)
