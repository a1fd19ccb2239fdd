"""Capacity estimates of targets from the latencies that all entry VMs report.

The speeds of targets of one service may differ by a factor of three, so equal
parts of the load would overload the slow ones.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.catalog import Target

MAX_REPORTING_VMS = 300
"""Number of entry VMs whose latest reports of a target are kept."""
DEFAULT_LATENCY = 0.1
"""Latency that is assumed while none of a service's targets has been reported,
in seconds."""
MIN_RELATIVE_SPEED = 0.4
"""Lower bound of a target's estimated speed, relative to the mean."""
MAX_RELATIVE_SPEED = 2.0
"""Upper bound of a target's estimated speed, relative to the mean."""
LIMIT_FRACTION = 0.7
"""Fraction of the rate limit that a target names that its keys should load it
with; requests come unevenly, and those beyond the limit are rejected."""
MIN_CAPACITY = 0.1
"""Smallest capacity of a target with a rate limit, in requests per second."""


@attrs.define
class TargetLatencies:
    """Baseline latencies of targets, as all entry VMs see them.

    One VM sends a target a request in many seconds where targets are many, and
    that one may have waited.  The median of all VMs counts.
    """

    _reports: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _medians: dict[str, float] = attrs.field(factory=dict)

    def add(self, target: str, seconds: float, vm: str = '') -> None:
        """Add the latency that one entry VM reports for a target.

        :param target: Name of the target.
        :param seconds: Baseline latency, in seconds.
        :param vm: Name of the VM; its latest report counts.
        """
        reports = self._reports.setdefault(target, {})
        if reports.pop(vm, None) != seconds:
            self._medians.pop(target, None)
        reports[vm] = seconds
        if len(reports) > MAX_REPORTING_VMS:
            reports.pop(next(iter(reports)))

    def capacities(self, targets: Iterable[Target]) -> dict[str, float]:
        """Estimate the capacities of targets.

        A target without a reported latency gets the mean of the others.

        :param targets: Targets of one service.
        :return: Capacities in requests per second, by target name.
        """
        listed = list(targets)
        known = [
            self._median(one.name)
            for one in listed
            if one.name in self._reports
        ]
        mean = sum(known) / len(known) if known else DEFAULT_LATENCY
        return {
            one.name: one.slots / self._bounded_latency(one.name, mean)
            for one in listed
        }

    def _bounded_latency(self, name: str, mean: float) -> float:
        latency = self._median(name) if name in self._reports else mean
        return min(
            max(latency, mean / MAX_RELATIVE_SPEED), mean / MIN_RELATIVE_SPEED
        )

    def _median(self, name: str) -> float:
        if name not in self._medians:
            self._medians[name] = statistics.median(
                self._reports[name].values()
            )
        return self._medians[name]


def limited_capacity(capacity: float, rate: float) -> float:
    """Lower a capacity to what a target's rate limit allows.

    :param capacity: Capacity without a limit, in requests per second.
    :param rate: Rate limit in requests per second, infinite for none.
    :return: Capacity in requests per second.
    """
    return min(capacity, max(rate * LIMIT_FRACTION, MIN_CAPACITY))
