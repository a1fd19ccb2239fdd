"""Failure runs in which processes are killed, frozen or restarted."""

from __future__ import annotations

import signal
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
from fleet import wait_until

if TYPE_CHECKING:
    from fleet import Fleet

ENTRY = 'pikine-0'
BACKEND = 'balance-pikine-0'
RECOVERY_TIME = 6.0
"""Time under load after a loss, in seconds."""
FREEZE_TIME = 4.0
"""Duration of a freeze, in seconds; longer than any lease."""


def freeze(fleet: Fleet, name: str) -> None:
    """Suspend a process for longer than any lease, then resume it."""
    fleet.signal(name, signal.SIGSTOP)
    time.sleep(FREEZE_TIME)
    fleet.signal(name, signal.SIGCONT)


def restart(fleet: Fleet, name: str) -> None:
    """Stop an entry VM gracefully, start it again and wait until it serves."""
    assert fleet.terminate(name) == 0
    fleet.start_entry(name)
    wait_until(lambda: fleet.serves(name))


def test_kill_coordinator(fleet_of_nine: Fleet) -> None:
    """Another entry VM becomes coordinator after the coordinator was killed.

    Guards against a zone whose leases expire because no coordinator renews
    them.
    """
    name = fleet_of_nine.coordinator('pikine')
    observation = observe(
        fleet_of_nine, partial(fleet_of_nine.kill, name), RECOVERY_TIME
    )
    assert_recovered(fleet_of_nine, observation)
    wait_until(lambda: fleet_of_nine.coordinator('pikine') != name)


@pytest.mark.parametrize('name', [ENTRY, BACKEND])
def test_kill(fleet_of_nine: Fleet, name: str) -> None:
    """Keys are served again soon after an entry VM or a back end was killed.

    The lost entry VM's targets need a new leaseholder, the lost back end's
    keys a new target.
    """
    observation = observe(
        fleet_of_nine, partial(fleet_of_nine.kill, name), RECOVERY_TIME
    )
    assert_recovered(fleet_of_nine, observation)


@pytest.mark.parametrize('name', [ENTRY, BACKEND])
def test_freeze(fleet_of_nine: Fleet, name: str) -> None:
    """A process that resumes after its lease expired breaks no invariant.

    It may still act as the owner of its keys although another process has
    taken them over.
    """
    observation = observe(
        fleet_of_nine, partial(freeze, fleet_of_nine, name), 2
    )
    assert_recovered(fleet_of_nine, observation)


@pytest.mark.long
def test_two_losses_at_once(fleet_of_nine: Fleet) -> None:
    """Keys are served again after two simultaneous losses.

    An entry VM and a back end of another zone are killed.
    """

    def kill_both() -> None:
        fleet_of_nine.kill(ENTRY)
        fleet_of_nine.kill('balance-plateau-0')

    observation = observe(fleet_of_nine, kill_both, RECOVERY_TIME)
    assert_recovered(fleet_of_nine, observation)


@pytest.mark.long
def test_immediate_restart_of_an_entry_vm(fleet_of_nine: Fleet) -> None:
    """A killed entry VM that restarts at once does not keep its old leases.

    The new process has the same name, and must be told apart by its
    incarnation.
    """

    def kill_and_restart() -> None:
        fleet_of_nine.kill(ENTRY)
        fleet_of_nine.start_entry(ENTRY)

    observation = observe(fleet_of_nine, kill_and_restart, RECOVERY_TIME)
    assert_recovered(fleet_of_nine, observation)


def test_rolling_restart(fleet_of_nine: Fleet) -> None:
    """Graceful restarts of all entry VMs fail no accepted request.

    Only connections that a stopped entry VM refuses may fail.
    """

    def restart_all() -> None:
        for entry in fleet_of_nine.plan.entries:
            restart(fleet_of_nine, entry.name)

    observation = observe(fleet_of_nine, restart_all, 1)
    assert_invariants(fleet_of_nine, observation)
    with_reply = [call for call in observation.failed if call.reply is not None]
    interrupted = [call for call in observation.failed if call.accepted]
    assert not with_reply
    assert not interrupted
    assert observation.unavailable.longest <= MAX_PLANNED_WAIT


def test_planned_drain_of_a_backend(fleet_of_nine: Fleet) -> None:
    """Draining a back end fails no request and moves all its keys.

    Guards against requests that are interrupted by the move and against new
    requests to the draining back end.
    """
    drained = fleet_of_nine.target(BACKEND)
    began = time.monotonic()
    observation = observe(
        fleet_of_nine, partial(fleet_of_nine.drain, BACKEND), 5
    )
    assert_invariants(fleet_of_nine, observation)
    assert not observation.failed
    assert observation.unavailable.longest <= MAX_PLANNED_WAIT
    late_runs = [
        run
        for run in observation.runs
        if run.target == drained.name and run.began > began + 4
    ]
    assert not late_runs
