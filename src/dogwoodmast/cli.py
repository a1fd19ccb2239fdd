"""Command-line interface of the router."""

from __future__ import annotations

import argparse
import os
import sys
from typing import TYPE_CHECKING, Any

from dogwoodmast.commands import (
    audit,
    config,
    drain,
    load_test,
    questionnaire,
    serve,
    standin,
    status,
    zone,
)
from dogwoodmast.commands._common import print_json
from dogwoodmast.errors import (
    ChangeSuperseded,
    ChangeUncertain,
    ConfigurationConflict,
    ConfigurationError,
    DogwoodmastError,
    PlatformError,
)
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.input_errors import InvalidInput, Mistake
from dogwoodmast.load_tool.plan import InvalidLoadPlan
from dogwoodmast.operator_changes import UnknownName

if TYPE_CHECKING:
    from collections.abc import Sequence

COMMANDS = (
    serve,
    questionnaire,
    config,
    status,
    audit,
    drain,
    zone,
    load_test,
    standin,
)
EXIT_CODES = '\n'.join(f'  {code.value}  {code.meaning}' for code in ExitCode)


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser of the program with all its commands.

    :return: The parser.
    """
    parser = argparse.ArgumentParser(
        prog='dogwoodmast',
        description='Router for servers that hold keys exclusively.',
        epilog=f'exit codes:\n{EXIT_CODES}',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(required=True, metavar='COMMAND')
    for command in COMMANDS:
        command.register(subparsers)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Parse the arguments and run the command.

    If the reader of standard output closes the pipe, standard output is
    redirected to the null device, so that flushing it at exit does not fail.

    :param argv: Arguments, or ``None`` for those of the process.
    :return: Exit code of the process.
    """
    arguments = build_parser().parse_args(argv)
    try:
        return _run(arguments)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.FAILED


def exit_code_for(error: Exception) -> ExitCode:
    """Map an error to an exit code.

    :param error: Error that ended the command.
    :return: Exit code; ``FAILED`` if the error has no specific one.
    """
    match error:
        case ConfigurationConflict() | ChangeSuperseded():
            return ExitCode.CONFLICT
        case ChangeUncertain():
            return ExitCode.UNCERTAIN
        case ConfigurationError() | Mistake() | UnknownName():
            return ExitCode.INVALID
        case InvalidLoadPlan():
            return ExitCode.INVALID
        case PlatformError():
            return ExitCode.UNREACHABLE
        case _:
            return ExitCode.FAILED


def _run(arguments: argparse.Namespace) -> int:
    try:
        code: int = arguments.run(arguments)
    except DogwoodmastError as failure:
        return _report(arguments, (failure,))
    except ExceptionGroup as group:
        matched, rest = group.split(DogwoodmastError)
        if rest is not None or matched is None:
            raise
        return _report(arguments, _leaf_errors(matched), _heading(matched))
    return code


def _heading(group: ExceptionGroup[Any]) -> str:
    if isinstance(group, InvalidInput):
        return f'{group.message}: {len(group.exceptions)} mistakes'
    return group.message


def _leaf_errors(group: ExceptionGroup[Any]) -> tuple[DogwoodmastError, ...]:
    errors: list[DogwoodmastError] = []
    for one in group.exceptions:
        if isinstance(one, ExceptionGroup):
            errors.extend(_leaf_errors(one))
        else:
            errors.append(one)
    return tuple(errors)


def _report(
    arguments: argparse.Namespace,
    errors: tuple[DogwoodmastError, ...],
    heading: str = '',
) -> int:
    if getattr(arguments, 'json', False):
        print_json({'errors': [_describe(error) for error in errors]})
    if heading:
        print(f'dogwoodmast: {heading}', file=sys.stderr)
    for error in errors:
        indent = '  ' if heading else 'dogwoodmast: '
        print(f'{indent}{error}', file=sys.stderr)
    return max(exit_code_for(one) for one in errors)


def _describe(error: DogwoodmastError) -> dict[str, Any]:
    details = error.to_document() if isinstance(error, Mistake) else {}
    return {
        'type': type(error).__name__,
        'message': error.message,
        **details,
    }
