"""Stateless placement by weighted rendezvous hashing.

It chooses the home zones of a new service's partitions, and the zones that
take over the partitions of a lost zone.  A target receives a share of the
partitions in proportion to its slots.
"""

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
"""Size of a rendezvous score, in bits."""


def capacity_score(partition: int, target: Target) -> float:
    """Compute the weighted rendezvous score of a target for a partition.

    The hash is mapped to a uniform variate *u* between zero and one; the
    score is ``-slots / ln(u)``.

    :param partition: Number of the partition.
    :param target: Target to score.
    :return: Score; the target with the greatest one is chosen.
    """
    score = rendezvous_score(partition, target.name)
    # The complement of u: log1p and the lower bound keep the logarithm away
    # from zero when u rounds to one.  The half step keeps u above zero, but
    # the complement of scores below 1024 (one in 2 ** 54) rounds to one.
    complement = 1 - (score + 1 / 2) / (1 << SCORE_BITS)
    return target.slots / -math.log1p(-max(complement, sys.float_info.epsilon))


def choose_target(partition: int, targets: Iterable[Target]) -> Target:
    """Choose a partition's target by weighted rendezvous hashing.

    :param partition: Number of the partition.
    :param targets: Targets to choose from, at least one.
    :return: Target with the greatest score.
    """
    return max(targets, key=lambda target: capacity_score(partition, target))


def make_initial_home(service: Service) -> HomeRecord:
    """Choose the home zones of a new service's partitions.

    :param service: Service with at least one target.
    :return: First version of the service's home record.
    """
    zones = tuple(
        choose_target(partition, service.targets).zone
        for partition in range(service.partitions)
    )
    return HomeRecord(service.name, zones)


@attrs.frozen
class InitialPlanner:
    """Placement policy that ignores load and never rebalances."""

    def plan(
        self, inputs: PlacementInput, _now: float
    ) -> tuple[PlacementChange, ...]:
        """Assign the partitions that have no owner or an excluded one.

        :param inputs: Record, configuration and excluded targets.
        :return: Moves of these partitions.
        """
        changes: list[PlacementChange] = []
        for service in inputs.configuration.services:
            changes.extend(_moves_of_unowned(service, inputs))
        return tuple(changes)


def _moves_of_unowned(service: Service, inputs: PlacementInput) -> list[Move]:
    zone = inputs.record.zone
    allowed = {
        target.name: target
        for target in service.targets
        if target.zone == zone and target.name not in inputs.excluded
    }
    table = inputs.record.tables.get(service.name, EMPTY_TABLE)
    moves = []
    for partition in inputs.partitions.get(service.name, ()):
        owner = table.assignments.get(partition)
        if allowed and (owner is None or owner.target not in allowed):
            target = choose_target(partition, allowed.values())
            moves.append(Move(service.name, partition, target.name))
    return moves
