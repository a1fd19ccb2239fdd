"""Options and output shared by the commands that create orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.commands._common import (
    add_confirmation_options,
    add_json_option,
    add_operator_option,
    add_platform_option,
    print_json,
)
from dogwoodmast.commands._confirm import Confirmations, confirm
from dogwoodmast.configuration_store import ConfigurationStore
from dogwoodmast.confirmation import OrderReceived, OrderRemoved
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
    """Request of an operator to create or withdraw an order, and its result."""

    subject: str
    """Order in words, such as ``drain balance-pikine-1``."""
    undone: bool
    """Whether the operator asked to withdraw the order."""
    order: OrderResult
    """Result of creating or withdrawing the order."""

    def describe(self) -> str:
        """Describe the result for the operator.

        :return: One line.
        """
        match self.undone, self.order.changed:
            case False, True:
                state = f'order created (change {self.order.change_id})'
            case False, False:
                state = f'order already exists (change {self.order.change_id})'
            case True, True:
                state = f'order withdrawn (was change {self.order.change_id})'
            case _:
                state = 'no such order exists; nothing to withdraw'
        return f'{self.subject}: {state}'


def add_order_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of commands that create and withdraw orders.

    :param parser: Parser to add the options to.
    """
    parser.add_argument(
        '--undo',
        action='store_true',
        help='withdraw the order instead of creating it',
    )
    add_platform_option(parser)
    add_operator_option(parser)
    add_confirmation_options(parser)
    add_json_option(parser)


async def read_configuration(platform: Platform) -> Configuration:
    """Read the configuration in force, the latest accepted version.

    :param platform: Client of the platform.
    :return: The configuration.
    :raises NoConfiguration: If no version has been accepted yet.
    """
    current = await ConfigurationStore(platform).current()
    if current is None:
        raise NoConfiguration
    return current


def report_order(
    arguments: argparse.Namespace, given: GivenOrder, zones: tuple[str, ...]
) -> int:
    """Print the result of an order and wait for zones to confirm it.

    :param arguments: Parsed arguments.
    :param given: The order and its result.
    :param zones: Names of the zones that the order concerns.
    :return: Exit code of the command.
    """
    if not arguments.json:
        print(given.describe(), flush=True)
    change_id = given.order.change_id
    if change_id is None:
        confirmations = Confirmations(())
    else:
        expectation = OrderRemoved if given.undone else OrderReceived
        confirmations = confirm(arguments, zones, expectation(change_id))
    if arguments.json:
        print_json(
            {
                'subject': given.subject,
                'undone': given.undone,
                'changed': given.order.changed,
                'change_id': change_id,
                'zones': confirmations.zones,
            }
        )
    elif change_id is not None:
        print(confirmations.describe())
    return confirmations.exit_code
