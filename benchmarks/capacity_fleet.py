"""Cost of an idle fleet per entry VM, for fleets of several sizes.

An idle fleet serves no callers, so its cost is that of the control plane:
leases, exchanged documents, links and calls of the platform.
"""

from __future__ import annotations

import pathlib
import statistics
import tempfile
import time
from typing import Any

import attrs
import orjson

from benchmarks.process_usage import ProcessUsage
from fleet import ZONES, Fleet, make_configuration, send

SETTLE_TIME = 3.0
"""Time for which a fleet runs between readiness and measurement, in seconds."""
MEASURED_TIME = 10.0
"""Duration of a measurement, in seconds."""
BACKENDS_PER_ZONE = 2


@attrs.frozen
class FleetCost:
    """Cost of one idle fleet."""

    entry_vms: int
    """Number of entry VMs."""
    partitions: int
    """Number of partitions of the service."""
    cpu: float
    """Processor time of an entry VM, as a share of one core; mean."""
    most_cpu: float
    """Processor time of an entry VM, as a share of one core; maximum."""
    resident: float
    """Resident memory of an entry VM, in bytes; mean."""
    bytes_sent: float
    """Bytes per second that an entry VM writes to sockets and files; mean."""
    most_bytes_sent: float
    """Bytes per second that an entry VM writes to sockets and files;
    maximum."""
    platform_calls: float
    """Calls of the platform per second by the whole fleet."""
    platform_watches: int
    """Number of open watches at the platform."""


@attrs.frozen
class LinearFit:
    """Cost as a linear function of the number of entry VMs."""

    per_vm: float
    """Slope: increase of the cost per entry VM."""
    fixed: float
    """Intercept: cost at zero entry VMs."""

    def extrapolate(self, entry_vms: int) -> float:
        """Extrapolate the cost to a size of the fleet.

        :param entry_vms: Number of entry VMs.
        :return: Estimated cost.
        """
        return self.fixed + self.per_vm * entry_vms


def measure_fleet(entries_per_zone: int, partitions: int) -> FleetCost:
    """Start an idle fleet and measure its cost.

    :param entries_per_zone: Number of entry VMs per availability zone.
    :param partitions: Number of partitions of the service.
    :return: Cost of the fleet.
    """
    with (
        tempfile.TemporaryDirectory() as directory,
        Fleet(
            pathlib.Path(directory), entries_per_zone, BACKENDS_PER_ZONE
        ) as fleet,
    ):
        fleet.start()
        fleet.apply(make_configuration(fleet.plan, partitions), base=0)
        fleet.await_ready()
        time.sleep(SETTLE_TIME)
        return _measure_running(fleet, entries_per_zone, partitions)


def fit_line(costs: list[FleetCost], field: str) -> LinearFit:
    """Fit one cost as a linear function of the number of entry VMs.

    :param costs: Costs of at least two fleets.
    :param field: Name of the field of :class:`FleetCost` to fit.
    :return: Least-squares fit.
    """
    slope, intercept = statistics.linear_regression(
        [cost.entry_vms for cost in costs],
        [getattr(cost, field) for cost in costs],
    )
    return LinearFit(slope, intercept)


def _measure_running(
    fleet: Fleet, entries_per_zone: int, partitions: int
) -> FleetCost:
    pids = [fleet.pid(entry.name) for entry in fleet.plan.entries]
    calls_before = _count_platform_calls(fleet)
    usages_before = [ProcessUsage.read(pid) for pid in pids]
    time.sleep(MEASURED_TIME)
    rates = [
        ProcessUsage.read(pid).rate_since(earlier, MEASURED_TIME)
        for pid, earlier in zip(pids, usages_before, strict=True)
    ]
    return FleetCost(
        entry_vms=entries_per_zone * len(ZONES),
        partitions=partitions,
        cpu=statistics.mean(rate.cpu for rate in rates),
        most_cpu=max(rate.cpu for rate in rates),
        resident=statistics.mean(rate.resident for rate in rates),
        bytes_sent=statistics.mean(rate.written for rate in rates),
        most_bytes_sent=max(rate.written for rate in rates),
        platform_calls=(_count_platform_calls(fleet) - calls_before)
        / MEASURED_TIME,
        platform_watches=_read_counters(fleet)['watches'],
    )


def _count_platform_calls(fleet: Fleet) -> int:
    calls: dict[str, int] = _read_counters(fleet)['calls']
    return sum(calls.values())


def _read_counters(fleet: Fleet) -> dict[str, Any]:
    reply = send(fleet.plan.platform, 'GET', '/-/counters')
    counters: dict[str, Any] = orjson.loads(reply.body)
    return counters
