"""Reads of the store that may outlast the time for which they are awaited."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.sync_activity import SyncActivity
from dogwoodmast.direct.sync_timing import SyncTiming
from dogwoodmast.errors import HistoryLost, PlatformError
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import PolledStore
from dogwoodmast.store_position import is_later_era

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

ALL_KEYS = ''
"""Prefix that matches all keys of the store."""
ANSWER_TIMEOUT = 1.5
"""Time limit for the store's answer beyond the wait, in seconds; a slow store
needs more than the time for which a VM waits for it."""
MAX_PENDING_READS = 3
"""Number of reads that may be without an answer at a time."""


@attrs.define(eq=False)
class StoreRead:
    """One read of the store."""

    began_at: float
    """Monotonic time at which it began, in seconds."""
    due_at: float
    """Monotonic time until which it is awaited, in seconds; the next read that
    follows begins later than a store that is up has answered this one."""
    ended: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when it has succeeded or failed."""
    has_succeeded: bool = False
    """Whether the copy was confirmed by it."""


@attrs.define(eq=False)
class StoreReader:
    """Reads the store, in tasks that go on when nobody waits for them.

    A read that was lost must not hold the VM up, and the answer of a slow store
    must not be thrown away.  So a VM leaves a read that takes long and tries
    other sources, while the read may still succeed.
    """

    _directory: Directory
    _store: PolledStore
    _clock: Clock
    _activity: SyncActivity
    _timing: SyncTiming
    _on_changes: Callable[[list[str]], None]
    """Called with the keys that changed, after each read that succeeded."""
    read_at: float = float('-inf')
    """Monotonic time at which the latest read began that has succeeded, in
    seconds."""
    _pending: list[StoreRead] = attrs.field(factory=list)

    @property
    def can_begin(self) -> bool:
        """Whether another read may begin.

        While a response arrives, another one would only slow it down.
        """
        is_full = len(self._pending) >= MAX_PENDING_READS
        return not (is_full or self._store.is_arriving)

    def begin(self, tasks: TaskGroup, wait: float, timeout: float) -> StoreRead:
        """Begin to read changes, or all keys if there is no copy yet.

        :param tasks: Task group in which the read runs.
        :param wait: Longest time that the store may wait for a change, in
            seconds.
        :param timeout: Time for which the answer is awaited beyond that, in
            seconds.
        :return: The read.
        """
        now = self._clock.monotonic()
        longest = min(timeout, self._timing.read_timeout)
        read = StoreRead(now, now + wait + longest)
        self._pending.append(read)
        tasks.start_soon(self._run, read, wait)
        return read

    async def leave(self) -> None:
        """Stop to wait for a read that has not been answered.

        Whatever silenced its connection may have silenced the idle ones too,
        so that they are closed.
        """
        self._activity.last_failure = 'no answer from the store yet'
        await self._store.aclose()

    async def _run(self, read: StoreRead, wait: float) -> None:
        try:
            changed = await self._read_changes(read.began_at, wait)
        except PlatformError as error:
            self._on_failure(read, error)
        else:
            self._on_answered(read, changed)
        finally:
            self._pending.remove(read)
            read.ended.set()

    def _on_answered(self, read: StoreRead, changed: list[str]) -> None:
        if self._directory.age(read.began_at) > 0:
            # The answer is of an earlier revision than the copy.
            self._activity.last_failure = 'the store is behind the copy'
            return
        if self._activity.store_failures:
            self._activity.store_failures = 0
            log_event(Event.PLATFORM_BACK, revision=self._directory.revision)
        read.has_succeeded = True
        self.read_at = max(self.read_at, read.began_at)
        self._on_changes(changed)

    def _on_failure(self, read: StoreRead, error: PlatformError) -> None:
        if read.began_at < self.read_at:
            # The store has answered a later read.
            return
        now = self._clock.monotonic()
        self._directory.on_outage(now)
        self._activity.last_failure = error.message
        self._activity.store_failures += 1
        if self._activity.store_failures == 1:
            age = round(self._directory.age(now), 3)
            log_event(Event.PLATFORM_FAILED, reason=error.message, age=age)

    async def _read_changes(self, began_at: float, wait: float) -> list[str]:
        revision = self._directory.revision
        if not revision:
            return await self._read_all(began_at)
        try:
            page = await self._store.read_changes(
                ALL_KEYS, revision, wait, ANSWER_TIMEOUT
            )
        except HistoryLost as error:
            if self._directory.revision > revision:
                # Another source has told the changes meanwhile.
                return []
            log_event(Event.DIRECTORY_RELOADED, reason=error.message)
            return await self._read_all(began_at)
        self._on_answer(began_at)
        return self._directory.on_changes(page, began_at)

    def _on_answer(self, began_at: float) -> None:
        """Record the end of an outage, if earlier reads had no answer.

        Entries that lapsed in it may return from now on.
        """
        now = self._clock.monotonic()
        is_overdue = any(
            one.due_at <= now and one.began_at < began_at
            for one in self._pending
        )
        if is_overdue or self._activity.store_failures:
            self._directory.on_outage(now)

    async def _read_all(self, began_at: float) -> list[str]:
        snapshot = await self._store.read_prefix(ALL_KEYS)
        self._on_answer(began_at)
        if is_later_era(snapshot.revision, self._directory.revision):
            self._directory.on_outage(self._clock.monotonic())
        return self._directory.on_snapshot(snapshot, began_at)
