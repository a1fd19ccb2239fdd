"""Selection of the changes of one service's placement; does no I/O."""

from __future__ import annotations

import heapq
from typing import TypeVar

import attrs

from dogwoodmast.partition import rendezvous_score
from dogwoodmast.placement import Merge, Move, PlacementChange, Split
from dogwoodmast.service_loads import ServiceLoads
from dogwoodmast.target_loads import TargetLoads

MAX_SPLIT_KEYS = 64
"""Maximum number of split-out keys per service in one zone."""
OVERSHOOT = 1.6
"""Maximum load of a move that overshoots balance, relative to the load that
would balance source and target.  Used if every candidate exceeds the latter;
without it, two hot keys of 2.8 busy slots each could not be separated where
1.95 would balance.  Below 2, the higher utilization of two targets with equal
slots still decreases."""

_Candidate = TypeVar('_Candidate', int, str)


@attrs.define(eq=False)
class PlacementDraft:
    """Changes chosen so far and the load per target after them."""

    _loads: ServiceLoads
    changes: list[PlacementChange] = attrs.field(factory=list)
    """Changes chosen so far; no two of them affect the same partition."""
    targets: TargetLoads = attrs.field(init=False)
    """Load per target, with the chosen changes applied."""
    _owned: dict[str, list[int]] = attrs.field(init=False)
    _unowned: list[int] = attrs.field(factory=list)
    _changed_partitions: set[int] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Sum the load per target and collect partitions without an owner."""
        self.targets = TargetLoads(self._loads.slots)
        self._owned = {target: [] for target in self._loads.slots}
        split_out = self._loads.table.hot_keys.values()
        owned_partitions = dict.fromkeys((*self._loads.partitions, *split_out))
        for partition in owned_partitions:
            self._add_partition(partition)

    def assign_unowned(self) -> None:
        """Assign the partitions without an owner to the least utilized targets.

        The heaviest partitions are assigned first.
        """
        weight = self._loads.weight
        unowned = sorted(
            self._unowned, key=lambda partition: (-weight(partition), partition)
        )
        target_heap = [
            (self.targets.utilization(target), rendezvous_score(target), target)
            for target in self._loads.slots
        ]
        heapq.heapify(target_heap)
        for partition in unowned:
            _, score, target = target_heap[0]
            self._move(partition, target)
            self.targets.add(target, weight(partition))
            utilization = self.targets.utilization(target)
            heapq.heapreplace(target_heap, (utilization, score, target))

    def cold_keys(self, share: float) -> list[str]:
        """Find split-out keys with little load.

        :param share: Maximum load of a cold key, as a fraction of the mean
            load of a target.
        :return: Cold keys in sorted order.
        """
        loads = self._loads
        slots = sum(loads.slots.values()) / len(loads.slots)
        max_cold_load = share * self.targets.mean * slots
        return [
            key
            for key, partition in sorted(loads.table.hot_keys.items())
            if loads.busy.get(partition, 0) <= max_cold_load
        ]

    def merge(self, key: str) -> bool:
        """Return a split-out key to the partition that it hashes to.

        :param key: Key that is split out.
        :return: ``False`` if a change already affects one of its partitions;
            nothing is changed then.
        """
        partition = self._loads.table.hot_keys[key]
        hashed = self._loads.partition_of(key)
        if not self._changed_partitions.isdisjoint((partition, hashed)):
            return False
        self.changes.append(Merge(self._loads.service.name, key))
        self._changed_partitions.update((partition, hashed))
        return True

    def rebalance(self, floor: float, pinned: dict[int, float]) -> int | None:
        """Move one partition or hot key to the least utilized target.

        The sources are tried by descending utilization.

        :param floor: Utilization that a target must exceed to be a source,
            as a fraction of its slots.
        :param pinned: Partitions that must not move, such as those that moved
            recently; the values are not used.
        :return: Partition that moved or that lost a hot key, or ``None`` if
            nothing can move.
        """
        *sources, target = reversed(self.targets.by_utilization())
        for source in sources:
            if self.targets.utilization(source) <= floor:
                return None
            balancing_load = self.targets.balancing_load(source, target)
            movable = [
                partition
                for partition in self._owned[source]
                if partition not in pinned
                and partition not in self._changed_partitions
            ]
            moved = self._move_best(movable, source, target, balancing_load)
            if moved is not None:
                return moved
        return None

    def _add_partition(self, partition: int) -> None:
        assignment = self._loads.table.assignments.get(partition)
        if assignment is None or assignment.target not in self.targets:
            self._unowned.append(partition)
            return
        self.targets.add(assignment.target, self._loads.weight(partition))
        if partition in self._loads.busy:
            self._owned[assignment.target].append(partition)

    def _move_best(
        self,
        movable: list[int],
        source: str,
        target: str,
        balancing_load: float,
    ) -> int | None:
        """Move the heaviest candidate that does not exceed the balancing load.

        If there is none, up to ``OVERSHOOT`` times that load may move.
        Partitions take precedence over hot keys.
        """
        weights = {
            partition: self._loads.weight(partition) for partition in movable
        }
        keys = self._key_weights(weights)
        for limit in (balancing_load, balancing_load * OVERSHOOT):
            partition = _heaviest_within(weights, limit)
            if partition is not None:
                self.targets.move(source, target, weights[partition])
                self._move(partition, target)
                return partition
            key = _heaviest_within(keys, limit)
            if key is not None:
                self.targets.move(source, target, keys[key])
                return self._split(key, target)
        return None

    def _key_weights(self, movable: dict[int, float]) -> dict[str, float]:
        """Return the load of each hot key that may be split out."""
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
        self._changed_partitions.add(partition)
        return partition

    def _move(self, partition: int, target: str) -> None:
        service = self._loads.service.name
        self.changes.append(Move(service, partition, target))
        self._changed_partitions.add(partition)


def _heaviest_within(
    weights: dict[_Candidate, float], limit: float
) -> _Candidate | None:
    fitting = [
        candidate for candidate, weight in weights.items() if weight <= limit
    ]
    return max(
        fitting,
        key=lambda candidate: (weights[candidate], str(candidate)),
        default=None,
    )
