"""Choice of the source from which an entry VM reads changes of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from dogwoodmast.direct.messages import VmRecord

SHORTEST_SUSPECT_PERIOD = 0.5
"""Time for which a source that failed once is skipped, in seconds; it doubles
with each further failure."""
LONGEST_SUSPECT_PERIOD = 4.0
"""Longest time for which an entry VM that failed is skipped, in seconds; short
enough that the zone returns to its first VM soon after a restart."""
LONGEST_STORE_SUSPECT_PERIOD = 1.0
"""Longest time for which the store is skipped, in seconds."""


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

    def on_failure(self, now: float, longest: float) -> None:
        """Skip the source for a period that doubles with each failure."""
        period = min(longest, SHORTEST_SUSPECT_PERIOD * 2**self.failures)
        if period < longest:
            self.failures += 1
        self.until = now + period


@attrs.define
class SourceSelector:
    """Selects the source of changes.

    The preferred VM of a zone reads the store, and the others pull from it.
    Sources that failed are skipped for a while.
    """

    _name: str
    _zone: str
    _suspicions: dict[str, _Suspicion] = attrs.field(factory=dict)
    _store: _Suspicion = attrs.field(factory=_Suspicion)

    def choose(
        self, vms: Iterable[VmRecord], now: float, *, is_overdue: bool = False
    ) -> Source | None:
        """Select the source for the next read.

        :param vms: Registered entry VMs.
        :param now: Monotonic time in seconds.
        :param is_overdue: Whether the copy is so old that the VM must not
            rely on another one.
        :return: Source to read from; ``None`` if all have failed recently.
        """
        ordered = sorted(vms, key=_preference)
        in_zone = [one for one in ordered if one.zone == self._zone]
        store_is_usable = now >= self._store.until
        if not (is_overdue and store_is_usable):
            for record in in_zone:
                if record.name == self._name:
                    break
                if not self._is_suspect(record.name, now):
                    return _vm_source(record)
        if store_is_usable:
            return StoreSource()
        return next(self._usable_vms(in_zone + ordered, now), None)

    def is_store_suspect(self, now: float) -> bool:
        """Check whether the store failed recently.

        :param now: Monotonic time in seconds.
        :return: Whether it is skipped for now.
        """
        return now < self._store.until

    def on_failure(self, source: Source, now: float) -> None:
        """Skip a source until its suspect period ends.

        :param source: Source that failed or returned stale data.
        :param now: Monotonic time in seconds.
        """
        match source:
            case StoreSource():
                self._store.on_failure(now, LONGEST_STORE_SUSPECT_PERIOD)
            case VmSource(name):
                suspicion = self._suspicions.setdefault(name, _Suspicion())
                suspicion.on_failure(now, LONGEST_SUSPECT_PERIOD)

    def on_success(self, source: Source) -> None:
        """Trust a source again.

        :param source: Source that was read successfully.
        """
        match source:
            case StoreSource():
                self._store = _Suspicion()
            case VmSource(name):
                self._suspicions.pop(name, None)

    def _usable_vms(
        self, records: Iterable[VmRecord], now: float
    ) -> Iterator[Source]:
        for record in records:
            if record.name != self._name and not self._is_suspect(
                record.name, now
            ):
                yield _vm_source(record)

    def _is_suspect(self, name: str, now: float) -> bool:
        suspicion = self._suspicions.get(name)
        return suspicion is not None and now < suspicion.until


def _preference(record: VmRecord) -> tuple[float, str]:
    return record.preference


def _vm_source(record: VmRecord) -> VmSource:
    return VmSource(record.name, Address.parse(record.links))
