"""Requests that an entry VM has, or gets, while it is stopped."""

from __future__ import annotations

import contextlib
import itertools
import pathlib
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import httpcore
import pytest

from direct_fleet import (
    HOST,
    free_address,
    make_configuration,
    make_route,
)
from dogwoodmast.address import Address
from metadata_store import StoreContent, StoreServer, serving
from platform_target import PlatformTarget, TargetFault
from test_stop_signals import STOP_TIMEOUT, wait_for_event, write_settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

pytestmark = pytest.mark.anyio

ACCEPT_TIME = 3.0
"""Time after SIGTERM within which callers still send requests, in seconds."""
GRACE_TIME = 6.0
"""Time after SIGTERM at which the platform kills the process, in seconds."""
SHORT_GRACE_TIME = 3.0
TIMEOUT_MS = 12_000
CUT = 0
"""Stands for the status where a connection ends without a response."""
PATHS = ('/payment/x', '/receipt/x')
"""Paths of a route that must not be repeated, and of one that may be."""


@attrs.define(eq=False)
class StoppableVm:
    """Process of an entry VM, with a store and targets in this process."""

    process: subprocess.Popen[bytes]
    """Process of the VM."""
    callers: Address
    """Address for callers."""
    log: pathlib.Path
    """Log of the VM."""
    answers: list[tuple[float, str, int]] = attrs.field(factory=list)
    """Second after SIGTERM at which a request was sent, its attempt ID and
    the status, in the order of the answers."""
    stopped_at: float = 0
    """Monotonic time of SIGTERM, in seconds."""
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    def statuses(self) -> list[int]:
        """List the statuses of all answers."""
        return [status for _, _, status in self.answers]

    async def send(self, path: str, delay: float = 0) -> int:
        """Send a request on a connection of its own.

        :param path: Path of the request.
        :param delay: Time to wait before, in seconds.
        :return: Status, or ``CUT``.
        """
        await anyio.sleep(delay)
        sent_at = time.monotonic() - self.stopped_at
        attempt = f'attempt-{next(self._numbers)}'
        headers: dict[str | bytes, str | bytes] = {
            'Host': HOST,
            'Request-Attempt-Id': attempt,
            'Request-Deadline-Ms': str(TIMEOUT_MS),
        }
        status = CUT
        with contextlib.suppress(
            httpcore.RemoteProtocolError, httpcore.NetworkError
        ):
            async with httpcore.AsyncConnectionPool() as pool:
                url = f'http://{self.callers}{path}'
                response = await pool.request('GET', url, headers=headers)
            status = response.status
            if status == 503:
                assert b'"not_run"' in response.content
                assert b'retry-after' in dict(response.headers)
        self.answers.append((sent_at, attempt, status))
        return status

    async def stop_while_sending(
        self, sends: Sequence[tuple[float, str]], before: float = 0
    ) -> float:
        """Stop the VM while requests are sent.

        :param sends: Seconds after the first request, and paths.
        :param before: Time from the first request to SIGTERM, in seconds.
        :return: Time from SIGTERM to the end of the process, in seconds.
        """
        self.answers.clear()
        async with anyio.create_task_group() as tasks:
            self.stopped_at = time.monotonic() + before
            for delay, path in sends:
                tasks.start_soon(self.send, path, delay)
            await anyio.sleep(before)
            self.process.send_signal(signal.SIGTERM)
            status = await anyio.to_thread.run_sync(
                self.process.wait, STOP_TIMEOUT
            )
            ended_at = time.monotonic()
        assert not status
        return ended_at - self.stopped_at


@contextlib.asynccontextmanager
async def stoppable_vm(
    folder: pathlib.Path, target: PlatformTarget, slots: int = 20
) -> AsyncIterator[StoppableVm]:
    """Run an entry VM, a store and a target.

    :param folder: Folder for settings and log.
    :param target: Target without keys.
    :param slots: Slots of the target.
    :return: The VM, which serves requests.
    """
    options: dict[str, Any] = {'timeout_s': 12, 'objective_s': 8}
    routes = [
        make_route('payment', 'non_idempotent', 'paiement', **options),
        make_route('receipt', 'download', 'paiement', **options),
    ]
    content = StoreContent()
    content.put_document('op/config', make_configuration(routes=routes))
    callers, store, listen = (free_address() for _ in range(3))
    entry = {
        'service': 'paiement',
        'address': str(listen),
        'zone': 'a',
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'warmup_left_s': 0,
        'sequence': 1,
        'born': 1,
    }
    content.put_document(f'servers/{target.name}', entry)
    log = folder / 'log'
    async with serving((StoreServer(content), store), (target, listen)):
        process = start_vm(write_settings(folder, callers, store), log)
        try:
            await anyio.to_thread.run_sync(wait_for_event, log, 'TARGET_LISTED')
            yield StoppableVm(process, callers, log)
        finally:
            process.kill()
            process.wait()


def start_vm(
    settings: pathlib.Path, log: pathlib.Path
) -> subprocess.Popen[bytes]:
    """Start the process of an entry VM.

    :param settings: Settings file.
    :param log: File for its log.
    :return: The process.
    """
    with log.open('wb') as output:
        return subprocess.Popen(
            [sys.executable, '-m', 'dogwoodmast.direct', str(settings)],
            stdout=output,
        )


async def serve_some(vm: StoppableVm, count: int = 1) -> None:
    """Let a VM learn how long its target works.

    :param vm: Entry VM.
    :param count: Requests of each route.
    """
    for _ in range(count):
        async with anyio.create_task_group() as tasks:
            for path in PATHS:
                tasks.start_soon(vm.send, path)
    assert set(vm.statuses()) == {200}


async def test_request_that_cannot_end_in_a_stop_is_left_without_an_answer(
    tmp_path: pathlib.Path,
) -> None:
    """Its work is known to take 3.2 s."""
    target = PlatformTarget('p', work_time=3.2)
    async with stoppable_vm(tmp_path, target) as vm:
        await serve_some(vm)
        served = len(target.runs)
        sends = [(index * 0.2, PATHS[index % 2]) for index in range(14)]
        seconds = await vm.stop_while_sending(sends)
        ran = set(target.runs[served:])
        answers = sorted(vm.answers)
    assert seconds < GRACE_TIME
    assert [status for _, _, status in answers[:2]] == [200, 200]
    for _, attempt, status in answers:
        assert (status, attempt in ran) in {(200, True), (503, False)}, answers


async def test_request_that_waits_is_left_without_an_answer(
    tmp_path: pathlib.Path,
) -> None:
    """A target of one slot does not answer the request before it."""
    target = PlatformTarget('p')
    async with stoppable_vm(tmp_path, target, slots=1) as vm:
        await serve_some(vm)
        served = len(target.runs)
        target.fault = TargetFault.SILENT
        sends = [(0, path) for path in PATHS * 2]
        seconds = await vm.stop_while_sending(sends, before=0.5)
        statuses = vm.statuses()
        events = vm.log.read_text()
    assert seconds < GRACE_TIME
    assert sorted(set(statuses)) == [502, 503]
    assert statuses.count(502) == len(target.arrivals) - served
    assert 'REQUESTS_STOPPED' in events


@pytest.mark.parametrize('work_time', [0.02, 0.4])
async def test_request_that_fits_is_turned_away_in_a_stop(
    tmp_path: pathlib.Path, work_time: float
) -> None:
    """Short requests come until the VM accepts no more connections."""
    target = PlatformTarget('p', work_time=work_time)
    async with stoppable_vm(tmp_path, target) as vm:
        await serve_some(vm, 2)
        last = ACCEPT_TIME - 0.15
        sends = [
            (at * 0.4, path) for path in PATHS for at in range(int(last / 0.4))
        ]
        seconds = await vm.stop_while_sending([*sends, (last, PATHS[0])])
        statuses = vm.statuses()
    assert set(statuses) == {200}
    assert seconds < ACCEPT_TIME + 1


async def test_idle_vm_takes_longer_to_stop(tmp_path: pathlib.Path) -> None:
    """It accepts connections for 3 s, and has no request to wait for."""
    async with stoppable_vm(tmp_path, PlatformTarget('p')) as vm:
        await serve_some(vm)
        assert await vm.stop_while_sending([]) < ACCEPT_TIME + 1


async def test_stop_exceeds_a_time_that_was_shortened_by_a_reload(
    tmp_path: pathlib.Path,
) -> None:
    """The process would be killed with a request of a silent target."""
    target = PlatformTarget('p')
    async with stoppable_vm(tmp_path, target) as vm:
        await serve_some(vm)
        target.fault = TargetFault.SILENT
        with (tmp_path / 'vm.toml').open('a') as settings:
            settings.write(f'[bounds]\nstop_time = {SHORT_GRACE_TIME}\n')
        vm.process.send_signal(signal.SIGHUP)
        await anyio.to_thread.run_sync(
            wait_for_event, vm.log, 'SETTINGS_RELOADED'
        )
        seconds = await vm.stop_while_sending([(0, PATHS[0])], before=0.5)
        statuses = vm.statuses()
    assert seconds < SHORT_GRACE_TIME
    assert statuses == [502]


async def test_request_that_is_being_read_is_left_without_an_answer(
    tmp_path: pathlib.Path,
) -> None:
    """The end of its body does not come."""
    request = (
        f'POST {PATHS[0]} HTTP/1.1\r\nHost: {HOST}\r\n'
        'Request-Attempt-Id: slow\r\nContent-Length: 9\r\n\r\nx'
    )
    async with (
        stoppable_vm(tmp_path, PlatformTarget('p')) as vm,
        await anyio.connect_tcp(vm.callers.host, vm.callers.port) as stream,
    ):
        await stream.send(request.encode())
        await vm.stop_while_sending([], before=0.2)
        answer = await stream.receive()
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert b'"not_run"' in answer
