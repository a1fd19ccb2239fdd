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
from dogwoodmast.direct.sync_activity import SyncActivity
from dogwoodmast.errors import (
    HistoryLost,
    LinkError,
    MalformedFrame,
    PlatformError,
)
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import PolledStore
from dogwoodmast.link_pool import LinkPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodmast.direct.sync_timing import SyncTiming
    from dogwoodmast.link import Link
    from dogwoodmast.message_handlers import MessageHandlers

ALL_KEYS = ''
"""Prefix that matches all keys of the store."""
LONGEST_READ_TIMEOUT = 1.5
"""Longest time limit for the store's answer beyond the wait, in seconds; a
slow store needs more than the first limit."""
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
        self._store = dependencies.store
        self._links = dependencies.links
        self._clock = dependencies.clock
        self._listeners: list[Callable[[list[str]], None]] = []
        self._store_read_at = float('-inf')

    @property
    def reads_store(self) -> bool:
        """Whether the store was read lately, not only other VMs' copies."""
        age = self._clock.monotonic() - self._store_read_at
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
        handlers.register(DirectoryPull, self._on_pull)

    async def run(self) -> None:
        """Read changes from the selected source until cancelled."""
        while True:
            now = self._clock.monotonic()
            source = self._selector.choose(
                self._directory.vms().values(),
                now,
                is_overdue=self._time_left(now) <= 0,
            )
            self.activity.on_attempt(source, now)
            match source:
                case StoreSource():
                    await self._read_store(source, now)
                case VmSource():
                    await self._pull(source, now)
                case None:
                    await anyio.sleep(self._timing.pull_interval)

    def _time_left(self, now: float) -> float:
        """Return the time until this VM has to read the store itself."""
        return self._timing.max_age - self._directory.age(now)

    async def _on_pull(self, _link: Link, message: DirectoryPull) -> object:
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

    async def _read_store(self, source: StoreSource, now: float) -> None:
        wait = self._timing.long_poll_time if self._time_left(now) > 0 else 0
        try:
            changed = await self._read_changes(now, wait)
        except PlatformError as error:
            self._on_store_failure(source, error)
            return
        if self.activity.store_failures:
            self.activity.store_failures = 0
            log_event(Event.PLATFORM_BACK, revision=self._directory.revision)
        self._store_read_at = now
        self._selector.on_success(source)
        self._notify(changed)
        await anyio.sleep(self._timing.read_interval)

    def _on_store_failure(
        self, source: StoreSource, error: PlatformError
    ) -> None:
        now = self._clock.monotonic()
        self._directory.on_outage(now)
        self._selector.on_failure(source, now)
        self.activity.last_failure = error.message
        self.activity.store_failures += 1
        if self.activity.store_failures == 1:
            age = round(self._directory.age(now), 3)
            log_event(Event.PLATFORM_FAILED, reason=error.message, age=age)

    async def _read_changes(self, now: float, wait: float) -> list[str]:
        revision = self._directory.revision
        if not revision:
            return await self._read_all(now)
        limit = self._timing.read_timeout * 2**self.activity.store_failures
        try:
            page = await self._store.read_changes(
                ALL_KEYS, revision, wait, min(limit, LONGEST_READ_TIMEOUT)
            )
        except HistoryLost as error:
            log_event(Event.DIRECTORY_RELOADED, reason=error.message)
            return await self._read_all(now)
        return self._directory.on_changes(page, now)

    async def _read_all(self, now: float) -> list[str]:
        snapshot = await self._store.read_prefix(ALL_KEYS)
        return self._directory.on_snapshot(snapshot, now)

    async def _pull(self, source: VmSource, now: float) -> None:
        page = await self._request_page(source, self._pull_timeout(now))
        received_at = self._clock.monotonic()
        if page is None:
            await self._on_pull_failure(source, received_at)
            return
        try:
            self._apply(page, now, received_at)
        except MalformedFrame as error:
            self._log_pull_failure(source, error.message)
            await self._on_pull_failure(source, received_at)
            return
        if self._is_acceptable(page, received_at):
            self._selector.on_success(source)
            # None is left if this VM was suspended before it read the answer.
            time_left = max(0, self._time_left(received_at))
            await anyio.sleep(min(self._timing.pull_interval, time_left))
        else:
            await self._on_pull_failure(source, received_at)

    def _apply(
        self, page: DirectoryPage, requested_at: float, now: float
    ) -> None:
        for update in page.updates:
            self._view.on_update(update)
        for image in page.images:
            self._view.on_image(image)
        self._notify(self._directory.on_page(page, requested_at, now))

    async def _on_pull_failure(self, source: VmSource, now: float) -> None:
        self._selector.on_failure(source, now)
        if self._selector.is_store_suspect(now):
            # All VMs of a zone that is cut off ask each other in vain.
            await anyio.sleep(FUTILE_PULL_DELAY)

    def _pull_timeout(self, now: float) -> float:
        """Return the time limit of a pull.

        A pull ends in time for the VM to read the store itself, unless the
        store has failed too.
        """
        if self._selector.is_store_suspect(now):
            return self._timing.pull_timeout
        return min(self._timing.pull_timeout, self._time_left(now))

    def _is_acceptable(self, page: DirectoryPage, now: float) -> bool:
        """Check whether a VM may remain the source.

        A VM that pulls itself is one only while the store cannot be read, so
        that changes take few hops and no two VMs wait for each other.
        """
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
