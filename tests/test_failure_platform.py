"""Runs in which the platform's key-value service or VM list fails."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

import pytest

from failure_run import (
    MAX_PLANNED_WAIT,
    assert_recovered,
    assert_safe,
    observe,
)
from history import ObservedVersion, check_versions

if TYPE_CHECKING:
    from collections.abc import Callable

    from fleet import Fleet

OUTAGE = 5.0
"""Time for which the platform fails, in seconds."""
SLOW_ANSWER = 2.0
"""Time that each answer of a slow platform takes, in seconds."""
ENTRY = 'pikine-0'
FAULTS = ('down', 'slow', 'lose_answers', 'stale')
SHORT = 'down'
LOSSES = tuple(
    pytest.param(fault, marks=[] if fault == SHORT else [pytest.mark.long])
    for fault in FAULTS
)


def fail_platform(
    fleet: Fleet, fault: str, meanwhile: Callable[[], None] | None = None
) -> None:
    """Let the platform fail for a while."""
    fleet.set_fault(fault, SLOW_ANSWER)
    if meanwhile is not None:
        meanwhile()
    time.sleep(OUTAGE)
    fleet.set_fault('none')


@pytest.mark.long
@pytest.mark.parametrize('fault', FAULTS)
def test_platform_fails(fleet_of_nine: Fleet, fault: str) -> None:
    """Nobody notices a failing platform while nothing else fails."""
    seen = observe(
        fleet_of_nine, partial(fail_platform, fleet_of_nine, fault), 1
    )
    assert_safe(fleet_of_nine, seen)
    assert not seen.failed, seen.outcomes
    assert seen.unavailable.longest <= MAX_PLANNED_WAIT


@pytest.mark.parametrize('fault', LOSSES)
def test_loss_while_platform_fails(fleet_of_nine: Fleet, fault: str) -> None:
    """A lost entry VM's targets are leased anew without the platform."""
    kill = partial(fleet_of_nine.kill, ENTRY)
    fail = partial(fail_platform, fleet_of_nine, fault, kill)
    seen = observe(fleet_of_nine, fail, 1)
    assert_recovered(fleet_of_nine, seen)


def test_stale_reads_never_revert(fleet_of_nine: Fleet) -> None:
    """An old read or a restart beside stale peers reverts no version."""
    fleet_of_nine.set_fault('stale')
    observed_versions: list[ObservedVersion] = []

    def look() -> None:
        observed_versions.extend(
            ObservedVersion(
                entry.name,
                fleet_of_nine.status(entry.name).configuration_version,
                time.monotonic(),
            )
            for entry in fleet_of_nine.plan.entries
        )

    look()
    fleet_of_nine.set_fault('none')
    fleet_of_nine.apply_next()
    fleet_of_nine.await_version(2)
    look()
    fleet_of_nine.set_fault('stale')
    fleet_of_nine.terminate(ENTRY)
    fleet_of_nine.start_entry(ENTRY)
    fleet_of_nine.await_version(2)
    look()
    assert not check_versions(observed_versions)


@pytest.mark.long
def test_lagging_vm_list(fleet_of_nine: Fleet) -> None:
    """A VM list that shows a lost VM and hides a live one is harmless."""

    def mislead() -> None:
        fleet_of_nine.unlist_vm('plateau-0')
        fleet_of_nine.kill(ENTRY)

    seen = observe(fleet_of_nine, mislead, OUTAGE)
    assert_recovered(fleet_of_nine, seen)
