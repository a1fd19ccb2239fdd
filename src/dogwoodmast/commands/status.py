"""Command ``status``: show the status reports of entry VMs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import anyio
from tabulate import tabulate

from dogwoodmast.commands._common import (
    Subparsers,
    add_entry_option,
    add_json_option,
    add_parser,
    entry_urls,
    print_json,
)
from dogwoodmast.commands.audit import format_time
from dogwoodmast.errors import DogwoodmastError
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.status_client import StatusUnavailable, fetch_statuses

if TYPE_CHECKING:
    import argparse

    from dogwoodmast.status import PlatformStatus, StatusReport, ZoneStatus


class NoEntryVm(DogwoodmastError):
    """No entry VM specified; use --entry or set DOGWOODMAST_ENTRIES."""


def register(subparsers: Subparsers) -> None:
    """Add the parser of ``status``.

    :param subparsers: Subparsers of the program.
    """
    parser = add_parser(
        subparsers,
        'status',
        'show zones, coordinators, leases, versions and orders',
        'status --entry http://10.1.1.5:8000\n'
        'status --entry http://10.1.1.5:8000 --entry http://10.1.2.5:8000 '
        '--json',
    )
    add_entry_option(parser)
    add_json_option(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Print the status reports of entry VMs.

    :param arguments: Parsed arguments.
    :return: Exit code; ``UNREACHABLE`` if an entry VM returned no report.
    :raises NoEntryVm: If neither the arguments nor the environment name an
        entry VM.
    """
    entries = entry_urls(arguments)
    if not entries:
        raise NoEntryVm
    responses = anyio.run(fetch_statuses, entries)
    if arguments.json:
        print_json(responses)
    else:
        for report in responses.reports:
            print(_format_report(report))
    for entry in responses.silent:
        print(f'dogwoodmast: {StatusUnavailable(entry)}', file=sys.stderr)
    return ExitCode.UNREACHABLE if responses.silent else ExitCode.OK


def _format_report(report: StatusReport) -> str:
    heading = (
        f'entry VM {report.vm} in zone {report.zone}: configuration version '
        f'{report.configuration_version}, {_format_platform(report.platform)}'
    )
    return '\n'.join(
        (
            heading,
            '',
            _format_zones(report.zones),
            '',
            _format_targets(report),
            '',
        )
    )


def _format_platform(platform: PlatformStatus) -> str:
    if not platform.since:
        return 'platform not contacted yet'
    state = 'reachable' if platform.reachable else 'NOT REACHABLE'
    return f'platform {state} since {format_time(platform.since)}'


def _format_zones(zones: tuple[ZoneStatus, ...]) -> str:
    rows = [
        (
            zone.zone,
            zone.record_version,
            zone.term,
            zone.coordinator or 'unknown',
            ' '.join(zone.members),
            zone.floor,
            _format_orders(zone),
        )
        for zone in zones
    ]
    headers = (
        'zone',
        'record',
        'term',
        'coordinator',
        'members',
        'floor',
        'orders',
    )
    return str(tabulate(rows, headers=headers))


def _format_orders(zone: ZoneStatus) -> str:
    orders = [order.subject for order in zone.orders]
    if zone.lost:
        orders.append('declared lost')
    return ', '.join(orders) or '-'


def _format_targets(report: StatusReport) -> str:
    leases = {lease.target: lease for lease in report.leases}
    rows = []
    for zone in report.zones:
        for target, holder in sorted(zone.holders.items()):
            lease = leases.get(target)
            rows.append(
                (
                    target,
                    zone.zone,
                    zone.partitions.get(target, 0),
                    holder,
                    f'{lease.seconds_left:.1f}' if lease else '',
                    lease.waiting if lease else '',
                    lease.in_flight if lease else '',
                )
            )
    headers = (
        'target',
        'zone',
        'partitions',
        'leaseholder',
        'lease left (s)',
        'waiting',
        'in flight',
    )
    return str(tabulate(rows, headers=headers))
