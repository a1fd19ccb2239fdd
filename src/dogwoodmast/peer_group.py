"""Members of a zone as its coordinator sees them.

Answers questions about all members together: whether a quorum acknowledges
the coordinator's epoch, who may still hold a lease, and which requests may
still run on members that no longer answer.  Monotonic times are in seconds by
the coordinator's clock.
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
    """Members that the zone's current record lists, in its order.

    ``started`` is when the coordinator's epoch began on this process;
    ``quorum_at`` is when a quorum first acknowledged it, or infinity.
    """

    _record: ZoneRecord
    _started: float
    _peers: dict[int, Peer] = attrs.field(factory=dict)
    _terminated: frozenset[int] = frozenset()
    _quorum_at: float = math.inf
    required_version: int = 0
    """Least version of the record that a member must know before it is
    granted a lease.  No low watermark that a coordinator of an earlier epoch
    announced is above it."""

    def __attrs_post_init__(self) -> None:
        """Create a peer for each member of the record."""
        self._peers = {
            member.number: Peer(member) for member in self._record.members
        }

    def __iter__(self) -> Iterator[Peer]:
        """Iterate over the members in the order of the record.

        The first eligible one takes over from a coordinator that leaves.

        :return: Iterator over the members.
        """
        return iter(self._peers.values())

    def find(self, number: int) -> Peer | None:
        """Look up a member by its number.

        :param number: Number that stands for the member in messages.
        :return: The member, or ``None`` if the record does not list it.
        """
        return self._peers.get(number)

    def is_terminated(self, peer: Peer) -> bool:
        """Tell whether a member's process is known to have terminated.

        :param peer: Member to look up.
        :return: ``False`` if the process may still run.
        """
        return peer.member_number in self._terminated

    def update_terminated(self, terminated: frozenset[int]) -> None:
        """Replace the set of members known to have terminated.

        :param terminated: Numbers of the members.
        """
        self._terminated = terminated

    def on_record(self, record: ZoneRecord) -> None:
        """Replace the record and follow changes of its member list.

        What is known of members that stay is kept, but a quorum has to
        acknowledge the new list before the coordinator may act under it.

        :param record: Newer record of the zone.
        """
        members_changed = record.members_version > self._record.members_version
        self._record = record
        if not members_changed:
            return
        previous = self._peers
        self._peers = {
            member.number: previous.get(member.number)
            or Peer(member, joined_in_epoch=True)
            for member in record.members
        }
        for peer in self:
            peer.acked_round_sent_at = -math.inf

    def on_ack(self, peer: Peer, ack: RoundAck, now: float) -> bool:
        """Process a member's acknowledgement of a round.

        :param peer: Member that sent it.
        :param ack: Acknowledgement.
        :param now: Time of its arrival.
        :return: Whether it is newer than those received before.
        """
        return peer.on_ack(ack, self._record.members_version, now)

    def has_quorum(self, now: float) -> bool:
        """Tell whether a quorum acknowledges the coordinator's epoch.

        An acknowledgement counts for ``ACK_LEASE`` from the sending of the
        round that it answers.

        :param now: Current time.
        :return: ``True`` while the coordinator may grant leases.
        """
        return now < self._quorum_round_sent_at() + ACK_LEASE

    def member_list_acknowledged(self) -> bool:
        """Tell whether a quorum has acknowledged the current member list.

        :return: ``True`` if the list may be changed again.
        """
        return self._quorum_round_sent_at() > -math.inf

    def record_first_quorum(self, now: float) -> bool:
        """Record the time when a quorum first acknowledged the epoch.

        Sets :attr:`required_version` to the latest version at which any
        member has settled.

        :param now: Current time.
        :return: Whether this call recorded it.
        """
        if self._quorum_at < math.inf or not self.has_quorum(now):
            return False
        self._quorum_at = now
        self.required_version = max(
            peer.last_ack.settled for peer in self if peer.last_ack
        )
        return True

    def is_silent(self, peer: Peer, now: float) -> bool:
        """Tell whether a member is considered lost.

        :param peer: Member to check.
        :param now: Current time.
        :return: ``True`` if it sent no acknowledgement for
            ``LOSS_TIMEOUT``.
        """
        return now - max(peer.last_ack_at, self._started) >= LOSS_TIMEOUT

    def can_hold_leases(self, peer: Peer, now: float) -> bool:
        """Tell whether a member may be planned as a leaseholder.

        :param peer: Member to check.
        :param now: Current time.
        :return: ``True`` if it has acknowledged a round of this epoch, is
            not silent or leaving, and its process is not known to have
            terminated.
        """
        if not peer.has_acked or peer.leaving or self.is_terminated(peer):
            return False
        return not self.is_silent(peer, now)

    def may_be_leased_elsewhere(
        self, target: str, peer: Peer, now: float
    ) -> bool:
        """Tell whether a member other than ``peer`` may hold a target's lease.

        :param target: Name of the target.
        :param peer: Member that is to be granted the lease.
        :param now: Current time.
        :return: ``False`` if certainly no other member holds it.
        """
        exclusive = self._is_exclusively_held(target, peer)
        return any(
            self._may_hold_lease(other, target, exclusive, now)
            for other in self
            if other is not peer
        )

    def may_run_requests(
        self, peer: Peer, now: float, longest_request: float
    ) -> bool:
        """Tell whether a member may still run requests.

        A request may run on for ``longest_request`` after the lease under
        which it was dispatched.

        :param peer: Member to check.
        :param now: Current time.
        :param longest_request: Longest run time of a request, in seconds.
        :return: ``False`` once every request that it may have dispatched
            has ended.
        """
        running = max_local_duration(longest_request)
        if not peer.has_acked:
            until = self._unreported_leases_expire_by() + running
            return not peer.joined_in_epoch and now < until
        if not self.is_silent(peer, now):
            return True
        return now < peer.lease_expires_by + running

    def is_removable(
        self, peer: Peer, now: float, longest_request: float
    ) -> bool:
        """Tell whether a member can be removed from the member list.

        :param peer: Member to check.
        :param now: Current time.
        :param longest_request: Longest run time of a request, in seconds.
        :return: ``True`` if its process is known to have terminated and
            none of its requests can run any more.
        """
        running = self.may_run_requests(peer, now, longest_request)
        return self.is_terminated(peer) and not running

    def settled(self, now: float, longest_request: float) -> int:
        """Compute the record version that all members have settled at.

        A member has settled at a version once nothing runs any more under
        assignments that this version replaced.  Members that cannot run
        requests any more are left out.

        :param now: Current time.
        :param longest_request: Longest run time of a request of a silent
            member, in seconds.
        :return: Least version of those that the members settled at.
        """
        settled = [
            peer.last_ack.settled if peer.last_ack else 0
            for peer in self
            if self.may_run_requests(peer, now, longest_request)
        ]
        return min((*settled, self._record.version))

    def _quorum_round_sent_at(self) -> float:
        """Find when the latest rounds acknowledged by a quorum were sent.

        This is the latest time such that each member of a quorum has
        acknowledged a round sent at or after it.  Members that are known
        to have terminated have no vote.
        """
        voters = [peer for peer in self if not self.is_terminated(peer)]
        if not voters:
            return -math.inf
        acked = sorted(
            (peer.acked_round_sent_at for peer in voters), reverse=True
        )
        return acked[quorum_size(len(voters)) - 1]

    def _is_exclusively_held(self, target: str, peer: Peer) -> bool:
        """Tell whether a lease that a member reported excludes all others.

        A coordinator of an earlier epoch can act until ``ACK_LEASE`` after
        a quorum acknowledged this epoch, and grants a target to another
        member only after the lease has expired.  So a reported lease that
        lasts beyond that time is the only one.
        """
        if target not in peer.claimed_targets:
            return False
        return peer.claim_valid_until >= self._quorum_at + max_local_duration(
            ACK_LEASE
        )

    def _may_hold_lease(
        self, peer: Peer, target: str, exclusive: bool, now: float
    ) -> bool:
        if peer.has_acked or peer.joined_in_epoch:
            return target in peer.held and now < peer.lease_expires_by
        return not exclusive and now < self._unreported_leases_expire_by()

    def _unreported_leases_expire_by(self) -> float:
        """Compute when the leases granted in earlier epochs have expired."""
        return self._quorum_at + max_local_duration(ACK_LEASE + DISPATCH_LEASE)
