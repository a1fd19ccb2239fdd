"""What a coordinator knows of one member.

Times are the coordinator's own.  What a member may hold or run is bounded
from above, so that nothing is given away too early.
"""

from __future__ import annotations

import math

import attrs

from dogwoodmast.ownership import Member
from dogwoodmast.zone_member import MILLISECONDS
from dogwoodmast.zone_messages import RoundAck, TargetLease
from dogwoodmast.zone_protocol import (
    DISPATCH_LEASE,
    max_local_duration,
    min_local_duration,
)

ROUNDS_REMEMBERED = 32
"""Rounds whose sending times are kept."""


@attrs.frozen
class SentRound:
    """A round that a member may still acknowledge."""

    at: float
    """Time of sending."""
    members_version: int
    """Version of the member list that it was sent under."""
    full: bool
    """Whether it asked for a full report."""


@attrs.define(eq=False)
class Peer:
    """One listed member, seen by its coordinator."""

    member: Member
    """The member."""
    joined_in_epoch: bool = False
    """Whether it was listed under the coordinator's own epoch."""
    last_ack: RoundAck | None = None
    """Latest acknowledgement, or ``None`` before the first."""
    last_ack_at: float = -math.inf
    """When the latest acknowledgement came."""
    acked_round_sent_at: float = -math.inf
    """When the latest round was sent that it acknowledged under the present
    member list."""
    lease_expires_by: float = -math.inf
    """Time after which no lease that it was granted stands."""
    claim_valid_until: float = -math.inf
    """Time until which the leases stand that it reported."""
    claimed_targets: frozenset[str] = frozenset()
    """Targets that it reported to hold."""
    held: set[str] = attrs.field(factory=set)
    """Targets that it may hold while its leases stand."""
    targets: dict[str, bool] = attrs.field(factory=dict)
    """Its present set of targets, and whether each is granted."""
    sequence: int = 0
    """Number of the set; zero before the first."""
    number: int = 0
    """Number of the latest round sent."""
    _sent: dict[int, SentRound] = attrs.field(factory=dict)

    @property
    def member_number(self) -> int:
        """Number of the member."""
        return self.member.number

    @property
    def has_acked(self) -> bool:
        """Whether it reported what it holds."""
        return self.last_ack is not None

    @property
    def record_version(self) -> int:
        """Version of the record that it reported to know."""
        return 0 if self.last_ack is None else self.last_ack.record_version

    @property
    def leaving(self) -> bool:
        """Whether it wants to leave."""
        return self.last_ack is not None and self.last_ack.leaving

    @property
    def has_left(self) -> bool:
        """Whether it leaves and has nothing left to do."""
        last_ack = self.last_ack
        if (
            last_ack is None
            or not last_ack.leaving
            or last_ack.sequence != self.sequence
        ):
            return False
        return not self.held and not self.targets and not last_ack.busy

    @property
    def set_acknowledged(self) -> bool:
        """Whether its present set of targets is in force."""
        return (
            self.last_ack is not None
            and self.last_ack.sequence == self.sequence
        )

    def on_sent(self, members_version: int, now: float) -> int:
        """Count a round that is about to be sent.

        :param members_version: Version of the member list.
        :param now: Time before the sending.
        :return: Number of the round.
        """
        self.number += 1
        self._sent[self.number] = SentRound(
            now, members_version, not self.has_acked
        )
        if len(self._sent) > ROUNDS_REMEMBERED:
            self._sent.pop(min(self._sent))
        return self.number

    def on_ack(self, ack: RoundAck, members_version: int, now: float) -> bool:
        """Take in an acknowledgement.

        :param ack: The acknowledgement.
        :param members_version: Version of the present member list.
        :param now: Time of its arrival.
        :return: Whether it is a new one.
        """
        sent = self._sent.pop(ack.number, None)
        if sent is None:
            return False
        if sent.members_version == members_version:
            self.acked_round_sent_at = max(self.acked_round_sent_at, sent.at)
        if self.last_ack is not None and ack.number < self.last_ack.number:
            return False
        if self.last_ack is None:
            self._on_first_report(ack, sent, now)
        self.last_ack = ack
        self.last_ack_at = now
        self._drop_released(ack, now)
        return True

    def renewal(self) -> int:
        """Extend the leases as the next round does.

        :return: Number of the acknowledgement that they count from.
        """
        if self.last_ack is None:
            return 0
        until = self.last_ack_at + max_local_duration(DISPATCH_LEASE)
        self.lease_expires_by = max(self.lease_expires_by, until)
        return self.last_ack.number

    def replace_targets(self, targets: dict[str, bool]) -> bool:
        """Choose the member's set of targets.

        :param targets: Whether each target is granted.
        :return: Whether the set changed.
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
        """List the set of targets unless the member has it.

        :return: The set; empty if it is in force.
        """
        if self.set_acknowledged:
            return ()
        return tuple(
            TargetLease(target, granted)
            for target, granted in sorted(self.targets.items())
        )

    def _on_first_report(
        self, ack: RoundAck, sent: SentRound, now: float
    ) -> None:
        left = ack.lease_left / MILLISECONDS
        self.claimed_targets = frozenset(ack.held)
        self.claim_valid_until = sent.at + min_local_duration(left)
        self.held.update(ack.held, ack.busy)
        # The member rounds its time down.
        self.lease_expires_by = now + max_local_duration(
            left + 1 / MILLISECONDS
        )

    def _drop_released(self, ack: RoundAck, now: float) -> None:
        if ack.sequence != self.sequence or not self.sequence:
            return
        kept = {target for target in self.held if self.targets.get(target)}
        self.held = kept.union(ack.busy)
