"""Command ``zone``: declare an availability zone lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.commands._common import (
    Subparsers,
    add_parser,
    add_subcommands,
    entry_urls,
    operator_name,
    run_with_platform,
)
from dogwoodmast.commands._orders import (
    GivenOrder,
    add_order_options,
    read_configuration,
    report_order,
)
from dogwoodmast.errors import DogwoodmastError
from dogwoodmast.operator_changes import OrderResult, OrderStore, UnknownName
from dogwoodmast.status_client import fetch_statuses

if TYPE_CHECKING:
    import argparse

    from dogwoodmast.key_value import Platform


@attrs.define
class ZoneAnswers(DogwoodmastError):
    """A zone cannot be declared lost while one of its entry VMs responds."""

    zone: str
    """Name of the zone."""
    vm: str
    """Name of an entry VM of the zone that responded."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return (
            f'zone {self.zone} is not lost: its entry VM {self.vm} responds; '
            'use --force to declare it lost anyway'
        )


@attrs.frozen
class _DeclarationResult:
    order: OrderResult
    zones: tuple[str, ...]


def register(subparsers: Subparsers) -> None:
    """Add the parsers of ``zone`` and its subcommand.

    :param subparsers: Subparsers of the program.
    """
    subcommands = add_subcommands(subparsers, 'zone', 'declare a zone lost')
    parser = add_parser(
        subcommands,
        'declare-lost',
        "allow other zones to own a lost zone's keys",
        'zone declare-lost pikine --platform http://10.1.0.2:2379 '
        '--entry http://10.1.1.5:8000\n'
        'zone declare-lost pikine --undo --platform http://10.1.0.2:2379',
    )
    parser.add_argument('zone', help='name of the zone')
    parser.add_argument(
        '--force',
        action='store_true',
        help='declare the zone lost even if one of its entry VMs responds',
    )
    add_order_options(parser)
    parser.set_defaults(run=run_declare_lost)


def run_declare_lost(arguments: argparse.Namespace) -> int:
    """Declare a zone lost, or withdraw the declaration.

    Unless forced, a zone is not declared lost while a queried entry VM of it
    responds.  All configured zones are expected to confirm, including the
    one that is declared lost.

    :param arguments: Parsed arguments.
    :return: Exit code of the command.
    """
    zone = arguments.zone
    if not (arguments.undo or arguments.force):
        _check_unreachable(zone, entry_urls(arguments))

    async def order(platform: Platform) -> _DeclarationResult:
        zones = await _read_zone_names(platform, zone)
        orders = OrderStore(platform, operator_name(arguments))
        submit = orders.undo_loss if arguments.undo else orders.declare_lost
        return _DeclarationResult(await submit(zone), zones)

    declaration = run_with_platform(arguments, order)
    given = GivenOrder(f'lost {zone}', arguments.undo, declaration.order)
    return report_order(arguments, given, declaration.zones)


def _check_unreachable(zone: str, entries: tuple[str, ...]) -> None:
    responses = anyio.run(fetch_statuses, entries)
    for report in responses.reports:
        if report.zone == zone:
            raise ZoneAnswers(zone, report.vm)


async def _read_zone_names(platform: Platform, zone: str) -> tuple[str, ...]:
    configuration = await read_configuration(platform)
    zones = tuple(one.name for one in configuration.zones)
    if zone not in zones:
        raise UnknownName('zone', zone, zones)
    return zones
