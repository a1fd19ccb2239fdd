"""Synchronisation of an entry VM's copy of the store.

One VM of each zone polls the store, and the others pull changes from it, so
that the load on the store grows with the number of zones rather than of VMs.
However its sources fail, a VM reads the store itself before its copy is older
than the bound allows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.copy_freshness import CopyFreshness
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.messages import (
    DirectoryPage,
    DirectoryPull,
    ShardImage,
    ShardUpdate,
)
from dogwoodmast.direct.shard_view import ShardView
from dogwoodmast.direct.source_selector import (
    SourceSelector,
    StoreSource,
    VmSource,
)
from dogwoodmast.direct.store_reader import StoreReader
from dogwoodmast.direct.sync_activity import SyncActivity
from dogwoodmast.errors import LinkError, MalformedFrame
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import PolledStore
from dogwoodmast.link_pool import LinkPool
from dogwoodmast.store_position import era_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from dogwoodmast.direct.sync_timing import SyncTiming
    from dogwoodmast.link import Link
    from dogwoodmast.message_handlers import MessageHandlers

FUTILE_PULL_DELAY = 0.1
"""Pause after a VM without the store has pulled in vain, in seconds."""


@attrs.frozen
class SyncDependencies:
    """Components of the local entry VM that the synchronisation uses."""

    directory: Directory
    """Copy of the store to keep up to date."""
    view: ShardView
    """Shard tables to keep up to date."""
    store: PolledStore
    """Client of the platform's store."""
    links: LinkPool
    """Links to other entry VMs."""
    clock: Clock
    """Monotonic clock that also advances while the machine is suspended."""
    freshness: CopyFreshness
    """Told how attempts to read have ended."""


class DirectorySync:
    """Task that keeps the copy of the store up to date.

    Its attribute ``activity`` tells what it is doing.
    """

    def __init__(
        self,
        selector: SourceSelector,
        dependencies: SyncDependencies,
        timing: SyncTiming,
    ) -> None:
        """Create the task.

        :param selector: Selector of the source of changes.
        :param dependencies: Components of the local entry VM.
        :param timing: Intervals and limits.
        """
        self.activity = SyncActivity(dependencies.directory)
        self._timing = timing
        self._selector = selector
        self._directory = dependencies.directory
        self._view = dependencies.view
        self._reader = StoreReader(
            dependencies.directory,
            dependencies.store,
            dependencies.clock,
            self.activity,
            timing,
            self._on_store_read,
        )
        self._freshness = dependencies.freshness
        self._links = dependencies.links
        self._clock = dependencies.clock
        self._listeners: list[Callable[[list[str]], None]] = []
        self._was_pull_futile = False

    @property
    def reads_store(self) -> bool:
        """Whether the store was read lately, not only other VMs' copies."""
        age = self._clock.monotonic() - self._reader.read_at
        return age <= self._timing.max_source_age

    def subscribe(self, listener: Callable[[list[str]], None]) -> None:
        """Add a listener for changes of the copy.

        :param listener: Called with the keys whose decoded value changed.
        """
        self._listeners.append(listener)

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handler for pulls by other entry VMs.

        :param handlers: Message handlers of incoming links.
        """
        handlers.register_direct(DirectoryPull, self._on_pull)

    async def run(self) -> None:
        """Read changes from the selected source until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._read_once(tasks)

    async def _read_once(self, tasks: TaskGroup) -> None:
        now = self._clock.monotonic()
        source = self._selector.choose(
            self._directory.vms().values(),
            now,
            is_overdue=self._time_left(now) <= 0,
            can_read_store=self._reader.can_begin,
        )
        self.activity.on_attempt(source, now)
        match source:
            case StoreSource():
                await self._read_store(source, tasks)
            case VmSource():
                await self._pull(source, now)
            case None:
                await self._await_store(self._timing.pull_interval)

    def _time_left(self, now: float) -> float:
        """Return the time until this VM has to read the store itself."""
        return self._timing.max_age - self._directory.age(now)

    def _on_pull(self, _link: Link, message: DirectoryPull) -> object:
        page = self._directory.page_since(
            message.after,
            self._clock.monotonic(),
            is_relayed=not self.reads_store,
        )
        tables = self._view.updates_since(message.tables)
        return attrs.evolve(
            page,
            updates=tuple(
                one for one in tables if isinstance(one, ShardUpdate)
            ),
            images=tuple(one for one in tables if isinstance(one, ShardImage)),
        )

    async def _read_store(self, source: StoreSource, tasks: TaskGroup) -> None:
        time_left = max(0, self._time_left(self._clock.monotonic()))
        wait = min(self._timing.long_poll_time, time_left)
        timeout = min(
            self._timing.read_timeout,
            # No wait for a read reaches far beyond the time when the copy is
            # overdue, whenever it began.
            time_left - wait + self._timing.overdue_timeout,
        )
        if not self._directory.revision:
            # Nothing else can be done without a copy.
            timeout = float('inf')
        read = self._reader.begin(tasks, wait, timeout)
        with anyio.move_on_after(wait + timeout):
            await read.ended.wait()
        if read.has_succeeded:
            await self._pause(self._timing.read_interval)
            return
        if not read.ended.is_set():
            await self._reader.leave()
        if self._freshness.on_vain_attempt(read.began_at, wait + timeout):
            self._selector.on_failure(source, self._clock.monotonic())

    async def _pause(self, seconds: float) -> None:
        """Sleep, but not beyond the time at which the copy is overdue."""
        time_left = self._time_left(self._clock.monotonic())
        await anyio.sleep(min(seconds, max(0, time_left)))

    async def _await_store(self, seconds: float) -> None:
        """Sleep, but not beyond the time at which the store may be read."""
        store_wait = self._selector.store_wait(self._clock.monotonic())
        await anyio.sleep(min(seconds, store_wait or seconds))

    def _on_store_read(self, changed: list[str]) -> None:
        self._selector.on_success(StoreSource())
        self._freshness.on_confirmed()
        self._notify(changed)

    async def _pull(self, source: VmSource, now: float) -> None:
        timeout = self._pull_timeout(now)
        after = self._directory.revision
        page = await self._request_page(source, timeout)
        received_at = self._clock.monotonic()
        is_stale = False
        if page is not None and self._try_apply(source, page, now, after):
            if self._is_acceptable(page, received_at):
                self._selector.on_success(source)
                self._was_pull_futile = False
                await self._pause(self._timing.pull_interval)
                return
            is_stale = True
        if not self._freshness.on_vain_attempt(now, timeout):
            return
        if is_stale:
            self._selector.on_stale(source, received_at)
        else:
            self._selector.on_failure(source, received_at)
            self._was_pull_futile = True
        await self._await_news(received_at)

    def _try_apply(
        self,
        source: VmSource,
        page: DirectoryPage,
        requested_at: float,
        after: int,
    ) -> bool:
        try:
            self._apply(page, requested_at, after)
        except MalformedFrame as error:
            self._log_pull_failure(source, error.message)
            return False
        self._freshness.on_confirmed()
        return True

    def _apply(
        self, page: DirectoryPage, requested_at: float, after: int
    ) -> None:
        for update in page.updates:
            self._view.on_update(update)
        for image in page.images:
            self._view.on_image(image)
        now = self._clock.monotonic()
        self._notify(self._directory.on_page(page, requested_at, now, after))

    async def _await_news(self, now: float) -> None:
        """Pause before the next source while the store cannot be read.

        All VMs of a zone that is cut off ask each other in vain.
        """
        if self._selector.is_store_suspect(now) or not self._reader.can_begin:
            await self._await_store(FUTILE_PULL_DELAY)

    def _pull_timeout(self, now: float) -> float:
        """Return the time limit of a pull.

        A pull ends in time for the VM to read the store itself.  Once the copy
        is overdue, a source that does not answer is soon left for another; the
        limit is the usual one again if that does not answer either, but ends
        when the store may be read.
        """
        time_left = self._time_left(now)
        if time_left > 0:
            return min(self._timing.pull_timeout, time_left)
        if not self._was_pull_futile:
            return self._timing.overdue_timeout
        store_wait = self._selector.store_wait(now)
        limit = max(store_wait, self._timing.overdue_timeout)
        return min(self._timing.pull_timeout, limit)

    def _is_acceptable(self, page: DirectoryPage, now: float) -> bool:
        """Check whether a VM may remain the source.

        A VM that pulls itself is one only while the store cannot be read, so
        that changes take few hops and no two VMs wait for each other.
        """
        if era_of(page.revision) < era_of(self._directory.revision):
            self.activity.last_failure = 'copy is from before a restore'
            return False
        if page.age > self._timing.max_source_age:
            self.activity.last_failure = f'copy is {page.age:.3f} s old'
            return False
        if page.is_relayed and not self._selector.is_store_suspect(now):
            self.activity.last_failure = 'copy is pulled from another VM'
            return False
        return True

    async def _request_page(
        self, source: VmSource, timeout: float
    ) -> DirectoryPage | None:
        request = DirectoryPull(self._directory.revision, self._view.versions())
        try:
            with anyio.fail_after(timeout):
                answer = await self._links.call(source.address, request)
        except (LinkError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            self._log_pull_failure(source, reason)
            return None
        return answer if isinstance(answer, DirectoryPage) else None

    def _log_pull_failure(self, source: VmSource, reason: str) -> None:
        self.activity.last_failure = reason
        log_event(Event.PULL_FAILED, peer=source.name, reason=reason)

    def _notify(self, changed: list[str]) -> None:
        if not changed:
            return
        self.activity.on_changes(self._clock.monotonic())
        for listener in self._listeners:
            listener(changed)
