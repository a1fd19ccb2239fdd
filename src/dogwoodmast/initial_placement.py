"""First owners of partitions, chosen by capacity and without memory."""

from __future__ import annotations

import math
import sys
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.ownership import HomeRecord
from dogwoodmast.partition import rendezvous_score
from dogwoodmast.placement import Move, PlacementChange, PlacementInput
from dogwoodmast.record_changes import EMPTY_TABLE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.configuration import Service, Target

SCORE_BITS = 64
"""Size of the scores of a rendezvous hash."""


def capacity_score(partition: int, target: Target) -> float:
    """Score a target for a partition in proportion to its slots.

    :param partition: Partition.
    :param target: Target.
    :return: Score; the target with the greatest one is chosen.
    """
    score = rendezvous_score(partition, target.name)
    # Half a step keeps the share apart from zero; log1p from one.
    missing = 1 - (score + 1 / 2) / (1 << SCORE_BITS)
    return target.slots / -math.log1p(-max(missing, sys.float_info.epsilon))


def choose_target(partition: int, targets: Iterable[Target]) -> Target:
    """Choose a partition's target by weighted rendezvous hashing.

    :param partition: Partition.
    :param targets: Targets to choose from, at least one.
    :return: The target.
    """
    return max(targets, key=lambda target: capacity_score(partition, target))


def initial_homes(service: Service) -> HomeRecord:
    """Spread a service's partitions over the zones of its targets.

    :param service: The service.
    :return: Record with a zone per partition.
    """
    zones = tuple(
        choose_target(partition, service.targets).zone
        for partition in range(service.partitions)
    )
    return HomeRecord(service.name, zones)


@attrs.frozen
class InitialPlanner:
    """Planner that only assigns what has no fit owner."""

    def plan(
        self, inputs: PlacementInput, _now: float
    ) -> tuple[PlacementChange, ...]:
        """Assign partitions without an owner, or with an excluded one.

        :param inputs: What is known.
        :return: Moves.
        """
        changes: list[PlacementChange] = []
        for service in inputs.configuration.services:
            changes.extend(_orphan_moves(service, inputs))
        return tuple(changes)


def _orphan_moves(service: Service, inputs: PlacementInput) -> list[Move]:
    zone = inputs.record.zone
    fit = {
        target.name: target
        for target in service.targets
        if target.zone == zone and target.name not in inputs.excluded
    }
    table = inputs.record.tables.get(service.name, EMPTY_TABLE)
    moves = []
    for partition in inputs.partitions.get(service.name, ()):
        owner = table.assignments.get(partition)
        if fit and (owner is None or owner.target not in fit):
            target = choose_target(partition, fit.values())
            moves.append(Move(service.name, partition, target.name))
    return moves
