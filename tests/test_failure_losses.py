"""Runs in which processes are lost, frozen or replaced."""

from __future__ import annotations

import signal
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
from fleet import wait_until

if TYPE_CHECKING:
    from fleet import Fleet

ENTRY = 'pikine-0'
BACKEND = 'balance-pikine-0'
RECOVERY = 6.0
"""Time observed after a loss, in seconds."""
FREEZE = 4.0
"""Time for which a process is frozen: longer than any lease, in seconds."""


def freeze(fleet: Fleet, name: str) -> None:
    """Stop a process for longer than any lease, then let it go on."""
    fleet.signal(name, signal.SIGSTOP)
    time.sleep(FREEZE)
    fleet.signal(name, signal.SIGCONT)


def restart(fleet: Fleet, name: str) -> None:
    """Stop an entry VM gracefully and replace it by a new one."""
    assert fleet.terminate(name) == 0
    fleet.start_entry(name)
    wait_until(lambda: fleet.serves(name))


def test_kill_coordinator(fleet_of_nine: Fleet) -> None:
    """Another entry VM coordinates the zone after a coordinator is lost."""
    name = fleet_of_nine.coordinator('pikine')
    seen = observe(fleet_of_nine, partial(fleet_of_nine.kill, name), RECOVERY)
    assert_recovered(fleet_of_nine, seen)
    wait_until(lambda: fleet_of_nine.coordinator('pikine') != name)


@pytest.mark.parametrize('name', [ENTRY, BACKEND])
def test_kill(fleet_of_nine: Fleet, name: str) -> None:
    """Keys are served again soon after a process is lost."""
    seen = observe(fleet_of_nine, partial(fleet_of_nine.kill, name), RECOVERY)
    assert_recovered(fleet_of_nine, seen)


@pytest.mark.parametrize('name', [ENTRY, BACKEND])
def test_freeze(fleet_of_nine: Fleet, name: str) -> None:
    """A process that believes that it still owns keys harms nobody."""
    seen = observe(fleet_of_nine, partial(freeze, fleet_of_nine, name), 2)
    assert_recovered(fleet_of_nine, seen)


@pytest.mark.long
def test_two_losses_at_once(fleet_of_nine: Fleet) -> None:
    """An entry VM and a back end of another zone are lost together."""

    def kill_both() -> None:
        fleet_of_nine.kill(ENTRY)
        fleet_of_nine.kill('balance-plateau-0')

    seen = observe(fleet_of_nine, kill_both, RECOVERY)
    assert_recovered(fleet_of_nine, seen)


@pytest.mark.long
def test_loss_and_return(fleet_of_nine: Fleet) -> None:
    """A lost entry VM comes back at once as a new incarnation."""

    def replace() -> None:
        fleet_of_nine.kill(ENTRY)
        fleet_of_nine.start_entry(ENTRY)

    seen = observe(fleet_of_nine, replace, RECOVERY)
    assert_recovered(fleet_of_nine, seen)


def test_rolling_restart(fleet_of_nine: Fleet) -> None:
    """Planned restarts of all entry VMs cut off no request."""

    def restart_all() -> None:
        for entry in fleet_of_nine.plan.entries:
            restart(fleet_of_nine, entry.name)

    seen = observe(fleet_of_nine, restart_all, 1)
    assert_safe(fleet_of_nine, seen)
    refused = [call for call in seen.failed if call.reply is not None]
    cut_off = [call for call in seen.failed if call.accepted]
    assert not refused
    assert not cut_off
    assert seen.unavailable.longest <= MAX_PLANNED_WAIT


def test_planned_drain_of_a_backend(fleet_of_nine: Fleet) -> None:
    """A back end that leaves gets no new work, and nobody notices."""
    drained = fleet_of_nine.target(BACKEND)
    began = time.monotonic()
    seen = observe(fleet_of_nine, partial(fleet_of_nine.drain, BACKEND), 5)
    assert_safe(fleet_of_nine, seen)
    assert not seen.failed
    assert seen.unavailable.longest <= MAX_PLANNED_WAIT
    late = [
        run
        for run in seen.runs
        if run.target == drained.name and run.began > began + 4
    ]
    assert not late
