"""The catalogues in the docs list just what the code has."""

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
    """Read the table below a heading row, without quotes of code."""
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
    """Numbers, names and levels agree, in the order of the numbers."""
    shown = [row[:3] for row in table_rows('events.md', '| number |')]
    known = [
        (
            str(event.number),
            event.name,
            logbook.get_level_name(event.level).lower(),
        )
        for event in sorted(Event, key=lambda one: one.number)
    ]
    assert shown == known
    assert len({event.number for event in Event}) == len(Event)


def test_metrics_are_documented() -> None:
    """Each metric has one row."""
    shown = [row[0] for row in table_rows('metrics.md', '| metric |')]
    assert sorted(shown) == sorted(str(metric) for metric in Metric)


def test_problems_are_documented() -> None:
    """Each problem type has one row, with its status."""
    shown = [row[:2] for row in table_rows('problems.md', '| type |')]
    known = [(kind.slug, str(int(kind.status))) for kind in ProblemType]
    assert sorted(shown) == sorted(known)


def test_exit_codes_are_documented() -> None:
    """The page and the help agree with the codes."""
    shown = [row[:2] for row in table_rows('cli.md', '| code |')]
    known = [(str(code.value), code.meaning) for code in ExitCode]
    assert shown == known
    help_text = build_parser().format_help()
    for code, meaning in known:
        assert f'{code}  {meaning}' in help_text


def test_log_is_one_json_document_a_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An event is written with its number, level and details."""
    written = io.StringIO()
    monkeypatch.setattr(sys, 'stderr', written)
    with start_logging('info'):
        log_event(Event.VM_STARTED, vm='plateau-1', zone='plateau')
        log_event(Event.LINK_LOST, peer='10.1.1.1:1', reason='two\nlines')
    lines = written.getvalue().splitlines()
    first, second = (json.loads(line) for line in lines)
    assert first['number'] == 100
    assert first['event'] == 'VM_STARTED'
    assert first['vm'] == 'plateau-1'
    assert second['level'] == 'WARNING'
    assert second['time'].endswith('Z')


def test_links_between_pages_lead_somewhere() -> None:
    """Each link of a page leads to a page that exists."""
    root = DOCS.parent
    for page in (*root.glob('*.md'), *DOCS.glob('*.md')):
        for link in re.findall(r'\]\(([\w./-]+\.md)\)', page.read_text()):
            assert (page.parent / link).exists(), f'{page.name}: {link}'
