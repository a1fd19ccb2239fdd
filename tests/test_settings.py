"""Validation of settings files and the messages for mistakes."""

from __future__ import annotations

import pathlib
import re

import attrs
import pytest

from dogwoodmast.cli import main
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.input_errors import InvalidInput
from dogwoodmast.settings import Settings, load_settings, parse_settings

DOCS = pathlib.Path(__file__).parent.parent / 'docs'
VALID = """\
[vm]
name = "plateau-1"
zone = "plateau"
[listen]
http = "10.1.1.5:8000"
links = "10.1.1.5:8001"
[platform]
endpoint = "http://10.1.0.2:2379"
[vm_list]
endpoint = "http://10.1.0.2:2380/vms"
[statsd]
address = "10.1.0.3:8125"
[log]
level = "info"
"""
"""Settings without mistakes, to which the cases are applied."""


@attrs.frozen
class Case:
    """Replacement that makes the valid settings invalid."""

    old: str
    """Text of the valid settings to replace."""
    new: str
    """Replacement text."""
    message: str
    """Expected message."""


CASES = (
    Case(
        'name = "plateau-1"\n',
        '',
        "line 1: vm: 'name' is missing; expected a name of letters, digits, "
        '".", "_" and "-", at most 64 characters; add a line name = ...',
    ),
    Case(
        '[vm_list]\nendpoint = "http://10.1.0.2:2380/vms"\n',
        '',
        'line 1: $: the table [vm_list] is missing; it must have endpoint',
    ),
    Case(
        'links = "10.1.1.5:8001"',
        'links = "10.1.1.5:8000"',
        "line 6: listen.links: address '10.1.1.5:8000' is used twice; it is "
        'first used at line 5: listen.http',
    ),
    Case(
        '"10.1.1.5:8001"',
        '"10.1.1.5:99999"',
        "line 6: listen.links: '10.1.1.5:99999' is not valid; expected an "
        'address such as "10.1.1.11:8080"',
    ),
    Case(
        'http://10.1.0.2:2379',
        'https://10.1.0.2:2379',
        "line 8: platform.endpoint: 'https://10.1.0.2:2379' is not valid; "
        'expected a URL such as "http://10.1.0.2:2379", with an IP address',
    ),
    Case(
        'http://10.1.0.2:2380/vms',
        'http://vms/vms',
        "line 10: vm_list.endpoint: 'http://vms/vms' is not valid; "
        'expected a URL such as "http://10.1.0.2:2379", with an IP address',
    ),
    Case(
        'level = "info"',
        'level = "warn"',
        "line 14: log.level: 'warn' is unknown; expected one of 'debug', "
        "'info', 'warning', 'error'; did you mean 'warning'?",
    ),
    Case(
        '[statsd]',
        '[stats]',
        "line 11: stats: unknown key 'stats'; did you mean 'statsd'?",
    ),
    Case(
        '[log]\nlevel = "info"',
        'log = "info"',
        "line 13: statsd.log: unknown key 'log'; "
        'known keys are address, prefix',
    ),
)


@pytest.mark.parametrize('case', CASES, ids=lambda case: case.new)
def test_mistake_is_reported(case: Case) -> None:
    """Each mistake gives one message with its line and key path.

    Guards against mistakes that are accepted, and against messages that do
    not name the place or follow from another mistake.
    """
    text = VALID.replace(case.old, case.new, 1)
    assert text != VALID
    with pytest.RaisesGroup(
        pytest.RaisesExc(Exception, check=lambda one: str(one) == case.message)
    ):
        parse_settings(text, 's.toml')


def test_all_mistakes_are_reported_at_once(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A process with invalid settings does not start and prints all mistakes.

    Guards against a report that stops at the first mistake, and against a
    missing file that gives a traceback instead of a message.
    """
    text = VALID
    for case in CASES[2:7]:
        text = text.replace(case.old, case.new, 1)
    path = tmp_path / 's.toml'
    path.write_text(text)
    assert main(['serve', str(path)]) == ExitCode.INVALID
    output = capsys.readouterr().err
    assert f'{path}: 4 mistakes' in output
    missing = tmp_path / 'none.toml'
    with pytest.raises(InvalidInput):
        load_settings(missing)


def test_documented_settings_are_valid_and_complete() -> None:
    """The page on settings lists every setting, and its example is valid.

    Guards against a documented setting that does not exist, a setting that
    is not documented, and an example that the program refuses.
    """
    page = (DOCS / 'settings.md').read_text()
    example = page.split('```toml\n')[1].split('```')[0]
    settings = parse_settings(example, 'settings.md')
    documented = set(re.findall(r'^\| `(\w+\.\w+)` \|', page, re.MULTILINE))
    defined_settings = {
        f'{table.name}.{field.name}'
        for table in attrs.fields(Settings)
        for field in attrs.fields(type(getattr(settings, table.name)))
    }
    assert documented == defined_settings
