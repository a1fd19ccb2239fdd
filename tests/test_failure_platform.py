"""Failure runs in which the platform's key-value store or VM list fails."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

import pytest

from failure_run import (
    MAX_PLANNED_WAIT,
    assert_invariants,
    assert_recovered,
    observe,
)
from history import ObservedVersion, check_versions

if TYPE_CHECKING:
    from collections.abc import Callable

    from fleet import Fleet

OUTAGE_TIME = 5.0
"""Duration of a platform fault, in seconds."""
SLOW_RESPONSE_TIME = 2.0
"""Delay of each response of a slow platform, in seconds."""
ENTRY = 'pikine-0'
FAULTS = ('down', 'slow', 'lose_answers', 'stale')
DEFAULT_FAULT = 'down'
"""Fault that is tested together with a loss also without ``--long``."""
LOSS_FAULTS = tuple(
    pytest.param(
        fault, marks=[] if fault == DEFAULT_FAULT else [pytest.mark.long]
    )
    for fault in FAULTS
)


def fail_platform(
    fleet: Fleet, fault: str, during_outage: Callable[[], None] | None = None
) -> None:
    """Set a platform fault, wait, and remove it.

    :param fleet: Fleet whose platform fails.
    :param fault: Name of the fault.
    :param during_outage: Function to call once the fault is set.
    """
    fleet.set_fault(fault, SLOW_RESPONSE_TIME)
    if during_outage is not None:
        during_outage()
    time.sleep(OUTAGE_TIME)
    fleet.set_fault('none')


@pytest.mark.long
@pytest.mark.parametrize('fault', FAULTS)
def test_platform_fails(fleet_of_nine: Fleet, fault: str) -> None:
    """A platform fault alone fails no request.

    The data path must not depend on the platform while zones keep their
    members.
    """
    observation = observe(
        fleet_of_nine, partial(fail_platform, fleet_of_nine, fault), 1
    )
    assert_invariants(fleet_of_nine, observation)
    assert not observation.failed, observation.outcomes
    assert observation.unavailable.longest <= MAX_PLANNED_WAIT


@pytest.mark.parametrize('fault', LOSS_FAULTS)
def test_loss_while_platform_fails(fleet_of_nine: Fleet, fault: str) -> None:
    """A killed entry VM's targets get a new leaseholder despite a fault.

    Failover must not depend on the platform.
    """
    kill = partial(fleet_of_nine.kill, ENTRY)
    fail = partial(fail_platform, fleet_of_nine, fault, kill)
    observation = observe(fleet_of_nine, fail, 1)
    assert_recovered(fleet_of_nine, observation)


def test_stale_reads_never_revert(fleet_of_nine: Fleet) -> None:
    """Stale platform reads never revert the configuration of an entry VM.

    A restarted entry VM reads the old version from the platform and must get
    the current one from its peers.
    """
    fleet_of_nine.set_fault('stale')
    observed_versions: list[ObservedVersion] = []

    def record_versions() -> None:
        observed_versions.extend(
            ObservedVersion(
                entry.name,
                fleet_of_nine.status(entry.name).configuration_version,
                time.monotonic(),
            )
            for entry in fleet_of_nine.plan.entries
        )

    record_versions()
    fleet_of_nine.set_fault('none')
    fleet_of_nine.apply_next()
    fleet_of_nine.await_version(2)
    record_versions()
    fleet_of_nine.set_fault('stale')
    fleet_of_nine.terminate(ENTRY)
    fleet_of_nine.start_entry(ENTRY)
    fleet_of_nine.await_version(2)
    record_versions()
    assert not check_versions(observed_versions)


@pytest.mark.long
def test_lagging_vm_list(fleet_of_nine: Fleet) -> None:
    """Keys are served again although the VM list is wrong.

    It lists an entry VM that was killed and omits one that runs.
    """

    def make_list_stale() -> None:
        fleet_of_nine.delete_vm('plateau-0')
        fleet_of_nine.kill(ENTRY)

    observation = observe(fleet_of_nine, make_list_stale, OUTAGE_TIME)
    assert_recovered(fleet_of_nine, observation)
