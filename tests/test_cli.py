"""The command line against the platform's stand-in, as an operator."""

from __future__ import annotations

import argparse
import json
import pathlib
import subprocess
import sys
import threading
from contextlib import ExitStack
from http import HTTPStatus
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from dogwoodmast._documents import dump_document
from dogwoodmast.cli import COMMANDS, build_parser, main
from dogwoodmast.etcd import EtcdPlatform
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.status import (
    LeaseStatus,
    OrderStatus,
    PlatformStatus,
    StatusReport,
    ZoneStatus,
)
from fleet import free_addresses, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodmast.address import Address
    from dogwoodmast.key_value import SwapResult

LOCAL = pathlib.Path(__file__).parent.parent / 'examples' / 'local'
QUESTIONNAIRE = str(LOCAL / 'questionnaire.toml')
ZONES = ('plateau', 'pikine', 'almadies')
OK = ExitCode.OK


@attrs.frozen
class Outcome:
    """What a command did."""

    code: int
    out: str
    err: str

    @property
    def document(self) -> Any:
        """Standard output as a JSON document."""
        return json.loads(self.out)


class Cli:
    """Runs commands against one platform."""

    def __init__(
        self, platform: Address, capsys: pytest.CaptureFixture[str]
    ) -> None:
        self.address = platform
        self._capsys = capsys

    def __call__(self, *words: str) -> Outcome:
        code = main(words)
        captured = self._capsys.readouterr()
        return Outcome(code, captured.out, captured.err)

    def apply(self, base: int, *options: str) -> Outcome:
        """Put the local questionnaire in force."""
        words = ('questionnaire', 'apply', QUESTIONNAIRE, '--base', str(base))
        return self(*words, *options)

    def set_fault(self, fault: str) -> None:
        """Make the platform fail in some way."""
        put_fault(self.address, fault)


def put_fault(address: Address, fault: str) -> bool:
    """Make a platform fail in some way."""
    connection = HTTPConnection(address.host, address.port, timeout=5)
    connection.request('PUT', '/-/fault', json.dumps({'fault': fault}))
    response = connection.getresponse()
    response.read()
    connection.close()
    return response.status == HTTPStatus.OK


@pytest.fixture
def cli(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> Iterator[Cli]:
    """Start a platform and name it in the environment."""
    address = free_addresses(1)[0]
    command = [sys.executable, '-m', 'dogwoodmast', 'standin', 'platform']
    monkeypatch.setenv('DOGWOODMAST_PLATFORM', f'http://{address}')
    monkeypatch.setenv('LOGNAME', 'awa')
    monkeypatch.delenv('DOGWOODMAST_ENTRIES', raising=False)
    with ExitStack() as stack:
        process = stack.enter_context(
            subprocess.Popen([*command, '--listen', str(address)])
        )
        stack.callback(process.kill)
        wait_until(lambda: put_fault(address, 'none'))
        yield Cli(address, capsys)


def make_report(zone: str, **changes: Any) -> StatusReport:
    """Make the report of an entry VM."""
    own = ZoneStatus(
        zone=zone,
        record_version=7,
        term=2,
        coordinator=f'{zone}-1',
        members=(f'{zone}-1',),
        floor=7,
        holders={f'balance-{zone}-0': f'{zone}-1'},
        partitions={f'balance-{zone}-0': 32},
        orders=changes.pop('orders', ()),
    )
    report = StatusReport(
        vm=f'{zone}-1',
        zone=zone,
        incarnation='i',
        configuration_version=1,
        zones=(own,),
        leases=(LeaseStatus(f'balance-{zone}-0', 0.8, 3, 2),),
        platform=PlatformStatus(True, 1_796_332_284),
    )
    return attrs.evolve(report, **changes)


@pytest.fixture
def entries() -> Iterator[Entries]:
    """Serve status reports over HTTP."""
    with Entries() as running:
        yield running


class StatusServer(ThreadingHTTPServer):
    """Server that answers every GET with one document."""

    def __init__(self, document: bytes) -> None:
        super().__init__(('127.0.0.1', 0), StatusHandler)
        self.document = document


class StatusHandler(BaseHTTPRequestHandler):
    """Handler of one request to a status server."""

    server: StatusServer

    def do_GET(self) -> None:
        """Answer with the document."""
        self.send_response(200)
        self.end_headers()
        self.wfile.write(self.server.document)

    def log_message(self, *_: Any) -> None:
        """Log nothing."""


class Entries:
    """Entry VMs that only tell their status."""

    def __init__(self) -> None:
        self._stack = ExitStack()

    def __enter__(self) -> Entries:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def add(self, report: StatusReport) -> tuple[str, str]:
        """Start one and return the option that names it."""
        server = StatusServer(dump_document(report))
        thread = threading.Thread(
            target=server.serve_forever, args=(0.05,), daemon=True
        )
        thread.start()
        self._stack.callback(server.server_close)
        self._stack.callback(server.shutdown)
        return '--entry', f'http://127.0.0.1:{server.server_port}'


def test_questionnaire_from_new_to_history(
    cli: Cli, tmp_path: pathlib.Path
) -> None:
    """A new team writes, checks, compares, applies and looks back."""
    path = tmp_path / 'q.toml'
    assert cli('questionnaire', 'new', str(path)).code == OK
    assert cli('questionnaire', 'new', str(path)).code == ExitCode.FAILED
    checked = cli('questionnaire', 'check', str(path))
    assert 'is valid: 1 services with 3 targets in 2 zones' in checked.out
    assert 'apply with --base 0' in cli('questionnaire', 'diff', str(path)).out
    words = ('questionnaire', 'apply', str(path), '--base')
    assert 'version 1 is accepted' in cli(*words, '0').out
    path.write_text(path.read_text().replace('slots = 6', 'slots = 5'))
    differences = cli('questionnaire', 'diff', str(path), '--json').document
    assert [one['after'] for one in differences['differences']] == ['5', '5']
    assert cli(*words, '1', '--operator', 'fatou').code == OK
    history = cli('config', 'history', '--json').document
    assert [one['who'] for one in history] == ['awa', 'fatou']
    assert 'slots: 6 -> 5' in history[1]['after']
    undone = cli('config', 'apply', '--version', '1', '--base', '2')
    assert undone.code == OK
    first = cli('config', 'show', '--version', '1').document
    third = cli('config', 'show').document
    assert third['version'] == 3
    assert third['services'] == first['services']


def test_mistakes_are_told_at_once(cli: Cli, tmp_path: pathlib.Path) -> None:
    """People and programs get every mistake and exit code 3."""
    path = tmp_path / 'q.toml'
    text = pathlib.Path(QUESTIONNAIRE).read_text()
    text = text.replace('slots = 6', 'slots = 0').replace('GET', 'GETT')
    path.write_text(text)
    for verb in ('check', 'diff'):
        outcome = cli('questionnaire', verb, str(path))
        assert outcome.code == ExitCode.INVALID
        assert f'{path}: 2 mistakes' in outcome.err
        assert 'line 18: services[balance].slots: 0' in outcome.err
    errors = cli('questionnaire', 'check', str(path), '--json').document
    assert [(one['type'], one['line']) for one in errors['errors']] == [
        ('OutOfRange', 18),
        ('UnknownChoice', 31),
    ]
    missing = cli('questionnaire', 'check', str(tmp_path / 'none.toml'))
    assert missing.code == ExitCode.INVALID


def test_racing_operators_have_one_winner(cli: Cli) -> None:
    """Of operators who apply at once, one wins and the others are told."""
    command = [sys.executable, '-m', 'dogwoodmast', 'questionnaire', 'apply']
    running = [
        subprocess.Popen(
            [*command, QUESTIONNAIRE, '--base', '0', '--operator', who],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for who in ('awa', 'fatou', 'moussa')
    ]
    told = [process.communicate(timeout=30) for process in running]
    codes = [process.returncode for process in running]
    assert sorted(codes) == [OK, ExitCode.CONFLICT, ExitCode.CONFLICT]
    lost = told[codes.index(ExitCode.CONFLICT)][1]
    assert 'conflicts with version 1, which is in force' in lost
    assert len(cli('audit', '--json').document) == 1


def test_change_survives_a_lost_answer(
    cli: Cli, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change whose answer never came is made once, and told as made."""
    write = EtcdPlatform.swap
    timer = threading.Timer(1, cli.set_fault, ('none',))

    async def write_without_answer(
        self: EtcdPlatform, *parts: Any
    ) -> SwapResult:
        if timer.ident is None:
            cli.set_fault('lose_answers')
            timer.start()
        return await write(self, *parts)

    monkeypatch.setattr(EtcdPlatform, 'swap', write_without_answer)
    outcome = cli.apply(0, '--json')
    timer.join()
    assert outcome.code == OK
    entries = cli('audit', '--json').document
    assert [one['change_id'] for one in entries] == [
        outcome.document['change_id']
    ]


def test_platform_down_is_told(cli: Cli) -> None:
    """Without the platform commands fail with exit code 5."""
    cli.set_fault('down')
    assert cli.apply(0).code == ExitCode.UNREACHABLE
    assert cli('audit').code == ExitCode.UNREACHABLE


def test_orders_are_given_and_withdrawn(cli: Cli) -> None:
    """Orders are idempotent, audited and withdrawn with --undo."""
    cli.apply(0)
    for words in (('drain', 'balance-pikine-0'), ('zone', 'declare-lost')):
        full = words if words[0] == 'drain' else (*words, 'pikine')
        assert 'order created (change ' in cli(*full).out
        assert 'order already exists (change ' in cli(*full).out
        assert 'order withdrawn (was change ' in cli(*full, '--undo').out
        assert 'no such order exists' in cli(*full, '--undo').out
    listed = cli('audit', '--json').document
    assert [one['what'] for one in listed] == [
        'configuration',
        'drain balance-pikine-0',
        'drain balance-pikine-0',
        'lost pikine',
        'lost pikine',
    ]
    assert {one['who'] for one in listed} == {'awa'}
    unknown = cli('drain', 'balance-pikine-9')
    assert unknown.code == ExitCode.INVALID
    assert "did you mean 'balance-pikine-" in unknown.err


def test_zones_that_were_not_heard_are_named(
    cli: Cli, entries: Entries
) -> None:
    """An operator is told which zones have not taken in a change."""
    cut_off = PlatformStatus(False, 1_796_332_284)
    plateau = entries.add(make_report('plateau'))
    pikine = entries.add(
        make_report('pikine', configuration_version=0, platform=cut_off)
    )
    outcome = cli.apply(0, *plateau, *pikine, '--wait', '0')
    assert outcome.code == ExitCode.UNCONFIRMED
    assert 'zone plateau: confirmed: by plateau-1' in outcome.out
    assert (
        'zone pikine: NOT CONFIRMED: pikine-1 has not received the change and '
        'cannot reach the platform'
    ) in outcome.out
    assert 'zone almadies: NOT CONFIRMED: none of its' in outcome.out


def test_drain_is_confirmed_by_its_zone(cli: Cli, entries: Entries) -> None:
    """A drain waits for the zone that it concerns, and for no other."""
    cli.apply(0)
    given = cli('drain', 'balance-pikine-0', '--json').document
    order = OrderStatus('drain balance-pikine-0', given['change_id'])
    unaware = entries.add(make_report('pikine'))
    aware = entries.add(make_report('pikine', orders=(order,)))
    words = ('drain', 'balance-pikine-0', '--wait', '0')
    assert cli(*words, *unaware).code == ExitCode.UNCONFIRMED
    assert cli(*words, *aware).code == OK
    assert cli(*words, '--undo', *aware).code == ExitCode.UNCONFIRMED


def test_zone_that_answers_is_not_lost(cli: Cli, entries: Entries) -> None:
    """A zone whose entry VM answers is declared lost only by force."""
    cli.apply(0)
    pikine = entries.add(make_report('pikine'))
    words = ('zone', 'declare-lost', 'pikine', *pikine, '--wait', '0')
    refused = cli(*words)
    assert refused.code == ExitCode.FAILED
    assert 'its entry VM pikine-1 responds' in refused.err
    assert cli(*words, '--force').code == ExitCode.UNCONFIRMED


def test_status_shows_reports_and_silence(cli: Cli, entries: Entries) -> None:
    """Status shows who answers and names who does not."""
    option = entries.add(make_report('plateau'))
    shown = cli('status', *option)
    assert shown.code == OK
    rows = [line.split() for line in shown.out.splitlines()]
    assert ['plateau', '7', '2', 'plateau-1', 'plateau-1', '7', '-'] in rows
    lease = ['balance-plateau-0', 'plateau', '32', 'plateau-1', '0.8', '3', '2']
    assert lease in rows
    silent = f'http://{free_addresses(1)[0]}'
    partly = cli('status', *option, '--entry', silent, '--json')
    assert partly.code == ExitCode.UNREACHABLE
    assert partly.document['silent'] == [silent]
    assert partly.document['reports'][0]['vm'] == 'plateau-1'


@pytest.mark.parametrize(
    'words',
    [
        ('status', '--entry', 'http://host:80'),
        ('audit', '--since', 'yesterday'),
        ('audit', '--limit', 'all'),
        ('questionnaire', 'apply', QUESTIONNAIRE),
        ('standin', 'platform', '--listen', 'nowhere'),
    ],
)
def test_wrong_arguments_end_with_usage(words: tuple[str, ...]) -> None:
    """Wrong arguments end with exit code 2 and no traceback."""
    with pytest.raises(SystemExit, match=str(int(ExitCode.USAGE))):
        main(words)


def test_every_command_helps_with_examples() -> None:
    """Each command that does something shows examples of its use."""
    parsers = list(leaf_parsers(build_parser()))
    assert len(parsers) > len(COMMANDS)
    for parser in parsers:
        assert 'examples:' in parser.format_help(), parser.prog


def leaf_parsers(
    parser: argparse.ArgumentParser,
) -> Iterator[argparse.ArgumentParser]:
    """Find the parsers below which there are no others."""
    actions = [
        action
        for action in parser._actions
        if isinstance(action, argparse._SubParsersAction)
    ]
    if not actions:
        yield parser
    for action in actions:
        for child in action.choices.values():
            yield from leaf_parsers(child)
