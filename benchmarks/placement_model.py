"""Seeded model of the load on one zone, for simulations of placement."""

from __future__ import annotations

import math
import random

import attrs

from dogwoodmast.load_meter import TIME_CONSTANT
from dogwoodmast.load_report import KeyLoad, LoadReport, PartitionLoad
from dogwoodmast.partition import partition_of

SERVICE = 'service'
PARTITIONS = 1024
"""Number of partitions of the service in all zones."""
SERVICE_TIME = 0.02
"""Time for which a request occupies a slot, in seconds."""
OWNED_KEYS = 5000
"""Approximate number of keys that the zone owns."""
KEY_SPREAD = 1.0
"""Standard deviation of the natural logarithm of a key's base load."""
HOT_KEYS = 15
"""Number of keys that are hot at the same time."""
HOT_KEY_LIFETIME = 180
"""Time after which other keys become hot, in seconds."""

_DECAY = math.exp(-1 / TIME_CONSTANT)
"""Factor by which the weight of a measurement decays per second."""


@attrs.frozen
class Demand:
    """Load that callers offer during one second."""

    busy: float
    """Mean number of slots that the load occupies."""
    hot_share: float
    """Share of the load that is distributed over the hot keys only."""


@attrs.define(eq=False)
class KeyModel:
    """Random distribution of the load over keys.

    Each key has a share of the base load, drawn from a log-normal
    distribution; a few hot keys have shares of the hot load too.
    """

    _partitions: tuple[int, ...]
    _random: random.Random
    _base_shares: dict[str, float] = attrs.field(factory=dict)
    _partition_shares: dict[int, float] = attrs.field(factory=dict)
    _hot_shares: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Choose the keys and draw their shares of the base load."""
        draws = {
            key: math.exp(self._random.gauss(0, KEY_SPREAD))
            for key in self._owned_keys()
        }
        total = sum(draws.values())
        self._base_shares = {key: draw / total for key, draw in draws.items()}
        partition_shares = self._partition_shares
        for key, share in self._base_shares.items():
            partition = partition_of(key, PARTITIONS)
            partition_shares[partition] = (
                partition_shares.get(partition, 0) + share
            )

    def _owned_keys(self) -> list[str]:
        owned = set(self._partitions)
        numbers = range(OWNED_KEYS * PARTITIONS // len(owned))
        names = [f'key-{number}' for number in numbers]
        return [key for key in names if partition_of(key, PARTITIONS) in owned]

    @property
    def hot_keys(self) -> tuple[str, ...]:
        """Current hot keys."""
        return tuple(self._hot_shares)

    def choose_hot_keys(self) -> None:
        """Replace the hot keys by random ones with Zipf-distributed shares."""
        weights = [1 / rank for rank in range(1, HOT_KEYS + 1)]
        hot = self._random.sample(list(self._base_shares), HOT_KEYS)
        self._hot_shares = {
            key: weight / sum(weights)
            for key, weight in zip(hot, weights, strict=True)
        }

    def key_load(self, key: str, demand: Demand) -> float:
        """Compute the load of one key.

        :param key: Key.
        :param demand: Load of all keys.
        :return: Mean number of busy slots.
        """
        base_load = demand.busy * (1 - demand.hot_share)
        hot_load = demand.busy * demand.hot_share
        return (
            self._base_shares[key] * base_load
            + self._hot_shares.get(key, 0) * hot_load
        )

    def partition_loads(
        self, demand: Demand, split_out: dict[str, int]
    ) -> dict[int, float]:
        """Compute the load of each partition.

        :param demand: Load of all keys.
        :param split_out: Own partition of each key that is split out.
        :return: Mean number of busy slots per partition.
        """
        base_load = demand.busy * (1 - demand.hot_share)
        hot_load = demand.busy * demand.hot_share
        loads = {
            partition: share * base_load
            for partition, share in self._partition_shares.items()
        }
        for key, share in self._hot_shares.items():
            loads[partition_of(key, PARTITIONS)] += share * hot_load
        for key, partition in split_out.items():
            load = self.key_load(key, demand)
            loads[partition_of(key, PARTITIONS)] -= load
            loads[partition] = load
        return loads


@attrs.define(eq=False)
class MeterModel:
    """Model of the load meters: exponentially decaying averages with noise."""

    _random: random.Random
    _partitions: dict[int, float] = attrs.field(factory=dict)
    _keys: dict[str, float] = attrs.field(factory=dict)

    def measure(
        self, partitions: dict[int, float], keys: dict[str, float]
    ) -> LoadReport:
        """Add the measurement of one second.

        :param partitions: Busy slots per partition.
        :param keys: Busy slots per hot key.
        :return: Report with the averages up to now.
        """
        self._partitions = {
            partition: _update_average(
                self._partitions.get(partition, 0), self._add_noise(busy)
            )
            for partition, busy in partitions.items()
        }
        self._keys = {
            key: _update_average(self._keys.get(key, 0), self._add_noise(busy))
            for key, busy in keys.items()
        }
        return LoadReport(
            'vm',
            tuple(
                PartitionLoad(SERVICE, partition, busy / SERVICE_TIME, busy)
                for partition, busy in self._partitions.items()
            ),
            tuple(
                KeyLoad(SERVICE, key, busy / SERVICE_TIME)
                for key, busy in self._keys.items()
            ),
        )

    def _add_noise(self, busy: float) -> float:
        # The number of requests in a second is roughly Poisson-distributed.
        rate = max(busy, 0) / SERVICE_TIME
        measured_rate = max(self._random.gauss(rate, math.sqrt(rate)), 0)
        return measured_rate * SERVICE_TIME


def _update_average(average: float, measurement: float) -> float:
    return average * _DECAY + measurement * (1 - _DECAY)
