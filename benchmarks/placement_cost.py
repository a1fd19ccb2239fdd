"""Measure the processor time of placement planning and of the load meter.

Run ``python -m benchmarks.placement_cost`` in the root of the repository.
"""

from __future__ import annotations

import random
import sys
import time

import attrs
from tabulate import tabulate

from benchmarks.placement_zone import ZoneSize, make_service
from dogwoodmast.configuration import Configuration, Preference, Zone
from dogwoodmast.load_meter import LoadMeter
from dogwoodmast.load_report import LoadReport, PartitionLoad
from dogwoodmast.ownership import Assignment, ServiceTable, ZoneRecord
from dogwoodmast.placement import Move, PlacementChange, PlacementInput
from dogwoodmast.placement_planner import BalancingPlanner

PARTITION_COUNTS = (4_096, 16_384, 65_536)
"""Numbers of partitions of the measured zones."""
MEMBERS = 50
"""Number of members of the zone, which each send a load report; also its
number of targets."""
PARTITIONS_PER_REPORT = 512
"""Number of partitions in the load report of each member."""
LATER_PLANS = 10
"""Number of plans after the first one, whose mean time is printed."""
PLAN_INTERVAL = 60
"""Time between plans, in seconds."""
REQUESTS = 200_000
"""Number of requests recorded by the load meter."""
ZONE_SIZE = ZoneSize('design', MEMBERS, 6, 1, Preference.AVAILABILITY)


def make_loads(partitions: int) -> list[PartitionLoad]:
    """Generate the loads that all members together report.

    :param partitions: Number of partitions of the zone.
    :return: Loads of a random sample of the partitions.
    """
    rng = random.Random(1)
    count = min(partitions, MEMBERS * PARTITIONS_PER_REPORT)
    return [
        PartitionLoad('service', partition, 5, rng.random() / 100)
        for partition in rng.sample(range(partitions), count)
    ]


def make_inputs(partitions: int) -> PlacementInput:
    """Create the inputs of the first placement of a zone.

    :param partitions: Number of partitions of its service.
    :return: Inputs without assignments.
    """
    service = attrs.evolve(make_service(ZONE_SIZE), partitions=partitions)
    loads = make_loads(partitions)
    reports = [
        LoadReport(f'vm-{member}', tuple(loads[member::MEMBERS]))
        for member in range(MEMBERS)
    ]
    return PlacementInput(
        configuration=Configuration(1, (Zone('zone'),), (service,)),
        record=ZoneRecord('zone', 1, 1, (), {}),
        reports=tuple(reports),
        excluded=frozenset(),
        partitions={'service': tuple(range(partitions))},
    )


def make_record(changes: tuple[PlacementChange, ...]) -> ZoneRecord:
    """Create the zone's record after the first plan.

    :param changes: Changes of the plan.
    :return: Record with the assignments of its moves.
    """
    assignments = {
        change.partition: Assignment(change.target, 1)
        for change in changes
        if isinstance(change, Move)
    }
    tables = {'service': ServiceTable(assignments)}
    return ZoneRecord('zone', 1, 1, (), tables)


def measure_plans(partitions: int) -> dict[str, float]:
    """Measure the first plan of a zone and later plans with the same load.

    :param partitions: Number of partitions of the zone.
    :return: Row of the table, by column head; times in milliseconds.
    """
    planner = BalancingPlanner()
    inputs = make_inputs(partitions)
    start_time = time.process_time()
    changes = planner.plan(inputs, 0)
    first_time = time.process_time() - start_time
    record = make_record(changes)
    inputs = attrs.evolve(inputs, record=record)
    start_time = time.process_time()
    for step in range(1, LATER_PLANS + 1):
        planner.plan(inputs, step * PLAN_INTERVAL)
    mean_later_time = (time.process_time() - start_time) / LATER_PLANS
    return {
        'partitions': partitions,
        'first plan ms': first_time * 1000,
        'steady plan ms': mean_later_time * 1000,
    }


def measure_meter() -> str:
    """Measure how long the load meter takes per request and per report.

    :return: Text with the figures.
    """
    rng = random.Random(1)
    meter = LoadMeter(0)
    keys = [f'key-{rng.randrange(10_000)}' for _ in range(REQUESTS)]
    start_time = time.process_time()
    for number, key in enumerate(keys):
        meter.on_finished('service', number & 1023, key, 0.02, 1)
    time_per_request = (time.process_time() - start_time) / REQUESTS
    start_time = time.process_time()
    meter.report(1)
    report_time = time.process_time() - start_time
    return (
        f'on_finished {time_per_request * 1e6:.2f} us, '
        f'report of 1024 partitions {report_time * 1000:.1f} ms'
    )


def main() -> int:
    """Run the benchmark.

    :return: Exit code.
    """
    rows = [measure_plans(partitions) for partitions in PARTITION_COUNTS]
    print(tabulate(rows, headers='keys', floatfmt='.1f'))
    print(measure_meter())
    return 0


if __name__ == '__main__':
    sys.exit(main())
