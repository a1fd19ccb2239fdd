"""Command ``audit``: list entries of the audit trail."""

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
    run_with_platform,
)
from dogwoodmast.exit_code import ExitCode

if TYPE_CHECKING:
    from dogwoodmast.key_value import Platform

DEFAULT_LIMIT = 50
"""Default of ``--limit``, the maximum number of entries to list."""
COLUMN_WIDTH = 48
"""Width at which the column ``after`` wraps, in characters."""


def register(subparsers: Subparsers) -> None:
    """Add the parser of ``audit``.

    :param subparsers: Subparsers of the program.
    """
    parser = add_parser(
        subparsers,
        'audit',
        'list changes: who changed what and when, with the old and new state',
        'audit --platform http://10.1.0.2:2379\n'
        'audit --who awa --what drain --since 2026-12-01',
    )
    parser.add_argument(
        '--who', help='operator or entry VM that made the change'
    )
    parser.add_argument('--what', help='prefix of the subject of the change')
    parser.add_argument('--change', metavar='ID', help='id of the change')
    parser.add_argument(
        '--since',
        type=parse_time,
        metavar='TIME',
        help='earliest time in ISO 8601; UTC unless an offset is given',
    )
    parser.add_argument(
        '--limit',
        type=int,
        default=DEFAULT_LIMIT,
        help='number of latest entries to list (default: %(default)s)',
    )
    add_platform_option(parser)
    add_json_option(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """List the latest entries that match the filter options, oldest first.

    :param arguments: Parsed arguments.
    :return: Exit code ``OK``.
    """
    wanted = AuditFilter(
        who=arguments.who,
        what=arguments.what,
        change_id=arguments.change,
        since=arguments.since,
    )

    async def read(platform: Platform) -> tuple[AuditEntry, ...]:
        return await AuditTrail(platform).entries(wanted)

    entries = run_with_platform(arguments, read)[-arguments.limit :]
    if arguments.json:
        print_json(entries)
    else:
        print(_format_entries(entries))
    return ExitCode.OK


def parse_time(text: str) -> float:
    """Parse a time given as an argument.

    :param text: Time in ISO 8601; UTC unless it has an offset.
    :return: Seconds since the Unix epoch.
    :raises ArgumentTypeError: If the text is not a valid time.
    """
    try:
        moment = dt.datetime.fromisoformat(text)
    except ValueError:
        raise argparse.ArgumentTypeError(
            f'{text!r} is not an ISO 8601 time such as 2026-12-01T08:30'
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=dt.UTC)
    return moment.timestamp()


def format_time(when: float) -> str:
    """Format a time for people.

    :param when: Seconds since the Unix epoch.
    :return: Time in ISO 8601 and UTC, truncated to seconds.
    """
    moment = dt.datetime.fromtimestamp(when, dt.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


def _format_entries(entries: tuple[AuditEntry, ...]) -> str:
    if not entries:
        return 'no matching changes'
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
