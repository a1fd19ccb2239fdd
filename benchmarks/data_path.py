"""Measure the throughput and latency of the data path.

The same requests take three routes in one run: from the caller directly to
the stand-in back end, through the entry VM that holds the target's lease, and
through another entry VM that forwards them to that one.

Run ``python -m benchmarks.data_path`` in the root of the repository.
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
    uniform_key_load,
)
from dogwoodmast.load_tool.plan import KindLoad, LoadPlan

CONNECTIONS = 32
"""Upper limit of concurrent requests of the caller."""
SATURATING_RATE = 3000.0
"""Rate of a saturating load, in requests per second; more than a route can
serve."""
SATURATION_DURATION = 2.0
"""Duration of a saturating load, in seconds."""
LONG_DEADLINE = 60.0
"""Deadline of the requests, in seconds; long enough that the load tool does
not abort requests under a saturating load."""


@attrs.frozen
class Route:
    """Route from the caller to the back end."""

    name: str
    """Name of the route in the table."""
    url: str
    """Base URL to which the caller sends its requests."""
    service: str
    """First segment of each path; empty for the back end itself."""
    keys: tuple[str, ...]
    """Keys of the requests, all owned by one target."""
    processes: tuple[str, ...]
    """Names of the entry VMs on the route."""


def find_routes(fleet: MeasuredFleet) -> tuple[Route, ...]:
    """Select the three routes to one target.

    :param fleet: Running fleet with one entry VM per zone.
    :return: Routes: direct, through the leaseholder, and with a hop.
    """
    keys = fleet.keys_per_target()
    target = fleet.plan.targets[0]
    leaseholder, other = fleet.plan.entries[:2]
    target_keys = keys[target.name]
    urls = fleet.urls
    return (
        Route('direct', urls[target.name], '', target_keys, ()),
        Route(
            'leaseholder',
            urls[leaseholder.name],
            'balance',
            target_keys,
            (leaseholder.name,),
        ),
        Route(
            'hop',
            urls[other.name],
            'balance',
            target_keys,
            (leaseholder.name, other.name),
        ),
    )


def make_plan(route: Route, rate: float, duration: float) -> LoadPlan:
    """Create the load plan of one route.

    :param route: Route of the requests.
    :param rate: Requests per second.
    :param duration: Duration of the load, in seconds.
    :return: Load plan.
    """
    return LoadPlan(
        urls=(route.url,),
        service=route.service,
        rate=rate,
        duration=duration,
        connections=CONNECTIONS,
        kinds=(KindLoad('check', deadline=LONG_DEADLINE),),
        keys=uniform_key_load(route.keys),
        check_answers=True,
    )


def saturate(fleet: MeasuredFleet, route: Route) -> Measurement:
    """Measure a route under the saturating load.

    :param fleet: Running fleet.
    :param route: Route of the requests.
    :return: Measurement of the load run.
    """
    plan = make_plan(route, SATURATING_RATE, SATURATION_DURATION)
    return fleet.measure(attrs.evolve(plan, stop_at_end=True))


def run(rates: list[float], duration: float) -> None:
    """Measure all routes at all rates and print one table.

    :param rates: Rates, in requests per second.
    :param duration: Duration per rate and route, in seconds.
    """
    rows = []
    with start_fleet(backends_per_zone=1) as fleet:
        routes = find_routes(fleet)
        for route in routes:
            rows.append(_make_row(route, 'saturated', saturate(fleet, route)))
        for rate in rates:
            for route in routes:
                measurement = fleet.measure(make_plan(route, rate, duration))
                rows.append(_make_row(route, f'{rate:.0f}/s', measurement))
    print(tabulate(rows, headers='keys', floatfmt='.2f'))
    print(describe_machine())


def _make_row(
    route: Route, load: str, measurement: Measurement
) -> dict[str, object]:
    summary = measurement.summary
    answered = summary.total.answered
    return {
        'load': load,
        'way': route.name,
        'answered/s': summary.answered_rate,
        'not answered': summary.total.not_answered.count,
        'p50 ms': answered.p50,
        'p99 ms': answered.p99,
        'entry CPU us': measurement.cpu_per_request(*route.processes),
        'caller CPU us': measurement.cpu_per_request('caller'),
    }


def main() -> int:
    """Run the benchmark.

    :return: Exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', type=float, action='append')
    parser.add_argument('--duration', type=float, default=5)
    arguments = parser.parse_args()
    run(arguments.rate or [100, 300], arguments.duration)
    return 0


if __name__ == '__main__':
    sys.exit(main())
