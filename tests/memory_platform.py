"""In-memory key-value store of the platform, with injected faults."""

from __future__ import annotations

import enum
from collections import deque
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import TYPE_CHECKING

import anyio

from dogwoodmast.errors import (
    PlatformAnswerLost,
    PlatformRefused,
    PlatformUnavailable,
)
from dogwoodmast.key_value import (
    MISSING_REVISION,
    Change,
    Expectation,
    Put,
    Snapshot,
    StoredValue,
    SwapResult,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from dogwoodmast.key_value import Delete

ENDPOINT = 'memory'
"""Endpoint that the errors name."""
WATCH_INTERVAL = 0.01
"""Interval at which a watch looks for changes, in seconds."""


class SwapFault(enum.Enum):
    """Fault of one compare-and-swap call."""

    NONE = 'none'
    UNSENT = 'unsent'
    """The store cannot be reached, and nothing is written."""
    LOST_BEFORE = 'lost before it took effect'
    """The connection breaks before the write."""
    LOST_AFTER = 'lost after it took effect'
    """The connection breaks after the write."""
    REFUSED_BEFORE = 'refused before it took effect'
    """The call fails with status 503 before the write."""
    REFUSED_AFTER = 'refused after it took effect'
    """The call fails with status 503 after the write."""


WITHOUT_EFFECT = frozenset(
    (SwapFault.UNSENT, SwapFault.LOST_BEFORE, SwapFault.REFUSED_BEFORE)
)
"""Faults after which nothing has been written."""
FAULT_ERRORS = MappingProxyType(
    {
        SwapFault.UNSENT: PlatformUnavailable(ENDPOINT),
        SwapFault.LOST_BEFORE: PlatformAnswerLost(ENDPOINT),
        SwapFault.LOST_AFTER: PlatformAnswerLost(ENDPOINT),
        SwapFault.REFUSED_BEFORE: PlatformRefused(ENDPOINT, 503),
        SwapFault.REFUSED_AFTER: PlatformRefused(ENDPOINT, 503),
    }
)
"""Error that the caller gets for each fault."""


class MemoryPlatform:
    """Key-value store in memory; each swap meets the next queued fault.

    While ``is_down`` is set, calls and watches fail.  If ``stale`` is set,
    reads return its values instead of the current ones.  ``calls`` counts all
    calls, and ``changes`` is the complete history.
    """

    def __init__(self, faults: Iterable[SwapFault] = ()) -> None:
        """Create an empty store.

        :param faults: Faults of the next swaps, in order; later swaps succeed.
        """
        self.faults = deque(faults)
        self.values: dict[str, StoredValue] = {}
        self.stale: dict[str, StoredValue] | None = None
        self.is_down = False
        self.calls = 0
        self.changes: list[Change] = []
        self._revision = 1

    async def read(self, key: str) -> Snapshot:
        """Read one key.

        :param key: Key to read.
        :return: Snapshot with at most one value.
        """
        return await self.read_prefix_where(lambda found: found == key)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that begin with a prefix.

        :param prefix: Prefix of the keys.
        :return: Snapshot of the values, ordered by key.
        """
        return await self.read_prefix_where(
            lambda found: found.startswith(prefix)
        )

    async def read_prefix_where(self, predicate: object) -> Snapshot:
        """Read all keys that satisfy a predicate.

        :param predicate: Predicate of a key.
        :return: Snapshot of the values, ordered by key.
        """
        assert callable(predicate)
        await self._begin_call()
        values = self.values if self.stale is None else self.stale
        found = [values[key] for key in sorted(values) if predicate(key)]
        return Snapshot(self._revision, tuple(found))

    async def swap(
        self,
        expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write if all expectations hold, or raise the next fault's error.

        :param expectations: Expected revisions of keys.
        :param writes: Puts and deletions, applied in one revision.
        :return: Whether the expectations held, and the revision.
        :raises PlatformError: If a fault was queued.
        """
        await self._begin_call()
        fault = self.faults.popleft() if self.faults else SwapFault.NONE
        if fault in WITHOUT_EFFECT:
            raise FAULT_ERRORS[fault]
        answer = self._swap(expectations, writes)
        if fault is SwapFault.NONE:
            return answer
        raise FAULT_ERRORS[fault]

    @asynccontextmanager
    async def watch_prefix(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[Change]]:
        """Watch all keys that begin with a prefix.

        :param prefix: Prefix of the keys.
        :param start_revision: Revision of the first change to report.
        :return: Changes in the order of their revisions.
        """
        await self._begin_call()
        yield self._follow(prefix, start_revision)

    def keys_containing(self, text: str) -> tuple[str, ...]:
        """List the keys that contain a text.

        :param text: Text to look for anywhere in the key.
        :return: Keys in order.
        """
        return tuple(key for key in sorted(self.values) if text in key)

    async def _begin_call(self) -> None:
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        if self.is_down:
            raise PlatformUnavailable(ENDPOINT)

    async def _follow(self, prefix: str, start: int) -> AsyncIterator[Change]:
        reported = 0
        while not self.is_down:
            for change in self.changes[reported:]:
                if change.key.startswith(prefix) and change.revision >= start:
                    yield change
            reported = len(self.changes)
            await anyio.sleep(WATCH_INTERVAL)
        raise PlatformAnswerLost(ENDPOINT)

    def _swap(
        self,
        expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        holds = all(
            self._revision_of(one.key) == one.revision for one in expectations
        )
        if holds and writes:
            self._revision += 1
            for write in writes:
                self._apply(write)
        return SwapResult(holds, self._revision)

    def _apply(self, write: Put | Delete) -> None:
        match write:
            case Put(key, content):
                self.values[key] = StoredValue(key, content, self._revision)
                self.changes.append(Change(key, content, self._revision))
            case _:
                self.values.pop(write.key, None)
                self.changes.append(Change(write.key, None, self._revision))

    def _revision_of(self, key: str) -> int:
        stored = self.values.get(key)
        return MISSING_REVISION if stored is None else stored.revision
