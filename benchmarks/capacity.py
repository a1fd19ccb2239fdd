"""Measure the costs from which docs/CAPACITY.md is calculated.

Run ``python -m benchmarks.capacity --help`` in the root of the repository.
"""

from __future__ import annotations

import argparse
import pathlib
import sys

import attrs
import orjson
from tabulate import tabulate

from benchmarks.capacity_fleet import (
    FleetCost,
    LinearFit,
    fit_line,
    measure_fleet,
)
from benchmarks.capacity_rounds import RoundCost, measure_rounds
from benchmarks.capacity_slopes import Slopes, measure_slopes

DESIGN_ENTRY_VMS = 490
"""Number of entry VMs to which the costs of fleets are extrapolated."""
DEFAULT_SIZES = (1, 2, 4, 8)
"""Numbers of entry VMs per zone of the measured fleets."""
DEFAULT_PARTITIONS = 1024
"""Number of partitions of the service in each fleet."""
ZONE_SIZES = ((5, 50), (12, 50), (25, 50), (49, 50), (49, 100))
"""Numbers of members and targets of the zones whose lease rounds are
measured."""


@attrs.frozen
class CapacityReport:
    """Figures of all capacity measurements."""

    slopes: Slopes
    """Costs per partition, member, document and message, measured in this
    process."""
    rounds: list[RoundCost]
    """Costs of lease rounds, one entry per size of the zone."""
    fleets: list[FleetCost]
    """Costs of idle fleets, one entry per size of the fleet."""
    lines: dict[str, LinearFit]
    """Linear fit of each cost of a fleet over the number of entry VMs; empty
    if only one fleet was measured."""


def measure(sizes: list[int], partitions: int) -> CapacityReport:
    """Run all capacity measurements.

    :param sizes: Number of entry VMs per zone of each fleet.
    :param partitions: Number of partitions of the service.
    :return: Figures of the measurements.
    """
    fleets = [measure_fleet(size, partitions) for size in sizes]
    lines = {}
    if len(fleets) > 1:
        names = [field.name for field in attrs.fields(FleetCost)][2:]
        lines = {name: fit_line(fleets, name) for name in names}
    rounds = [measure_rounds(*size) for size in ZONE_SIZES]
    return CapacityReport(measure_slopes(), rounds, fleets, lines)


def print_tables(report: CapacityReport) -> None:
    """Print a report as plain-text tables.

    :param report: Figures of the measurements.
    """
    print(tabulate(attrs.asdict(report.slopes).items(), ('slope', 'value')))
    print()
    for costs in (report.rounds, report.fleets):
        rows = [attrs.asdict(cost) for cost in costs]
        print(tabulate(rows, headers='keys', floatfmt='.4g'))
        print()
    lines = [
        (name, fit.per_vm, fit.fixed, fit.extrapolate(DESIGN_ENTRY_VMS))
        for name, fit in report.lines.items()
    ]
    header = ('cost', 'per entry VM', 'fixed', f'at {DESIGN_ENTRY_VMS}')
    print(tabulate(lines, header, floatfmt='.4g'))


def main(argv: list[str]) -> None:
    """Run the benchmark and print its tables.

    :param argv: Command-line arguments.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--sizes', type=int, nargs='*', default=list(DEFAULT_SIZES)
    )
    parser.add_argument('--partitions', type=int, default=DEFAULT_PARTITIONS)
    parser.add_argument(
        '--json', type=pathlib.Path, help='file to write the report to'
    )
    arguments = parser.parse_args(argv)
    report = measure(arguments.sizes, arguments.partitions)
    print_tables(report)
    if arguments.json is not None:
        document = orjson.dumps(attrs.asdict(report))
        arguments.json.write_bytes(document)


if __name__ == '__main__':
    main(sys.argv[1:])
