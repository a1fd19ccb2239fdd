"""Process of one entry VM: start, stop signals and shutdown."""

from __future__ import annotations

import signal
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import anyio

from dogwoodmast.entry_vm_parts import EntryVmParts
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dogwoodmast.operator_api import OperatorApi
    from dogwoodmast.settings import Settings
    from dogwoodmast.zone_agent import ZoneAgent

FIRST_VIEW_TIMEOUT = 2.0
"""Time for which a starting VM waits for its first routing view before it
accepts callers regardless, in seconds."""
DEREGISTRATION_DELAY = 1.0
"""Time that the load balancer has to notice that a VM is leaving, in
seconds."""


class EntryVm:
    """One entry VM with all tasks of its process."""

    def __init__(self, settings: Settings) -> None:
        """Create an entry VM that is not started yet.

        :param settings: Settings of the process.
        """
        self._settings = settings
        self._stack = AsyncExitStack()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then leave the zone and shut down."""
        vm = self._settings.vm
        async with self._stack:
            background = await self._start_tasks()
            self._stack.callback(background.cancel_scope.cancel)
            parts = EntryVmParts(self._settings, self._stack)
            await parts.start(background)
            with anyio.move_on_after(FIRST_VIEW_TIMEOUT):
                await parts.wait_for_view()
            foreground = await self._start_tasks()
            foreground.start_soon(parts.server.serve)
            log_event(Event.VM_STARTED, vm=vm.name, zone=vm.zone)
            await _await_stop_signal()
            log_event(Event.VM_STOPPING, vm=vm.name)
            await _leave(parts.agent, parts.operator_api)
            parts.server.request_shutdown()
        log_event(Event.VM_STOPPED, vm=vm.name)

    async def _start_tasks(self) -> TaskGroup:
        return await self._stack.enter_async_context(anyio.create_task_group())


async def _leave(agent: ZoneAgent, operator_api: OperatorApi) -> None:
    """Leave the load balancer and the zone while requests are still served."""
    operator_api.leave()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(anyio.sleep, DEREGISTRATION_DELAY)
        tasks.start_soon(agent.leave)


async def _await_stop_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
