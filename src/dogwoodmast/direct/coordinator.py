"""Coordinator of an entry VM: acquires the role and grants keys to targets.

One entry VM at a time is the coordinator.  For each sharded service it
decides which target holds which keys, and sends the table to all entry VMs.
"""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.catalog import targets_of_service
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.grant_state_machine import GrantStateMachine
from dogwoodmast.direct.messages import LoadReport, ShardVersion, VmRecord
from dogwoodmast.direct.reach import ReachTracker
from dogwoodmast.direct.shard_coordinator import ShardCoordinator
from dogwoodmast.direct.statement_book import StatementBook
from dogwoodmast.direct.table_distributor import TableDistributor
from dogwoodmast.errors import PlatformError
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import PolledStore
from dogwoodmast.link_pool import LinkPool
from dogwoodmast.store_position import is_later_era

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from dogwoodmast.direct.leadership import CoordinatorTerm, Leadership
    from dogwoodmast.link import Link
    from dogwoodmast.message_handlers import MessageHandlers

TICK_INTERVAL = 0.05
"""Pause between two runs of the coordinator's work loop, in seconds."""
VACANCY_CHECK_INTERVAL = 0.25
"""Pause between two checks whether the role is vacant, in seconds."""
RESIGNATION_RETRY_INTERVAL = 0.2
"""Pause before the retry of a resignation that failed, in seconds; the keys
are granted meanwhile."""
CAMPAIGN_DELAY_PER_RANK = 0.15
"""Delay of a VM's campaign for each VM that is preferred to it, in
seconds; a write to the store reaches the other VMs in less time, so that
later VMs see a new coordinator before they campaign."""
IMPAIRED_CAMPAIGN_DELAY = 2.0
"""Further delay of the campaign of a VM that does not reach targets that others
reach, in seconds; longer than those of most VMs by rank."""
MAX_DIRECTORY_AGE = 2.0
"""Maximum age of the copy of the store for deciding whether the role is
vacant, in seconds; copies that are kept up to date stay below it."""
HOLD_FRACTION = 0.6
"""Fraction of the longest permitted hold for which keys are granted.  A short
hold frees the keys of an unresponsive target sooner; this one still carries
the keys through an outage of the store of twice the coordinator's lease."""


@attrs.frozen
class CoordinatorDependencies:
    """Components of the local entry VM that the coordinator uses."""

    record: VmRecord
    """Record that identifies the local VM."""
    directory: Directory
    """Local copy of the store."""
    store: PolledStore
    """Client of the platform's store."""
    links: LinkPool
    """Links to other entry VMs."""
    clock: Clock
    """Monotonic clock that also advances while the machine is suspended."""
    longest_hold: float
    """Maximum time for which a target may be granted keys, in seconds."""
    statements: StatementBook = attrs.field(factory=StatementBook)
    """What targets have said of themselves."""
    reach: ReachTracker = attrs.field(factory=ReachTracker)
    """Which targets new connections reach."""


class Coordinator:
    """Task that campaigns for the coordinator role and performs it."""

    def __init__(
        self, dependencies: CoordinatorDependencies, leadership: Leadership
    ) -> None:
        """Create the task without campaigning yet.

        :param dependencies: Components of the local entry VM.
        :param leadership: Leader election of the coordinator role.
        """
        self._dependencies = dependencies
        self._leadership = leadership
        self._shard_coordinators: dict[str, ShardCoordinator] = {}
        self._distributors: dict[str, TableDistributor] = {}
        self._leaving = False

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handler for load reports of other entry VMs.

        :param handlers: Message handlers of incoming links.
        """
        handlers.register_direct(LoadReport, self._on_report)

    async def run(self) -> None:
        """Campaign for the role and perform it; stop after :meth:`leave`."""
        vacant_since: float | None = None
        while not self._leaving:
            await anyio.sleep(VACANCY_CHECK_INTERVAL)
            now = self._dependencies.clock.monotonic()
            if self._holds_earlier_term(now):
                await self._try_acquire(self._leadership.reclaim)
            if not self._is_vacant(now):
                vacant_since = None
                continue
            vacant_since = now if vacant_since is None else vacant_since
            if now >= vacant_since + self._campaign_delay():
                await self._try_acquire(self._leadership.campaign)
                vacant_since = None

    async def leave(self) -> None:
        """Stop campaigning, and resign if this VM is the coordinator.

        A term that begins with a campaign under way is given up at once.
        """
        self._leaving = True
        await self._leadership.resign()

    def _is_vacant(self, now: float) -> bool:
        return (
            not self._is_cut_off()
            and self._is_directory_current(now)
            and self._dependencies.directory.coordinator() is None
            and bool(self._sharded_services())
        )

    def _is_directory_current(self, now: float) -> bool:
        directory = self._dependencies.directory
        return (
            directory.route_table is not None
            and directory.age(now) <= MAX_DIRECTORY_AGE
        )

    def _holds_earlier_term(self, now: float) -> bool:
        """Tell whether the store still lists an earlier term of this VM."""
        record = self._dependencies.directory.coordinator()
        if record is None or not self._is_directory_current(now):
            return False
        if self._is_cut_off():
            return False
        return self._leadership.is_own(record)

    def _sharded_services(self) -> list[str]:
        table = self._dependencies.directory.route_table
        if table is None:
            return []
        return [one.name for one in table.services.values() if one.sharded]

    def _rank(self) -> int:
        own = self._dependencies.record.preference
        others = self._dependencies.directory.vms().values()
        return sum(one.preference < own for one in others)

    def _campaign_delay(self) -> float:
        """Return how long the role has to be vacant before this VM campaigns.

        VMs that reach more targets come first.
        """
        delay = self._rank() * CAMPAIGN_DELAY_PER_RANK
        if self._dependencies.reach.is_impaired:
            delay += IMPAIRED_CAMPAIGN_DELAY
        return delay

    async def _try_acquire(
        self, acquire: Callable[[], Awaitable[CoordinatorTerm | None]]
    ) -> None:
        if self._leaving:
            return
        try:
            term = await acquire()
        except PlatformError as error:
            log_event(Event.PLATFORM_FAILED, reason=error.message, age=0)
            return
        if term is not None:
            await self._serve_term(term)

    async def _serve_term(self, term: CoordinatorTerm) -> None:
        async with AsyncExitStack() as stack:
            # After the end of the term's calls, which return connections.
            stack.push_async_callback(self._close_shard_coordinators)
            stack.callback(self._distributors.clear)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            tasks.start_soon(self._leadership.renew_until_lost, term)
            was_impaired = self._dependencies.reach.is_impaired
            resign_after = float('-inf')
            while self._leadership.term is term:
                if is_later_era(
                    self._dependencies.directory.revision, term.epoch
                ):
                    self._leadership.abandon(term)
                    continue
                now = self._dependencies.clock.monotonic()
                if now >= resign_after and self._should_resign(
                    was_impaired=was_impaired
                ):
                    resign_after = now + RESIGNATION_RETRY_INTERVAL
                    await self._leadership.resign()
                    continue
                await self._update_services(term, tasks)
                for one in self._shard_coordinators.values():
                    one.tick(tasks)
                await anyio.sleep(TICK_INTERVAL)

    async def _close_shard_coordinators(self) -> None:
        for one in self._shard_coordinators.values():
            await one.aclose()
        self._shard_coordinators.clear()

    def _should_resign(self, *, was_impaired: bool) -> bool:
        """Tell whether another VM should coordinate.

        Others may stay, or reach targets.  A VM that took the role although
        others may reach more targets keeps it, so that the role does not go
        round.
        """
        reach = self._dependencies.reach
        is_out_of_fences = any(
            one.is_out_of_fences for one in self._shard_coordinators.values()
        )
        return (
            self._leaving
            or is_out_of_fences
            or self._is_cut_off()
            or (reach.is_impaired and not was_impaired)
        )

    def _is_cut_off(self) -> bool:
        """Tell whether this VM reaches no target of some sharded service."""
        reach = self._dependencies.reach
        return any(map(reach.is_cut_off, self._sharded_services()))

    async def _update_services(
        self, term: CoordinatorTerm, tasks: TaskGroup
    ) -> None:
        now = self._dependencies.clock.monotonic()
        listed = self._dependencies.directory.targets(now).values()
        known = self._dependencies.directory.known_targets()
        is_current = self._dependencies.directory.revision >= term.epoch
        table = self._dependencies.directory.route_table
        for service in self._sharded_services():
            if service not in self._shard_coordinators:
                shard_coordinator = self._make_shard_coordinator(service, term)
                if not await _load_shards(shard_coordinator):
                    continue
                self._shard_coordinators[service] = shard_coordinator
                distributor = self._make_distributor(shard_coordinator)
                self._distributors[service] = distributor
                tasks.start_soon(distributor.run)
            self._shard_coordinators[service].on_targets(
                targets_of_service(listed, service),
                targets_of_service(known, service),
                is_current=is_current,
                longest_work=table.longest_timeout(service) if table else 0,
                copy_age=self._dependencies.directory.age(now),
            )

    def _make_shard_coordinator(
        self, service: str, term: CoordinatorTerm
    ) -> ShardCoordinator:
        dependencies = self._dependencies
        hold = dependencies.longest_hold * HOLD_FRACTION
        state_machine = GrantStateMachine(
            service, term.epoch, hold, longest_hold=dependencies.longest_hold
        )
        return ShardCoordinator(
            state_machine,
            self._leadership,
            dependencies.store,
            dependencies.clock,
            dependencies.statements,
            dependencies.reach,
        )

    def _make_distributor(
        self, shard_coordinator: ShardCoordinator
    ) -> TableDistributor:
        dependencies = self._dependencies
        return TableDistributor(
            shard_coordinator,
            dependencies.directory,
            dependencies.links,
            dependencies.clock,
        )

    def _on_report(self, _link: Link, report: LoadReport) -> object:
        version = ShardVersion(report.service_name, report.epoch, report.number)
        distributor = self._distributors.get(report.service_name)
        if distributor is None or self._leadership.term is None:
            return version
        return distributor.on_report(report) or version


async def _load_shards(shard_coordinator: ShardCoordinator) -> bool:
    try:
        await shard_coordinator.load()
    except PlatformError as error:
        log_event(Event.PLATFORM_FAILED, reason=error.message, age=0)
        return False
    return True
