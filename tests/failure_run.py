"""Runs in which callers keep calling while a fleet suffers a failure."""

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
    Unavailable,
    check_history,
    unavailable_time,
    unserved,
)

if TYPE_CHECKING:
    from fleet import Fleet

KEYS = tuple(f'm{number}' for number in range(12))
"""Keys that the callers use."""
WARM_UP = 1.0
"""Time for which callers call before the failure, in seconds."""
MAX_UNAVAILABLE = 4.0
"""Longest time that a key may go unserved after a loss, in seconds."""
MAX_PLANNED_WAIT = 0.5
"""Longest wait for an answer around a planned stop, in seconds."""

Failure = Callable[[], None]


@attrs.frozen
class Observation:
    """What callers and back ends saw of a run."""

    calls: list[Call]
    """Calls, in the order of their ends."""
    runs: list[Run]
    """Executions by all back ends."""
    most_running: dict[str, int]
    """Most requests that ran at once, per target that lives."""

    @property
    def broken(self) -> dict[str, str]:
        """First violation of each promise that the run broke."""
        found: dict[str, str] = {}
        for violation in check_history(self.calls, self.runs):
            found.setdefault(violation.invariant, violation.detail)
        return found

    @property
    def unavailable(self) -> Unavailable:
        """Time for which keys were not served."""
        return unavailable_time(self.calls)

    @property
    def outcomes(self) -> Counter[str]:
        """Number of calls per answer."""
        return Counter(call.problem for call in self.calls)

    @property
    def failed(self) -> list[Call]:
        """Calls without a back end's answer."""
        return unserved(self.calls)

    def homes(self) -> dict[str, set[str]]:
        """Targets that ran each key."""
        homes: dict[str, set[str]] = {}
        for run in self.runs:
            homes.setdefault(run.key, set()).add(run.target)
        return homes

    def within(self, zone: str) -> list[Call]:
        """Calls through a zone's entry VMs for keys owned by that zone."""
        owned = {
            key
            for key, targets in self.homes().items()
            if all(f'-{zone}-' in target for target in targets)
        }
        return [
            call
            for call in self.calls
            if call.entry.startswith(zone) and call.key in owned
        ]


def observe(
    fleet: Fleet, failure: Failure, lasting: float, pays: bool = True
) -> Observation:
    """Let callers call before, during and after a failure.

    :param fleet: Fleet that serves.
    :param failure: Brings the failure about.
    :param lasting: Time for which callers call after it, in seconds.
    :param pays: Whether callers send non-idempotent requests too.
    :return: What was seen.
    """
    callers = Callers(fleet.callers_entries(), KEYS, pays)
    with callers:
        time.sleep(WARM_UP)
        failure()
        time.sleep(lasting)
    return Observation(callers.calls, _read_runs(fleet), _most_running(fleet))


def assert_safe(fleet: Fleet, seen: Observation) -> None:
    """Check every promise that holds at any time."""
    assert not seen.broken, seen.broken
    slots = {target.name: target.slots for target in fleet.plan.targets}
    over = {
        name: most
        for name, most in seen.most_running.items()
        if most > slots[name]
    }
    assert not over, over


def assert_recovered(fleet: Fleet, seen: Observation) -> None:
    """Check every promise, and that each key was served again in time."""
    assert_safe(fleet, seen)
    assert seen.unavailable.longest <= MAX_UNAVAILABLE, seen.outcomes
    assert_served_last(seen)


def assert_served_last(seen: Observation) -> None:
    """Check that the last reading of each key was answered."""
    last = {
        call.key: call
        for call in seen.calls
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
