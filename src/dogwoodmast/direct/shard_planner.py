"""Placement of shards: which target is to hold which keys.

The planner is made for load in which a few adjacent keys get far more
requests than the others, and the hot keys change within seconds.  With one
equal range for each target, the busiest one would get more than twice the mean
load.  Each target therefore starts with several shards from different parts of
the key space, and shards are then split and moved by their measured load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.key_loads import KeyLoads
from dogwoodmast.direct.load_balance import LoadBalance
from dogwoodmast.direct.shard import Phase, Shard

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodmast.direct.catalog import Target
    from dogwoodmast.direct.grant_state_machine import GrantStateMachine

INITIAL_SHARDS_PER_TARGET = 8
"""Number of shards that each target gets at first.  More shards spread the
load better, but each one costs a call for every renewal."""


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
        """Plan moves from the targets with the most load beyond their share.

        Keys that leave a target which may not hold them any more don't count
        as moves under way, so that a hot range is spread meanwhile too.

        :param state_machine: State machine of the service's shards.
        :param capacities: Requests per second that each target can run.
        :param now: Monotonic time in seconds.
        :return: Shards that got a destination.
        """
        usable = {one.name for one in state_machine.usable_targets(now)}
        under_way = sum(
            one.is_moving and one.target in usable
            for one in state_machine.shards
        )
        balance = LoadBalance(state_machine, self.loads, capacities, usable)
        return balance.plan_moves(under_way)


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
