"""Baselines that the placement policy is measured against."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodmast.partition import rendezvous_score
from dogwoodmast.placement import Move, PlacementChange
from dogwoodmast.placement_draft import PlacementDraft
from dogwoodmast.service_loads import collect_loads

if TYPE_CHECKING:
    from dogwoodmast.placement import PlacementInput
    from dogwoodmast.service_loads import ServiceLoads

EVEN = 1.02
"""Imbalance that counts as none."""


class RendezvousPlanner:
    """Plain rendezvous hashing, blind to load."""

    def plan(
        self, inputs: PlacementInput, now: float
    ) -> tuple[PlacementChange, ...]:
        """Move every partition that is not where its hash says.

        :param inputs: What is known.
        :param now: Not used.
        :return: The moves.
        """
        changes: list[PlacementChange] = []
        for loads in collect_loads(inputs):
            changes.extend(_misplaced(loads))
        return tuple(changes)


class AlwaysPlanner:
    """Rebalancing at every call, whatever it costs."""

    def plan(
        self, inputs: PlacementInput, now: float
    ) -> tuple[PlacementChange, ...]:
        """Even out all measured load.

        :param inputs: What is known.
        :param now: Not used.
        :return: The moves.
        """
        changes: list[PlacementChange] = []
        for loads in collect_loads(inputs):
            draft = PlacementDraft(loads)
            draft.assign_unowned()
            while draft.targets.imbalance > EVEN:
                floor = draft.targets.mean * EVEN
                if draft.rebalance(floor, {}) is None:
                    break
            changes.extend(draft.changes)
        return tuple(changes)


def _misplaced(loads: ServiceLoads) -> list[Move]:
    moves = []
    for partition in loads.partitions:
        target = _hashed_target(loads, partition)
        if _owner(loads, partition) != target:
            moves.append(Move(loads.service.name, partition, target))
    return moves


def _hashed_target(loads: ServiceLoads, partition: int) -> str:
    return max(
        loads.slots, key=lambda target: rendezvous_score(partition, target)
    )


def _owner(loads: ServiceLoads, partition: int) -> str | None:
    assignment = loads.table.assignments.get(partition)
    return None if assignment is None else assignment.target
