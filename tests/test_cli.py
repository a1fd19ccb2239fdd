"""Command line against a stand-in of the platform."""

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
"""Zones of the local example."""
OK = ExitCode.OK


@attrs.frozen
class CommandResult:
    """Result of a command."""

    code: int
    """Exit code."""
    out: str
    """Standard output."""
    err: str
    """Standard error."""

    @property
    def document(self) -> Any:
        """Standard output, decoded as JSON."""
        return json.loads(self.out)


class Cli:
    """Runs commands in this process.

    :param platform: Address of the stand-in platform.
    :param capsys: Capture of standard output and standard error.
    """

    def __init__(
        self, platform: Address, capsys: pytest.CaptureFixture[str]
    ) -> None:
        self.address = platform
        self._capsys = capsys

    def __call__(self, *words: str) -> CommandResult:
        code = main(words)
        captured = self._capsys.readouterr()
        return CommandResult(code, captured.out, captured.err)

    def apply(self, base: int, *options: str) -> CommandResult:
        """Apply the questionnaire of the local example.

        :param base: Version that it is based on.
        :param options: Further options of the command.
        :return: Result of the command.
        """
        words = ('questionnaire', 'apply', QUESTIONNAIRE, '--base', str(base))
        return self(*words, *options)

    def set_fault(self, fault: str) -> None:
        """Set the fault of the stand-in platform."""
        put_fault(self.address, fault)


def put_fault(address: Address, fault: str) -> bool:
    """Set the fault of a stand-in platform.

    :param address: Address of the platform.
    :param fault: Value of the fault, such as ``down``.
    :return: ``True`` if the platform accepted it.
    """
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
    """Start a stand-in platform and set its URL in the environment."""
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
    """Make the status report of a zone's entry VM.

    :param zone: Name of the zone.
    :param changes: Values that replace those of the default report; orders
        go into the status of the zone.
    :return: Status report.
    """
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
def entry_vms() -> Iterator[StatusEntryVms]:
    """Provide entry VMs that serve status reports over HTTP."""
    with StatusEntryVms() as running:
        yield running


class StatusServer(ThreadingHTTPServer):
    """HTTP server that answers every GET request with the same document."""

    def __init__(self, document: bytes) -> None:
        super().__init__(('127.0.0.1', 0), StatusHandler)
        self.document = document


class StatusHandler(BaseHTTPRequestHandler):
    """Request handler of a status server."""

    server: StatusServer

    def do_GET(self) -> None:
        """Send the document of the server."""
        self.send_response(200)
        self.end_headers()
        self.wfile.write(self.server.document)

    def log_message(self, *_: Any) -> None:
        """Suppress the log of requests."""


class StatusEntryVms:
    """Entry VMs that only answer status requests."""

    def __init__(self) -> None:
        self._stack = ExitStack()

    def __enter__(self) -> StatusEntryVms:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def add(self, report: StatusReport) -> tuple[str, str]:
        """Start an entry VM.

        :param report: Status report that it serves.
        :return: Command line option with its URL.
        """
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
    """The commands work together from a new questionnaire to its history.

    Guards against an overwritten questionnaire file, wrong differences,
    versions that cannot be applied again, and a history without operators.
    """
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
    reverted = cli('config', 'apply', '--version', '1', '--base', '2')
    assert reverted.code == OK
    first = cli('config', 'show', '--version', '1').document
    third = cli('config', 'show').document
    assert third['version'] == 3
    assert third['services'] == first['services']


def test_all_mistakes_are_reported(cli: Cli, tmp_path: pathlib.Path) -> None:
    """Invalid questionnaires give all mistakes and exit code 3.

    Guards against a report that stops at the first mistake, against wrong
    line numbers, and against JSON output that lacks the mistakes.
    """
    path = tmp_path / 'q.toml'
    text = pathlib.Path(QUESTIONNAIRE).read_text()
    text = text.replace('slots = 6', 'slots = 0').replace('GET', 'GETT')
    path.write_text(text)
    for verb in ('check', 'diff'):
        completed = cli('questionnaire', verb, str(path))
        assert completed.code == ExitCode.INVALID
        assert f'{path}: 2 mistakes' in completed.err
        assert 'line 18: services[balance].slots: 0' in completed.err
    errors = cli('questionnaire', 'check', str(path), '--json').document
    assert [(one['type'], one['line']) for one in errors['errors']] == [
        ('OutOfRange', 18),
        ('UnknownChoice', 31),
    ]
    missing = cli('questionnaire', 'check', str(tmp_path / 'none.toml'))
    assert missing.code == ExitCode.INVALID


def test_concurrent_operators_have_one_winner(cli: Cli) -> None:
    """Of operators who apply concurrently, one succeeds and the others fail.

    Guards against a lost update by processes that apply to the same base,
    and against a failure that is not reported as a conflict.
    """
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
    outputs = [process.communicate(timeout=30) for process in running]
    codes = [process.returncode for process in running]
    assert sorted(codes) == [OK, ExitCode.CONFLICT, ExitCode.CONFLICT]
    conflict_error = outputs[codes.index(ExitCode.CONFLICT)][1]
    assert 'conflicts with version 1, which is in force' in conflict_error
    assert len(cli('audit', '--json').document) == 1


def test_change_survives_a_lost_answer(
    cli: Cli, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change whose answer is lost is made once and reported as made.

    Guards against a second audit entry, and against a failure that is
    reported although the change has taken effect.  The platform loses its
    answers for one second after the first write.
    """
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
    completed = cli.apply(0, '--json')
    timer.join()
    assert completed.code == OK
    entries = cli('audit', '--json').document
    assert [one['change_id'] for one in entries] == [
        completed.document['change_id']
    ]


def test_unreachable_platform_is_reported(cli: Cli) -> None:
    """Commands fail with exit code 5 if the platform cannot be reached.

    Guards against tracebacks and exit codes that suggest a wrong command.
    """
    cli.set_fault('down')
    assert cli.apply(0).code == ExitCode.UNREACHABLE
    assert cli('audit').code == ExitCode.UNREACHABLE


def test_orders_are_given_and_withdrawn(cli: Cli) -> None:
    """Orders are idempotent, audited and withdrawn with --undo.

    Guards against repeated orders that are audited twice, and against orders
    for names that are not configured.
    """
    cli.apply(0)
    for words in (('drain', 'balance-pikine-0'), ('zone', 'declare-lost')):
        arguments = words if words[0] == 'drain' else (*words, 'pikine')
        assert 'order created (change ' in cli(*arguments).out
        assert 'order already exists (change ' in cli(*arguments).out
        assert 'order withdrawn (was change ' in cli(*arguments, '--undo').out
        assert 'no such order exists' in cli(*arguments, '--undo').out
    audit_entries = cli('audit', '--json').document
    assert [one['what'] for one in audit_entries] == [
        'configuration',
        'drain balance-pikine-0',
        'drain balance-pikine-0',
        'lost pikine',
        'lost pikine',
    ]
    assert {one['who'] for one in audit_entries} == {'awa'}
    unknown = cli('drain', 'balance-pikine-9')
    assert unknown.code == ExitCode.INVALID
    assert "did you mean 'balance-pikine-" in unknown.err


def test_unconfirmed_zones_are_named(
    cli: Cli, entry_vms: StatusEntryVms
) -> None:
    """A change names the zones that have not confirmed it.

    Guards against a change that is reported as complete although a zone has
    an older version or does not answer.
    """
    cut_off = PlatformStatus(False, 1_796_332_284)
    plateau = entry_vms.add(make_report('plateau'))
    pikine = entry_vms.add(
        make_report('pikine', configuration_version=0, platform=cut_off)
    )
    completed = cli.apply(0, *plateau, *pikine, '--wait', '0')
    assert completed.code == ExitCode.UNCONFIRMED
    assert 'zone plateau: confirmed: by plateau-1' in completed.out
    assert (
        'zone pikine: NOT CONFIRMED: pikine-1 has not received the change and '
        'cannot reach the platform'
    ) in completed.out
    assert 'zone almadies: NOT CONFIRMED: none of its' in completed.out


def test_drain_is_confirmed_by_its_zone(
    cli: Cli, entry_vms: StatusEntryVms
) -> None:
    """A drain is confirmed by the zone of its target alone.

    Guards against a drain that is reported as confirmed before the zone has
    received it, or that waits for other zones.
    """
    cli.apply(0)
    order_document = cli('drain', 'balance-pikine-0', '--json').document
    order = OrderStatus('drain balance-pikine-0', order_document['change_id'])
    outdated = entry_vms.add(make_report('pikine'))
    confirmed = entry_vms.add(make_report('pikine', orders=(order,)))
    words = ('drain', 'balance-pikine-0', '--wait', '0')
    assert cli(*words, *outdated).code == ExitCode.UNCONFIRMED
    assert cli(*words, *confirmed).code == OK
    assert cli(*words, '--undo', *confirmed).code == ExitCode.UNCONFIRMED


def test_answering_zone_is_not_declared_lost(
    cli: Cli, entry_vms: StatusEntryVms
) -> None:
    """A zone with an entry VM that answers is declared lost only with --force.

    Guards against the loss of a live zone by mistake: its partitions would
    move to other zones.
    """
    cli.apply(0)
    pikine = entry_vms.add(make_report('pikine'))
    words = ('zone', 'declare-lost', 'pikine', *pikine, '--wait', '0')
    refused = cli(*words)
    assert refused.code == ExitCode.FAILED
    assert 'its entry VM pikine-1 responds' in refused.err
    assert cli(*words, '--force').code == ExitCode.UNCONFIRMED


def test_status_shows_reports_and_silent_entry_vms(
    cli: Cli, entry_vms: StatusEntryVms
) -> None:
    """The status shows the reports and names the entry VMs without answer.

    Guards against an unreachable entry VM that is left out or that makes
    the whole command fail.
    """
    option = entry_vms.add(make_report('plateau'))
    status_output = cli('status', *option)
    assert status_output.code == OK
    rows = [line.split() for line in status_output.out.splitlines()]
    assert ['plateau', '7', '2', 'plateau-1', 'plateau-1', '7', '-'] in rows
    lease = ['balance-plateau-0', 'plateau', '32', 'plateau-1', '0.8', '3', '2']
    assert lease in rows
    silent = f'http://{free_addresses(1)[0]}'
    partial = cli('status', *option, '--entry', silent, '--json')
    assert partial.code == ExitCode.UNREACHABLE
    assert partial.document['silent'] == [silent]
    assert partial.document['reports'][0]['vm'] == 'plateau-1'


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
    """Wrong arguments give exit code 2.

    Guards against arguments that fail later, with a traceback or after a
    part of the command has run.
    """
    with pytest.raises(SystemExit, match=str(int(ExitCode.USAGE))):
        main(words)


def test_every_command_helps_with_examples() -> None:
    """The help of each command without subcommands shows examples.

    Guards against a new command whose help text has no examples.
    """
    parsers = list(leaf_parsers(build_parser()))
    assert len(parsers) > len(COMMANDS)
    for parser in parsers:
        assert 'examples:' in parser.format_help(), parser.prog


def leaf_parsers(
    parser: argparse.ArgumentParser,
) -> Iterator[argparse.ArgumentParser]:
    """Find the parsers of commands without subcommands."""
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
