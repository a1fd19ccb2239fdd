"""Command ``serve``: run the process of one entry VM."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import anyio

from dogwoodmast.commands._common import Subparsers, add_parser
from dogwoodmast.entry_vm import EntryVm
from dogwoodmast.events import start_logging
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.settings import load_settings

if TYPE_CHECKING:
    import argparse


def register(subparsers: Subparsers) -> None:
    """Add the parser of ``serve``.

    :param subparsers: Subparsers of the program.
    """
    parser = add_parser(
        subparsers,
        'serve',
        'run one entry VM until it receives SIGTERM or SIGINT',
        'serve plateau-1.toml',
    )
    parser.add_argument(
        'settings',
        type=pathlib.Path,
        help='TOML file with the settings of the entry VM',
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run an entry VM until it receives SIGTERM or SIGINT.

    :param arguments: Parsed arguments.
    :return: Exit code ``OK`` after an orderly shutdown.
    """
    settings = load_settings(arguments.settings)
    with start_logging(settings.log.level):
        anyio.run(
            EntryVm(settings).run,
            backend='asyncio',
            backend_options={'use_uvloop': True},
        )
    return ExitCode.OK
