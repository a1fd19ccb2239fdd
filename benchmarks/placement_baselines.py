"""Baseline planners with which the placement policy is compared."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodmast.partition import rendezvous_score
from dogwoodmast.placement import Move, PlacementChange
from dogwoodmast.placement_draft import PlacementDraft
from dogwoodmast.service_loads import collect_loads

if TYPE_CHECKING:
    from dogwoodmast.placement import PlacementInput
    from dogwoodmast.service_loads import ServiceLoads

IMBALANCE_TOLERANCE = 1.02
"""Imbalance up to which the load counts as balanced: the highest utilization
of a target over the mean utilization."""


class RendezvousPlanner:
    """Planner that uses rendezvous hashing and ignores the load."""

    def plan(
        self, inputs: PlacementInput, now: float
    ) -> tuple[PlacementChange, ...]:
        """Move each partition to the target that its hash selects.

        :param inputs: Inputs of the placement decision.
        :param now: Ignored.
        :return: Moves of the partitions that have another owner or none.
        """
        changes: list[PlacementChange] = []
        for loads in collect_loads(inputs):
            changes.extend(_plan_moves(loads))
        return tuple(changes)


class AlwaysRebalancePlanner:
    """Planner that rebalances at every call and ignores the cost of moves."""

    def plan(
        self, inputs: PlacementInput, now: float
    ) -> tuple[PlacementChange, ...]:
        """Rebalance until the measured load is balanced.

        :param inputs: Inputs of the placement decision.
        :param now: Ignored.
        :return: Changes of the placement.
        """
        changes: list[PlacementChange] = []
        for loads in collect_loads(inputs):
            draft = PlacementDraft(loads)
            draft.assign_unowned()
            while draft.targets.imbalance > IMBALANCE_TOLERANCE:
                min_utilization = draft.targets.mean * IMBALANCE_TOLERANCE
                if draft.rebalance(min_utilization, {}) is None:
                    break
            changes.extend(draft.changes)
        return tuple(changes)


def _plan_moves(loads: ServiceLoads) -> list[Move]:
    moves = []
    for partition in loads.partitions:
        target = _hashed_target(loads, partition)
        if _current_owner(loads, partition) != target:
            moves.append(Move(loads.service.name, partition, target))
    return moves


def _hashed_target(loads: ServiceLoads, partition: int) -> str:
    return max(
        loads.slots, key=lambda target: rendezvous_score(partition, target)
    )


def _current_owner(loads: ServiceLoads, partition: int) -> str | None:
    assignment = loads.table.assignments.get(partition)
    return None if assignment is None else assignment.target
