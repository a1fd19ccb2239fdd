"""Task that makes this entry VM the coordinator when there is none."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.address import Address
from dogwoodmast.clock import Clock
from dogwoodmast.direct.catalog import targets_of
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.grant_state_machine import GrantStateMachine
from dogwoodmast.direct.messages import LoadReport, ShardVersion, VmRecord
from dogwoodmast.direct.shard_coordinator import ShardCoordinator
from dogwoodmast.errors import LinkError, PlatformError
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import PolledStore
from dogwoodmast.link_pool import LinkPool

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from dogwoodmast.direct.leadership import CoordinatorTerm, Leadership
    from dogwoodmast.link import Link
    from dogwoodmast.message_handlers import MessageHandlers

TICK = 0.05
"""Pause between two looks at what has to be done, in seconds."""
LOOK_INTERVAL = 0.25
"""Pause between two looks for a coordinator, in seconds."""
RANK_DELAY = 0.15
"""Time by which each VM leaves the role to those before it, in seconds; a
write of the store and its way to the others take less."""
CURRENT_AGE = 2.0
"""Age up to which the copy of the store tells whether there is a coordinator,
in seconds; where nothing changes, a read waits one second and the next comes
0.4 s later."""
PUSH_TIMEOUT = 0.6
"""Time allowed for a VM to take an update, in seconds."""
HOLD_SHARE = 0.6
"""Part of the longest hold for which keys are granted: a target that fell
silent frees its keys sooner, and keys still outlast an outage of the store
by twice the coordinator's lease."""


@attrs.frozen
class CoordinatorDependencies:
    """What a coordinator works with."""

    record: VmRecord
    """Record of the own VM."""
    directory: Directory
    """Copy of the store."""
    store: PolledStore
    """The store."""
    links: LinkPool
    """Links to other entry VMs."""
    clock: Clock
    """Clock that counts suspended time."""
    longest_hold: float
    """Longest time for which keys may be granted, in seconds."""


class Coordinator:
    """Task that stands for the role and carries it out."""

    def __init__(
        self, parts: CoordinatorDependencies, leadership: Leadership
    ) -> None:
        """Create the task.

        :param parts: What it works with.
        :param leadership: The coordinator's lease.
        """
        self._parts = parts
        self._leadership = leadership
        self._reigns: dict[str, ShardCoordinator] = {}
        self._told: dict[tuple[str, str], ShardVersion] = {}
        self._leaving = False

    def register(self, handlers: MessageHandlers) -> None:
        """Answer other entry VMs.

        :param handlers: Handlers of links.
        """
        handlers.register(LoadReport, self._on_report)

    async def run(self) -> None:
        """Stand for the role, and carry it out, until cancelled."""
        vacant_since: float | None = None
        while not self._leaving:
            await anyio.sleep(LOOK_INTERVAL)
            now = self._parts.clock.monotonic()
            if self._is_barred_by_itself(now):
                await self._stand(self._leadership.reclaim)
            if not self._is_vacant(now):
                vacant_since = None
                continue
            vacant_since = now if vacant_since is None else vacant_since
            if now >= vacant_since + self._rank() * RANK_DELAY:
                await self._stand(self._leadership.campaign)
                vacant_since = None

    async def leave(self) -> None:
        """Give the role up for good."""
        self._leaving = True
        await self._leadership.resign()

    def _is_vacant(self, now: float) -> bool:
        return (
            self._is_current(now)
            and self._parts.directory.coordinator() is None
            and bool(self._services())
        )

    def _is_current(self, now: float) -> bool:
        directory = self._parts.directory
        return (
            directory.route_table is not None
            and directory.age(now) <= CURRENT_AGE
        )

    def _is_barred_by_itself(self, now: float) -> bool:
        """Tell whether an earlier reign of the own VM bars the role."""
        record = self._parts.directory.coordinator()
        if record is None or not self._is_current(now):
            return False
        return self._leadership.is_own(record)

    def _services(self) -> list[str]:
        table = self._parts.directory.route_table
        if table is None:
            return []
        return [one.name for one in table.services.values() if one.sharded]

    def _rank(self) -> int:
        names = sorted(self._parts.directory.vms())
        own = self._parts.record.name
        return names.index(own) if own in names else len(names)

    async def _stand(
        self, campaign: Callable[[], Awaitable[CoordinatorTerm | None]]
    ) -> None:
        try:
            term = await campaign()
        except PlatformError as error:
            log_event(Event.PLATFORM_FAILED, reason=error.message, age=0)
            return
        if term is not None:
            await self._carry_out(term)

    async def _carry_out(self, term: CoordinatorTerm) -> None:
        async with AsyncExitStack() as stack:
            stack.callback(self._reigns.clear)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            tasks.start_soon(self._leadership.keep, term)
            while self._leadership.term is term:
                await self._open_reigns(term, stack, tasks)
                for one in self._reigns.values():
                    one.tick(tasks)
                await anyio.sleep(TICK)

    async def _open_reigns(
        self, term: CoordinatorTerm, stack: AsyncExitStack, tasks: TaskGroup
    ) -> None:
        now = self._parts.clock.monotonic()
        listed = self._parts.directory.targets(now).values()
        known = self._parts.directory.known_targets()
        for service in self._services():
            if service not in self._reigns:
                opened = self._make_reign(service, term)
                if not await _load(opened):
                    continue
                self._reigns[service] = opened
                stack.push_async_callback(opened.aclose)
                tasks.start_soon(self._push, service, opened)
            self._reigns[service].on_targets(
                targets_of(listed, service), targets_of(known, service)
            )

    def _make_reign(
        self, service: str, term: CoordinatorTerm
    ) -> ShardCoordinator:
        parts = self._parts
        hold = parts.longest_hold * HOLD_SHARE
        keeper = GrantStateMachine(service, term.epoch, hold)
        return ShardCoordinator(
            keeper, self._leadership, parts.store, parts.clock
        )

    async def _push(self, service: str, term: ShardCoordinator) -> None:
        while True:
            news = term.news
            async with anyio.create_task_group() as tasks:
                for vm in self._parts.directory.vms().values():
                    tasks.start_soon(self._push_to, vm, service, term)
            await news.wait()

    async def _push_to(
        self, vm: VmRecord, service: str, term: ShardCoordinator
    ) -> None:
        told = self._told.get((vm.incarnation, service))
        epoch, number = (told.epoch, told.number) if told else (0, 0)
        update = term.update_for(epoch, number)
        if update is None:
            return
        try:
            with anyio.fail_after(PUSH_TIMEOUT):
                answer = await self._parts.links.call(
                    Address.parse(vm.links), update
                )
        except (LinkError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            log_event(Event.PEER_NOT_TOLD, peer=vm.name, reason=reason)
            return
        if isinstance(answer, ShardVersion):
            self._told[vm.incarnation, service] = answer

    async def _on_report(self, _link: Link, report: LoadReport) -> object:
        term = self._reigns.get(report.service_name)
        version = ShardVersion(report.service_name, report.epoch, report.number)
        if term is None or self._leadership.term is None:
            return version
        return term.on_report(report) or version


async def _load(term: ShardCoordinator) -> bool:
    try:
        await term.load()
    except PlatformError as error:
        log_event(Event.PLATFORM_FAILED, reason=error.message, age=0)
        return False
    return True
