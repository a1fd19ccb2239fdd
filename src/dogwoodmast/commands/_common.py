"""What several commands share: options, the platform and output."""

from __future__ import annotations

import argparse
import getpass
import os
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
import orjson

from dogwoodmast._documents import converter
from dogwoodmast.address import Address, InvalidAddress
from dogwoodmast.etcd import EtcdPlatform
from dogwoodmast.input_checks import check_value
from dogwoodmast.input_errors import Mistake
from dogwoodmast.input_rules import Endpoint

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dogwoodmast.key_value import Platform

PLATFORM_VARIABLE = 'DOGWOODMAST_PLATFORM'
"""Environment variable with the default of ``--platform``."""
ENTRIES_VARIABLE = 'DOGWOODMAST_ENTRIES'
"""Environment variable with the defaults of ``--entry``, by spaces."""
CONFIRMATION_TIMEOUT = 16.0
"""Time allowed for zones to confirm a change, in seconds."""

Subparsers = Any
"""Collection of parsers that a command adds its own to."""

_Result = TypeVar('_Result')


def add_parser(
    subparsers: Subparsers, name: str, purpose: str, examples: str
) -> argparse.ArgumentParser:
    """Add the parser of one command.

    :param subparsers: Collection to add it to.
    :param name: Name of the command.
    :param purpose: What it does.
    :param examples: Calls that show its use, one a line.
    :return: The parser.
    """
    lines = [f'  dogwoodmast {line}' for line in examples.splitlines()]
    parser: argparse.ArgumentParser = subparsers.add_parser(
        name,
        help=purpose,
        description=f'{purpose[0].upper()}{purpose[1:]}.',
        epilog='\n'.join(('examples:', *lines)),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    return parser


def add_verbs(subparsers: Subparsers, name: str, purpose: str) -> Subparsers:
    """Add a command that has verbs.

    :param subparsers: Collection to add it to.
    :param name: Name of the command.
    :param purpose: What it does.
    :return: Collection to add the verbs to.
    """
    parser = subparsers.add_parser(
        name, help=purpose, description=f'{purpose[0].upper()}{purpose[1:]}.'
    )
    return parser.add_subparsers(required=True, metavar='VERB')


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Add the option to write for programs.

    :param parser: Parser to add it to.
    """
    parser.add_argument(
        '--json',
        action='store_true',
        help='write one JSON document on standard output',
    )


def add_platform_option(parser: argparse.ArgumentParser) -> None:
    """Add the option that says where the platform is.

    :param parser: Parser to add it to.
    """
    default = os.environ.get(PLATFORM_VARIABLE)
    parser.add_argument(
        '--platform',
        type=endpoint,
        default=default,
        required=default is None,
        metavar='URL',
        help=f'base URL of the platform (default: ${PLATFORM_VARIABLE})',
    )


def add_operator_option(parser: argparse.ArgumentParser) -> None:
    """Add the option that says who makes a change.

    :param parser: Parser to add it to.
    """
    parser.add_argument(
        '--operator',
        default=None,
        metavar='NAME',
        help='who makes the change, for the audit trail '
        '(default: the login name)',
    )


def add_entry_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that say which entry VMs to ask for confirmation.

    :param parser: Parser to add them to.
    """
    add_entries_option(parser)
    parser.add_argument(
        '--wait',
        type=float,
        default=CONFIRMATION_TIMEOUT,
        metavar='SECONDS',
        help='how long to wait for the zones to confirm (default: %(default)s)',
    )


def add_entries_option(parser: argparse.ArgumentParser) -> None:
    """Add the option that says which entry VMs to ask.

    :param parser: Parser to add it to.
    """
    parser.add_argument(
        '--entry',
        type=endpoint,
        action='append',
        metavar='URL',
        help='base URL of an entry VM, asked for its status; may be '
        f'repeated (default: ${ENTRIES_VARIABLE}, separated by spaces)',
    )


def endpoint(text: str) -> str:
    """Check a base URL in the arguments.

    :param text: The URL.
    :return: The URL.
    :raises ArgumentTypeError: If it is not valid.
    """
    try:
        return str(check_value(Endpoint(), text))
    except Mistake as mistake:
        raise argparse.ArgumentTypeError(mistake.problem) from None


def address(text: str) -> Address:
    """Check an address in the arguments.

    :param text: IP number and port.
    :return: The address.
    :raises ArgumentTypeError: If it is not valid.
    """
    try:
        return Address.parse(text)
    except InvalidAddress as error:
        raise argparse.ArgumentTypeError(error.message) from None


def entries_of(arguments: argparse.Namespace) -> tuple[str, ...]:
    """List the entry VMs to ask.

    :param arguments: Parsed arguments.
    :return: Base URLs.
    """
    if arguments.entry:
        return tuple(arguments.entry)
    return tuple(os.environ.get(ENTRIES_VARIABLE, '').split())


def operator_of(arguments: argparse.Namespace) -> str:
    """Tell who makes a change.

    :param arguments: Parsed arguments.
    :return: Name for the audit trail.
    """
    return arguments.operator or getpass.getuser()


def with_platform(
    arguments: argparse.Namespace,
    action: Callable[[Platform], Awaitable[_Result]],
) -> _Result:
    """Run an action on the platform that the arguments name.

    :param arguments: Parsed arguments.
    :param action: What to do.
    :return: What the action returns.
    """

    async def run() -> _Result:
        async with AsyncExitStack() as stack:
            platform = EtcdPlatform(arguments.platform)
            stack.push_async_callback(platform.aclose)
            return await action(platform)

    return anyio.run(run)


def print_json(answer: object) -> None:
    """Write a JSON document on standard output.

    :param answer: Document, or attrs instances.
    """
    document = converter.unstructure(answer)
    print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
