"""Agreement of the catalogues in the documentation with the code."""

from __future__ import annotations

import io
import json
import pathlib
import re
import sys
from typing import TYPE_CHECKING

import logbook

from dogwoodmast.cli import build_parser
from dogwoodmast.events import Event, log_event, start_logging
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.metrics import Metric
from dogwoodmast.problem import ProblemType

if TYPE_CHECKING:
    import pytest

DOCS = pathlib.Path(__file__).parent.parent / 'docs'


def table_rows(page: str, heading: str) -> list[tuple[str, ...]]:
    """Read the rows of a table in a documentation page.

    :param page: File name of the page.
    :param heading: Start of the table's heading row.
    :return: Cells of each row, without spaces and backticks.
    """
    lines = iter((DOCS / page).read_text().splitlines())
    for line in lines:
        if line.startswith(heading):
            break
    rows = []
    for line in lines:
        if not line.startswith('|'):
            break
        cells = line.strip('|').split('|')
        rows.append(tuple(cell.strip(' `') for cell in cells))
    return rows[1:]


def test_events_are_documented() -> None:
    """The page on events lists each event with number, name and level.

    Guards against an undocumented or renumbered event and against numbers
    that are used twice.
    """
    documented = [row[:3] for row in table_rows('events.md', '| number |')]
    defined = [
        (
            str(event.number),
            event.name,
            logbook.get_level_name(event.level).lower(),
        )
        for event in sorted(Event, key=lambda one: one.number)
    ]
    assert documented == defined
    assert len({event.number for event in Event}) == len(Event)


def test_metrics_are_documented() -> None:
    """The page on metrics has one row per metric.

    Guards against undocumented metrics and rows of removed ones.
    """
    documented = [row[0] for row in table_rows('metrics.md', '| metric |')]
    assert sorted(documented) == sorted(str(metric) for metric in Metric)


def test_problems_are_documented() -> None:
    """The page on problems has one row per problem type, with its status.

    Guards against undocumented problem types and outdated statuses.
    """
    documented = [row[:2] for row in table_rows('problems.md', '| type |')]
    defined = [(kind.slug, str(int(kind.status))) for kind in ProblemType]
    assert sorted(documented) == sorted(defined)


def test_exit_codes_are_documented() -> None:
    """The page on the command line and the help text list each exit code.

    Guards against a code whose meaning differs between them.
    """
    documented = [row[:2] for row in table_rows('cli.md', '| code |')]
    defined = [(str(code.value), code.meaning) for code in ExitCode]
    assert documented == defined
    help_text = build_parser().format_help()
    for code, meaning in defined:
        assert f'{code}  {meaning}' in help_text


def test_log_has_one_json_document_per_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each event is written as one line of JSON with number and level.

    Guards against log lines that a collector cannot parse, for example
    because a detail contains a line break.
    """
    output = io.StringIO()
    monkeypatch.setattr(sys, 'stderr', output)
    with start_logging('info'):
        log_event(Event.VM_STARTED, vm='plateau-1', zone='plateau')
        log_event(Event.LINK_LOST, peer='10.1.1.1:1', reason='two\nlines')
    lines = output.getvalue().splitlines()
    first, second = (json.loads(line) for line in lines)
    assert first['number'] == 100
    assert first['event'] == 'VM_STARTED'
    assert first['vm'] == 'plateau-1'
    assert second['level'] == 'WARNING'
    assert second['time'].endswith('Z')


def test_links_between_pages_are_valid() -> None:
    """Links between documentation pages lead to existing pages.

    Guards against links that are broken by renaming or removing a page.
    """
    root = DOCS.parent
    for page in (*root.glob('*.md'), *DOCS.glob('*.md')):
        for link in re.findall(r'\]\(([\w./-]+\.md)\)', page.read_text()):
            assert (page.parent / link).exists(), f'{page.name}: {link}'
