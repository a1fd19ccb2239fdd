"""Keys are spread by their load, played against busy neighbouring keys."""

from __future__ import annotations

import random

import pytest

from dogwoodmast.address import Address
from dogwoodmast.direct.catalog import Target
from dogwoodmast.direct.grant_state_machine import (
    GrantAnswer,
    GrantCall,
    GrantStateMachine,
    ReleaseCall,
    divide_keys,
)
from dogwoodmast.direct.shard_planner import (
    IMBALANCE_THRESHOLD,
    INITIAL_SHARDS_PER_TARGET,
    KeyLoads,
    ShardPlanner,
)
from dogwoodmast.direct.target_latencies import TargetLatencies
from grant_simulation import HOLD

TARGETS = 20
RATE = 400.0
"""Requests a second for all keys."""
HOT_KEY_SHARE = 0.35
"""Part of the requests that goes to the hot keys."""
HOT_KEYS = range(30_000, 30_060)
SPEEDS = (0.5, 1.0, 1.0, 1.5)
ROUND = 0.3
"""Time between two looks at the load, in seconds."""


class World:
    """Keys of one service under a load, with targets that all answer."""

    def __init__(self) -> None:
        """Deal keys out to targets."""
        self.now = 100.0
        self.random = random.Random(7)
        self.keeper = GrantStateMachine('s', 1, HOLD)
        self.loads = KeyLoads(0.9)
        self.planner = ShardPlanner(self.loads)
        self.paces = TargetLatencies()
        self.targets = [make_target(number) for number in range(TARGETS)]
        self.keeper.on_targets(self.targets)
        self.keeper.shards = divide_keys(TARGETS * INITIAL_SHARDS_PER_TARGET)
        self.moved = 0
        self.settle()

    def settle(self) -> None:
        """Carry out what is due."""
        for _ in range(4):
            placed = self.planner.place_free(
                self.keeper, self.capacities(), self.now
            )
            self.keeper.on_recorded(placed, self.now)
            for call in self.keeper.tick(self.now):
                if isinstance(call, GrantCall):
                    self.keeper.on_grant(
                        call, GrantAnswer.ACCEPTED, self.now, self.now
                    )
                else:
                    assert isinstance(call, ReleaseCall)
                    self.keeper.on_release(
                        call, GrantAnswer.ACCEPTED, 'h', self.now
                    )

    def capacities(self) -> dict[str, float]:
        """Work out what targets can run."""
        return self.paces.capacities(self.keeper.targets.values())

    def play(self, hot: range, rounds: int) -> None:
        """Let requests come while ranges move."""
        for _ in range(rounds):
            self.now += ROUND
            self.loads.decay(self.now)
            self.loads.add(
                (self.key(hot), 1.0) for _ in range(int(RATE * ROUND))
            )
            moves = self.planner.plan_moves(
                self.keeper, self.capacities(), self.now
            )
            self.moved += sum(shard.width for shard in moves)
            self.settle()

    def key(self, hot: range) -> int:
        """Draw the key of a request."""
        if hot and self.random.random() < HOT_KEY_SHARE:
            return self.random.choice(hot)
        return int(65_535 * self.random.random() ** 2)

    def unevenness(self, hot: range) -> float:
        """Compare the most used target with the mean."""
        holders = {
            key: shard.target
            for shard in self.keeper.shards
            for key in range(shard.first, shard.last + 1)
        }
        use = dict.fromkeys(holders.values(), 0)
        for _ in range(20_000):
            use[holders[self.key(hot)]] += 1
        capacities = self.capacities()
        shares = [count / capacities[name] for name, count in use.items()]
        return max(shares) * sum(capacities.values()) / sum(use.values())


def make_target(number: int) -> Target:
    """Make a target."""
    address = Address('10.0.0.1', 1000 + number)
    return Target(f't{number:02}', 's', address, 'a', 6, False, 1)


def test_hot_neighbours_are_spread_within_seconds() -> None:
    """Sixty busy keys side by side are shared out before they cool."""
    world = World()
    world.play(HOT_KEYS, 8)
    assert world.unevenness(HOT_KEYS) * 5 < 8
    equal = World()
    assert equal.unevenness(HOT_KEYS) > 3


def test_even_load_moves_little() -> None:
    """A load that stays as it is settles."""
    world = World()
    world.play(range(0), 20)
    settled = world.moved
    world.play(range(0), 20)
    assert world.moved - settled < 65_536 / 4


def test_slow_targets_get_fewer_requests() -> None:
    """Targets are used alike, measured by what they can run."""
    world = World()
    for number, target in enumerate(world.targets):
        pace = 0.16 / SPEEDS[number % len(SPEEDS)]
        for _ in range(40):
            world.paces.add(target.name, pace)
    world.play(range(0), 20)
    assert world.unevenness(range(0)) * 2 < 3


def test_key_too_hot_for_its_target_goes_to_the_fastest() -> None:
    """A single busy key gets the most room there is, for itself."""
    world = World()
    for number, target in enumerate(world.targets):
        pace = 0.16 / SPEEDS[number % len(SPEEDS)]
        for _ in range(40):
            world.paces.add(target.name, pace)
    hot = range(30_000, 30_001)
    world.play(hot, 12)
    holder = next(
        one for one in world.keeper.shards if one.first <= hot[0] <= one.last
    )
    capacities = world.capacities()
    assert capacities[holder.target] * 20 > max(capacities.values()) * 19
    rates = world.loads.by_shard(world.keeper.shards)
    others = sum(
        rates[one.first]
        for one in world.keeper.shards
        if one.target == holder.target and one is not holder
    )
    assert others < rates[holder.first] / 10


def test_new_target_gets_load() -> None:
    """A target that joins takes its part of the load within seconds."""
    world = World()
    world.play(range(0), 10)
    world.targets.append(make_target(TARGETS))
    world.keeper.on_targets(world.targets)
    world.play(range(0), 6)
    rates = world.loads.by_shard(world.keeper.shards)
    held = sum(
        rates[shard.first]
        for shard in world.keeper.shards
        if shard.target == world.targets[-1].name
    )
    mean = sum(rates.values()) / len(world.targets)
    assert held > mean / IMBALANCE_THRESHOLD**2


@pytest.mark.parametrize('hot', [range(0), HOT_KEYS])
def test_ranges_cover_every_key_once(hot: range) -> None:
    """Cutting and moving loses no key."""
    world = World()
    world.play(hot, 10)
    assert world.keeper.shards[0].first == 0
    assert world.keeper.shards[-1].last == 65_535
    for one, following in zip(
        world.keeper.shards, world.keeper.shards[1:], strict=False
    ):
        assert following.first == one.last + 1
