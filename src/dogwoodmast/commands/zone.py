"""Command ``zone``: declare that a zone is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.commands._common import (
    Subparsers,
    add_parser,
    add_verbs,
    entries_of,
    operator_of,
    with_platform,
)
from dogwoodmast.commands._orders import (
    GivenOrder,
    add_order_options,
    read_configuration,
    report_order,
)
from dogwoodmast.errors import DogwoodmastError
from dogwoodmast.operator_changes import OrderResult, OrderStore, UnknownName
from dogwoodmast.status_client import fetch_all

if TYPE_CHECKING:
    import argparse

    from dogwoodmast.key_value import Platform


@attrs.define
class ZoneAnswers(DogwoodmastError):
    """A zone that is to be declared lost still answers."""

    zone: str
    """Availability zone."""
    vm: str
    """Entry VM that answered."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return (
            f'zone {self.zone} is not lost: its entry VM {self.vm} answers; '
            'use --force to declare it lost all the same'
        )


@attrs.frozen
class _Declared:
    order: OrderResult
    zones: tuple[str, ...]


def register(subparsers: Subparsers) -> None:
    """Add the command's parsers.

    :param subparsers: Collection to add them to.
    """
    verbs = add_verbs(subparsers, 'zone', 'declare that a zone is lost')
    parser = add_parser(
        verbs,
        'declare-lost',
        "let other zones own a lost zone's keys",
        'zone declare-lost pikine --platform http://10.1.0.2:2379 '
        '--entry http://10.1.1.5:8000\n'
        'zone declare-lost pikine --undo --platform http://10.1.0.2:2379',
    )
    parser.add_argument('zone', help='name of the zone')
    parser.add_argument(
        '--force',
        action='store_true',
        help='declare it although an entry VM of the zone answers',
    )
    add_order_options(parser)
    parser.set_defaults(run=run_declare_lost)


def run_declare_lost(arguments: argparse.Namespace) -> int:
    """Give or withdraw a declaration that a zone is lost.

    :param arguments: Parsed arguments.
    :return: Exit code.
    """
    zone = arguments.zone
    if not (arguments.undo or arguments.force):
        _refuse_if_answering(zone, entries_of(arguments))

    async def order(platform: Platform) -> _Declared:
        zones = await _known_zones(platform, zone)
        book = OrderStore(platform, operator_of(arguments))
        give = book.undo_loss if arguments.undo else book.declare_lost
        return _Declared(await give(zone), zones)

    declared = with_platform(arguments, order)
    given = GivenOrder(f'lost {zone}', arguments.undo, declared.order)
    return report_order(arguments, given, declared.zones)


def _refuse_if_answering(zone: str, entries: tuple[str, ...]) -> None:
    answers = anyio.run(fetch_all, entries)
    for report in answers.reports:
        if report.zone == zone:
            raise ZoneAnswers(zone, report.vm)


async def _known_zones(platform: Platform, zone: str) -> tuple[str, ...]:
    configuration = await read_configuration(platform)
    zones = tuple(one.name for one in configuration.zones)
    if zone not in zones:
        raise UnknownName('zone', zone, zones)
    return zones
