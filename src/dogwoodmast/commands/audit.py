"""Command ``audit``: read the trail of changes."""

from __future__ import annotations

import argparse
import datetime as dt
from typing import TYPE_CHECKING

from tabulate import tabulate

from dogwoodmast.audit import AuditEntry, AuditFilter, AuditTrail
from dogwoodmast.commands._common import (
    Subparsers,
    add_json_option,
    add_parser,
    add_platform_option,
    print_json,
    with_platform,
)
from dogwoodmast.exit_code import ExitCode

if TYPE_CHECKING:
    from dogwoodmast.key_value import Platform

DEFAULT_LIMIT = 50
"""Entries that are shown at most."""
COLUMN_WIDTH = 48
"""Width of a column, in characters."""


def register(subparsers: Subparsers) -> None:
    """Add the command's parser.

    :param subparsers: Collection to add it to.
    """
    parser = add_parser(
        subparsers,
        'audit',
        'list who changed what, from what, to what and when',
        'audit --platform http://10.1.0.2:2379\n'
        'audit --who awa --what drain --since 2026-12-01',
    )
    parser.add_argument('--who', help='operator or entry VM')
    parser.add_argument('--what', help='beginning of what was changed')
    parser.add_argument('--change', metavar='ID', help='identity of a change')
    parser.add_argument(
        '--since',
        type=parse_time,
        metavar='TIME',
        help='earliest time, in ISO 8601, UTC if it names no other',
    )
    parser.add_argument(
        '--limit',
        type=int,
        default=DEFAULT_LIMIT,
        help='show only the latest ones (default: %(default)s)',
    )
    add_platform_option(parser)
    add_json_option(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """List entries, oldest first.

    :param arguments: Parsed arguments.
    :return: Exit code.
    """
    wanted = AuditFilter(
        who=arguments.who,
        what=arguments.what,
        change_id=arguments.change,
        since=arguments.since,
    )

    async def read(platform: Platform) -> tuple[AuditEntry, ...]:
        return await AuditTrail(platform).entries(wanted)

    entries = with_platform(arguments, read)[-arguments.limit :]
    if arguments.json:
        print_json(entries)
    else:
        print(_format_entries(entries))
    return ExitCode.OK


def parse_time(text: str) -> float:
    """Read a time.

    :param text: Time in ISO 8601.
    :return: Seconds since the Unix epoch.
    :raises ArgumentTypeError: If it is not valid.
    """
    try:
        moment = dt.datetime.fromisoformat(text)
    except ValueError:
        raise argparse.ArgumentTypeError(
            f'{text!r} is not a time such as 2026-12-01T08:30'
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=dt.UTC)
    return moment.timestamp()


def format_time(when: float) -> str:
    """Write a time.

    :param when: Seconds since the Unix epoch.
    :return: Time in ISO 8601, UTC, to the second.
    """
    moment = dt.datetime.fromtimestamp(when, dt.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


def _format_entries(entries: tuple[AuditEntry, ...]) -> str:
    if not entries:
        return 'no changes'
    rows = [
        (
            format_time(one.when),
            one.who,
            one.what,
            one.before,
            one.after,
            one.change_id,
        )
        for one in entries
    ]
    headers = ('when', 'who', 'what', 'before', 'after', 'change')
    widths = (None, None, None, None, COLUMN_WIDTH, None)
    return str(tabulate(rows, headers=headers, maxcolwidths=widths))
