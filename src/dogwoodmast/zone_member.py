"""Member of a zone: acknowledged epochs and dispatch rights.

This state machine does no I/O and reads no clock.  All times passed to it
come from the monotonic clock of the member's process.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.dispatch_right import Right
from dogwoodmast.ownership import Assignment, ZoneRecord
from dogwoodmast.zone_messages import (
    LeaseRound,
    ProbeAnswer,
    RoundAck,
    RoundRefusal,
    TakeoverProbe,
)
from dogwoodmast.zone_protocol import (
    DISPATCH_LEASE,
    LOSS_TIMEOUT,
    CoordinatorEpoch,
)

if TYPE_CHECKING:
    from dogwoodmast.backend import Grant

NO_EPOCH = CoordinatorEpoch(0, 0, 0)
"""Epoch that is lower than the epoch of any coordinator."""
MAX_TRACKED_ACKS = 32
"""Number of acknowledgements whose sending times are kept; a round that
refers to an older one does not renew leases."""
PROBE_SILENCE_RATIO = 0.8
"""Fraction of ``LOSS_TIMEOUT`` without a round after which a member votes
for a takeover.  As it is below one, members that received their last round
slightly later than the candidate vote for it too."""
MILLISECONDS_PER_SECOND = 1000
"""Factor between seconds and the milliseconds used in messages."""


@attrs.frozen
class WorkStatus:
    """State of the member's own requests."""

    settled_version: int
    """Version of the zone's record at which the member has settled: none of
    its requests runs, may still run or awaits handover under an assignment
    that this version or an earlier one replaced."""
    has_released: Callable[[str], bool]
    """Function that tells whether the lease of a target, given by its name,
    may pass to another member."""


@attrs.frozen
class RightsSnapshot:
    """State on which the dispatch rights depend, except for the zone's record
    and the services whose targets check fences."""

    lease_valid: bool
    """Whether the member's leases have not expired."""
    epoch: CoordinatorEpoch
    """Highest acknowledged epoch."""
    sequence: int
    """Sequence number of the member's set of targets."""
    low_watermarks: tuple[int, int]
    """Received low watermarks for all targets and for targets that check
    fences, as record versions."""


@attrs.define(eq=False)
class ZoneMember:
    """Promises that a member made and leases that it was granted."""

    _record: ZoneRecord | None = None
    _fenced_services: frozenset[str] = frozenset()
    _highest_epoch: CoordinatorEpoch = NO_EPOCH
    _members_version: int = 0
    _last_round_at: float = -math.inf
    _last_round_number: int = 0
    _ack_times: dict[int, float] = attrs.field(factory=dict)
    _lease_expiry: float = -math.inf
    _sequence: int = 0
    _targets: dict[str, bool] = attrs.field(factory=dict)
    _releasing: set[str] = attrs.field(factory=set)
    _low_watermark: int = 0
    _fenced_low_watermark: int = 0
    _leaving: bool = False

    @property
    def highest_epoch(self) -> CoordinatorEpoch:
        """Highest epoch that the member has acknowledged."""
        return self._highest_epoch

    @property
    def record_version(self) -> int:
        """Version of the latest known record of the zone, or zero."""
        return 0 if self._record is None else self._record.version

    @property
    def floor(self) -> int:
        """Highest received low watermark for all targets: the record version
        at which all members of the zone have settled."""
        return self._low_watermark

    @property
    def leaving(self) -> bool:
        """Whether the member asks to leave the zone."""
        return self._leaving

    @property
    def has_released_all(self) -> bool:
        """Whether the member holds no target and releases none."""
        return not self._targets and not self._releasing

    def leave(self) -> None:
        """Ask the coordinator to move all targets to other members.

        The request is part of every following acknowledgement.
        """
        self._leaving = True

    def on_fenced_services(self, services: frozenset[str]) -> None:
        """Replace the set of services whose targets check fences.

        :param services: Names of the services.
        """
        self._fenced_services = services

    def on_record(self, record: ZoneRecord) -> None:
        """Adopt a record of the zone.

        :param record: Record of the zone; ignored if it is older than the
            known one.
        """
        if record.version < self.record_version:
            return
        self._record = record
        self._members_version = max(
            self._members_version, record.members_version
        )

    def on_round(
        self, message: LeaseRound, status: WorkStatus, now: float
    ) -> RoundAck | RoundRefusal:
        """Acknowledge or refuse a coordinator's round.

        A round is refused if its epoch is lower than the highest one
        acknowledged, or if its member list is older than the known one.

        :param message: Round of a coordinator.
        :param status: State of the member's own requests.
        :param now: Monotonic time before the answer is sent, in seconds.
        :return: Answer to the round.
        """
        if not self._accepts(message):
            return _refusal(
                message.number, self._highest_epoch, self.record_version
            )
        if message.epoch > self._highest_epoch:
            self._highest_epoch = message.epoch
            self._last_round_number = 0
            self._sequence = 0
            self._ack_times.clear()
        self._members_version = message.members_version
        if message.number > self._last_round_number:
            self._apply_round(message, now)
        self._releasing = {
            target
            for target in self._releasing
            if not status.has_released(target)
        }
        return self._ack(message, status, now)

    def on_probe(self, probe: TakeoverProbe, now: float) -> ProbeAnswer:
        """Vote on the takeover by a candidate.

        The member votes for it if it has not received rounds for a while
        and the candidate's member list is not older than its own.

        :param probe: Probe of the candidate.
        :param now: Monotonic time in seconds.
        :return: Answer to the probe.
        """
        silence = now - self._last_round_at
        lost = silence >= LOSS_TIMEOUT * PROBE_SILENCE_RATIO
        current = probe.members_version >= self._members_version
        return ProbeAnswer(
            lost=lost and current,
            term=self._highest_epoch.term,
            rank=self._highest_epoch.rank,
            member=self._highest_epoch.member,
            record_version=self.record_version,
        )

    def time_since_round(self, now: float) -> float:
        """Return the time since the last accepted round.

        :param now: Monotonic time in seconds.
        :return: Time in seconds; infinite before the first round.
        """
        return now - self._last_round_at

    def rights_snapshot(self, now: float) -> RightsSnapshot:
        """Capture the state on which the dispatch rights depend.

        Comparing two snapshots shows whether a round, or the time that has
        passed, may have changed a right.

        :param now: Monotonic time in seconds.
        :return: Snapshot of the current state.
        """
        return RightsSnapshot(
            lease_valid=now < self._lease_expiry,
            epoch=self._highest_epoch,
            sequence=self._sequence,
            low_watermarks=(self._low_watermark, self._fenced_low_watermark),
        )

    def right(self, target: str, grant: Grant, now: float) -> Right:
        """Tell whether a request may be dispatched now.

        :param target: Name of the target that would run the request.
        :param grant: Partition and fence under which it would run.
        :param now: Monotonic time in seconds.
        :return: Whether dispatch is granted, pending or denied.
        """
        granted = self._targets.get(target)
        if granted is None:
            return Right.DENIED
        if grant.fence > self.record_version:
            return Right.PENDING
        service, _, partition = grant.partition.rpartition('/')
        assignment = self._find_assignment(service, int(partition))
        if assignment != Assignment(target, grant.fence):
            return Right.DENIED
        leased = granted and now < self._lease_expiry
        if leased and self._is_settled(service, grant.fence):
            return Right.GRANTED
        return Right.PENDING

    def lease_expiry(self, target: str) -> float:
        """Return when the lease of a target expires.

        A target that is being moved to another member stays leased until it
        is released, so that running requests can finish and their request
        ids can be handed over.

        :param target: Name of the target.
        :return: Monotonic time in seconds; in the past if not held.
        """
        if self._targets.get(target) or target in self._releasing:
            return self._lease_expiry
        return -math.inf

    def _accepts(self, message: LeaseRound) -> bool:
        return (
            message.epoch >= self._highest_epoch
            and message.members_version >= self._members_version
        )

    def _apply_round(self, message: LeaseRound, now: float) -> None:
        self._last_round_number = message.number
        self._last_round_at = now
        self._low_watermark = max(self._low_watermark, message.floor)
        self._fenced_low_watermark = max(
            self._fenced_low_watermark, message.fenced_floor
        )
        if message.sequence not in {0, self._sequence}:
            self._replace_targets(message)
        ack_sent_at = self._ack_times.get(message.renews)
        if ack_sent_at is not None and message.sequence:
            expiry = ack_sent_at + DISPATCH_LEASE
            self._lease_expiry = max(self._lease_expiry, expiry)

    def _replace_targets(self, message: LeaseRound) -> None:
        before = self._targets
        self._sequence = message.sequence
        self._targets = {
            lease.target: lease.granted for lease in message.targets
        }
        self._releasing.update(before)
        self._releasing.difference_update(self._targets)

    def _ack(
        self, message: LeaseRound, status: WorkStatus, now: float
    ) -> RoundAck:
        self._ack_times[message.number] = now
        if len(self._ack_times) > MAX_TRACKED_ACKS:
            self._ack_times.pop(min(self._ack_times))
        lease_left = max(0, self._lease_expiry - now)
        return RoundAck(
            number=message.number,
            record_version=self.record_version,
            settled=status.settled_version,
            floor=self._low_watermark,
            fenced_floor=self._fenced_low_watermark,
            sequence=self._sequence,
            lease_left=int(lease_left * MILLISECONDS_PER_SECOND),
            leaving=self._leaving,
            held=self._held_targets(message, lease_left),
            busy=tuple(sorted(self._releasing)),
        )

    def _held_targets(
        self, message: LeaseRound, lease_left: float
    ) -> tuple[str, ...]:
        if not message.full or lease_left <= 0:
            return ()
        return tuple(
            target for target, granted in self._targets.items() if granted
        )

    def _find_assignment(
        self, service: str, partition: int
    ) -> Assignment | None:
        if self._record is None:
            return None
        return self._record.find_assignment(service, partition)

    def _is_settled(self, service: str, fence: int) -> bool:
        if self.record_version < self._low_watermark:
            return False
        low_watermark = self._low_watermark
        if service in self._fenced_services:
            low_watermark = max(low_watermark, self._fenced_low_watermark)
        return fence <= low_watermark


def _refusal(
    number: int, highest_epoch: CoordinatorEpoch, record_version: int
) -> RoundRefusal:
    return RoundRefusal(
        number=number,
        term=highest_epoch.term,
        rank=highest_epoch.rank,
        member=highest_epoch.member,
        record_version=record_version,
    )
