"""Which keys move from a loaded target, for hot keys on small targets.

The load is that of targets which run a few requests per second each and differ
in speed, and of adjacent keys that get a third of all requests for some
seconds, many targets' worth.  The requests for keys that move wait, so keys
move only for a gain that is larger than the noise of the counts.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.key_loads import LONG_HALF_LIFE, noise_after
from dogwoodmast.direct.shard import Phase, Shard

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from dogwoodmast.direct.grant_state_machine import GrantStateMachine
    from dogwoodmast.direct.key_loads import KeyLoads

MAX_SHARDS_PER_TARGET = 20
"""Mean number of shards of a target from which no shard is split further for
balance."""
MAX_CONCURRENT_MOVES = 12
"""Maximum number of shards that move at the same time for the balance of
targets none of which is hot; requests for their keys wait during the move."""
HOT_MOVES_PER_TARGET = 0.5
"""Maximum number of shards that move at the same time, from hot targets too,
for each usable target; at least ``MAX_CONCURRENT_MOVES``."""
IMBALANCE_THRESHOLD = 1.25
"""Ratio of a target's utilisation to the mean from which its shards are moved;
it is below the 1.33 at which a target is full when the mean is 75%."""
HOT_RATIO = 2.0
"""Ratio of a target's utilisation to the mean from which it is hot: it is
beyond what it can run when the mean is 50%."""
CHANGED_HOT_RATIO = 1.5
"""Ratio of a target's utilisation to the mean from which it is hot if its load
has changed within seconds."""
CHANGED_NOISE = 2 * noise_after(LONG_HALF_LIFE)
"""Variance for a rate of 1 request per second from which a load has changed
within seconds: it has been counted for half the usual time or less."""
NOISE_DEVIATIONS = 2.5
"""Number of standard deviations of its count by which a target's load exceeds
its share where keys are moved."""
MIN_PART = 0.1
"""Minimum load that a move shifts, as a fraction of a target's share."""
HOT_KEY_CAPACITY_FRACTION = 0.7
"""Fraction of a target's capacity from which a single key counts as hot."""
MIN_SPEEDUP = 1.2
"""Ratio of a target's capacity to that of a hot key's holder from which the
gain of a move outweighs the time for which requests for the key wait."""
MAX_MOVE_RATIO = 1.2
"""Maximum ratio of a moved shard's load to the load that is to be moved."""
SPLIT_GAIN = 0.5
"""Ratio of the keys that move after a split to those that move without one,
below which the split is worth a further shard."""


@attrs.frozen
class _Part:
    """Part of a shard that may be moved."""

    shard: Shard
    first: int
    last: int
    rate: float

    @property
    def width(self) -> int:
        return self.last - self.first + 1

    @property
    def is_whole(self) -> bool:
        return self.width == self.shard.width

    @property
    def price(self) -> float:
        """Keys that change hands for a unit of load."""
        price = self.width / self.rate
        return price if self.is_whole else price / SPLIT_GAIN


class LoadBalance:
    """Load of targets, updated with each move that is planned.

    A target's share is the part of the whole load that corresponds to its
    capacity.
    """

    def __init__(
        self,
        state_machine: GrantStateMachine,
        loads: KeyLoads,
        capacities: Mapping[str, float],
        usable: Collection[str],
    ) -> None:
        """Sum up the load of the targets.

        :param state_machine: State machine of the service's shards.
        :param loads: Request rates by key.
        :param capacities: Requests per second that each target can run.
        :param usable: Names of the targets that shards may be moved to.
        """
        self._state_machine = state_machine
        self._loads = loads
        self._capacities = capacities
        self._load: dict[str, float] = dict.fromkeys(sorted(usable), 0)
        self._variance: dict[str, float] = dict.fromkeys(self._load, 0)
        self._movable: dict[str, list[Shard]] = {one: [] for one in self._load}
        total: float = 0
        rates = loads.by_shard(state_machine.shards)
        for shard in state_machine.shards:
            rate = rates[shard.first]
            total += rate
            holder = shard.destination or shard.target
            if holder in self._load and shard.phase is not Phase.FREE:
                self._load[holder] += rate
                self._variance[holder] += rate * loads.noise(shard.first)
            if shard.target in self._load and _is_movable(shard):
                self._movable[shard.target].append(shard)
        room = sum(capacities[name] for name in self._load)
        self._mean = total / room if room else 0

    def plan_moves(self, under_way: int) -> list[Shard]:
        """Plan moves from the targets with the most load beyond their share.

        :param under_way: Number of shards that move already.
        :return: Shards that got a destination.
        """
        moved: list[Shard] = []
        for source in sorted(self._load, key=self._excess, reverse=True):
            is_hot = self._is_hot(source)
            allowed = self._max_moves(is_hot) - under_way - len(moved)
            if allowed > 0 and self._is_worth_moving(source):
                moved.extend(self._relieve(source, allowed, is_hot))
        return moved

    def _is_hot(self, source: str) -> bool:
        """Tell whether keys of a target have got much of its load just now."""
        load = self._load[source]
        changed = self._variance[source] > load * CHANGED_NOISE
        ratio = CHANGED_HOT_RATIO if changed else HOT_RATIO
        return load > ratio * self._share(source)

    def _max_moves(self, is_hot: bool) -> int:
        if not is_hot:
            return MAX_CONCURRENT_MOVES
        hot_moves = math.ceil(len(self._load) * HOT_MOVES_PER_TARGET)
        return max(MAX_CONCURRENT_MOVES, hot_moves)

    def _share(self, name: str) -> float:
        return self._mean * self._capacities[name]

    def _excess(self, name: str) -> float:
        return self._load[name] - self._share(name)

    def _is_worth_moving(self, source: str) -> bool:
        """Tell whether a target's excess matters and is more than noise."""
        excess = self._excess(source)
        deviation = math.sqrt(max(0, self._variance[source]))
        return (
            excess > self._share(source) * (IMBALANCE_THRESHOLD - 1)
            and excess > NOISE_DEVIATIONS * deviation
        )

    def _relieve(self, source: str, allowed: int, is_hot: bool) -> list[Shard]:
        """Move load away from one target.

        The load of a hot target is divided among as many targets as moves are
        allowed: what was counted of keys that have just become hot is less
        than they get.
        """
        moved = self._move_hot_key(source)
        part = self._excess(source) / allowed if is_hot else math.inf
        part = max(part, self._share(source) * MIN_PART)
        level = IMBALANCE_THRESHOLD if is_hot else 1
        while len(moved) < allowed and self._is_worth_moving(source):
            destination = max(
                self._load, key=lambda one: self._room(one, level)
            )
            limit = min(self._excess(source), self._room(destination, level))
            shard = self._cut(source, min(limit, part), limit)
            if shard is None:
                break
            self._move(shard, source, destination)
            moved.append(shard)
        return moved

    def _room(self, name: str, level: float) -> float:
        return self._share(name) * level - self._load[name]

    def _move_hot_key(self, source: str) -> list[Shard]:
        """Give the source's hot key, if any, a shard of its own.

        It is moved to the target of most capacity if that is much faster.
        Return the moved shards.
        """
        shard = max(self._movable[source], key=self._rate, default=None)
        if shard is None:
            return []
        limit = self._capacities[source] * HOT_KEY_CAPACITY_FRACTION
        if self._rate(shard) < limit:
            return []
        key, rate = self._loads.hottest_key(shard)
        if rate < limit:
            return []
        shard = self._isolate(_Part(shard, key, key, rate))
        fastest = max(self._load, key=self._capacities.__getitem__)
        if self._capacities[fastest] < self._capacities[source] * MIN_SPEEDUP:
            self._movable[source].remove(shard)
            return []
        self._move(shard, source, fastest)
        return [shard]

    def _cut(self, source: str, wanted: float, limit: float) -> Shard | None:
        """Choose the fewest keys with a certain load, and split their shard.

        Single keys, which can't be split, may have more load up to the limit.
        """
        smallest = self._share(source) * MIN_PART / 2
        parts = [
            part
            for shard in self._movable[source]
            for part in self._list_parts(shard, wanted)
            if smallest <= part.rate <= limit * MAX_MOVE_RATIO
        ]
        if not parts:
            return None
        fitting = [part for part in parts if part.rate >= wanted / 3]
        if fitting:
            return self._isolate(min(fitting, key=lambda part: part.price))
        return self._isolate(max(parts, key=lambda part: part.rate))

    def _list_parts(self, shard: Shard, wanted: float) -> list[_Part]:
        """List the parts at either end of a shard, or the whole shard."""
        rate = self._rate(shard)
        if rate <= wanted * MAX_MOVE_RATIO:
            return [_Part(shard, shard.first, shard.last, rate)]
        shards = self._state_machine.shards
        if len(shards) >= len(self._load) * MAX_SHARDS_PER_TARGET:
            return []
        bounds: list[tuple[int, int]] = []
        lower = self._loads.find_split(shard, wanted)
        if lower is not None:
            bounds.append((shard.first, lower - 1))
        upper = self._loads.find_split(shard, rate - wanted)
        if upper is not None:
            bounds.append((upper, shard.last))
        return [
            _Part(shard, *bound, self._loads.rate(*bound)) for bound in bounds
        ]

    def _isolate(self, part: _Part) -> Shard:
        """Split a shard so that a part of it gets a shard of its own."""
        shard = part.shard
        movable = self._movable[shard.target]
        if part.last < shard.last:
            movable.append(self._state_machine.split(shard, part.last + 1))
        if shard.first < part.first:
            shard = self._state_machine.split(shard, part.first)
            movable.append(shard)
        return shard

    def _move(self, shard: Shard, source: str, destination: str) -> None:
        shard.destination = destination
        rate = self._rate(shard)
        variance = rate * self._loads.noise(shard.first)
        self._load[source] -= rate
        self._variance[source] -= variance
        self._load[destination] += rate
        self._variance[destination] += variance
        self._movable[source].remove(shard)

    def _rate(self, shard: Shard) -> float:
        return self._loads.rate(shard.first, shard.last)


def _is_movable(shard: Shard) -> bool:
    return (
        shard.phase is Phase.OWNED
        and shard.is_open
        and not shard.destination
        and not shard.call_in_flight
    )
