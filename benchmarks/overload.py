"""Measure goodput and latency at 0.5, 1 and 2 times the capacity.

The stand-in back ends take a fixed time per request, so that their slots limit
the request rate.
Run ``python -m benchmarks.overload`` in the root of the repository.
"""

from __future__ import annotations

import argparse
import sys

import attrs
from tabulate import tabulate

from benchmarks.measured_fleet import (
    MeasuredFleet,
    Measurement,
    describe_machine,
    start_fleet,
)
from dogwoodmast.load_tool.plan import KeyLoad, KindLoad, LoadPlan

BACKENDS_PER_ZONE = 1
SERVICE_TIME = 0.06
"""Time that a stand-in back end takes per request, in seconds."""
CAPACITY_MULTIPLES = (0.5, 1.0, 2.0)
"""Offered loads, as multiples of the capacity."""
DEADLINE = 0.5
"""Deadline of the callers' requests, in seconds."""
CONNECTIONS = 512
"""Upper limit of concurrent requests of the caller."""
MS_PER_SECOND = 1000
KINDS = (
    KindLoad('check', weight=4, deadline=DEADLINE),
    KindLoad(
        'pay',
        method='POST',
        body='1',
        deadline=DEADLINE,
        request_id=True,
    ),
)


@attrs.frozen
class LoadResult:
    """Measurement at one offered load."""

    multiple: float
    """Offered load, as a multiple of the capacity."""
    measurement: Measurement
    """Measurement of the load run."""


def compute_capacity(fleet: MeasuredFleet) -> float:
    """Compute the capacity of the back ends.

    :param fleet: Running fleet.
    :return: Requests per second that all slots together can serve.
    """
    slots = sum(target.slots for target in fleet.plan.targets)
    return slots / SERVICE_TIME


def make_plan(fleet: MeasuredFleet, rate: float, duration: float) -> LoadPlan:
    """Create a load plan of reads and payments over all entry VMs.

    :param fleet: Running fleet.
    :param rate: Requests per second.
    :param duration: Duration of the load, in seconds.
    :return: Load plan.
    """
    urls = fleet.urls
    return LoadPlan(
        urls=tuple(urls[entry.name] for entry in fleet.plan.entries),
        backends=tuple(urls[target.name] for target in fleet.plan.targets),
        service='balance',
        rate=rate,
        duration=duration,
        connections=CONNECTIONS,
        kinds=KINDS,
        keys=KeyLoad(count=10_000),
        check_answers=True,
    )


def run(duration: float) -> None:
    """Measure all offered loads and print one table.

    :param duration: Duration per offered load, in seconds.
    """
    backend_options = ('--service-time', str(SERVICE_TIME))
    with start_fleet(BACKENDS_PER_ZONE, backend_options) as fleet:
        rate = compute_capacity(fleet)
        loads = [
            LoadResult(
                multiple,
                fleet.measure(make_plan(fleet, rate * multiple, duration)),
            )
            for multiple in CAPACITY_MULTIPLES
        ]
    peak_goodput = max(load.measurement.summary.goodput for load in loads)
    rows = [_make_row(load, peak_goodput) for load in loads]
    print(f'capacity {rate:.0f}/s, callers allow {DEADLINE} s')
    print(tabulate(rows, headers='keys', floatfmt='.2f'))
    for load in loads:
        print(f'{load.multiple}: {load.measurement.summary.total.outcomes}')
    print(describe_machine())


def _make_row(load: LoadResult, peak_goodput: float) -> dict[str, object]:
    summary = load.measurement.summary
    total = summary.total
    service_time_ms = SERVICE_TIME * MS_PER_SECOND
    return {
        'load': load.multiple,
        'offered/s': summary.offered_rate,
        'goodput/s': summary.goodput,
        'of peak': summary.goodput / peak_goodput,
        'added p50 ms': total.answered.p50 - service_time_ms,
        'added p99 ms': total.answered.p99 - service_time_ms,
        'not answered': total.not_answered.count,
        'their p50 ms': total.not_answered.p50,
        'their p99 ms': total.not_answered.p99,
        'late': total.late,
        'caller p99 ms': summary.lag.p99,
        'amplification': summary.amplification,
    }


def main() -> int:
    """Run the benchmark.

    :return: Exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--duration', type=float, default=10)
    arguments = parser.parse_args()
    run(arguments.duration)
    return 0


if __name__ == '__main__':
    sys.exit(main())
