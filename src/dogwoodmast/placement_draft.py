"""Draft of the changes to one service's placement, free of I/O."""

from __future__ import annotations

import heapq
from typing import TypeVar

import attrs

from dogwoodmast.partition import rendezvous_score
from dogwoodmast.placement import Merge, Move, PlacementChange, Split
from dogwoodmast.service_loads import ServiceLoads
from dogwoodmast.target_loads import TargetLoads

MAX_SPLIT_KEYS = 64
"""Keys of a service that a zone splits out at most."""
OVERSHOOT = 1.6
"""Load that may move where nothing evens out, over the load that would."""

_Place = TypeVar('_Place', int, str)


@attrs.define(eq=False)
class PlacementDraft:
    """Changes chosen so far and the load as they will leave it."""

    _loads: ServiceLoads
    changes: list[PlacementChange] = attrs.field(factory=list)
    """Changes chosen so far."""
    targets: TargetLoads = attrs.field(init=False)
    """Load per target after these changes."""
    _owned: dict[str, list[int]] = attrs.field(init=False)
    _orphans: list[int] = attrs.field(factory=list)
    _touched: set[int] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Sum up the load per target."""
        self.targets = TargetLoads(self._loads.slots)
        self._owned = {target: [] for target in self._loads.slots}
        split_out = self._loads.table.hot_keys.values()
        known = dict.fromkeys((*self._loads.partitions, *split_out))
        for partition in known:
            self._take_in(partition)

    def assign_unowned(self) -> None:
        """Give every partition without owner to the least utilized target."""
        weight = self._loads.weight
        orphans = sorted(
            self._orphans, key=lambda orphan: (-weight(orphan), orphan)
        )
        queue = [
            (self.targets.utilization(target), rendezvous_score(target), target)
            for target in self._loads.slots
        ]
        heapq.heapify(queue)
        for partition in orphans:
            _, score, target = queue[0]
            self._move(partition, target)
            self.targets.add(target, weight(partition))
            utilization = self.targets.utilization(target)
            heapq.heapreplace(queue, (utilization, score, target))

    def cold_keys(self, share: float) -> list[str]:
        """Find split-out keys that may return to their partitions.

        :param share: Share of a target's mean load that is cold.
        :return: Keys, in order.
        """
        loads = self._loads
        slots = sum(loads.slots.values()) / len(loads.slots)
        cold = share * self.targets.mean * slots
        return [
            key
            for key, partition in sorted(loads.table.hot_keys.items())
            if loads.busy.get(partition, 0) <= cold
        ]

    def merge(self, key: str) -> bool:
        """Return a key to its hashed partition.

        :param key: Key that is split out.
        :return: Whether that conflicts with no other change.
        """
        partition = self._loads.table.hot_keys[key]
        hashed = self._loads.partition_of(key)
        if not self._touched.isdisjoint((partition, hashed)):
            return False
        self.changes.append(Merge(self._loads.service.name, key))
        self._touched.update((partition, hashed))
        return True

    def rebalance(self, floor: float, resident: dict[int, float]) -> int | None:
        """Move load from a target with much to the one with the least.

        :param floor: Utilization that a target must exceed to lose load.
        :param resident: Partitions that must stay.
        :return: Partition that it was moved out of, or ``None``.
        """
        *sources, target = reversed(self.targets.ascending())
        for source in sources:
            if self.targets.utilization(source) <= floor:
                return None
            most = self.targets.evening_load(source, target)
            movable = [
                partition
                for partition in self._owned[source]
                if partition not in resident and partition not in self._touched
            ]
            moved = self._move_best(movable, source, target, most)
            if moved is not None:
                return moved
        return None

    def _take_in(self, partition: int) -> None:
        assignment = self._loads.table.assignments.get(partition)
        if assignment is None or assignment.target not in self.targets:
            self._orphans.append(partition)
            return
        self.targets.add(assignment.target, self._loads.weight(partition))
        if partition in self._loads.busy:
            self._owned[assignment.target].append(partition)

    def _move_best(
        self, movable: list[int], source: str, target: str, most: float
    ) -> int | None:
        weights = {one: self._loads.weight(one) for one in movable}
        keys = self._key_weights(weights)
        for limit in (most, most * OVERSHOOT):
            partition = _heaviest(weights, limit)
            if partition is not None:
                self.targets.move(source, target, weights[partition])
                self._move(partition, target)
                return partition
            key = _heaviest(keys, limit)
            if key is not None:
                self.targets.move(source, target, keys[key])
                return self._split(key, target)
        return None

    def _key_weights(self, movable: dict[int, float]) -> dict[str, float]:
        loads = self._loads
        split_out = loads.table.hot_keys
        if len(split_out) >= MAX_SPLIT_KEYS:
            return {}
        return {
            key: loads.key_weight(key)
            for key in loads.hot_keys
            if key not in split_out and loads.partition_of(key) in movable
        }

    def _split(self, key: str, target: str) -> int:
        partition = self._loads.partition_of(key)
        self.changes.append(Split(self._loads.service.name, key, target))
        self._touched.add(partition)
        return partition

    def _move(self, partition: int, target: str) -> None:
        service = self._loads.service.name
        self.changes.append(Move(service, partition, target))
        self._touched.add(partition)


def _heaviest(weights: dict[_Place, float], limit: float) -> _Place | None:
    fitting = [place for place, weight in weights.items() if weight <= limit]
    return max(
        fitting, key=lambda place: (weights[place], str(place)), default=None
    )
