"""Cost of a zone's lease rounds, measured on the real machines."""

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
LONGEST_REQUEST = 5.0
WARM_UP_ROUNDS = 20
"""Rounds until plan and leases have settled."""
MEASURED_ROUNDS = 40


@attrs.frozen
class RoundCost:
    """Cost of lease rounds in one zone whose leases are stable."""

    members: int
    """Members of the zone."""
    targets: int
    """Targets of the zone."""
    coordinator_cpu: float
    """Share of a core that the coordinator's machine and codec take."""
    member_cpu: float
    """Share of a core that a member's machine and codec take."""
    coordinator_bytes: float
    """Bytes that the coordinator sends per second."""
    member_bytes: float
    """Bytes that a member sends per second."""


@attrs.define(eq=False)
class _Zone:
    coordinator: ZoneCoordinator
    members: dict[int, ZoneMember]
    now: float = 1.0
    coordinator_time: float = 0
    member_time: float = 0
    coordinator_bytes: int = 0
    member_bytes: int = 0

    def run_round(self) -> None:
        acks = []
        began = time.process_time()
        for round_for in self.coordinator.rounds(self.now):
            payload = encode(round_for.message)
            self.coordinator_bytes += len(pack_frame(round_for.message, 1))
            acks.append((round_for.member.number, payload))
        self.coordinator_time += time.process_time() - began
        answers = [
            (number, self._answer(number, payload)) for number, payload in acks
        ]
        began = time.process_time()
        for number, payload in answers:
            ack = decode('RoundAck', payload)
            self.coordinator.on_ack(number, ack, self.now)
        self.coordinator_time += time.process_time() - began
        self.now += ROUND_INTERVAL

    def reset(self) -> None:
        self.coordinator_time = 0
        self.member_time = 0
        self.coordinator_bytes = 0
        self.member_bytes = 0

    def _answer(self, number: int, payload: bytes) -> bytes:
        began = time.process_time()
        message = decode('LeaseRound', payload)
        status = WorkStatus(1, lambda _: True)
        ack = self.members[number].on_round(message, status, self.now)
        answer = encode(ack)
        self.member_time += time.process_time() - began
        self.member_bytes += len(pack_frame(ack, -1))
        return answer


def measure_rounds(members: int, targets: int) -> RoundCost:
    """Measure lease rounds in a zone of some size.

    :param members: Members of the zone.
    :param targets: Targets of the zone.
    :return: Their cost.
    """
    zone = _make_zone(members, targets)
    for _ in range(WARM_UP_ROUNDS):
        zone.run_round()
    zone.reset()
    for _ in range(MEASURED_ROUNDS):
        zone.run_round()
    lasted = MEASURED_ROUNDS * ROUND_INTERVAL
    return RoundCost(
        members=members,
        targets=targets,
        coordinator_cpu=zone.coordinator_time / lasted,
        member_cpu=zone.member_time / lasted / members,
        coordinator_bytes=zone.coordinator_bytes / lasted,
        member_bytes=zone.member_bytes / lasted / members,
    )


def _make_zone(members: int, targets: int) -> _Zone:
    record = make_record(PARTITIONS, members)
    first = record.members[0]
    coordinator = ZoneCoordinator(
        CoordinatorEpoch(1, 0, first.number), record, 0
    )
    names = frozenset(f'balance-plateau-{number}' for number in range(targets))
    coordinator.on_targets(ZoneTargets(names, LONGEST_REQUEST), frozenset())
    machines = {}
    for member in record.members:
        machine = ZoneMember()
        machine.on_record(record)
        machines[member.number] = machine
    return _Zone(coordinator, machines)
