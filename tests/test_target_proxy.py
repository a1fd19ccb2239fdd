"""A target's front with a real back-end stand-in on loopback."""

from __future__ import annotations

import itertools
import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import attrs
import pytest
import uuid6
import uvicorn

from dogwoodmast.backend import Grant
from dogwoodmast.clock import SystemClock
from dogwoodmast.configuration import RequestKind, Service, Target
from dogwoodmast.dispatch_messages import Moved
from dogwoodmast.dispatch_right import Right
from dogwoodmast.ledger import CLOCK_MARGIN
from dogwoodmast.load_meter import LoadMeter
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.quarantine import Quarantine
from dogwoodmast.request import Request, Response
from dogwoodmast.standins.backend import BackendStandIn
from dogwoodmast.target_proxy import TargetProxy
from fleet import free_addresses

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

pytestmark = pytest.mark.anyio

CHECK = RequestKind('check', ('GET',), idempotent=True, deadline=2, attempts=3)
PAY = RequestKind('pay', ('POST',), idempotent=False, deadline=2)
GRANT = Grant('balance/0', 1)
CLOCK = SystemClock()
ID_RESOLUTION = 0.01
"""Time that an id may look too old by rounding, in seconds."""


@attrs.define(eq=False)
class Rights:
    """Rights that a test sets."""

    answer: Right = Right.GRANTED
    expiry: float = math.inf

    def right(self, target: str, grant: Grant, now: float) -> Right:
        """Tell the right that the test has set."""
        return self.answer

    def lease_expiry(self, target: str) -> float:
        """Tell the end that the test has set."""
        return self.expiry


@attrs.frozen
class Bench:
    """A front with its back end."""

    proxy: TargetProxy
    backend: BackendStandIn
    rights: Rights

    async def check(self, timeout: float = 2.0) -> object:
        """Send an idempotent request."""
        request = Request('balance', 'k', 'GET', '/', _now() + timeout)
        return await self.proxy.submit(request, CHECK, GRANT)

    async def pay(self, request_id: str, timeout: float = 2.0) -> object:
        """Send a non-idempotent request."""
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
    """Wait until a condition holds."""
    with anyio.fail_after(5):
        for _ in itertools.count():
            if condition():
                return
            await anyio.sleep(0.01)


@asynccontextmanager
async def running(service_time: float) -> AsyncIterator[Bench]:
    """Run a back end with two slots and its front."""
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
    rights = Rights()
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
            yield Bench(proxy, backend, rights)
        server.should_exit = True


async def test_slots_are_kept_and_a_resend_attaches() -> None:
    """More requests than slots all get answers; a resend runs once."""
    async with running(0.05) as bench:
        results: list[object] = []
        request_id = str(uuid6.uuid7())

        async def check() -> None:
            results.append(await bench.check())

        async def pay() -> None:
            results.append(await bench.pay(request_id))

        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(check)
            tasks.start_soon(pay)
            tasks.start_soon(pay)
        results.append(await bench.pay(request_id))
        assert all(isinstance(one, Response) for one in results)
        assert bench.backend.state.most_running == 2
        paid = [row for row in bench.backend.state.history if row.request_id]
        assert len(paid) == 1


async def test_deadline_cancels_at_the_back_end() -> None:
    """An exchange past its deadline is cancelled and frees its slot."""
    async with running(0.6) as bench:
        result = await bench.check(timeout=0.2)
        assert isinstance(result, Problem)
        assert result.type is ProblemType.DEADLINE_EXCEEDED
        assert result.outcome is Outcome.MAY_HAVE_RUN
        await wait_until(lambda: not bench.proxy.unsettled())
        assert not bench.backend.state.running
        assert not bench.backend.state.history


async def test_a_lapsed_lease_ends_what_runs() -> None:
    """A lapse answers a running payment and lets nothing start."""
    async with running(0.5) as bench:
        results: list[object] = []

        async def pay() -> None:
            results.append(await bench.pay(str(uuid6.uuid7())))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pay)
            await anyio.sleep(0.1)
            bench.rights.answer = Right.DENIED
            bench.rights.expiry = _now()
            bench.proxy.on_rights_changed()
        assert len(results) == 1
        result = results[0]
        assert isinstance(result, Problem)
        assert result.outcome is Outcome.MAY_HAVE_RUN
        assert await bench.check() == Moved()


async def test_drain_finishes_what_runs() -> None:
    """A drain cuts off nothing and admits nothing."""
    async with running(0.2) as bench:
        results: list[object] = []

        async def pay() -> None:
            results.append(await bench.pay(str(uuid6.uuid7())))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pay)
            await anyio.sleep(0.05)
            await bench.proxy.drain()
        assert isinstance(results[0], Response)
        assert await bench.check() == Moved()
        extract = bench.proxy.export_ledger(GRANT)
        assert extract is not None
        assert len(extract.entries) == 1
