"""Command ``config``: show, list and apply versions of the configuration."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

from tabulate import tabulate

from dogwoodmast._documents import load_document
from dogwoodmast.audit import AuditEntry, AuditFilter, AuditTrail
from dogwoodmast.commands._common import (
    Subparsers,
    add_json_option,
    add_parser,
    add_platform_option,
    add_subcommands,
    print_json,
    run_with_platform,
)
from dogwoodmast.commands.audit import format_time
from dogwoodmast.commands.questionnaire import (
    add_apply_options,
    apply_configuration,
)
from dogwoodmast.configuration import Configuration
from dogwoodmast.configuration_store import AUDIT_SUBJECT, ConfigurationStore
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.input_errors import InvalidInput, UnreadableFile
from dogwoodmast.questionnaire import check_configuration

if TYPE_CHECKING:
    import argparse

    from dogwoodmast.key_value import Platform


def register(subparsers: Subparsers) -> None:
    """Add the parsers of ``config`` and its subcommands.

    :param subparsers: Subparsers of the program.
    """
    subcommands = add_subcommands(
        subparsers,
        'config',
        'show, list and apply versions of the configuration',
    )
    show = add_parser(
        subcommands,
        'show',
        'print a version as a JSON document',
        'config show --platform http://10.1.0.2:2379\n'
        'config show --version 3 --platform http://10.1.0.2:2379',
    )
    show.add_argument(
        '--version',
        type=int,
        help='version number (default: the version in force)',
    )
    show.set_defaults(run=run_show, json=True)
    history = add_parser(
        subcommands,
        'history',
        'list accepted versions: when, by whom, and what they changed',
        'config history --platform http://10.1.0.2:2379',
    )
    history.set_defaults(run=run_history)
    add_json_option(history)
    for parser in (show, history):
        add_platform_option(parser)
    _add_apply(subcommands)


def run_show(arguments: argparse.Namespace) -> int:
    """Print a version of the configuration as a JSON document.

    :param arguments: Parsed arguments.
    :return: Exit code; ``FAILED`` if no version has been accepted yet.
    """

    async def read(platform: Platform) -> Configuration | None:
        store = ConfigurationStore(platform)
        if arguments.version is None:
            return await store.current()
        return await store.version(arguments.version)

    found = run_with_platform(arguments, read)
    if found is None:
        print('no configuration is in force', file=sys.stderr)
        return ExitCode.FAILED
    print_json(found)
    return ExitCode.OK


def run_history(arguments: argparse.Namespace) -> int:
    """List the versions in the audit trail, oldest first.

    :param arguments: Parsed arguments.
    :return: Exit code ``OK``.
    """

    async def read(platform: Platform) -> tuple[AuditEntry, ...]:
        trail = AuditTrail(platform)
        return await trail.entries(AuditFilter(what=AUDIT_SUBJECT))

    entries = run_with_platform(arguments, read)
    if arguments.json:
        print_json(entries)
        return ExitCode.OK
    rows = [(format_time(one.when), one.who, one.after) for one in entries]
    print(
        tabulate(
            rows,
            headers=('when', 'who', 'version and changes'),
            maxcolwidths=(None, None, 76),
        )
    )
    return ExitCode.OK


def run_apply(arguments: argparse.Namespace) -> int:
    """Put a JSON document or an earlier version in force as a new version.

    :param arguments: Parsed arguments.
    :return: Exit code; ``UNCONFIRMED`` if a zone did not confirm in time.
    """

    async def read(platform: Platform) -> Configuration:
        store = ConfigurationStore(platform)
        return await store.version(arguments.version)

    if arguments.file is None:
        wanted = run_with_platform(arguments, read)
    else:
        wanted = _load_file(arguments.file)
    return apply_configuration(arguments, wanted)


def _add_apply(subcommands: Subparsers) -> None:
    apply = add_parser(
        subcommands,
        'apply',
        'put a JSON document or an earlier version in force',
        'config apply --version 3 --base 5 --platform http://10.1.0.2:2379\n'
        'config apply configuration.json --base 5 '
        '--platform http://10.1.0.2:2379',
    )
    source = apply.add_mutually_exclusive_group(required=True)
    source.add_argument(
        'file',
        type=pathlib.Path,
        nargs='?',
        help='JSON file with a configuration',
    )
    source.add_argument(
        '--version',
        type=int,
        help='number of an earlier version to put in force again',
    )
    add_apply_options(apply)
    apply.set_defaults(run=run_apply)


def _load_file(path: pathlib.Path) -> Configuration:
    try:
        document = path.read_bytes()
    except OSError as error:
        raise InvalidInput(str(path), [UnreadableFile(str(error))]) from error
    wanted = load_document(document, Configuration)
    check_configuration(wanted, str(path))
    return wanted
