"""Coordinator's state of one member of its zone.

Times are monotonic times of the coordinator's clock, in seconds.  What a
member may hold or run is estimated from above, so that a target is never
leased to another member too early.
"""

from __future__ import annotations

import math

import attrs

from dogwoodmast.ownership import Member
from dogwoodmast.zone_member import MILLISECONDS_PER_SECOND
from dogwoodmast.zone_messages import RoundAck, TargetLease
from dogwoodmast.zone_protocol import (
    DISPATCH_LEASE,
    max_local_duration,
    min_local_duration,
)

MAX_TRACKED_ROUNDS = 32
"""Number of unacknowledged rounds per member that are kept; acknowledgements
of older ones are ignored."""


@attrs.frozen
class SentRound:
    """Round that a member has not acknowledged yet."""

    sent_at: float
    """Time of sending."""
    members_version: int
    """Version of the member list in the round."""
    full: bool
    """Whether the round asked for a full report of held targets."""


@attrs.define(eq=False)
class Peer:
    """Member of the zone as tracked by its coordinator."""

    member: Member
    """Identity and address of the member."""
    joined_in_epoch: bool = False
    """Whether the member was added in the coordinator's own epoch, so that
    no earlier coordinator can have granted it leases."""
    last_ack: RoundAck | None = None
    """Acknowledgement of the latest round, or ``None`` before the first."""
    last_ack_at: float = -math.inf
    """Time at which :attr:`last_ack` arrived."""
    acked_round_sent_at: float = -math.inf
    """Sending time of the latest acknowledged round that carried the current
    member list."""
    lease_expires_by: float = -math.inf
    """Time by which all leases granted to the member have expired."""
    claim_valid_until: float = -math.inf
    """Time until which the leases in the member's first report are certain
    to be valid."""
    claimed_targets: frozenset[str] = frozenset()
    """Targets whose leases the member reported as valid in its first
    acknowledgement."""
    held: set[str] = attrs.field(factory=set)
    """Targets that the member may hold until :attr:`lease_expires_by`."""
    targets: dict[str, bool] = attrs.field(factory=dict)
    """Targets planned for the member, and whether the lease of each is
    granted."""
    sequence: int = 0
    """Sequence number of :attr:`targets`; zero before the first set."""
    round_number: int = 0
    """Number of the latest round sent to the member."""
    _sent_rounds: dict[int, SentRound] = attrs.field(factory=dict)

    @property
    def member_number(self) -> int:
        """Number that identifies the member in messages."""
        return self.member.number

    @property
    def has_acked(self) -> bool:
        """Whether the member has acknowledged a round of this coordinator
        and thereby reported what it holds."""
        return self.last_ack is not None

    @property
    def record_version(self) -> int:
        """Record version in the latest acknowledgement, or zero."""
        return 0 if self.last_ack is None else self.last_ack.record_version

    @property
    def leaving(self) -> bool:
        """Whether the latest acknowledgement asks to leave the zone."""
        return self.last_ack is not None and self.last_ack.leaving

    @property
    def has_left(self) -> bool:
        """Whether the member is leaving and has released all targets."""
        last_ack = self.last_ack
        if (
            last_ack is None
            or not last_ack.leaving
            or last_ack.sequence != self.sequence
        ):
            return False
        return not self.held and not self.targets and not last_ack.busy

    @property
    def targets_acked(self) -> bool:
        """Whether the member has acknowledged its current targets."""
        return (
            self.last_ack is not None
            and self.last_ack.sequence == self.sequence
        )

    def register_round(self, members_version: int, now: float) -> int:
        """Allocate the number of the next round and record its sending.

        :param members_version: Version of the member list in the round.
        :param now: Time before the round is sent.
        :return: Number of the round.
        """
        self.round_number += 1
        self._sent_rounds[self.round_number] = SentRound(
            now, members_version, not self.has_acked
        )
        if len(self._sent_rounds) > MAX_TRACKED_ROUNDS:
            self._sent_rounds.pop(min(self._sent_rounds))
        return self.round_number

    def on_ack(self, ack: RoundAck, members_version: int, now: float) -> bool:
        """Process an acknowledgement of the member.

        :param ack: Acknowledgement of a round.
        :param members_version: Version of the current member list.
        :param now: Time of arrival.
        :return: ``True`` if it updated the state reported by the member;
            ``False`` if it is a duplicate or older than the latest one.
        """
        sent = self._sent_rounds.pop(ack.number, None)
        if sent is None:
            return False
        if sent.members_version == members_version:
            self.acked_round_sent_at = max(
                self.acked_round_sent_at, sent.sent_at
            )
        if self.last_ack is not None and ack.number < self.last_ack.number:
            return False
        if self.last_ack is None:
            self._on_first_ack(ack, sent, now)
        self.last_ack = ack
        self.last_ack_at = now
        self._update_held(ack, now)
        return True

    def renew_leases(self) -> int:
        """Extend the expiry bound for a round that renews the leases.

        The member counts its leases from the sending of the acknowledgement,
        which is not later than its arrival here.

        :return: Number of the acknowledgement that the leases count from;
            zero if there is none.
        """
        if self.last_ack is None:
            return 0
        expires_by = self.last_ack_at + max_local_duration(DISPATCH_LEASE)
        self.lease_expires_by = max(self.lease_expires_by, expires_by)
        return self.last_ack.number

    def replace_targets(self, targets: dict[str, bool]) -> bool:
        """Replace the targets planned for the member.

        :param targets: Whether the lease of each target is granted.
        :return: ``True`` if the targets changed.
        """
        if self.sequence and targets == self.targets:
            return False
        self.targets = targets
        self.sequence += 1
        self.held.update(
            target for target, granted in targets.items() if granted
        )
        return True

    def unconfirmed_targets(self) -> tuple[TargetLease, ...]:
        """List the planned targets unless the member acknowledged them.

        :return: Targets for the next round; empty if they are acknowledged.
        """
        if self.targets_acked:
            return ()
        return tuple(
            TargetLease(target, granted)
            for target, granted in sorted(self.targets.items())
        )

    def _on_first_ack(self, ack: RoundAck, sent: SentRound, now: float) -> None:
        lease_left = ack.lease_left / MILLISECONDS_PER_SECOND
        self.claimed_targets = frozenset(ack.held)
        self.claim_valid_until = sent.sent_at + min_local_duration(lease_left)
        self.held.update(ack.held, ack.busy)
        # The member rounds the remaining time down to whole milliseconds.
        self.lease_expires_by = now + max_local_duration(
            lease_left + 1 / MILLISECONDS_PER_SECOND
        )

    def _update_held(self, ack: RoundAck, now: float) -> None:
        if ack.sequence != self.sequence or not self.sequence:
            return
        kept = {target for target in self.held if self.targets.get(target)}
        self.held = kept.union(ack.busy)
