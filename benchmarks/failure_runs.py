"""Measure for how long keys are unavailable after failures and planned stops.

Run ``python -m benchmarks.failure_runs --help`` in the root of the
repository.
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
"""Number of entry VMs per zone."""
DEFAULT_RUNS = 3
"""Number of runs per scenario."""
OBSERVATION_TIME = 8.0
"""Time for which a run is observed after the failure, in seconds."""
ZONE = 'pikine'
"""Zone whose coordinator is killed."""
ENTRY_VM = 'pikine-2'
"""Entry VM that is killed or stopped."""
BACK_END = 'balance-pikine-0'
"""Back end that is killed or drained."""

Failure = Callable[[Fleet], None]


@attrs.frozen
class Scenario:
    """Failure or planned stop, with or without a fault of the platform."""

    name: str
    """Name of the failure in the table."""
    failure: Failure
    """Function that causes the failure."""
    platform_fault: str = 'none'
    """Fault that the stand-in of the platform simulates from just before the
    failure until the end of the run."""


@attrs.frozen
class RunFigures:
    """Figures of one run."""

    scenario: str
    """Name of the failure."""
    platform: str
    """Fault of the platform."""
    longest: float
    """Longest time for which any key was unavailable, in seconds."""
    mean: float
    """Mean over all keys of the longest time for which the key was
    unavailable, in seconds."""
    calls: int
    """Number of calls of all callers."""
    failed: int
    """Number of calls that an entry VM accepted and no back end answered."""
    broken: dict[str, str]
    """First violation of each invariant that was broken, by the name of the
    invariant."""


def kill_coordinator(fleet: Fleet) -> None:
    """Kill the entry VM that coordinates the zone ``ZONE``.

    :param fleet: Fleet that is ready.
    """
    fleet.kill(fleet.coordinator(ZONE))


def restart_entry_vms(fleet: Fleet) -> None:
    """Restart all entry VMs one after another.

    Each must serve requests again before the next one is stopped.

    :param fleet: Fleet that is ready.
    """
    for entry in fleet.plan.entries:
        fleet.terminate(entry.name)
        fleet.start_entry(entry.name)
        wait_until(partial(fleet.serves, entry.name))


def list_scenarios() -> list[Scenario]:
    """List the measured scenarios.

    :return: Each loss without and with an outage of the platform, and the
        planned stops.
    """
    losses: dict[str, Failure] = {
        'entry VM lost': lambda fleet: fleet.kill(ENTRY_VM),
        'coordinator lost': kill_coordinator,
        'back end lost': lambda fleet: fleet.kill(BACK_END),
    }
    return [
        *(
            Scenario(name, failure, fault)
            for fault in ('none', 'down')
            for name, failure in losses.items()
        ),
        Scenario(
            'entry VM stopped', lambda fleet: _stop_entry_vm(fleet, ENTRY_VM)
        ),
        Scenario('back end drained', lambda fleet: fleet.drain(BACK_END)),
        Scenario('rolling restart', restart_entry_vms),
    ]


def run_scenario(scenario: Scenario) -> RunFigures:
    """Run one scenario on a new fleet.

    :param scenario: Scenario to run.
    :return: Figures of the run.
    """
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(pathlib.Path(directory), ENTRIES_PER_ZONE)
        with fleet:
            fleet.start()
            fleet.apply(make_configuration(fleet.plan), base=0)
            fleet.await_ready()
            return _run_and_observe(fleet, scenario)


def print_table(figures: list[RunFigures]) -> None:
    """Print figures as a plain-text table.

    :param figures: Figures of all runs.
    """
    rows = [
        {**attrs.asdict(run), 'broken': ', '.join(run.broken)}
        for run in figures
    ]
    print(tabulate(rows, headers='keys', floatfmt='.2f'))


def main(argv: list[str]) -> None:
    """Run the scenarios and print their figures.

    :param argv: Command-line arguments.
    """
    names = sorted({scenario.name for scenario in list_scenarios()})
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--only', choices=names, help='failure to run (default: all)'
    )
    parser.add_argument('--runs', type=int, default=DEFAULT_RUNS)
    parser.add_argument(
        '--json', type=pathlib.Path, help='file to write the figures to'
    )
    arguments = parser.parse_args(argv)
    figures = [
        run_scenario(scenario)
        for scenario in list_scenarios()
        for _ in range(arguments.runs)
        if arguments.only in {None, scenario.name}
    ]
    print_table(figures)
    if arguments.json is not None:
        document = orjson.dumps([attrs.asdict(run) for run in figures])
        arguments.json.write_bytes(document)


def _stop_entry_vm(fleet: Fleet, name: str) -> None:
    fleet.terminate(name)


def _run_and_observe(fleet: Fleet, scenario: Scenario) -> RunFigures:
    def inject_failure() -> None:
        fleet.set_fault(scenario.platform_fault)
        scenario.failure(fleet)

    observation = observe(fleet, inject_failure, OBSERVATION_TIME)
    return RunFigures(
        scenario=scenario.name,
        platform=scenario.platform_fault,
        longest=observation.unavailable.longest,
        mean=observation.unavailable.mean,
        calls=len(observation.calls),
        failed=sum(call.accepted for call in observation.failed),
        broken=observation.broken,
    )


if __name__ == '__main__':
    main(sys.argv[1:])
