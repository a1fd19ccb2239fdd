"""Cost of the lease rounds of a zone.

The state machines of the coordinator and of the members run in this process
and exchange encoded messages, without sockets.
"""

from __future__ import annotations

import time

import attrs

from benchmarks.capacity_slopes import make_record
from dogwoodmast._wire import decode, encode
from dogwoodmast.frames import pack_frame
from dogwoodmast.zone_coordinator import ZoneCoordinator, ZoneTargets
from dogwoodmast.zone_member import WorkStatus, ZoneMember
from dogwoodmast.zone_protocol import ROUND_INTERVAL, CoordinatorEpoch

PARTITIONS = 1_024
"""Number of partitions that the zone owns."""
LONGEST_REQUEST = 5.0
"""Longest time that a request may run on a target, in seconds."""
WARM_UP_ROUNDS = 20
"""Number of rounds before the measurement, until the leases are stable."""
MEASURED_ROUNDS = 40
"""Number of rounds that are measured."""


@attrs.frozen
class RoundCost:
    """Cost of the lease rounds of one zone with stable leases."""

    members: int
    """Number of members of the zone."""
    targets: int
    """Number of targets of the zone."""
    coordinator_cpu: float
    """Processor time of the coordinator's state machine and codec, as a share
    of one core."""
    member_cpu: float
    """Processor time of a member's state machine and codec, as a share of one
    core."""
    coordinator_bytes: float
    """Bytes of frames that the coordinator sends per second."""
    member_bytes: float
    """Bytes of frames that a member sends per second."""


@attrs.define(eq=False)
class _SimulatedZone:
    coordinator: ZoneCoordinator
    members: dict[int, ZoneMember]
    now: float = 1.0
    coordinator_cpu_time: float = 0
    member_cpu_time: float = 0
    coordinator_bytes: int = 0
    member_bytes: int = 0

    def run_round(self) -> None:
        requests = []
        start_time = time.process_time()
        for send_round in self.coordinator.rounds(self.now):
            payload = encode(send_round.message)
            self.coordinator_bytes += len(pack_frame(send_round.message, 1))
            requests.append((send_round.member.number, payload))
        self.coordinator_cpu_time += time.process_time() - start_time
        acks = [
            (number, self._acknowledge(number, payload))
            for number, payload in requests
        ]
        start_time = time.process_time()
        for number, payload in acks:
            ack = decode('RoundAck', payload)
            self.coordinator.on_ack(number, ack, self.now)
        self.coordinator_cpu_time += time.process_time() - start_time
        self.now += ROUND_INTERVAL

    def reset_costs(self) -> None:
        self.coordinator_cpu_time = 0
        self.member_cpu_time = 0
        self.coordinator_bytes = 0
        self.member_bytes = 0

    def _acknowledge(self, number: int, payload: bytes) -> bytes:
        start_time = time.process_time()
        message = decode('LeaseRound', payload)
        status = WorkStatus(1, lambda _: True)
        ack = self.members[number].on_round(message, status, self.now)
        encoded = encode(ack)
        self.member_cpu_time += time.process_time() - start_time
        self.member_bytes += len(pack_frame(ack, -1))
        return encoded


def measure_rounds(members: int, targets: int) -> RoundCost:
    """Measure the lease rounds of a zone.

    :param members: Number of members of the zone.
    :param targets: Number of targets of the zone.
    :return: Cost of the rounds.
    """
    zone = _make_zone(members, targets)
    for _ in range(WARM_UP_ROUNDS):
        zone.run_round()
    zone.reset_costs()
    for _ in range(MEASURED_ROUNDS):
        zone.run_round()
    duration = MEASURED_ROUNDS * ROUND_INTERVAL
    return RoundCost(
        members=members,
        targets=targets,
        coordinator_cpu=zone.coordinator_cpu_time / duration,
        member_cpu=zone.member_cpu_time / duration / members,
        coordinator_bytes=zone.coordinator_bytes / duration,
        member_bytes=zone.member_bytes / duration / members,
    )


def _make_zone(members: int, targets: int) -> _SimulatedZone:
    record = make_record(PARTITIONS, members)
    first = record.members[0]
    coordinator = ZoneCoordinator(
        CoordinatorEpoch(1, 0, first.number), record, 0
    )
    names = frozenset(f'balance-plateau-{number}' for number in range(targets))
    coordinator.on_targets(ZoneTargets(names, LONGEST_REQUEST), frozenset())
    members_by_number = {}
    for member in record.members:
        zone_member = ZoneMember()
        zone_member.on_record(record)
        members_by_number[member.number] = zone_member
    return _SimulatedZone(coordinator, members_by_number)
