"""Relayed requests while the VM that runs them stops."""

from __future__ import annotations

import signal
import sys
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from subprocess import DEVNULL
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore
import pytest

from direct_fleet import (
    HOST,
    DirectFleet,
    free_address,
    is_listening,
    make_configuration,
    make_route,
)
from dogwoodmast.clock import ManualClock, SystemClock
from dogwoodmast.direct.call import Delivered, Rejected, Response
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.direct.progress import Progress, Unreachable
from dogwoodmast.direct.reach import ReachTracker
from dogwoodmast.direct.relay_dispatcher import RelayDispatcher
from dogwoodmast.direct.relay_peers import RelayPeers
from dogwoodmast.direct.relay_protocol import (
    RelayedRequest,
    parse_problem,
    problem_headers,
    stopping_headers,
    tells_stop,
)
from dogwoodmast.direct.statement_book import StatementBook
from dogwoodmast.direct.trace import Trace
from dogwoodmast.problem import Outcome, Problem, ProblemType
from fleet import free_addresses
from metadata_store import StoreContent, StoreServer, serving
from platform_target import PlatformTarget
from rate_simulation import make_call
from raw_target import SEALED, RawAnswer, RawRequest, RawTarget, make_response
from test_stop_signals import write_settings

if TYPE_CHECKING:
    import pathlib
    from collections.abc import AsyncIterator

    from anyio.abc import Process

    from dogwoodmast.address import Address

pytestmark = pytest.mark.anyio

READ_TIME = 0.5
"""Time after which a signal has been handled, in seconds."""
ACCEPT_TIME = 3.0
"""Time for which a stopping VM takes requests of other VMs, in seconds."""


def refusing_vm(kind: ProblemType) -> RawTarget:
    """Make a VM that refuses all relayed requests as not run.

    :param kind: Problem that it tells.
    :return: The VM.
    """
    headers = problem_headers(Problem(kind), is_cut=False, attempt_id=b'a')
    lines = b''.join(b'%b: %b\r\n' % one for one in headers)
    return RawTarget(lambda _: RawAnswer(make_response('', b'', 503, lines)))


async def relay(*others: RawTarget, requests: int = 1) -> list[object]:
    """Relay requests through other VMs, the first of them by preference.

    :param others: The other VMs.
    :param requests: Number of requests, one after another.
    :return: Results of the requests.
    """

    async def deliver(_response: Response) -> None:
        """Take the response."""

    def spend_retry(_call: object) -> bool:
        raise AssertionError('a retry was charged to the budget')

    clock = SystemClock()
    records: list[VmRecord] = []
    results: list[object] = []
    async with AsyncExitStack() as stack:
        for number, other in enumerate(others):
            at = free_address()
            await stack.enter_async_context(other.serving(at))
            capacity = 10 ** (len(others) - number)
            records.append(
                VmRecord(f'vm{number}', 'a', '', 'i', capacity, str(at))
            )
        peers = RelayPeers('own', 'a', lambda: records, clock)
        stack.push_async_callback(peers.aclose)
        dispatcher = RelayDispatcher(
            peers, ReachTracker(), StatementBook(), clock
        )
        for _ in range(requests):
            progress = Progress(make_call(0, clock.monotonic()), Trace(1, 0))
            results.append(
                await dispatcher.run(
                    progress, Unreachable(None), deliver, spend_retry
                )
            )
    return results


@pytest.mark.parametrize('kind', [ProblemType.STOPPING, ProblemType.STARTING])
async def test_refusals_of_stopping_vms_end_a_request_that_a_third_can_run(
    kind: ProblemType,
) -> None:
    """They say nothing of the target, and cost no retry."""
    running = RawTarget(lambda _: RawAnswer(make_response('a')))
    refusing = [refusing_vm(kind) for _ in range(3)]
    assert await relay(*refusing, running) == [Delivered(200, 3)]


async def test_caller_is_not_told_when_to_return_after_all_vms_refused() -> (
    None
):
    """The request has not run, so that it is rejected for now."""
    refusing = [refusing_vm(ProblemType.STOPPING) for _ in range(2)]
    results = await relay(*refusing)
    assert isinstance(results[0], Rejected)
    problem = results[0].problem
    assert problem.outcome is Outcome.NOT_RUN
    assert problem.type.status == 503
    assert problem.retry_after


async def test_next_request_goes_to_a_vm_that_stops_although_another_can() -> (
    None
):
    """The store has not told yet; the VM is used while it is the only one."""

    def answer(_request: RawRequest) -> RawAnswer:
        lines = b''.join(b'%b: %b\r\n' % one for one in stopping_headers())
        return RawAnswer(make_response('a', more=SEALED + lines))

    stopping = RawTarget(answer)
    other = RawTarget(lambda _: RawAnswer(make_response('a')))
    served = [Delivered(200, 3), Delivered(200, 3)]
    assert await relay(stopping, other, requests=2) == served
    assert len(stopping.arrived) == 1
    assert await relay(stopping, requests=2) == served


def test_vm_that_has_started_again_is_still_avoided() -> None:
    """Only the process that told of its stop is."""
    earlier = VmRecord('vm0', 'a', '', 'earlier', 100, '10.0.0.1:1')
    later = attrs.evolve(earlier, incarnation='later')
    other = attrs.evolve(earlier, name='vm1', capacity=10)
    known = [later, other]
    peers = RelayPeers('own', 'a', lambda: known, ManualClock())
    peers.on_stopping(earlier)
    assert peers.choose('s', ()) == later
    peers.on_stopping(later)
    assert peers.choose('s', ()) == other


async def ask(at: Address, attempt: str, **headers: str) -> httpcore.Response:
    """Send a request to an entry VM.

    :param at: Address for callers, or for relayed requests.
    :param attempt: Attempt ID.
    :param headers: Further headers, with underscores for hyphens.
    :return: Complete response.
    """
    named: dict[str | bytes, str | bytes] = {
        name.replace('_', '-'): one for name, one in headers.items()
    }
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            'POST',
            f'http://{at}/payment/x',
            headers={
                'Host': HOST,
                'Request-Attempt-Id': attempt,
                'Request-Deadline-Ms': '9000',
                **named,
            },
            extensions={'timeout': {'read': 10}},
        )


@asynccontextmanager
async def running_vm(
    folder: pathlib.Path, target: PlatformTarget
) -> AsyncIterator[tuple[Process, Address, Address]]:
    """Run an entry VM as a process of its own until the block ends.

    :param folder: Folder for its settings.
    :param target: The only target.
    :return: Process, and addresses for callers and for relayed requests.
    """
    callers, relayed, store, at = free_addresses(4)
    route = make_route('payment', 'non_idempotent', 'paiement', timeout_s=10)
    content = StoreContent()
    content.put_document('op/config', make_configuration(routes=[route]))
    settings = write_settings(folder, callers, store)
    text = settings.read_text()
    listen = f'[listen]\nrelay = "{relayed}"'
    settings.write_text(text.replace('[listen]', listen))
    fleet = DirectFleet(
        content, StoreServer(content), {target.name: target}, {target.name: at}
    )
    command = [sys.executable, '-m', 'dogwoodmast.direct', str(settings)]
    async with (
        serving((fleet.store, store), (target, at)),
        await anyio.open_process(command, stdout=DEVNULL) as process,
    ):
        fleet.list_target(target.name)
        fleet.callers.append(callers)
        try:
            while not await is_listening([callers, relayed]):
                await anyio.sleep(0.05)
            await fleet.wait_until_ready()
            yield process, callers, relayed
        finally:
            process.kill()


async def test_relay_of_a_stopping_vm_takes_requests_until_its_end(
    tmp_path: pathlib.Path,
) -> None:
    """It tells from the signal on, and refuses when it ends soon."""
    origin = {
        name.decode().replace('-', '_'): one.decode()
        for name, one in RelayedRequest('vm9', 'paiement', 2).headers()
    }
    target = PlatformTarget('p')
    statuses: dict[str, int] = {}
    async with running_vm(tmp_path, target) as (process, callers, relayed):

        async def send(at: Address, name: str, **headers: str) -> None:
            statuses[name] = (await ask(at, name, **headers)).status

        assert not tells_stop((await ask(relayed, 'a', **origin)).headers)
        process.send_signal(signal.SIGTERM)
        await anyio.sleep(READ_TIME)
        early = await ask(relayed, 'early', **origin)
        assert early.status == 200
        assert (b'connection', b'close') in early.headers
        assert tells_stop(early.headers)
        target.work_time = ACCEPT_TIME + 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, callers, 'own')
            tasks.start_soon(partial(send, relayed, 'accepted', **origin))
            await anyio.sleep(ACCEPT_TIME)
            late = await ask(relayed, 'late', **origin)
        assert statuses == {'own': 200, 'accepted': 200}
    told = parse_problem(late.status, late.headers)
    assert told
    assert told.problem.type is ProblemType.STOPPING
    assert told.problem.outcome is Outcome.NOT_RUN
    assert told.problem.retry_after
    assert 'late' not in target.runs
    assert tells_stop(late.headers)
