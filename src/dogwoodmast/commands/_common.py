"""Options, platform access and JSON output shared by several commands."""

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
"""Environment variable that sets the default of ``--platform``."""
ENTRIES_VARIABLE = 'DOGWOODMAST_ENTRIES'
"""Environment variable with the base URLs of entry VMs, separated by spaces,
that are used if ``--entry`` is not given."""
CONFIRMATION_TIMEOUT = 16.0
"""Default time to wait for zones to confirm a change, in seconds."""

Subparsers = Any
"""Return type of ``ArgumentParser.add_subparsers``; argparse has no public
name for it."""

_Result = TypeVar('_Result')


def add_parser(
    subparsers: Subparsers, name: str, purpose: str, examples: str
) -> argparse.ArgumentParser:
    """Add the parser of a command or subcommand.

    :param subparsers: Subparsers of the parent parser.
    :param name: Name of the command.
    :param purpose: Help text, a phrase that begins with a lower-case verb.
    :param examples: Example calls without the program's name, one per line.
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


def add_subcommands(
    subparsers: Subparsers, name: str, purpose: str
) -> Subparsers:
    """Add the parser of a command that has subcommands.

    :param subparsers: Subparsers of the parent parser.
    :param name: Name of the command.
    :param purpose: Help text, a phrase that begins with a lower-case verb.
    :return: Subparsers of the command; a subcommand is required.
    """
    parser = subparsers.add_parser(
        name, help=purpose, description=f'{purpose[0].upper()}{purpose[1:]}.'
    )
    return parser.add_subparsers(required=True, metavar='SUBCOMMAND')


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Add ``--json``, which selects machine-readable output.

    :param parser: Parser to add the option to.
    """
    parser.add_argument(
        '--json',
        action='store_true',
        help='write one JSON document to standard output',
    )


def add_platform_option(parser: argparse.ArgumentParser) -> None:
    """Add ``--platform``, required unless the environment sets a default.

    :param parser: Parser to add the option to.
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
    """Add ``--operator``, the name that the audit trail records.

    :param parser: Parser to add the option to.
    """
    parser.add_argument(
        '--operator',
        default=None,
        metavar='NAME',
        help='name of the operator to record in the audit trail '
        '(default: the login name)',
    )


def add_confirmation_options(parser: argparse.ArgumentParser) -> None:
    """Add ``--entry`` and ``--wait``, which control the confirmation.

    :param parser: Parser to add the options to.
    """
    add_entry_option(parser)
    parser.add_argument(
        '--wait',
        type=float,
        default=CONFIRMATION_TIMEOUT,
        metavar='SECONDS',
        help='time to wait for zones to confirm (default: %(default)s)',
    )


def add_entry_option(parser: argparse.ArgumentParser) -> None:
    """Add ``--entry``, which selects the entry VMs to query.

    :param parser: Parser to add the option to.
    """
    parser.add_argument(
        '--entry',
        type=endpoint,
        action='append',
        metavar='URL',
        help='base URL of an entry VM to query for its status; may be '
        f'repeated (default: ${ENTRIES_VARIABLE}, separated by spaces)',
    )


def endpoint(text: str) -> str:
    """Validate a base URL given as an argument.

    :param text: Text of the argument.
    :return: The URL.
    :raises ArgumentTypeError: If the text is not a valid base URL.
    """
    try:
        return str(check_value(Endpoint(), text))
    except Mistake as mistake:
        raise argparse.ArgumentTypeError(mistake.problem) from None


def address(text: str) -> Address:
    """Parse an address given as an argument.

    :param text: IP address and port, such as ``127.0.0.1:8080``.
    :return: The address.
    :raises ArgumentTypeError: If the text is not a valid address.
    """
    try:
        return Address.parse(text)
    except InvalidAddress as error:
        raise argparse.ArgumentTypeError(error.message) from None


def entry_urls(arguments: argparse.Namespace) -> tuple[str, ...]:
    """Return the entry VMs given by ``--entry`` or else the environment.

    :param arguments: Parsed arguments.
    :return: Base URLs; empty if neither names any.
    """
    if arguments.entry:
        return tuple(arguments.entry)
    return tuple(os.environ.get(ENTRIES_VARIABLE, '').split())


def operator_name(arguments: argparse.Namespace) -> str:
    """Return the operator's name, by default the login name.

    :param arguments: Parsed arguments.
    :return: Name to record in the audit trail.
    """
    return arguments.operator or getpass.getuser()


def run_with_platform(
    arguments: argparse.Namespace,
    action: Callable[[Platform], Awaitable[_Result]],
) -> _Result:
    """Run an action in an event loop, with a client of the platform.

    :param arguments: Parsed arguments with the platform's URL.
    :param action: Asynchronous function of the client, which is closed
        after it.
    :return: Result of the action.
    """

    async def run() -> _Result:
        async with AsyncExitStack() as stack:
            platform = EtcdPlatform(arguments.platform)
            stack.push_async_callback(platform.aclose)
            return await action(platform)

    return anyio.run(run)


def print_json(answer: object) -> None:
    """Write an indented JSON document to standard output.

    :param answer: Value to write; may contain attrs instances.
    """
    document = converter.unstructure(answer)
    print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
