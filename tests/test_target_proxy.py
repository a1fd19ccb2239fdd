"""Target proxy with a back-end stand-in over real loopback sockets."""

from __future__ import annotations

import asyncio
import itertools
import math
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import attrs
import pytest
import uuid6
import uvicorn

from dogwoodmast.address import Address
from dogwoodmast.backend import BackendConnection, Grant
from dogwoodmast.clock import SystemClock
from dogwoodmast.configuration import RequestKind, Service, Target
from dogwoodmast.dispatch_messages import (
    ExchangeFailed,
    FailureCause,
    Moved,
    StartExchange,
    Submission,
)
from dogwoodmast.dispatch_right import Right
from dogwoodmast.ledger import CLOCK_MARGIN
from dogwoodmast.load_meter import LoadMeter
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.quarantine import Quarantine
from dogwoodmast.request import Request, Response
from dogwoodmast.standins.backend import BackendStandIn
from dogwoodmast.target_control import TargetControl
from dogwoodmast.target_proxy import TargetProxy
from dogwoodmast.target_slot import ExchangeEvent, SlotContext, SlotTask
from fleet import free_addresses

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

pytestmark = pytest.mark.anyio

CHECK = RequestKind('check', ('GET',), idempotent=True, deadline=2, attempts=3)
PAY = RequestKind('pay', ('POST',), idempotent=False, deadline=2)
GRANT = Grant('balance/0', 1)
CLOCK = SystemClock()
ID_RESOLUTION = 0.01
"""Margin for the rounding of creation times in request ids, in seconds."""


@attrs.define(eq=False)
class FakeRights:
    """Dispatch rights set by a test."""

    answer: Right = Right.GRANTED
    """Right returned for every grant."""
    expiry: float = math.inf
    """Monotonic time at which the lease expires, in seconds."""

    def right(self, target: str, grant: Grant, now: float) -> Right:
        """Return the configured right."""
        return self.answer

    def lease_expiry(self, target: str) -> float:
        """Return the configured expiry of the lease."""
        return self.expiry


@attrs.frozen
class ProxyHarness:
    """Proxy under test with its back end and its rights."""

    proxy: TargetProxy
    backend: BackendStandIn
    rights: FakeRights

    async def check(self, timeout: float = 2.0) -> object:
        """Submit an idempotent request to the proxy."""
        request = Request('balance', 'k', 'GET', '/', _now() + timeout)
        return await self.proxy.submit(request, CHECK, GRANT)

    async def pay(self, request_id: str, timeout: float = 2.0) -> object:
        """Submit a non-idempotent request to the proxy."""
        request = Request(
            'balance',
            'k',
            'POST',
            '/',
            _now() + timeout,
            body=b'1',
            request_id=request_id,
        )
        return await self.proxy.submit(request, PAY, GRANT)


def _now() -> float:
    return CLOCK.monotonic()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll a condition for up to 5 s until it holds."""
    with anyio.fail_after(5):
        for _ in itertools.count():
            if condition():
                return
            await anyio.sleep(0.01)


@asynccontextmanager
async def running_proxy(service_time: float) -> AsyncIterator[ProxyHarness]:
    """Run a back end with two slots and a proxy for it.

    Returns when the proxy's ledger accepts new request ids.

    :param service_time: Time that the back end takes per request, in
        seconds.
    """
    address = free_addresses(1)[0]
    backend = BackendStandIn('t', 2, service_time)
    config = uvicorn.Config(
        backend,
        host=address.host,
        port=address.port,
        lifespan='off',
        log_config=None,
    )
    server = uvicorn.Server(config)
    target = Target('t', 'pikine', address, slots=2, connections=4)
    service = Service('balance', 1, (target,), (CHECK, PAY))
    rights = FakeRights()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        await wait_until(lambda: server.started)
        async with TargetProxy(
            service,
            target,
            CLOCK,
            rights,
            LoadMeter(CLOCK.monotonic()),
            Quarantine(),
        ) as proxy:
            proxy.on_grants(frozenset((GRANT,)))
            await anyio.sleep(CLOCK_MARGIN + ID_RESOLUTION)
            yield ProxyHarness(proxy, backend, rights)
        server.should_exit = True


async def test_slots_are_kept_and_a_resend_runs_once() -> None:
    """Requests beyond the slots are queued, and a resent payment runs once.

    Guards against more concurrent requests than the back end has slots, and
    against a resent id that starts a second run instead of waiting for the
    first.
    """
    async with running_proxy(0.05) as harness:
        results: list[object] = []
        request_id = str(uuid6.uuid7())

        async def check() -> None:
            results.append(await harness.check())

        async def pay() -> None:
            results.append(await harness.pay(request_id))

        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(check)
            tasks.start_soon(pay)
            tasks.start_soon(pay)
        results.append(await harness.pay(request_id))
        assert all(isinstance(result, Response) for result in results)
        assert harness.backend.state.most_running == 2
        paid = [row for row in harness.backend.state.history if row.request_id]
        assert len(paid) == 1


async def test_deadline_cancels_the_request_at_the_back_end() -> None:
    """A request past its deadline is cancelled and frees its slot.

    Otherwise the back end would continue to work for a caller that has
    already received a problem.
    """
    async with running_proxy(0.6) as harness:
        result = await harness.check(timeout=0.2)
        assert isinstance(result, Problem)
        assert result.type is ProblemType.DEADLINE_EXCEEDED
        assert result.outcome is Outcome.MAY_HAVE_RUN
        await wait_until(lambda: not harness.proxy.unsettled())
        assert not harness.backend.state.running
        assert not harness.backend.state.history


async def test_lapsed_lease_aborts_running_requests() -> None:
    """A lapsed lease aborts a running payment and lets none start.

    Another entry VM may hold the lease by then.  The payment may have run.
    """
    async with running_proxy(0.5) as harness:
        results: list[object] = []

        async def pay() -> None:
            results.append(await harness.pay(str(uuid6.uuid7())))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pay)
            await anyio.sleep(0.1)
            harness.rights.answer = Right.DENIED
            harness.rights.expiry = _now()
            harness.proxy.on_rights_changed()
        assert len(results) == 1
        result = results[0]
        assert isinstance(result, Problem)
        assert result.outcome is Outcome.MAY_HAVE_RUN
        assert await harness.check() == Moved()


async def test_drain_completes_running_requests() -> None:
    """A drain completes running requests and admits no new ones.

    The ledger can be exported afterwards with the result of the payment.
    """
    async with running_proxy(0.2) as harness:
        results: list[object] = []

        async def pay() -> None:
            results.append(await harness.pay(str(uuid6.uuid7())))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pay)
            await anyio.sleep(0.05)
            await harness.proxy.drain()
        assert isinstance(results[0], Response)
        assert await harness.check() == Moved()
        extract = harness.proxy.export_ledger(GRANT)
        assert extract is not None
        assert len(extract.entries) == 1


@pytest.mark.parametrize(
    ('closed_first', 'cause'),
    [(False, FailureCause.ABORTED), (True, FailureCause.CLOSED)],
)
async def test_end_of_an_aborted_exchange_tells_who_closed_it(
    closed_first: bool, cause: FailureCause
) -> None:
    """An abort is reported as such unless the target closed before it.

    The dispatcher frees a slot at once only if the target closed, so an abort
    must not be reported as a connection that the target closed.
    """
    events: list[ExchangeEvent] = []
    loop = asyncio.get_running_loop()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.setblocking(False)
        address = Address('127.0.0.1', listener.getsockname()[1])
        target = Target('t', 'pikine', address, slots=1, connections=4)
        context = SlotContext(CLOCK, TargetControl(address), 'x', events.append)
        slot = SlotTask(0, BackendConnection(target), context)
        request = Request('balance', 'k', 'GET', '/', _now() + 2)
        submission = Submission(1, request, CHECK, GRANT)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(slot.run)
            slot.start(StartExchange(submission, 0, request.deadline))
            connection, _ = await loop.sock_accept(listener)
            with connection:
                await loop.sock_recv(connection, 10_000)
                if closed_first:
                    # Timers run after the callbacks of the sockets, so that
                    # the slot's task is about to handle the close.
                    connection.close()
                    loop.call_later(0, slot.abort)
                else:
                    slot.abort()
                await wait_until(lambda: bool(events))
            tasks.cancel_scope.cancel()
    assert isinstance(events[0], ExchangeFailed)
    assert events[0].cause is cause
