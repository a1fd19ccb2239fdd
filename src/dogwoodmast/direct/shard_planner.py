"""Placement of shards: which target is to hold which keys.

The planner is made for load in which a few adjacent keys get far more
requests than the others, and the hot keys change within seconds.  With one
equal range for each target, the busiest one would get more than twice the mean
load.  Each target therefore starts with several shards from different parts of
the key space, and shards are then split and moved by their measured load.
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
"""Number of shards that each target gets at first.  More shards spread the
load better, but each one costs a call for every renewal."""
MAX_SHARDS_PER_TARGET = 20
"""Number of shards of a target from which they are not split further for
balance."""
MAX_CONCURRENT_MOVES = 12
"""Maximum number of shards that move at the same time; requests for their
keys wait during the move."""
IMBALANCE_THRESHOLD = 1.25
"""Ratio of a target's utilisation to the mean from which its shards are moved;
it is below the 1.33 at which a target is full when the mean is 75%."""
MIN_EXCESS = 2.0
"""Minimum load in requests per second that a move has to shift towards the
mean; about the noise of a count over one second."""
MIN_TRACKED_RATE = 0.01
"""Rate in requests per second at or below which a key is no longer tracked."""
HOT_KEY_CAPACITY_FRACTION = 0.7
"""Fraction of a target's capacity from which a single key counts as hot."""
MIN_SPEEDUP = 1.2
"""Ratio of a target's capacity to that of a hot key's holder from which the
gain of a move outweighs the time for which requests for the key wait."""
MAX_MOVE_RATIO = 1.2
"""Maximum ratio of a moved shard's load to the excess that the move is to
remove."""

_END = (math.inf, 0)
"""Item after the last key of an iteration over the rates."""


@attrs.define
class KeyLoads:
    """Request rates by key, as exponentially decaying averages."""

    half_life: float
    """Time in seconds after which the weight of a request has halved."""
    _rates: dict[int, float] = attrs.field(factory=dict)
    _decayed_at: float = 0

    def add(self, counts: Iterable[tuple[int, float]]) -> None:
        """Add requests to the rates.

        :param counts: Keys with the number of their requests.
        """
        factor = math.log(2) / self.half_life
        for key, count in counts:
            self._rates[key] = self._rates.get(key, 0) + count * factor

    def decay(self, now: float) -> None:
        """Decay all rates by the time since the previous call.

        Keys whose rate drops to ``MIN_TRACKED_RATE`` are removed.

        :param now: Monotonic time in seconds.
        """
        elapsed = now - self._decayed_at
        self._decayed_at = now
        weight = 0.5 ** (elapsed / self.half_life)
        self._rates = {
            key: rate * weight
            for key, rate in self._rates.items()
            if rate * weight > MIN_TRACKED_RATE
        }

    def by_shard(self, shards: Iterable[Shard]) -> dict[int, float]:
        """Sum the rates of the keys of each shard.

        :param shards: Shards, ordered by key.
        :return: Requests per second by the first key of each shard.
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

    def hottest_key(self, shard: Shard) -> tuple[int, float]:
        """Find the key of a shard with the highest rate.

        :param shard: Shard to search.
        :return: Key and its rate in requests per second.
        """
        keys = range(shard.first, shard.last + 1)
        key = max(keys, key=lambda one: self._rates.get(one, 0))
        return key, self._rates.get(key, 0)

    def find_split(self, shard: Shard, rate: float) -> int | None:
        """Find the key at which a shard is to be split.

        :param shard: Shard to split.
        :param rate: Minimum rate of the lower part, in requests per second.
        :return: First key of the upper part, or ``None`` if all keys but the
            last one do not reach that rate together.
        """
        total: float = 0
        for key in range(shard.first, shard.last):
            total += self._rates.get(key, 0)
            if total >= rate:
                return key + 1
        return None


@attrs.define
class ShardPlanner:
    """Chooses targets for free shards, and shards to move."""

    loads: KeyLoads
    """Request rates by key."""

    def place_free(
        self,
        state_machine: GrantStateMachine,
        capacities: Mapping[str, float],
        now: float,
    ) -> list[Shard]:
        """Assign the free shards to targets, the busiest shard first.

        A shard with a usable destination goes there, any other one to the
        target with the lowest utilisation.

        :param state_machine: State machine of the service's shards.
        :param capacities: Requests per second that each target can run.
        :param now: Monotonic time in seconds.
        :return: Shards whose new assignments have to be stored.
        """
        usable = {one.name: one for one in state_machine.usable_targets(now)}
        free = [one for one in state_machine.shards if one.phase is Phase.FREE]
        if not usable or not free:
            return []
        rates = self.loads.by_shard(state_machine.shards)
        usage = _usage(state_machine, rates, capacities)
        for shard in sorted(free, key=lambda one: -rates[one.first]):
            destination = usable.get(shard.destination) or _least_used(
                usable, usage
            )
            state_machine.assign(shard, destination)
            usage[destination.name] = _add_load(
                usage[destination.name],
                rates[shard.first] / capacities[destination.name],
            )
        return free

    def plan_moves(
        self,
        state_machine: GrantStateMachine,
        capacities: Mapping[str, float],
        now: float,
    ) -> list[Shard]:
        """Plan moves from the targets with the highest utilisation.

        :param state_machine: State machine of the service's shards.
        :param capacities: Requests per second that each target can run.
        :param now: Monotonic time in seconds.
        :return: Shards that got a destination.
        """
        room = MAX_CONCURRENT_MOVES - sum(
            one.is_moving for one in state_machine.shards
        )
        usable = sorted(one.name for one in state_machine.usable_targets(now))
        balance = _Balance(state_machine, self.loads, capacities, usable)
        moved: list[Shard] = []
        while usable and len(moved) < room:
            shard = balance.plan_move()
            if shard is None:
                break
            moved.append(shard)
        return moved


class _Balance:
    """Utilisation of targets, updated with each move that is planned.

    The utilisation is a target's load divided by its capacity.
    """

    def __init__(
        self,
        state_machine: GrantStateMachine,
        loads: KeyLoads,
        capacities: Mapping[str, float],
        usable: list[str],
    ) -> None:
        self._state_machine = state_machine
        self._loads = loads
        self._capacities = capacities
        self._usable = usable
        self._rates = loads.by_shard(state_machine.shards)
        self._usage = _usage(state_machine, self._rates, capacities)
        total = sum(capacities[one] for one in usable)
        self._mean = sum(self._rates.values()) / total if total else 0

    def plan_move(self) -> Shard | None:
        """Plan one move from the target with the highest utilisation.

        A hot key is moved first, else a shard goes to the target with the
        lowest utilisation.  Return the shard, or ``None`` if no move is
        worthwhile.
        """
        source = max(self._usable, key=self._utilisation)
        shard = self._move_hot_key(source)
        if shard is not None:
            return shard
        destination = min(self._usable, key=self._utilisation)
        excess = min(
            (self._utilisation(source) - self._mean) * self._capacities[source],
            (self._mean - self._utilisation(destination))
            * self._capacities[destination],
        )
        if (
            self._utilisation(source) < self._mean * IMBALANCE_THRESHOLD
            or excess < MIN_EXCESS
        ):
            return None
        shard = self._choose_shard(
            _held_by(self._state_machine, source), excess
        )
        if shard is None:
            return None
        self._set_destination(shard, source, destination)
        return shard

    def _move_hot_key(self, source: str) -> Shard | None:
        """Move the source's hot key, if any, to the target of most capacity."""
        fastest = max(self._usable, key=self._capacities.__getitem__)
        if self._capacities[fastest] < self._capacities[source] * MIN_SPEEDUP:
            return None
        held = _held_by(self._state_machine, source)
        shard = max(held, key=self._rate, default=None)
        if shard is None:
            return None
        key, rate = self._loads.hottest_key(shard)
        if rate < self._capacities[source] * HOT_KEY_CAPACITY_FRACTION:
            return None
        shard = self._isolate(shard, key)
        self._set_destination(shard, source, fastest)
        return shard

    def _isolate(self, shard: Shard, key: int) -> Shard:
        """Split a shard so that a key gets a shard of its own."""
        parts = [shard]
        if shard.first < key:
            shard = self._state_machine.split(shard, key)
            parts.append(shard)
        if key < shard.last:
            parts.append(self._state_machine.split(shard, key + 1))
        self._update_rates(tuple(parts))
        return shard

    def _set_destination(
        self, shard: Shard, source: str, destination: str
    ) -> None:
        shard.destination = destination
        rate = self._rates[shard.first]
        for name, change in ((source, -rate), (destination, rate)):
            utilisation = change / self._capacities[name]
            self._usage[name] = _add_load(self._usage[name], utilisation)

    def _utilisation(self, name: str) -> float:
        return self._usage[name].utilisation

    def _choose_shard(self, held: list[Shard], excess: float) -> Shard | None:
        """Choose a shard whose load fits the excess, splitting one if needed.

        A shard that fits has between a third of the excess and
        ``MAX_MOVE_RATIO`` times the excess.  If none does, the busiest shard
        above the excess is split; if that fails too, the busiest shard below
        the upper limit is chosen.
        """
        loaded = [one for one in held if self._rate(one)]
        fitting = [
            one
            for one in loaded
            if excess / 3 <= self._rate(one) <= excess * MAX_MOVE_RATIO
        ]
        larger = [one for one in loaded if self._rate(one) > excess]
        if not fitting and larger and len(held) < MAX_SHARDS_PER_TARGET:
            part = self._split(max(larger, key=self._rate), excess)
            if part is not None:
                return part
        smaller = [
            one for one in loaded if self._rate(one) <= excess * MAX_MOVE_RATIO
        ]
        return max(smaller, key=self._rate, default=None)

    def _rate(self, shard: Shard) -> float:
        return self._rates[shard.first]

    def _split(self, shard: Shard, excess: float) -> Shard | None:
        rate = self._rate(shard)
        at = self._loads.find_split(shard, excess)
        if at is not None:
            upper = self._state_machine.split(shard, at)
            self._update_rates((shard, upper))
            return shard
        at = self._loads.find_split(shard, rate - excess)
        if at is None:
            return None
        upper = self._state_machine.split(shard, at)
        self._update_rates((shard, upper))
        return upper

    def _update_rates(self, parts: tuple[Shard, ...]) -> None:
        self._rates.update(self._loads.by_shard(parts))


@attrs.frozen
class _Usage:
    utilisation: float
    shards: int


def _usage(
    state_machine: GrantStateMachine,
    rates: Mapping[int, float],
    capacities: Mapping[str, float],
) -> dict[str, _Usage]:
    usage = {name: _Usage(0, 0) for name in state_machine.targets}
    for shard in state_machine.shards:
        name = shard.destination or shard.target
        if name in usage and shard.phase is not Phase.FREE:
            added_utilisation = rates[shard.first] / capacities[name]
            usage[name] = _add_load(usage[name], added_utilisation)
    return usage


def _add_load(usage: _Usage, utilisation: float) -> _Usage:
    return _Usage(usage.utilisation + utilisation, usage.shards + 1)


def _least_used(
    usable: Mapping[str, Target], usage: Mapping[str, _Usage]
) -> Target:
    name = min(
        usable, key=lambda one: (usage[one].utilisation, usage[one].shards, one)
    )
    return usable[name]


def _held_by(state_machine: GrantStateMachine, name: str) -> list[Shard]:
    return [
        shard
        for shard in state_machine.shards
        if shard.target == name
        and shard.phase is Phase.OWNED
        and not shard.destination
        and not shard.call_in_flight
    ]
