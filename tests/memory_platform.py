"""The platform's contract in memory, with faults by a script or a switch."""

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
WATCH_INTERVAL = 0.01


class SwapFault(enum.Enum):
    """What goes wrong with one swap."""

    NONE = 'none'
    UNSENT = 'unsent'
    LOST_BEFORE = 'lost before it took effect'
    LOST_AFTER = 'lost after it took effect'
    REFUSED_BEFORE = 'refused before it took effect'
    REFUSED_AFTER = 'refused after it took effect'


WITHOUT_EFFECT = frozenset(
    (SwapFault.UNSENT, SwapFault.LOST_BEFORE, SwapFault.REFUSED_BEFORE)
)
FAULT_ERRORS = MappingProxyType(
    {
        SwapFault.UNSENT: PlatformUnavailable(ENDPOINT),
        SwapFault.LOST_BEFORE: PlatformAnswerLost(ENDPOINT),
        SwapFault.LOST_AFTER: PlatformAnswerLost(ENDPOINT),
        SwapFault.REFUSED_BEFORE: PlatformRefused(ENDPOINT, 503),
        SwapFault.REFUSED_AFTER: PlatformRefused(ENDPOINT, 503),
    }
)


class MemoryPlatform:
    """Keys in memory; each swap meets the next fault of a script."""

    def __init__(self, faults: Iterable[SwapFault] = ()) -> None:
        self.faults = deque(faults)
        self.values: dict[str, StoredValue] = {}
        self.stale: dict[str, StoredValue] | None = None
        self.is_down = False
        self.calls = 0
        self.changes: list[Change] = []
        self._revision = 1

    async def read(self, key: str) -> Snapshot:
        """Read one key."""
        return await self.read_prefix_where(lambda found: found == key)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that begin with a prefix."""
        return await self.read_prefix_where(
            lambda found: found.startswith(prefix)
        )

    async def read_prefix_where(self, chosen: object) -> Snapshot:
        """Read the keys that a condition accepts."""
        assert callable(chosen)
        await self._begin_call()
        values = self.values if self.stale is None else self.stale
        found = [values[key] for key in sorted(values) if chosen(key)]
        return Snapshot(self._revision, tuple(found))

    async def swap(
        self,
        expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write if every expectation holds, or fail by the script."""
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
        """Watch all keys that begin with a prefix."""
        await self._begin_call()
        yield self._follow(prefix, start_revision)

    def keys_containing(self, prefix: str) -> tuple[str, ...]:
        """List the keys that begin with a prefix."""
        return tuple(key for key in sorted(self.values) if prefix in key)

    async def _begin_call(self) -> None:
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        if self.is_down:
            raise PlatformUnavailable(ENDPOINT)

    async def _follow(self, prefix: str, start: int) -> AsyncIterator[Change]:
        told = 0
        while not self.is_down:
            for change in self.changes[told:]:
                if change.key.startswith(prefix) and change.revision >= start:
                    yield change
            told = len(self.changes)
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
