"""Request rates of keys, for load whose hot keys change within seconds.

Many targets that each get a few requests per second have to be compared, so a
rate over a second is mostly noise; a rate over many seconds notices hot keys
too late.  Blocks of adjacent keys are therefore counted over a long time, and
over a short one where the two differ by more than noise.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.shard import Shard

KEY_COUNT = 65_536
"""Number of keys in the key space of a service."""
BLOCK_WIDTH = 64
"""Number of keys of a block."""
LONG_HALF_LIFE = 10.0
"""Time in seconds after which the weight of a request has halved in the rates
over the long time."""
CHANGE_SIGNIFICANCE = 3.5
"""Number of standard deviations of the count by which the short-time rate of a
block differs from the long-time one where the load has changed."""
MIN_TRACKED_RATE = 0.01
"""Rate in requests per second at or below which a key is no longer tracked."""
UNSEEN_KEY_RATE = 0.05
"""Rate in requests per second that is added to that of each key when the load
of a block is divided among its keys."""

_BLOCKS = KEY_COUNT // BLOCK_WIDTH


@attrs.define
class KeyLoads:
    """Request rates by key, as exponentially decaying averages."""

    half_life: float
    """Time in seconds after which the weight of a request has halved in the
    rates over the short time."""
    _rates: dict[int, float] = attrs.field(factory=dict)
    _long_rates: list[float] = attrs.field(
        factory=lambda: list(itertools.repeat(0, _BLOCKS))
    )
    _half_lives: list[float] = attrs.field(init=False)
    _decayed_at: float | None = None
    _sums: _BlockSums | None = None

    def __attrs_post_init__(self) -> None:
        """Begin to count."""
        self._half_lives = list(itertools.repeat(self.half_life, _BLOCKS))

    def add(self, counts: Iterable[tuple[int, float]]) -> None:
        """Add requests to the rates.

        :param counts: Keys with the number of their requests.
        """
        factor = math.log(2) / self.half_life
        for key, count in counts:
            self._rates[key] = self._rates.get(key, 0) + count * factor
            block = key // BLOCK_WIDTH
            long_factor = math.log(2) / self._half_lives[block]
            self._long_rates[block] += count * long_factor
        self._sums = None

    def decay(self, now: float) -> None:
        """Decay all rates by the time since the previous call.

        Keys whose rate drops to ``MIN_TRACKED_RATE`` are removed.

        :param now: Monotonic time in seconds.
        """
        if self._decayed_at is None:
            # Before shards are first placed, few keys are counted; the others
            # would all be placed on the targets without these.
            self._rates.clear()
            self._long_rates = list(itertools.repeat(0, _BLOCKS))
            self._decayed_at = now
        elapsed = now - self._decayed_at
        self._decayed_at = now
        weight = 0.5 ** (elapsed / self.half_life)
        self._rates = {
            key: rate * weight
            for key, rate in self._rates.items()
            if rate * weight > MIN_TRACKED_RATE
        }
        self._long_rates = [
            rate * 0.5 ** (elapsed / half_life)
            for rate, half_life in zip(
                self._long_rates, self._half_lives, strict=True
            )
        ]
        # All requests since a change count alike until the half-life is
        # reached, so that the first rates are not too low.
        growth = elapsed * math.log(2)
        self._half_lives = [
            min(half_life + growth, LONG_HALF_LIFE)
            for half_life in self._half_lives
        ]
        self._adopt_changes()
        self._sums = None

    def noise(self, key: int) -> float:
        """Estimate the noise of rates, due to the random number of requests.

        :param key: Key whose rate, and those of keys beside it, is meant.
        :return: Variance of the rate for a rate of 1 request per second.
        """
        return noise_after(self._half_lives[key // BLOCK_WIDTH])

    def rate(self, first: int, last: int) -> float:
        """Estimate the load of adjacent keys.

        :param first: First key.
        :param last: Last key, inclusive.
        :return: Requests per second.
        """
        return self._block_sums().rate(first, last)

    def by_shard(self, shards: Iterable[Shard]) -> dict[int, float]:
        """Estimate the load of each shard.

        :param shards: Shards, ordered by key.
        :return: Requests per second by the first key of each shard.
        """
        sums = self._block_sums()
        return {one.first: sums.rate(one.first, one.last) for one in shards}

    def hottest_key(self, shard: Shard) -> tuple[int, float]:
        """Find the key of a shard with the highest rate.

        :param shard: Shard to search.
        :return: Key and its rate in requests per second.
        """
        keys = range(shard.first, shard.last + 1)
        key = max(keys, key=lambda one: self._rates.get(one, 0))
        return key, self.rate(key, key)

    def find_split(self, shard: Shard, rate: float) -> int | None:
        """Find the key at which a shard is to be split.

        :param shard: Shard to split.
        :param rate: Rate that the lower part should have, in requests per
            second.
        :return: First key of the upper part, whichever of two adjacent ones
            comes closer to the rate; ``None`` if there is none.
        """
        total: float = 0
        for key in range(shard.first, shard.last):
            added = self.rate(key, key)
            if total + added >= rate:
                is_closer = total + added - rate <= rate - total
                at = key + 1 if is_closer else key
                return max(at, shard.first + 1)
            total += added
        return None

    def _adopt_changes(self) -> None:
        """Replace long-time rates where the load has changed."""
        short: list[float] = list(itertools.repeat(0, _BLOCKS))
        for key, rate in self._rates.items():
            short[key // BLOCK_WIDTH] += rate
        bound = CHANGE_SIGNIFICANCE**2 * noise_after(self.half_life)
        for block, new in enumerate(short):
            old = self._long_rates[block]
            if (new - old) ** 2 > bound * (new + old) / 2:
                self._long_rates[block] = new
                self._half_lives[block] = self.half_life

    def _block_sums(self) -> _BlockSums:
        if self._sums is None:
            self._sums = _BlockSums(self._long_rates, self._rates)
        return self._sums


@attrs.define
class _BlockSums:
    """Sums of rates that are quickly found for any range of keys."""

    _blocks: list[float]
    _rates: dict[int, float]
    _sums: list[float] = attrs.field(init=False)
    _tracked: dict[int, list[tuple[int, float]]] = attrs.field(
        factory=dict, init=False
    )

    def __attrs_post_init__(self) -> None:
        """Add up the rates of the blocks, and sort the keys by block."""
        self._sums = list(itertools.accumulate(self._blocks, initial=0))
        for key, rate in self._rates.items():
            block, offset = divmod(key, BLOCK_WIDTH)
            self._tracked.setdefault(block, []).append((offset, rate))

    def rate(self, first: int, last: int) -> float:
        """Add up the rates of adjacent keys.

        :param first: First key.
        :param last: Last key, inclusive.
        :return: Requests per second.
        """
        return self._rate_below(last + 1) - self._rate_below(first)

    def _rate_below(self, key: int) -> float:
        block, keys = divmod(key, BLOCK_WIDTH)
        if not keys:
            return self._sums[block]
        part = self._blocks[block] * self._share(block, keys)
        return self._sums[block] + part

    def _share(self, block: int, keys: int) -> float:
        """Compute which part of a block's rate its first keys have."""
        below = keys * UNSEEN_KEY_RATE
        total = BLOCK_WIDTH * UNSEEN_KEY_RATE
        for offset, rate in self._tracked.get(block, ()):
            total += rate
            if offset < keys:
                below += rate
        return below / total


def noise_after(half_life: float) -> float:
    """Estimate the noise of a rate, due to the random number of requests.

    :param half_life: Half-life of the rate, in seconds.
    :return: Variance of the rate for a rate of 1 request per second.
    """
    return math.log(2) / 2 / half_life
