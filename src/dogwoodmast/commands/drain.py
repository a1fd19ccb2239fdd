"""Command ``drain``: move keys off a target or leases off an entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast._documents import load_document
from dogwoodmast.commands._common import (
    Subparsers,
    add_parser,
    operator_name,
    run_with_platform,
)
from dogwoodmast.commands._orders import (
    GivenOrder,
    add_order_options,
    read_configuration,
    report_order,
)
from dogwoodmast.operator_changes import OrderResult, OrderStore, UnknownName
from dogwoodmast.ownership import ZONE_PREFIX, ZoneRecord

if TYPE_CHECKING:
    import argparse

    from dogwoodmast.key_value import Platform


@attrs.frozen
class _DrainResult:
    order: OrderResult
    zone: str


def register(subparsers: Subparsers) -> None:
    """Add the parser of ``drain``.

    :param subparsers: Subparsers of the program.
    """
    parser = add_parser(
        subparsers,
        'drain',
        'move all keys off a target, or all leases off an entry VM',
        'drain balance-pikine-1 --platform http://10.1.0.2:2379 '
        '--entry http://10.1.2.5:8000\n'
        'drain balance-pikine-1 --undo --platform http://10.1.0.2:2379',
    )
    parser.add_argument('name', help='name of the target or entry VM')
    add_order_options(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Create or withdraw a drain order and wait for its zone to confirm it.

    :param arguments: Parsed arguments.
    :return: Exit code of the command.
    """
    name = arguments.name

    async def order(platform: Platform) -> _DrainResult:
        zone = await _find_zone(platform, name)
        orders = OrderStore(platform, operator_name(arguments))
        submit = orders.undo_drain if arguments.undo else orders.drain
        return _DrainResult(await submit(name), zone)

    result = run_with_platform(arguments, order)
    given = GivenOrder(f'drain {name}', arguments.undo, result.order)
    return report_order(arguments, given, (result.zone,))


async def _find_zone(platform: Platform, name: str) -> str:
    zones = await _read_zones_by_name(platform)
    if name not in zones:
        raise UnknownName('target or entry VM', name, tuple(zones))
    return zones[name]


async def _read_zones_by_name(platform: Platform) -> dict[str, str]:
    configuration = await read_configuration(platform)
    zones = {
        target.name: target.zone
        for service in configuration.services
        for target in service.targets
    }
    snapshot = await platform.read_prefix(ZONE_PREFIX)
    for stored in snapshot.values:
        record = load_document(stored.value, ZoneRecord)
        for member in record.members:
            zones.setdefault(member.vm, record.zone)
    return zones
