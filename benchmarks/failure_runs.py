"""Measure unavailable time per key around losses and planned stops.

Run ``python -m benchmarks.failure_runs --help`` from the root of the
project.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
import tempfile
from collections.abc import Callable
from functools import partial

import attrs
import orjson
from tabulate import tabulate

from failure_run import observe
from fleet import Fleet, make_configuration, wait_until

ENTRIES_PER_ZONE = 3
DEFAULT_RUNS = 3
RECOVERY = 8.0
"""Time that each run is observed for after the failure, in seconds."""
ZONE = 'pikine'
ENTRY = 'pikine-2'
BACKEND = 'balance-pikine-0'

Failure = Callable[[Fleet], None]


@attrs.frozen
class Scenario:
    """One kind of failure."""

    name: str
    """Name of the failure."""
    failure: Failure
    """Brings it about."""
    platform_fault: str = 'none'
    """How the platform fails from just before the failure on."""


@attrs.frozen
class RunFigures:
    """Figures of one run."""

    scenario: str
    """Name of the failure."""
    platform: str
    """How the platform failed."""
    longest: float
    """Longest time that a key was not served, in seconds."""
    mean: float
    """Mean over the keys of each key's longest, in seconds."""
    calls: int
    """Calls of all callers."""
    failed: int
    """Calls that an entry VM accepted and no back end answered."""
    broken: dict[str, str]
    """First violation of each promise that was broken."""


def kill_coordinator(fleet: Fleet) -> None:
    """Kill the coordinator of a zone.

    :param fleet: Fleet that serves.
    """
    fleet.kill(fleet.coordinator(ZONE))


def restart_all(fleet: Fleet) -> None:
    """Replace every entry VM, one after another.

    :param fleet: Fleet that serves.
    """
    for entry in fleet.plan.entries:
        fleet.terminate(entry.name)
        fleet.start_entry(entry.name)
        wait_until(partial(fleet.serves, entry.name))


def scenarios() -> list[Scenario]:
    """List every measured failure.

    :return: The scenarios.
    """
    losses: dict[str, Failure] = {
        'entry VM lost': lambda fleet: fleet.kill(ENTRY),
        'coordinator lost': kill_coordinator,
        'back end lost': lambda fleet: fleet.kill(BACKEND),
    }
    return [
        *(
            Scenario(name, failure, fault)
            for fault in ('none', 'down')
            for name, failure in losses.items()
        ),
        Scenario('entry VM stopped', lambda fleet: _stop(fleet, ENTRY)),
        Scenario('back end drained', lambda fleet: fleet.drain(BACKEND)),
        Scenario('rolling restart', restart_all),
    ]


def run_scenario(scenario: Scenario) -> RunFigures:
    """Run one failure on a fresh fleet.

    :param scenario: The failure.
    :return: Figures of the run.
    """
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(pathlib.Path(directory), ENTRIES_PER_ZONE)
        with fleet:
            fleet.start()
            fleet.apply(make_configuration(fleet.plan), base=0)
            fleet.await_ready()
            return _observe(fleet, scenario)


def print_table(figures: list[RunFigures]) -> None:
    """Print figures for readers.

    :param figures: Figures of all runs.
    """
    rows = [
        {**attrs.asdict(run), 'broken': ', '.join(run.broken)}
        for run in figures
    ]
    print(tabulate(rows, headers='keys', floatfmt='.2f'))


def main(words: list[str]) -> None:
    """Run the failures, and print or write what was found.

    :param words: Words of the command line.
    """
    names = sorted({scenario.name for scenario in scenarios()})
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', choices=names, help='one kind of failure')
    parser.add_argument('--runs', type=int, default=DEFAULT_RUNS)
    parser.add_argument('--json', type=pathlib.Path, help='file to write')
    arguments = parser.parse_args(words)
    figures = [
        run_scenario(scenario)
        for scenario in scenarios()
        for _ in range(arguments.runs)
        if arguments.only in {None, scenario.name}
    ]
    print_table(figures)
    if arguments.json is not None:
        document = orjson.dumps([attrs.asdict(run) for run in figures])
        arguments.json.write_bytes(document)


def _stop(fleet: Fleet, name: str) -> None:
    fleet.terminate(name)


def _observe(fleet: Fleet, scenario: Scenario) -> RunFigures:
    def fail() -> None:
        fleet.set_fault(scenario.platform_fault)
        scenario.failure(fleet)

    seen = observe(fleet, fail, RECOVERY)
    return RunFigures(
        scenario=scenario.name,
        platform=scenario.platform_fault,
        longest=seen.unavailable.longest,
        mean=seen.unavailable.mean,
        calls=len(seen.calls),
        failed=sum(call.accepted for call in seen.failed),
        broken=seen.broken,
    )


if __name__ == '__main__':
    main(sys.argv[1:])
