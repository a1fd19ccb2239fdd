"""Execution of a load plan."""

from __future__ import annotations

import math
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore
import orjson
from anyio.lowlevel import checkpoint

from dogwoodmast.errors import DogwoodmastError
from dogwoodmast.load_tool.client import (
    INVALID_DOCUMENT_ERRORS,
    TRANSPORT_ERRORS,
    Worker,
)
from dogwoodmast.load_tool.recorder import Recorder
from dogwoodmast.load_tool.schedule import PlannedRequest, make_schedule
from dogwoodmast.load_tool.summary import LoadSummary, summarize

if TYPE_CHECKING:
    from anyio.streams.memory import (
        MemoryObjectReceiveStream,
        MemoryObjectSendStream,
    )

    from dogwoodmast.load_tool.plan import LoadPlan

DRAIN_TIMEOUT = 30.0
"""Time for which requests in flight may complete after the planned duration,
in seconds."""
EXECUTION_COUNT_TIMEOUT = 10.0
"""Time-out for reading the number of executions of a back end, in seconds."""
TIMER_RESOLUTION = 0.002
"""Time before a scheduled start at which the task stops sleeping and polls the
clock, in seconds."""


@attrs.define
class ExecutionsUnknown(DogwoodmastError):
    """The number of executions of a stand-in back end could not be read."""

    url: str
    """Base URL of the back end."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'{self.url} did not report the number of executed requests'


class LoadRun:
    """One execution of a load plan."""

    def __init__(self, plan: LoadPlan) -> None:
        """Create a run without starting it.

        :param plan: Load plan to execute.
        """
        self._plan = plan
        self._recorder = Recorder()

    async def run(self) -> LoadSummary:
        """Send the planned requests and wait until they complete.

        Requests that are still in flight after the drain time-out are
        cancelled and not recorded.

        :return: Summary of the run.
        :raises InvalidLoadPlan: If the plan exceeds a limit.
        :raises ExecutionsUnknown: If a back end does not report its
            executions.
        """
        plan = self._plan
        plan.check()
        executed_before = await count_executions(plan.backends)
        start_time = time.monotonic()
        drain_time = 0 if plan.stop_at_end else DRAIN_TIMEOUT
        with anyio.move_on_after(plan.duration + drain_time):
            await self._send_requests(start_time)
        duration = time.monotonic() - start_time
        executed_after = await count_executions(plan.backends)
        executions = executed_after - executed_before if plan.backends else None
        return summarize(plan, self._recorder, duration, executions)

    async def _send_requests(self, start_time: float) -> None:
        sender, receiver = anyio.create_memory_object_stream[PlannedRequest](
            math.inf
        )
        async with anyio.create_task_group() as task_group:
            for _ in range(self._plan.connections):
                task_group.start_soon(self._run_worker, receiver, start_time)
            await self._queue_requests(sender, start_time)

    async def _queue_requests(
        self, sender: MemoryObjectSendStream[PlannedRequest], start_time: float
    ) -> None:
        async with sender:
            for planned in make_schedule(self._plan):
                await _sleep_until(start_time + planned.due)
                sender.send_nowait(planned)

    async def _run_worker(
        self,
        receiver: MemoryObjectReceiveStream[PlannedRequest],
        start_time: float,
    ) -> None:
        async with AsyncExitStack() as stack:
            worker = Worker(self._plan)
            stack.push_async_callback(worker.aclose)
            async for planned in receiver:
                completed = await worker.run(planned, start_time)
                self._recorder.record(completed)


async def count_executions(backends: tuple[str, ...]) -> int:
    """Count the requests that stand-in back ends have executed.

    :param backends: Base URLs of the back ends.
    :return: Sum over all back ends.
    :raises ExecutionsUnknown: If a back end does not report its number.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        return sum(
            [await _fetch_execution_count(pool, url) for url in backends]
        )


async def _fetch_execution_count(
    pool: httpcore.AsyncConnectionPool, url: str
) -> int:
    try:
        with anyio.fail_after(EXECUTION_COUNT_TIMEOUT):
            response = await pool.request('GET', f'{url}/-/load')
        executed: int = orjson.loads(response.content)['executed']
    except (*TRANSPORT_ERRORS, *INVALID_DOCUMENT_ERRORS) as error:
        raise ExecutionsUnknown(url) from error
    return executed


async def _sleep_until(due: float) -> None:
    remaining = due - time.monotonic()
    if remaining > TIMER_RESOLUTION:
        await anyio.sleep(remaining - TIMER_RESOLUTION)
    # The timers of the event loop are coarser than the latencies that are
    # measured, so the clock is polled until the scheduled start.
    while time.monotonic() < due:
        await checkpoint()
