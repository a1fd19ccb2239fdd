"""Command ``questionnaire``: create, check and apply questionnaire files.

A questionnaire is a TOML file with the answers that a configuration is
generated from.
"""

from __future__ import annotations

import pathlib
import sys
from importlib import resources
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.commands._common import (
    Subparsers,
    add_confirmation_options,
    add_json_option,
    add_operator_option,
    add_parser,
    add_platform_option,
    add_subcommands,
    operator_name,
    print_json,
    run_with_platform,
)
from dogwoodmast.commands._confirm import confirm
from dogwoodmast.configuration_diff import (
    check_immutable_values,
    compare_configurations,
)
from dogwoodmast.configuration_store import ConfigurationStore
from dogwoodmast.confirmation import VersionInForce
from dogwoodmast.errors import DogwoodmastError
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.questionnaire import Questionnaire, load_questionnaire

if TYPE_CHECKING:
    import argparse

    from dogwoodmast.configuration import Configuration
    from dogwoodmast.key_value import Platform

_FILE_NAME = 'questionnaire.toml'


@attrs.define
class FileExists(DogwoodmastError):
    """A file already exists and was not overwritten."""

    path: str
    """Path of the file."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'{self.path} already exists and was not overwritten'


def register(subparsers: Subparsers) -> None:
    """Add the parsers of ``questionnaire`` and its subcommands.

    :param subparsers: Subparsers of the program.
    """
    subcommands = add_subcommands(
        subparsers, 'questionnaire', 'create, check and apply a questionnaire'
    )
    new = add_parser(
        subcommands,
        'new',
        'write a commented questionnaire template',
        f'questionnaire new {_FILE_NAME}',
    )
    new.add_argument(
        'file',
        type=pathlib.Path,
        nargs='?',
        help='new file (default: standard output)',
    )
    new.set_defaults(run=run_new, json=False)
    _add_check(subcommands)
    _add_diff(subcommands)
    _add_apply(subcommands)


def run_new(arguments: argparse.Namespace) -> int:
    """Write the questionnaire template to a new file or standard output.

    :param arguments: Parsed arguments.
    :return: Exit code ``OK``.
    :raises FileExists: If the file already exists.
    """
    template = read_template()
    if arguments.file is None:
        sys.stdout.write(template)
        return ExitCode.OK
    try:
        with arguments.file.open('x', encoding='utf-8') as output:
            output.write(template)
    except FileExistsError:
        raise FileExists(str(arguments.file)) from None
    print(f'{arguments.file} written; edit it, then run questionnaire check')
    return ExitCode.OK


def read_template() -> str:
    """Read the questionnaire template from the package.

    :return: TOML text with comments.
    """
    package = resources.files('dogwoodmast')
    return package.joinpath('templates', _FILE_NAME).read_text(encoding='utf-8')


def run_check(arguments: argparse.Namespace) -> int:
    """Check a questionnaire and print a summary and its cautions.

    :param arguments: Parsed arguments.
    :return: Exit code ``OK``; cautions do not change it.
    """
    answers = load_questionnaire(arguments.file)
    if arguments.json:
        print_json(
            {
                'configuration': answers.configuration,
                'cautions': [one.to_document() for one in answers.cautions],
            }
        )
        return ExitCode.OK
    _print_cautions(answers)
    services = answers.configuration.services
    targets = sum(len(service.targets) for service in services)
    print(
        f'{arguments.file} is valid: {len(services)} services with '
        f'{targets} targets in {len(answers.configuration.zones)} zones'
    )
    return ExitCode.OK


def run_diff(arguments: argparse.Namespace) -> int:
    """Show how a questionnaire differs from the configuration in force.

    Without ``--json``, the command prints all differences and then fails if
    one of them concerns a value that cannot change once accepted.

    :param arguments: Parsed arguments.
    :return: Exit code ``OK``.
    :raises FixedAnswerChanged: If an immutable value differs.
    """
    wanted = load_questionnaire(arguments.file).configuration
    current = run_with_platform(arguments, _read_current)
    version = 0 if current is None else current.version
    differences = compare_configurations(current, wanted)
    if arguments.json:
        print_json(
            {
                'base': version,
                'differences': [
                    {'type': type(one).__name__, **attrs.asdict(one)}
                    for one in differences
                ],
            }
        )
        return ExitCode.OK
    for difference in differences:
        print(difference)
    if differences:
        print(f'{len(differences)} differences; apply with --base {version}')
    else:
        print(f'no differences from version {version}')
    check_immutable_values(current, wanted)
    return ExitCode.OK


def run_apply(arguments: argparse.Namespace) -> int:
    """Put the configuration of a questionnaire in force as a new version.

    :param arguments: Parsed arguments.
    :return: Exit code; ``UNCONFIRMED`` if a zone did not confirm in time.
    """
    answers = load_questionnaire(arguments.file)
    if not arguments.json:
        _print_cautions(answers)
    return apply_configuration(arguments, answers.configuration)


def apply_configuration(
    arguments: argparse.Namespace, wanted: Configuration
) -> int:
    """Put a configuration in force and wait for all its zones to confirm.

    :param arguments: Parsed arguments.
    :param wanted: The configuration; its version is ignored.
    :return: Exit code; ``UNCONFIRMED`` if a zone did not confirm in time.
    """
    who = operator_name(arguments)

    async def accept(platform: Platform) -> Configuration:
        store = ConfigurationStore(platform)
        return await store.accept(wanted, arguments.base, who)

    accepted = run_with_platform(arguments, accept)
    if not arguments.json:
        print(
            f'version {accepted.version} is accepted '
            f'(change {accepted.change_id})',
            flush=True,
        )
    zones = tuple(zone.name for zone in accepted.zones)
    confirmations = confirm(arguments, zones, VersionInForce(accepted.version))
    if arguments.json:
        print_json(
            {
                'version': accepted.version,
                'change_id': accepted.change_id,
                'zones': confirmations.zones,
            }
        )
    else:
        print(confirmations.describe())
    return confirmations.exit_code


def add_apply_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of commands that put a configuration in force.

    :param parser: Parser to add the options to.
    """
    parser.add_argument(
        '--base',
        type=int,
        required=True,
        metavar='VERSION',
        help='version that the change is based on; 0 if there is none yet',
    )
    add_platform_option(parser)
    add_operator_option(parser)
    add_confirmation_options(parser)
    add_json_option(parser)


def _add_check(subcommands: Subparsers) -> None:
    check = add_parser(
        subcommands,
        'check',
        'check a questionnaire and report all mistakes',
        f'questionnaire check {_FILE_NAME}\n'
        f'questionnaire check {_FILE_NAME} --json',
    )
    check.add_argument('file', type=pathlib.Path, help='questionnaire file')
    add_json_option(check)
    check.set_defaults(run=run_check)


def _add_diff(subcommands: Subparsers) -> None:
    diff = add_parser(
        subcommands,
        'diff',
        'show how a questionnaire differs from the version in force',
        f'questionnaire diff {_FILE_NAME} --platform http://10.1.0.2:2379',
    )
    diff.add_argument('file', type=pathlib.Path, help='questionnaire file')
    add_platform_option(diff)
    add_json_option(diff)
    diff.set_defaults(run=run_diff)


def _add_apply(subcommands: Subparsers) -> None:
    apply = add_parser(
        subcommands,
        'apply',
        'put the configuration of a questionnaire in force',
        f'questionnaire apply {_FILE_NAME} --base 3 '
        '--platform http://10.1.0.2:2379 --entry http://10.1.1.5:8000',
    )
    apply.add_argument('file', type=pathlib.Path, help='questionnaire file')
    add_apply_options(apply)
    apply.set_defaults(run=run_apply)


def _print_cautions(answers: Questionnaire) -> None:
    for caution in answers.cautions:
        print(f'caution: {caution}', file=sys.stderr)


async def _read_current(platform: Platform) -> Configuration | None:
    return await ConfigurationStore(platform).current()
