"""Command ``config``: show, list and apply configuration versions."""

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
    add_verbs,
    print_json,
    with_platform,
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
    """Add the command's parsers.

    :param subparsers: Collection to add them to.
    """
    verbs = add_verbs(
        subparsers, 'config', 'show, list and apply configuration versions'
    )
    show = add_parser(
        verbs,
        'show',
        'show a version as a JSON document',
        'config show --platform http://10.1.0.2:2379\n'
        'config show --version 3 --platform http://10.1.0.2:2379',
    )
    show.add_argument('--version', type=int, help='default: the one in force')
    show.set_defaults(run=run_show, json=True)
    history = add_parser(
        verbs,
        'history',
        'list who put which version in force, and what it changed',
        'config history --platform http://10.1.0.2:2379',
    )
    history.set_defaults(run=run_history)
    add_json_option(history)
    for verb in (show, history):
        add_platform_option(verb)
    _add_apply(verbs)


def run_show(arguments: argparse.Namespace) -> int:
    """Show a version.

    :param arguments: Parsed arguments.
    :return: Exit code.
    """

    async def read(platform: Platform) -> Configuration | None:
        store = ConfigurationStore(platform)
        if arguments.version is None:
            return await store.current()
        return await store.version(arguments.version)

    found = with_platform(arguments, read)
    if found is None:
        print('no configuration is in force', file=sys.stderr)
        return ExitCode.FAILED
    print_json(found)
    return ExitCode.OK


def run_history(arguments: argparse.Namespace) -> int:
    """List the versions that were put in force.

    :param arguments: Parsed arguments.
    :return: Exit code.
    """

    async def read(platform: Platform) -> tuple[AuditEntry, ...]:
        trail = AuditTrail(platform)
        return await trail.entries(AuditFilter(what=AUDIT_SUBJECT))

    entries = with_platform(arguments, read)
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
    """Put a document or an earlier version in force.

    :param arguments: Parsed arguments.
    :return: Exit code.
    """

    async def read(platform: Platform) -> Configuration:
        store = ConfigurationStore(platform)
        return await store.version(arguments.version)

    if arguments.file is None:
        wanted = with_platform(arguments, read)
    else:
        wanted = _load_file(arguments.file)
    return apply_configuration(arguments, wanted)


def _add_apply(verbs: Subparsers) -> None:
    apply = add_parser(
        verbs,
        'apply',
        'put a generated document or an earlier version in force',
        'config apply --version 3 --base 5 --platform http://10.1.0.2:2379\n'
        'config apply configuration.json --base 5 '
        '--platform http://10.1.0.2:2379',
    )
    source = apply.add_mutually_exclusive_group(required=True)
    source.add_argument(
        'file', type=pathlib.Path, nargs='?', help='JSON document'
    )
    source.add_argument(
        '--version', type=int, help='earlier version to put in force again'
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
