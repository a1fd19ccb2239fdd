"""Command ``questionnaire``: from a team's answers to a configuration."""

from __future__ import annotations

import pathlib
import sys
from importlib import resources
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.commands._common import (
    Subparsers,
    add_entry_options,
    add_json_option,
    add_operator_option,
    add_parser,
    add_platform_option,
    add_verbs,
    operator_of,
    print_json,
    with_platform,
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
    """A file is not overwritten."""

    path: str
    """Path of the file."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'{self.path} exists already and is left as it is'


def register(subparsers: Subparsers) -> None:
    """Add the command's parsers.

    :param subparsers: Collection to add them to.
    """
    verbs = add_verbs(
        subparsers, 'questionnaire', 'answer, check and apply a questionnaire'
    )
    new = add_parser(
        verbs,
        'new',
        'write a commented questionnaire to start from',
        f'questionnaire new {_FILE_NAME}',
    )
    new.add_argument(
        'file', type=pathlib.Path, nargs='?', help='default: standard output'
    )
    new.set_defaults(run=run_new, json=False)
    _add_check(verbs)
    _add_diff(verbs)
    _add_apply(verbs)


def run_new(arguments: argparse.Namespace) -> int:
    """Write a commented questionnaire.

    :param arguments: Parsed arguments.
    :return: Exit code.
    :raises FileExists: If the file exists.
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
    print(f'{arguments.file} is written; answer it and check it')
    return ExitCode.OK


def read_template() -> str:
    """Read the commented questionnaire.

    :return: TOML text.
    """
    package = resources.files('dogwoodmast')
    return package.joinpath('templates', _FILE_NAME).read_text(encoding='utf-8')


def run_check(arguments: argparse.Namespace) -> int:
    """Check a questionnaire.

    :param arguments: Parsed arguments.
    :return: Exit code.
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
    """Show what a questionnaire would change.

    :param arguments: Parsed arguments.
    :return: Exit code.
    """
    wanted = load_questionnaire(arguments.file).configuration
    current = with_platform(arguments, _read_current)
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
        print(f'version {version} has the same answers')
    check_immutable_values(current, wanted)
    return ExitCode.OK


def run_apply(arguments: argparse.Namespace) -> int:
    """Put a questionnaire's answers in force.

    :param arguments: Parsed arguments.
    :return: Exit code.
    """
    answers = load_questionnaire(arguments.file)
    if not arguments.json:
        _print_cautions(answers)
    return apply_configuration(arguments, answers.configuration)


def apply_configuration(
    arguments: argparse.Namespace, wanted: Configuration
) -> int:
    """Put a configuration in force and tell which zones have it.

    :param arguments: Parsed arguments.
    :param wanted: The configuration.
    :return: Exit code.
    """
    who = operator_of(arguments)

    async def accept(platform: Platform) -> Configuration:
        store = ConfigurationStore(platform)
        return await store.accept(wanted, arguments.base, who)

    accepted = with_platform(arguments, accept)
    if not arguments.json:
        print(
            f'version {accepted.version} is accepted '
            f'(change {accepted.change_id})',
            flush=True,
        )
    zones = tuple(zone.name for zone in accepted.zones)
    found = confirm(arguments, zones, VersionInForce(accepted.version))
    if arguments.json:
        print_json(
            {
                'version': accepted.version,
                'change_id': accepted.change_id,
                'zones': found.zones,
            }
        )
    else:
        print(found.describe())
    return found.exit_code


def add_apply_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of commands that put a configuration in force.

    :param parser: Parser to add them to.
    """
    parser.add_argument(
        '--base',
        type=int,
        required=True,
        metavar='VERSION',
        help='version that the change is based on; 0 for the first',
    )
    add_platform_option(parser)
    add_operator_option(parser)
    add_entry_options(parser)
    add_json_option(parser)


def _add_check(verbs: Subparsers) -> None:
    check = add_parser(
        verbs,
        'check',
        'report every mistake of a questionnaire',
        f'questionnaire check {_FILE_NAME}\n'
        f'questionnaire check {_FILE_NAME} --json',
    )
    check.add_argument('file', type=pathlib.Path, help='TOML file')
    add_json_option(check)
    check.set_defaults(run=run_check)


def _add_diff(verbs: Subparsers) -> None:
    diff = add_parser(
        verbs,
        'diff',
        'show what a questionnaire would change',
        f'questionnaire diff {_FILE_NAME} --platform http://10.1.0.2:2379',
    )
    diff.add_argument('file', type=pathlib.Path, help='TOML file')
    add_platform_option(diff)
    add_json_option(diff)
    diff.set_defaults(run=run_diff)


def _add_apply(verbs: Subparsers) -> None:
    apply = add_parser(
        verbs,
        'apply',
        "put a questionnaire's answers in force",
        f'questionnaire apply {_FILE_NAME} --base 3 '
        '--platform http://10.1.0.2:2379 --entry http://10.1.1.5:8000',
    )
    apply.add_argument('file', type=pathlib.Path, help='TOML file')
    add_apply_options(apply)
    apply.set_defaults(run=run_apply)


def _print_cautions(answers: Questionnaire) -> None:
    for caution in answers.cautions:
        print(f'caution: {caution}', file=sys.stderr)


async def _read_current(platform: Platform) -> Configuration | None:
    return await ConfigurationStore(platform).current()
