"""Runs of a fleet under load through a failure, and their checks."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from dogwoodmast._documents import converter
from fleet import send
from history import (
    Call,
    Callers,
    CallOutcome,
    Run,
    Unavailability,
    check_history,
    measure_unavailability,
    select_unanswered,
)

if TYPE_CHECKING:
    from fleet import Fleet

KEYS = tuple(f'm{number}' for number in range(12))
"""Keys of the callers' requests."""
WARM_UP_TIME = 1.0
"""Time under load before the failure, in seconds."""
MAX_UNAVAILABLE = 4.0
"""Maximum time without an answer for a key after an unplanned loss, in
seconds."""
MAX_PLANNED_WAIT = 0.5
"""Maximum wait for an answer around a planned stop, in seconds."""

Failure = Callable[[], None]


@attrs.frozen
class Observation:
    """Calls and executions recorded in a run."""

    calls: list[Call]
    """Calls of all callers, in the order of their ends."""
    runs: list[Run]
    """Executions by all back ends."""
    most_running: dict[str, int]
    """Peak number of concurrent requests of each target that is alive."""

    @property
    def broken(self) -> dict[str, str]:
        """First violation of each violated invariant, by its name."""
        found: dict[str, str] = {}
        for violation in check_history(self.calls, self.runs):
            found.setdefault(violation.invariant, violation.detail)
        return found

    @property
    def unavailable(self) -> Unavailability:
        """Times for which calls waited for an answer."""
        return measure_unavailability(self.calls)

    @property
    def outcomes(self) -> Counter[str]:
        """Number of calls by problem type, or by status without a problem."""
        return Counter(call.problem for call in self.calls)

    @property
    def failed(self) -> list[Call]:
        """Calls that got no response of a back end."""
        return select_unanswered(self.calls)

    def targets_by_key(self) -> dict[str, set[str]]:
        """Return the names of the targets that ran requests for each key."""
        targets_by_key: dict[str, set[str]] = {}
        for run in self.runs:
            targets_by_key.setdefault(run.key, set()).add(run.target)
        return targets_by_key

    def calls_within_zone(self, zone: str) -> list[Call]:
        """Return the calls to a zone's entry VMs for keys that only it ran."""
        owned = {
            key
            for key, targets in self.targets_by_key().items()
            if all(f'-{zone}-' in target for target in targets)
        }
        return [
            call
            for call in self.calls
            if call.entry.startswith(zone) and call.key in owned
        ]


def observe(
    fleet: Fleet, failure: Failure, time_after: float, pays: bool = True
) -> Observation:
    """Record calls before, during and after a failure.

    :param fleet: Running fleet.
    :param failure: Function that causes the failure and may block.
    :param time_after: Time under load after it has returned, in seconds.
    :param pays: Whether to send non-idempotent requests too.
    :return: Recorded calls and executions.
    """
    callers = Callers(fleet.entry_addresses(), KEYS, pays)
    with callers:
        time.sleep(WARM_UP_TIME)
        failure()
        time.sleep(time_after)
    return Observation(callers.calls, _read_runs(fleet), _most_running(fleet))


def assert_invariants(fleet: Fleet, observation: Observation) -> None:
    """Assert the safety invariants and the limits of concurrency."""
    assert not observation.broken, observation.broken
    slots = {target.name: target.slots for target in fleet.plan.targets}
    exceeded = {
        name: running
        for name, running in observation.most_running.items()
        if running > slots[name]
    }
    assert not exceeded, exceeded


def assert_recovered(fleet: Fleet, observation: Observation) -> None:
    """Assert the invariants, and that each key was served again in time."""
    assert_invariants(fleet, observation)
    assert observation.unavailable.longest <= MAX_UNAVAILABLE, (
        observation.outcomes
    )
    assert_last_reads_answered(observation)


def assert_last_reads_answered(observation: Observation) -> None:
    """Assert that the last accepted idempotent call of each key succeeded."""
    last = {
        call.key: call
        for call in observation.calls
        if call.method == 'GET' and call.accepted
    }
    assert {call.outcome for call in last.values()} == {CallOutcome.ANSWERED}


def _read_runs(fleet: Fleet) -> list[Run]:
    return [converter.structure(row, Run) for row in fleet.journal()]


def _most_running(fleet: Fleet) -> dict[str, int]:
    return {
        target.name: _read_load(fleet, target.name)
        for target in fleet.plan.targets
        if fleet.alive(target.name)
    }


def _read_load(fleet: Fleet, name: str) -> int:
    reply = send(fleet.target(name).address, 'GET', '/-/load')
    return int(str(reply.document['most_running']))
