"""Simulate placement policies and compare imbalance, moves and unserved time.

The policy and two baselines get the same seeded load in four scenarios.
Run ``python -m benchmarks.placement_trial`` in the root of the repository.
"""

from __future__ import annotations

import argparse
import itertools
import random
import sys
from collections.abc import Callable
from statistics import mean, quantiles
from types import MappingProxyType

from tabulate import tabulate

from benchmarks.placement_baselines import (
    AlwaysRebalancePlanner,
    RendezvousPlanner,
)
from benchmarks.placement_zone import (
    Conditions,
    SimulatedZone,
    SimulationTotals,
    ZoneSize,
)
from dogwoodmast.configuration import Preference
from dogwoodmast.placement_planner import BalancingPlanner

SECONDS_PER_MINUTE = 60
DURATION = 40 * SECONDS_PER_MINUTE
"""Duration of a scenario, in seconds."""
WARM_UP_TIME = 10 * SECONDS_PER_MINUTE
"""Time before the scenario that is not measured, in seconds."""
BASE_UTILIZATION = 0.4
"""Offered load outside the rush hour, as a share of the slots of all
targets."""
PEAK_UTILIZATION = 0.75
"""Offered load at the peak of the rush hour, as a share of the slots of all
targets."""
PEAK_HOT_SHARE = 0.3
"""Share of the load that is distributed over the hot keys only, at the peak of
the rush hour."""
LOSS_DETECTION_TIME = 3
"""Time after which a lost target is excluded, in seconds."""
RESTART_TIME = 30
"""Time from the start of a target's drain until it serves again, in
seconds."""
RESTART_INTERVAL = 90
"""Time between the restarts of two targets, in seconds."""
DRAIN_TIME = 5
"""Time for which a target is drained before it stops, in seconds."""
SIZES = (
    ZoneSize('dakar', 7, 6, 3, Preference.AVAILABILITY),
    ZoneSize('kenya', 4, 4, 4, Preference.STABILITY),
)
Scenario = Callable[[int, ZoneSize], Conditions]


def rush_hour(second: int, size: ZoneSize) -> Conditions:
    """Raise the load to its peak within ten minutes, and lower it at the end.

    :param second: Time since the start of the scenario, in seconds.
    :param size: Size of the zone.
    :return: Conditions at that time.
    """
    ramp = min(second, DURATION - second) / (10 * SECONDS_PER_MINUTE)
    peak_share = max(min(ramp, 1), 0)
    return Conditions(
        BASE_UTILIZATION + (PEAK_UTILIZATION - BASE_UTILIZATION) * peak_share,
        0.1 + (PEAK_HOT_SHARE - 0.1) * peak_share,
    )


def join(second: int, size: ZoneSize) -> Conditions:
    """Add one target after five minutes.

    :param second: Time since the start of the scenario, in seconds.
    :param size: Size of the zone.
    :return: Conditions at that time.
    """
    absent = frozenset(
        (size.targets - 1,) if second < 5 * SECONDS_PER_MINUTE else ()
    )
    return Conditions(BASE_UTILIZATION, down=absent, excluded=absent)


def loss(second: int, size: ZoneSize) -> Conditions:
    """Lose one target from the fifth to the twentieth minute.

    :param second: Time since the start of the scenario, in seconds.
    :param size: Size of the zone.
    :return: Conditions at that time.
    """
    lost = frozenset((1,))
    lost_at = 5 * SECONDS_PER_MINUTE
    if not lost_at <= second < 20 * SECONDS_PER_MINUTE:
        return Conditions(BASE_UTILIZATION)
    is_detected = second >= lost_at + LOSS_DETECTION_TIME
    return Conditions(
        BASE_UTILIZATION,
        down=lost,
        excluded=lost if is_detected else frozenset(),
    )


def rolling_restart(second: int, size: ZoneSize) -> Conditions:
    """Restart all targets one after another, from the first minute on.

    :param second: Time since the start of the scenario, in seconds.
    :param size: Size of the zone.
    :return: Conditions at that time.
    """
    number, phase = divmod(second - SECONDS_PER_MINUTE, RESTART_INTERVAL)
    if not 0 <= number < size.targets or phase >= RESTART_TIME:
        return Conditions(BASE_UTILIZATION)
    restarting = frozenset((number,))
    return Conditions(
        BASE_UTILIZATION,
        down=restarting if phase >= DRAIN_TIME else frozenset(),
        excluded=restarting,
    )


SCENARIOS: MappingProxyType[str, Scenario] = MappingProxyType(
    {
        'rush hour': rush_hour,
        'join': join,
        'loss': loss,
        'rolling restart': rolling_restart,
    }
)
PLANNERS = MappingProxyType(
    {
        'policy': BalancingPlanner,
        'rendezvous': RendezvousPlanner,
        'always': AlwaysRebalancePlanner,
    }
)


def measure(
    size: ZoneSize, scenario: Scenario, planner: str, seed: int
) -> dict[str, float]:
    """Simulate one scenario.

    :param size: Size of the zone.
    :param scenario: Function that gives the conditions at each second.
    :param planner: Name of the planner.
    :param seed: Seed of the load.
    :return: Figures by column head.
    """
    zone = SimulatedZone(size, PLANNERS[planner](), random.Random(seed))
    for second in range(WARM_UP_TIME):
        zone.step(second, scenario(0, size))
    zone.totals = SimulationTotals()
    for second in range(DURATION):
        zone.step(WARM_UP_TIME + second, scenario(second, size))
    totals = zone.totals
    return {
        'imbalance mean': mean(totals.imbalances),
        'imbalance p95': quantiles(totals.imbalances, n=20)[-1],
        'moves': totals.moves,
        'unserved ms': totals.unserved * 1000,
        'refused ms': totals.refused * 1000,
    }


def run(seeds: int, size_name: str | None) -> None:
    """Simulate all sizes, scenarios and planners, and print one table.

    :param seeds: Number of seeds over which the figures are averaged.
    :param size_name: Name of the only size to simulate; all sizes if ``None``.
    """
    rows = [
        _make_row(size, name, planner, seeds)
        for size in SIZES
        for name, planner in itertools.product(SCENARIOS, PLANNERS)
        if size_name in {None, size.name}
    ]
    print(tabulate(rows, headers='keys', floatfmt='.2f'))


def _make_row(
    size: ZoneSize, name: str, planner: str, seeds: int
) -> dict[str, str | float]:
    figures = [
        measure(size, SCENARIOS[name], planner, seed)
        for seed in range(1, seeds + 1)
    ]
    averages = {key: mean(row[key] for row in figures) for key in figures[0]}
    return {
        'size': size.name,
        'scenario': name,
        'planner': planner,
        **averages,
    }


def main() -> int:
    """Run the benchmark.

    :return: Exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--size', choices=[size.name for size in SIZES])
    arguments = parser.parse_args()
    run(arguments.seeds, arguments.size)
    return 0


if __name__ == '__main__':
    sys.exit(main())
