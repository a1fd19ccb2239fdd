"""Meter of the load on partitions and keys, free of I/O and clocks."""

from __future__ import annotations

import heapq
import math

import attrs

from dogwoodmast.hot_keys import HotKeyTracker
from dogwoodmast.load_report import KeyLoad, PartitionLoad

TIME_CONSTANT = 10.0
"""Time in which the weight of a measurement decays to 1/e, in seconds."""
MIN_WINDOW = 0.5
"""Shortest window that is averaged, in seconds."""
FORGOTTEN_RATE = 0.01
"""Rate below which a partition is no longer kept, in requests per second."""
MAX_REPORTED_PARTITIONS = 512
MAX_REPORTED_KEYS = 32


@attrs.frozen
class MeasuredLoad:
    """Load of one entry VM's partitions and hottest keys."""

    partitions: tuple[PartitionLoad, ...]
    """Partitions with the highest load, busiest first."""
    hot_keys: tuple[KeyLoad, ...]
    """Hottest keys, hottest first."""


@attrs.define(eq=False)
class _Partition:
    service: str
    number: int
    first_seen: float
    count: int = 0
    busy: float = 0
    mean_rate: float = 0
    mean_busy: float = 0

    def end_window(self, window: float, decay: float) -> None:
        fresh = (1 - decay) / window
        self.mean_rate = self.mean_rate * decay + self.count * fresh
        self.mean_busy = self.mean_busy * decay + self.busy * fresh
        self.count = 0
        self.busy = 0

    def load(self, now: float) -> PartitionLoad:
        # An average that began at zero is too low while it is young.
        weight = -math.expm1((self.first_seen - now) / TIME_CONSTANT)
        return PartitionLoad(
            self.service,
            self.number,
            self.mean_rate / weight,
            self.mean_busy / weight,
        )


def _key_load(service: str, key: str, rate: float) -> KeyLoad:
    return KeyLoad(service, key, rate)


@attrs.define(eq=False)
class LoadMeter:
    """Meter of the requests that one entry VM has run."""

    _started: float
    _partitions: dict[tuple[str, int], _Partition] = attrs.field(factory=dict)
    _hot_keys: HotKeyTracker = attrs.field(factory=HotKeyTracker)
    _folded_at: float = attrs.field(
        init=False, default=attrs.Factory(lambda self: self._started, True)
    )

    def on_finished(
        self,
        service: str,
        partition: int,
        key: str,
        busy_seconds: float,
        now: float,
    ) -> None:
        """Count a request that has left its slot.

        :param service: Name of the service.
        :param partition: Partition that it ran under.
        :param key: Key.
        :param busy_seconds: Time that it kept the slot, in seconds.
        :param now: Monotonic time in seconds.
        """
        entry = self._partitions.get((service, partition))
        if entry is None:
            entry = _Partition(service, partition, self._folded_at)
            self._partitions[service, partition] = entry
        entry.count += 1
        entry.busy += busy_seconds
        self._hot_keys.on_request(service, key)

    def report(self, now: float) -> MeasuredLoad:
        """Report the load, averaged with exponential decay.

        :param now: Monotonic time in seconds.
        :return: The load.
        """
        if now - self._folded_at >= MIN_WINDOW:
            self._fold(now)
        loads = [
            entry.load(now)
            for entry in self._partitions.values()
            if entry.first_seen < self._folded_at
        ]
        busiest = heapq.nlargest(
            MAX_REPORTED_PARTITIONS, loads, key=_load_order
        )
        keys = self._hot_keys.hottest(MAX_REPORTED_KEYS)
        return MeasuredLoad(
            tuple(busiest),
            tuple(_key_load(*place, rate) for place, rate in keys),
        )

    def _fold(self, now: float) -> None:
        window = now - self._folded_at
        decay = math.exp(-window / TIME_CONSTANT)
        for entry in self._partitions.values():
            entry.end_window(window, decay)
        self._hot_keys.end_window(window, decay)
        self._folded_at = now
        self._partitions = {
            place: kept
            for place, kept in self._partitions.items()
            if kept.mean_rate >= FORGOTTEN_RATE
        }


def _load_order(load: PartitionLoad) -> tuple[float, float, int]:
    return (load.busy, load.rate, -load.partition)
