"""What the commands that give orders share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.commands._common import (
    add_entry_options,
    add_json_option,
    add_operator_option,
    add_platform_option,
    print_json,
)
from dogwoodmast.commands._confirm import Confirmations, confirm
from dogwoodmast.configuration_store import ConfigurationStore
from dogwoodmast.confirmation import OrderForgotten, OrderHeard
from dogwoodmast.errors import ConfigurationError
from dogwoodmast.operator_changes import OrderResult

if TYPE_CHECKING:
    import argparse

    from dogwoodmast.configuration import Configuration
    from dogwoodmast.key_value import Platform


class NoConfiguration(ConfigurationError):
    """No configuration is in force yet."""


@attrs.frozen
class GivenOrder:
    """An order that was given or withdrawn, for the operator."""

    subject: str
    """What was ordered."""
    undone: bool
    """Whether it was withdrawn."""
    order: OrderResult
    """What became of it."""

    def describe(self) -> str:
        """Describe what became of the order.

        :return: One line.
        """
        match self.undone, self.order.changed:
            case False, True:
                state = f'is ordered (change {self.order.change_id})'
            case False, False:
                state = f'was ordered before (change {self.order.change_id})'
            case True, True:
                state = f'is withdrawn (it was change {self.order.change_id})'
            case _:
                state = 'was not ordered; nothing to withdraw'
        return f'{self.subject}: {state}'


def add_order_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of commands that give orders.

    :param parser: Parser to add them to.
    """
    parser.add_argument(
        '--undo', action='store_true', help='withdraw the order'
    )
    add_platform_option(parser)
    add_operator_option(parser)
    add_entry_options(parser)
    add_json_option(parser)


async def read_configuration(platform: Platform) -> Configuration:
    """Read the configuration in force.

    :param platform: The platform.
    :return: The configuration.
    :raises NoConfiguration: If there is none yet.
    """
    current = await ConfigurationStore(platform).current()
    if current is None:
        raise NoConfiguration
    return current


def report_order(
    arguments: argparse.Namespace, given: GivenOrder, zones: tuple[str, ...]
) -> int:
    """Tell the operator what became of an order.

    :param arguments: Parsed arguments.
    :param given: The order.
    :param zones: Zones that are to confirm it.
    :return: Exit code.
    """
    if not arguments.json:
        print(given.describe(), flush=True)
    change_id = given.order.change_id
    if change_id is None:
        found = Confirmations(())
    else:
        sort = OrderForgotten if given.undone else OrderHeard
        found = confirm(arguments, zones, sort(change_id))
    if arguments.json:
        print_json(
            {
                'subject': given.subject,
                'undone': given.undone,
                'changed': given.order.changed,
                'change_id': change_id,
                'zones': found.zones,
            }
        )
    elif change_id is not None:
        print(found.describe())
    return found.exit_code
