"""A zone's member: whom it acknowledges and what it may dispatch.

The machine is free of I/O and clocks.  Every time that it is given comes
from the member's own monotonic clock.
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

NO_AUTHORITY = CoordinatorEpoch(0, 0, 0)
"""Authority below every real one."""
ACKS_REMEMBERED = 32
"""Acknowledgements whose sending times are kept."""
PROBE_TOLERANCE = 0.8
"""Part of the loss timeout after which a member agrees to a takeover."""
MILLISECONDS = 1000
"""Milliseconds in a second."""


@attrs.frozen
class WorkStatus:
    """State of the member's own requests."""

    settled: int
    """Version of the record that all work has settled at."""
    has_released: Callable[[str], bool]
    """Tells whether a target's lease may pass on."""


@attrs.frozen
class RightsKey:
    """What the rights of a member depend on besides its record."""

    leased: bool
    """Whether its leases stand."""
    epoch: CoordinatorEpoch
    """Authority that it follows."""
    sequence: int
    """Number of its set of targets."""
    floors: tuple[int, int]
    """Floors that it has heard."""


@attrs.define(eq=False)
class ZoneMember:
    """What one member has promised and what it was granted."""

    _record: ZoneRecord | None = None
    _fenced_services: frozenset[str] = frozenset()
    _highest: CoordinatorEpoch = NO_AUTHORITY
    _members_version: int = 0
    _last_heard: float = -math.inf
    _last_number: int = 0
    _acks: dict[int, float] = attrs.field(factory=dict)
    _lease_expiry: float = -math.inf
    _sequence: int = 0
    _targets: dict[str, bool] = attrs.field(factory=dict)
    _releasing: set[str] = attrs.field(factory=set)
    _floor: int = 0
    _fenced_floor: int = 0
    _leaving: bool = False

    @property
    def highest(self) -> CoordinatorEpoch:
        """Highest epoch that was acknowledged."""
        return self._highest

    @property
    def record_version(self) -> int:
        """Version of the latest record that is known."""
        return 0 if self._record is None else self._record.version

    @property
    def floor(self) -> int:
        """Greatest floor that was heard."""
        return self._floor

    @property
    def leaving(self) -> bool:
        """Whether the member wants to leave the zone."""
        return self._leaving

    @property
    def idle(self) -> bool:
        """Whether the member fronts no target and has released all."""
        return not self._targets and not self._releasing

    def leave(self) -> None:
        """Ask the coordinator to take every target away."""
        self._leaving = True

    def on_fenced_services(self, services: frozenset[str]) -> None:
        """Take in whose targets check fences.

        :param services: Names of the services.
        """
        self._fenced_services = services

    def on_record(self, record: ZoneRecord) -> None:
        """Take in the zone's record.

        :param record: Record; an older one is ignored.
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

        :param message: The round.
        :param status: State of the member's own requests.
        :param now: Time before the answer is sent.
        :return: The answer.
        """
        if not self._accepts(message):
            return _refusal(message.number, self._highest, self.record_version)
        if message.epoch > self._highest:
            self._highest = message.epoch
            self._last_number = 0
            self._sequence = 0
            self._acks.clear()
        self._members_version = message.members_version
        if message.number > self._last_number:
            self._apply(message, now)
        self._releasing = {
            target
            for target in self._releasing
            if not status.has_released(target)
        }
        return self._ack(message, status, now)

    def on_probe(self, probe: TakeoverProbe, now: float) -> ProbeAnswer:
        """Answer whether another coordinator would be followed.

        :param probe: The probe.
        :param now: Current time.
        :return: The answer.
        """
        silence = now - self._last_heard
        lost = silence >= LOSS_TIMEOUT * PROBE_TOLERANCE
        current = probe.members_version >= self._members_version
        return ProbeAnswer(
            lost=lost and current,
            term=self._highest.term,
            rank=self._highest.rank,
            member=self._highest.member,
            record_version=self.record_version,
        )

    def silence(self, now: float) -> float:
        """Tell how long no coordinator was heard.

        :param now: Current time.
        :return: Seconds.
        """
        return now - self._last_heard

    def rights_key(self, now: float) -> RightsKey:
        """Summarize what the rights depend on.

        :param now: Current time.
        :return: Value that changes whenever a right may have.
        """
        return RightsKey(
            leased=now < self._lease_expiry,
            epoch=self._highest,
            sequence=self._sequence,
            floors=(self._floor, self._fenced_floor),
        )

    def right(self, target: str, grant: Grant, now: float) -> Right:
        """Tell whether a request may be dispatched now.

        :param target: Target that would run it.
        :param grant: Partition and fence that it would run under.
        :param now: Current time.
        :return: The right.
        """
        granted = self._targets.get(target)
        if granted is None:
            return Right.DENIED
        if grant.fence > self.record_version:
            return Right.PENDING
        service, _, partition = grant.partition.rpartition('/')
        assignment = self._assignment(service, int(partition))
        if assignment != Assignment(target, grant.fence):
            return Right.DENIED
        leased = granted and now < self._lease_expiry
        if leased and self._is_settled(service, grant.fence):
            return Right.GRANTED
        return Right.PENDING

    def lease_expiry(self, target: str) -> float:
        """Tell until when the lease of a target stands.

        A target that is taken away keeps its lease until it is released,
        so that what runs can finish and its request ids are handed over.

        :param target: The target.
        :return: Monotonic time in seconds; in the past if not held.
        """
        if self._targets.get(target) or target in self._releasing:
            return self._lease_expiry
        return -math.inf

    def _accepts(self, message: LeaseRound) -> bool:
        return (
            message.epoch >= self._highest
            and message.members_version >= self._members_version
        )

    def _apply(self, message: LeaseRound, now: float) -> None:
        self._last_number = message.number
        self._last_heard = now
        self._floor = max(self._floor, message.floor)
        self._fenced_floor = max(self._fenced_floor, message.fenced_floor)
        if message.sequence not in {0, self._sequence}:
            self._replace_targets(message)
        sent = self._acks.get(message.renews)
        if sent is not None and message.sequence:
            expiry = sent + DISPATCH_LEASE
            self._lease_expiry = max(self._lease_expiry, expiry)

    def _replace_targets(self, message: LeaseRound) -> None:
        before = self._targets
        self._sequence = message.sequence
        self._targets = {one.target: one.granted for one in message.targets}
        self._releasing.update(before)
        self._releasing.difference_update(self._targets)

    def _ack(
        self, message: LeaseRound, status: WorkStatus, now: float
    ) -> RoundAck:
        self._acks[message.number] = now
        if len(self._acks) > ACKS_REMEMBERED:
            self._acks.pop(min(self._acks))
        left = max(0, self._lease_expiry - now)
        return RoundAck(
            number=message.number,
            record_version=self.record_version,
            settled=status.settled,
            floor=self._floor,
            fenced_floor=self._fenced_floor,
            sequence=self._sequence,
            lease_left=int(left * MILLISECONDS),
            leaving=self._leaving,
            held=self._held(message, left),
            busy=tuple(sorted(self._releasing)),
        )

    def _held(self, message: LeaseRound, left: float) -> tuple[str, ...]:
        if not message.full or left <= 0:
            return ()
        return tuple(
            target for target, granted in self._targets.items() if granted
        )

    def _assignment(self, service: str, partition: int) -> Assignment | None:
        if self._record is None:
            return None
        return self._record.find_assignment(service, partition)

    def _is_settled(self, service: str, fence: int) -> bool:
        if self.record_version < self._floor:
            return False
        floor = self._floor
        if service in self._fenced_services:
            floor = max(floor, self._fenced_floor)
        return fence <= floor


def _refusal(
    number: int, highest: CoordinatorEpoch, record_version: int
) -> RoundRefusal:
    return RoundRefusal(
        number=number,
        term=highest.term,
        rank=highest.rank,
        member=highest.member,
        record_version=record_version,
    )
