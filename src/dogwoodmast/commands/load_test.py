"""Command ``load``: run a load test with Poisson arrivals."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING, Any

import anyio
import attrs

from dogwoodmast._documents import dump_document
from dogwoodmast.commands._common import add_parser
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.load_tool.plan import LoadPlan, load_plan
from dogwoodmast.load_tool.runner import LoadRun
from dogwoodmast.load_tool.summary import format_tables

if TYPE_CHECKING:
    import argparse

_NUMERIC_OPTIONS = (
    ('--rate', float, 'mean request rate, in requests per second'),
    ('--duration', float, 'duration of the load, in seconds'),
    ('--seed', int, 'seed of the random arrivals, kinds, customers and keys'),
    ('--connections', int, 'maximum number of requests in flight'),
    ('--resends', int, 'maximum resends of a failed request'),
)
_REPEATABLE_OPTIONS = (
    ('--url', 'urls', 'base URL of an entry VM; may be repeated'),
    (
        '--backend',
        'backends',
        'base URL of a stand-in back end whose executions are '
        'counted; may be repeated',
    ),
)


def register(subparsers: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    """Add the parser of ``load``.

    :param subparsers: Subparsers of the program.
    """
    parser = add_parser(
        subparsers,
        'load',
        'send requests at a given mean rate and measure the responses',
        'load --url http://127.0.0.1:18000 --service balance --rate 100 '
        '--duration 10',
    )
    parser.add_argument(
        'plan', type=pathlib.Path, nargs='?', help='TOML file with a load plan'
    )
    for flag, kind, explanation in _NUMERIC_OPTIONS:
        parser.add_argument(flag, type=kind, help=explanation)
    for flag, field, explanation in _REPEATABLE_OPTIONS:
        parser.add_argument(flag, dest=field, action='append', help=explanation)
    parser.add_argument(
        '--service', help='service name, the first path segment'
    )
    parser.add_argument(
        '--check-answers',
        action='store_true',
        default=None,
        help='check that each response echoes its request, as stand-ins do',
    )
    parser.add_argument(
        '--allow-remote',
        action='store_true',
        default=None,
        help='allow URLs of other machines',
    )
    parser.add_argument(
        '--report', type=pathlib.Path, help='file to write the JSON summary to'
    )
    parser.add_argument(
        '--json', action='store_true', help='print JSON instead of tables'
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run a load test and print its summary.

    :param arguments: Parsed arguments.
    :return: Exit code ``OK``, whatever the responses were.
    """
    plan = build_plan(arguments)
    summary = anyio.run(
        LoadRun(plan).run,
        backend='asyncio',
        backend_options={'use_uvloop': True},
    )
    document = dump_document(summary)
    print(document.decode() if arguments.json else format_tables(summary))
    if arguments.report is not None:
        arguments.report.write_bytes(document)
    return ExitCode.OK


def build_plan(arguments: argparse.Namespace) -> LoadPlan:
    """Build a load plan from the file, if any, and the flags.

    A flag overrides the value of the same field in the file.

    :param arguments: Parsed arguments.
    :return: The validated plan.
    :raises InvalidLoadPlan: If the file or a value is not valid.
    """
    plan = LoadPlan() if arguments.plan is None else load_plan(arguments.plan)
    changes: dict[str, Any] = {}
    for field in attrs.fields(LoadPlan):
        given = getattr(arguments, field.name, None)
        if given is not None:
            changes[field.name] = (
                tuple(given) if isinstance(given, list) else given
            )
    plan = attrs.evolve(plan, **changes)
    plan.check()
    return plan
