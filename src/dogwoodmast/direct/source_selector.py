"""Choice of the source from which an entry VM reads changes of the store."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address
from dogwoodmast.direct.sync_timing import LONGEST_BOUND, SyncTiming

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.messages import VmRecord

SHORTEST_SUSPECT_PERIOD = 0.5
"""Time for which an entry VM is skipped that has failed once, or has no current
copy, in seconds; it doubles with each further failure."""
LONGEST_SUSPECT_PERIOD = 4.0
"""Longest time for which an entry VM that failed is skipped, in seconds; short
enough that the zone returns to its first VM soon after a restart."""


@attrs.frozen
class StoreSource:
    """The platform's store as the source of changes."""

    name = 'store'
    """Name for the log."""


@attrs.frozen
class VmSource:
    """Another entry VM as the source of changes."""

    name: str
    """Name of the VM."""
    address: Address
    """Address at which the VM accepts links."""


Source = StoreSource | VmSource


@attrs.define
class _Suspicion:
    """Consecutive failures of one source."""

    failures: int = 0
    until: float = 0
    """Monotonic time in seconds until which the source is skipped."""

    def on_failure(self, now: float, shortest: float, longest: float) -> None:
        """Skip the source for a period that doubles with each failure."""
        period = min(longest, shortest * 2**self.failures)
        if period < longest:
            self.failures += 1
        self.until = now + period

    def on_stale(self, now: float) -> None:
        """Skip the source, which has answered, for a short period."""
        self.failures = 0
        self.until = now + SHORTEST_SUSPECT_PERIOD


@attrs.define
class SourceSelector:
    """Selects the source of changes.

    The preferred VM of a zone reads the store, and the others pull from it.
    Sources that failed are skipped for a while.
    """

    _name: str
    _zone: str
    _timing: SyncTiming = attrs.field(factory=lambda: SyncTiming(LONGEST_BOUND))
    _random: random.Random = attrs.field(factory=random.Random)
    _current: str | None = None
    """Name of the VM that last returned a current copy."""
    _suspicions: dict[str, _Suspicion] = attrs.field(factory=dict)
    _store: _Suspicion = attrs.field(factory=_Suspicion)

    def choose(
        self,
        vms: Iterable[VmRecord],
        now: float,
        *,
        is_overdue: bool = False,
        can_read_store: bool = True,
    ) -> Source | None:
        """Select the source for the next read.

        :param vms: Registered entry VMs.
        :param now: Monotonic time in seconds.
        :param is_overdue: Whether the copy is so old that the VM must not
            rely on another one.
        :param can_read_store: Whether another read of the store may begin.
        :return: Source to read from; ``None`` if no source has answered
            recently.
        """
        ordered = sorted(vms, key=_preference)
        in_zone = [one for one in ordered if one.zone == self._zone]
        store_is_usable = can_read_store and not self.is_store_suspect(now)
        if not is_overdue:
            for record in in_zone:
                if record.name == self._name:
                    break
                if not self._is_suspect(record.name, now):
                    return _vm_source(record)
        if store_is_usable:
            return StoreSource()
        return self._choose_other(ordered, now)

    def is_store_suspect(self, now: float) -> bool:
        """Check whether the store failed recently.

        :param now: Monotonic time in seconds.
        :return: Whether it is skipped for now.
        """
        return now < self._store.until

    def store_wait(self, now: float) -> float:
        """Return how long the store is still skipped.

        :param now: Monotonic time in seconds.
        :return: Time in seconds, 0 if it may be read.
        """
        return max(0, self._store.until - now)

    def on_failure(self, source: Source, now: float) -> None:
        """Skip a source until its suspect period ends.

        :param source: Source that failed, or has not answered in time.
        :param now: Monotonic time in seconds.
        """
        match source:
            case StoreSource():
                self._store.on_failure(
                    now,
                    self._timing.first_store_pause,
                    self._timing.longest_store_pause,
                )
            case VmSource(name):
                suspicion = self._suspicions.setdefault(name, _Suspicion())
                suspicion.on_failure(
                    now, SHORTEST_SUSPECT_PERIOD, LONGEST_SUSPECT_PERIOD
                )
                self._forget_current(name)

    def on_stale(self, source: VmSource, now: float) -> None:
        """Skip a VM for a short time that answers, but has no current copy.

        :param source: Source whose copy is too old.
        :param now: Monotonic time in seconds.
        """
        suspicion = self._suspicions.setdefault(source.name, _Suspicion())
        suspicion.on_stale(now)
        self._forget_current(source.name)

    def on_success(self, source: Source) -> None:
        """Trust a source again.

        :param source: Source that was read successfully.
        """
        match source:
            case StoreSource():
                self._store = _Suspicion()
            case VmSource(name):
                self._suspicions.pop(name, None)
                self._current = name

    def _choose_other(
        self, records: Iterable[VmRecord], now: float
    ) -> Source | None:
        """Choose a VM of any zone while the store cannot be read.

        Without one that is known to be current, any VM is as likely as another
        to have news first; at random, they spread in a few rounds.  VMs that
        had none when asked last are asked again once there is no other.
        """
        others = [
            one
            for one in records
            if one.name != self._name and not self._has_failed(one.name, now)
        ]
        unsuspected = [
            one for one in others if not self._is_suspect(one.name, now)
        ]
        for record in unsuspected:
            if record.name == self._current:
                return _vm_source(record)
        candidates = unsuspected or others
        if not candidates:
            return None
        return _vm_source(self._random.choice(candidates))

    def _forget_current(self, name: str) -> None:
        if self._current == name:
            self._current = None

    def _has_failed(self, name: str, now: float) -> bool:
        suspicion = self._suspicions.get(name)
        return (
            suspicion is not None
            and suspicion.failures > 0
            and now < suspicion.until
        )

    def _is_suspect(self, name: str, now: float) -> bool:
        suspicion = self._suspicions.get(name)
        return suspicion is not None and now < suspicion.until


def _preference(record: VmRecord) -> tuple[float, str]:
    return record.preference


def _vm_source(record: VmRecord) -> VmSource:
    return VmSource(record.name, Address.parse(record.links))
