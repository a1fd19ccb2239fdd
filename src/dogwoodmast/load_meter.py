"""Measurement of the load on partitions and keys at one entry VM.

Load is averaged over time with exponential decay.  The module does no I/O and
reads no clock; callers pass in the time.
"""

from __future__ import annotations

import heapq
import math

import attrs

from dogwoodmast.hot_keys import HotKeyTracker
from dogwoodmast.load_report import KeyLoad, PartitionLoad

TIME_CONSTANT = 10.0
"""Time in which the weight of a measurement decays to 1/e, in seconds."""
MIN_WINDOW = 0.5
"""Minimum length of a measurement window, in seconds."""
MIN_TRACKED_RATE = 0.01
"""Average rate below which a partition is dropped, in requests per second."""
MAX_REPORTED_PARTITIONS = 512
"""Maximum number of partitions in a load report."""
MAX_REPORTED_KEYS = 32
"""Maximum number of hot keys in a load report."""


@attrs.frozen
class MeasuredLoad:
    """Measured load of partitions and hot keys at one entry VM."""

    partitions: tuple[PartitionLoad, ...]
    """Partitions with the highest load, by descending number of busy slots."""
    hot_keys: tuple[KeyLoad, ...]
    """Hottest keys, by descending request rate."""


@attrs.define(eq=False)
class _PartitionAverage:
    """Averages of one partition and sums of the current window."""

    service: str
    number: int
    averaged_since: float
    count: int = 0
    busy: float = 0
    mean_rate: float = 0
    mean_busy: float = 0

    def end_window(self, window: float, decay: float) -> None:
        new_weight = (1 - decay) / window
        self.mean_rate = self.mean_rate * decay + self.count * new_weight
        self.mean_busy = self.mean_busy * decay + self.busy * new_weight
        self.count = 0
        self.busy = 0

    def load(self, now: float) -> PartitionLoad:
        # The averages start at zero; dividing by the weight that the
        # measurements have gained since then removes this bias.
        weight = -math.expm1((self.averaged_since - now) / TIME_CONSTANT)
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
    """Measures the load of the requests that one entry VM has dispatched."""

    _started_at: float
    _partitions: dict[tuple[str, int], _PartitionAverage] = attrs.field(
        factory=dict
    )
    _hot_keys: HotKeyTracker = attrs.field(factory=HotKeyTracker)
    _window_started_at: float = attrs.field(
        init=False, default=attrs.Factory(lambda self: self._started_at, True)
    )

    def on_finished(
        self,
        service: str,
        partition: int,
        key: str,
        busy_seconds: float,
        now: float,
    ) -> None:
        """Count a request that has released its slot.

        :param service: Name of the service.
        :param partition: Number of the partition it was dispatched under.
        :param key: Key of the request.
        :param busy_seconds: Time for which it occupied the slot, in seconds.
        :param now: Monotonic time in seconds; not used.
        """
        average = self._partitions.get((service, partition))
        if average is None:
            average = _PartitionAverage(
                service, partition, self._window_started_at
            )
            self._partitions[service, partition] = average
        average.count += 1
        average.busy += busy_seconds
        self._hot_keys.on_request(service, key)

    def report(self, now: float) -> MeasuredLoad:
        """Return the average load of the busiest partitions and keys.

        The current window is ended first if it has its minimum length.

        :param now: Monotonic time in seconds.
        :return: Measured load; partitions first seen in the current window
            are left out.
        """
        if now - self._window_started_at >= MIN_WINDOW:
            self._end_window(now)
        loads = [
            average.load(now)
            for average in self._partitions.values()
            if average.averaged_since < self._window_started_at
        ]
        busiest = heapq.nlargest(MAX_REPORTED_PARTITIONS, loads, key=_by_load)
        keys = self._hot_keys.hottest(MAX_REPORTED_KEYS)
        return MeasuredLoad(
            tuple(busiest),
            tuple(_key_load(*service_key, rate) for service_key, rate in keys),
        )

    def _end_window(self, now: float) -> None:
        window = now - self._window_started_at
        decay = math.exp(-window / TIME_CONSTANT)
        for average in self._partitions.values():
            average.end_window(window, decay)
        self._hot_keys.end_window(window, decay)
        self._window_started_at = now
        self._partitions = {
            partition_key: kept_average
            for partition_key, kept_average in self._partitions.items()
            if kept_average.mean_rate >= MIN_TRACKED_RATE
        }


def _by_load(load: PartitionLoad) -> tuple[float, float, int]:
    return (load.busy, load.rate, -load.partition)
