"""Ownership of a zone's targets under random fault schedules."""

from __future__ import annotations

import pytest

from zone_schedules import heal, run_schedule
from zone_simulation import PARTITIONS

BLOCKS = 8
"""Number of blocks of schedules, each a test of its own."""
SCHEDULES = 25
"""Schedules per block."""
RECOVERY = 20.0
"""Simulated time within which a zone must serve again once all faults have
ended, in seconds."""


@pytest.mark.parametrize('block', range(BLOCKS))
def test_one_owner_under_random_faults(block: int) -> None:
    """No schedule gives a target or a partition two owners.

    Guards against two entry VMs that may dispatch to a target at the same
    time, and against acknowledged records that the platform does not have.
    Both can come about when messages are late or lost, clocks drift, or
    processes freeze and resume during a takeover.  The simulation checks the
    ownership after every message and raises :class:`Violation`.
    """
    for seed in range(block * SCHEDULES, (block + 1) * SCHEDULES):
        simulation = run_schedule(seed)
        for record in simulation.platform.acknowledged:
            assert record in simulation.platform.history


@pytest.mark.parametrize('seed', range(1000, 1012))
def test_zone_recovers_after_faults(seed: int) -> None:
    """Every partition is served once all faults have ended.

    Guards against a zone that faults leave without a coordinator, a member
    or a lease for good.
    """
    simulation = run_schedule(seed)
    heal(simulation)
    simulation.run(RECOVERY)
    assert all(simulation.is_served(one) for one in range(PARTITIONS))
