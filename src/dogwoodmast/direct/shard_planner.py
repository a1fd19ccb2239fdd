"""Which target is to hold which keys.

The load that this answers: a few keys are far busier than the rest, they lie
next to each other, and which ones they are changes within seconds.  Equal
ranges leave the busiest target with more than twice the mean, so ranges are
interleaved at first and then cut and moved by measured load.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.shard import Phase, Shard

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dogwoodmast.direct.catalog import Target
    from dogwoodmast.direct.grant_state_machine import GrantStateMachine

INITIAL_SHARDS_PER_TARGET = 8
"""Ranges that a target gets at first; each costs a call a renewal."""
MAX_SHARDS_PER_TARGET = 20
"""Ranges a target up to which they are cut further."""
MOVES_AT_ONCE = 12
"""Ranges that may move at the same time; their keys wait meanwhile."""
IMBALANCE_THRESHOLD = 1.25
"""Use of a target over the mean at which its keys move; lower than the room
that is left when targets are used to 75%."""
MIN_EXCESS = 2.0
"""Requests a second over the mean below which nothing moves; what the noise
of a second's count comes to."""
FORGOTTEN_RATE = 0.01
"""Requests a second below which a key is no longer followed."""
HOT_KEY_SHARE = 0.7
"""Part of a target's room from which a single key counts as hot."""
MUCH_FASTER = 1.2
"""Speed over that of a hot key's holder from which a move is worth the time
in which the key waits."""
MAX_CUT = 1.2
"""Size of a moved range over the excess that it is to take away."""

_END = (math.inf, 0)


@attrs.define
class KeyLoads:
    """Requests a second by key, forgotten exponentially."""

    half_life: float
    """Time after which a count is worth half, in seconds."""
    _rates: dict[int, float] = attrs.field(factory=dict)
    _seen_at: float = 0

    def add(self, counts: Iterable[tuple[int, float]]) -> None:
        """Count requests.

        :param counts: Keys with their requests.
        """
        factor = math.log(2) / self.half_life
        for key, count in counts:
            self._rates[key] = self._rates.get(key, 0) + count * factor

    def decay(self, now: float) -> None:
        """Let what was counted fade.

        :param now: Steady time in seconds.
        """
        passed = now - self._seen_at
        self._seen_at = now
        keep = 0.5 ** (passed / self.half_life)
        self._rates = {
            key: rate * keep
            for key, rate in self._rates.items()
            if rate * keep > FORGOTTEN_RATE
        }

    def by_shard(self, shards: Iterable[Shard]) -> dict[int, float]:
        """Sum up rates by range.

        :param shards: Ranges in the order of their keys.
        :return: Requests a second by the first key of the range.
        """
        sums: dict[int, float] = {}
        keys = iter(sorted(self._rates.items()))
        key, rate = next(keys, _END)
        for shard in shards:
            total: float = 0
            while key <= shard.last:
                total += rate if key >= shard.first else 0
                key, rate = next(keys, _END)
            sums[shard.first] = total
        return sums

    def hottest(self, shard: Shard) -> tuple[int, float]:
        """Find the busiest key of a range.

        :param shard: Range.
        :return: The key with its requests a second.
        """
        keys = range(shard.first, shard.last + 1)
        key = max(keys, key=lambda one: self._rates.get(one, 0))
        return key, self._rates.get(key, 0)

    def cut(self, shard: Shard, amount: float) -> int | None:
        """Find where a range is to be cut.

        :param shard: Range.
        :param amount: Requests a second that the lower part is to have.
        :return: First key of the upper part, or ``None`` if one key has all.
        """
        total: float = 0
        for key in range(shard.first, shard.last):
            total += self._rates.get(key, 0)
            if total >= amount:
                return key + 1
        return None


@attrs.define
class ShardPlanner:
    """Chooses targets for free ranges, and ranges to move."""

    loads: KeyLoads
    """Requests a second by key."""

    def place_free(
        self,
        keeper: GrantStateMachine,
        capacities: Mapping[str, float],
        now: float,
    ) -> list[Shard]:
        """Assign the free ranges to targets.

        :param keeper: Machine that follows the ranges.
        :param capacities: Requests a second that each target can run.
        :param now: Steady time in seconds.
        :return: Ranges that are to be recorded.
        """
        usable = {one.name: one for one in keeper.usable_targets(now)}
        free = [one for one in keeper.shards if one.phase is Phase.FREE]
        if not usable or not free:
            return []
        rates = self.loads.by_shard(keeper.shards)
        usage = _usage(keeper, rates, capacities)
        for shard in sorted(free, key=lambda one: -rates[one.first]):
            destination = usable.get(shard.destination) or _least_used(
                usable, usage
            )
            keeper.assign(shard, destination)
            usage[destination.name] = _added(
                usage[destination.name],
                rates[shard.first] / capacities[destination.name],
            )
        return free

    def plan_moves(
        self,
        keeper: GrantStateMachine,
        capacities: Mapping[str, float],
        now: float,
    ) -> list[Shard]:
        """Send ranges from the most used targets to the least used ones.

        :param keeper: Machine that follows the ranges.
        :param capacities: Requests a second that each target can run.
        :param now: Steady time in seconds.
        :return: Ranges that move from now on.
        """
        room = MOVES_AT_ONCE - sum(one.is_moving for one in keeper.shards)
        usable = sorted(one.name for one in keeper.usable_targets(now))
        balance = _Balance(keeper, self.loads, capacities, usable)
        moved: list[Shard] = []
        while usable and len(moved) < room:
            shard = balance.move_one()
            if shard is None:
                break
            moved.append(shard)
        return moved


class _Balance:
    """Use of targets while moves are being planned."""

    def __init__(
        self,
        keeper: GrantStateMachine,
        loads: KeyLoads,
        capacities: Mapping[str, float],
        usable: list[str],
    ) -> None:
        self._keeper = keeper
        self._loads = loads
        self._capacities = capacities
        self._usable = usable
        self._rates = loads.by_shard(keeper.shards)
        self._usage = _usage(keeper, self._rates, capacities)
        total = sum(capacities[one] for one in usable)
        self._mean = sum(self._rates.values()) / total if total else 0

    def move_one(self) -> Shard | None:
        """Send one range from the most to the least used target."""
        source = max(self._usable, key=self._share)
        shard = self._free_hot_key(source)
        if shard is not None:
            return shard
        destination = min(self._usable, key=self._share)
        excess = min(
            (self._share(source) - self._mean) * self._capacities[source],
            (self._mean - self._share(destination))
            * self._capacities[destination],
        )
        if (
            self._share(source) < self._mean * IMBALANCE_THRESHOLD
            or excess < MIN_EXCESS
        ):
            return None
        shard = self._choose(_held_by(self._keeper, source), excess)
        if shard is None:
            return None
        self._send(shard, source, destination)
        return shard

    def _free_hot_key(self, source: str) -> Shard | None:
        """Send a key that one target can hardly carry to the fastest one."""
        fastest = max(self._usable, key=self._capacities.__getitem__)
        if self._capacities[fastest] < self._capacities[source] * MUCH_FASTER:
            return None
        held = _held_by(self._keeper, source)
        shard = max(held, key=self._rate, default=None)
        if shard is None:
            return None
        key, rate = self._loads.hottest(shard)
        if rate < self._capacities[source] * HOT_KEY_SHARE:
            return None
        shard = self._isolate(shard, key)
        self._send(shard, source, fastest)
        return shard

    def _isolate(self, shard: Shard, key: int) -> Shard:
        """Cut a range so that one part has a single key."""
        parts = [shard]
        if shard.first < key:
            shard = self._keeper.split(shard, key)
            parts.append(shard)
        if key < shard.last:
            parts.append(self._keeper.split(shard, key + 1))
        self._note(tuple(parts))
        return shard

    def _send(self, shard: Shard, source: str, destination: str) -> None:
        shard.destination = destination
        rate = self._rates[shard.first]
        for name, change in ((source, -rate), (destination, rate)):
            share = change / self._capacities[name]
            self._usage[name] = _added(self._usage[name], share)

    def _share(self, name: str) -> float:
        return self._usage[name].share

    def _choose(self, held: list[Shard], excess: float) -> Shard | None:
        """Choose the range whose load is nearest to the excess."""
        loaded = [one for one in held if self._rate(one)]
        fitting = [
            one
            for one in loaded
            if excess / 3 <= self._rate(one) <= excess * MAX_CUT
        ]
        larger = [one for one in loaded if self._rate(one) > excess]
        if not fitting and larger and len(held) < MAX_SHARDS_PER_TARGET:
            part = self._cut(max(larger, key=self._rate), excess)
            if part is not None:
                return part
        smaller = [one for one in loaded if self._rate(one) <= excess * MAX_CUT]
        return max(smaller, key=self._rate, default=None)

    def _rate(self, shard: Shard) -> float:
        return self._rates[shard.first]

    def _cut(self, shard: Shard, excess: float) -> Shard | None:
        rate = self._rate(shard)
        at = self._loads.cut(shard, excess)
        if at is not None:
            upper = self._keeper.split(shard, at)
            self._note((shard, upper))
            return shard
        at = self._loads.cut(shard, rate - excess)
        if at is None:
            return None
        upper = self._keeper.split(shard, at)
        self._note((shard, upper))
        return upper

    def _note(self, parts: tuple[Shard, ...]) -> None:
        self._rates.update(self._loads.by_shard(parts))


@attrs.frozen
class _Usage:
    share: float
    shards: int


def _usage(
    keeper: GrantStateMachine,
    rates: Mapping[int, float],
    capacities: Mapping[str, float],
) -> dict[str, _Usage]:
    usage = {name: _Usage(0, 0) for name in keeper.targets}
    for shard in keeper.shards:
        name = shard.destination or shard.target
        if name in usage and shard.phase is not Phase.FREE:
            added = rates[shard.first] / capacities[name]
            usage[name] = _added(usage[name], added)
    return usage


def _added(usage: _Usage, share: float) -> _Usage:
    return _Usage(usage.share + share, usage.shards + 1)


def _least_used(
    usable: Mapping[str, Target], usage: Mapping[str, _Usage]
) -> Target:
    name = min(
        usable, key=lambda one: (usage[one].share, usage[one].shards, one)
    )
    return usable[name]


def _held_by(keeper: GrantStateMachine, name: str) -> list[Shard]:
    return [
        shard
        for shard in keeper.shards
        if shard.target == name
        and shard.phase is Phase.OWNED
        and not shard.destination
        and not shard.in_call
    ]
