"""Zone record of a placement simulation.

Changes are applied to it as by the coordinator of the zone.
"""

from __future__ import annotations

from itertools import count

import attrs

from dogwoodmast.configuration import Service
from dogwoodmast.ownership import Assignment, ServiceTable, ZoneRecord
from dogwoodmast.placement import Merge, Move, PlacementChange, Split

ZONE = 'zone'


@attrs.define(eq=False)
class SimulatedRecord:
    """Assignments of one service in one zone."""

    _service: Service
    _version: int = 1
    _assignments: dict[int, Assignment] = attrs.field(factory=dict)
    _hot_keys: dict[str, int] = attrs.field(factory=dict)

    @property
    def hot_keys(self) -> dict[str, int]:
        """Own partition of each key that is split out."""
        return self._hot_keys

    @property
    def document(self) -> ZoneRecord:
        """Record of the zone."""
        table = ServiceTable(dict(self._assignments), dict(self._hot_keys))
        tables = {self._service.name: table}
        return ZoneRecord(ZONE, 1, self._version, (), tables)

    def owner(self, partition: int) -> str | None:
        """Find the target that owns a partition.

        :param partition: Partition.
        :return: Name of the target; ``None`` if the partition is not
            assigned.
        """
        assignment = self._assignments.get(partition)
        return None if assignment is None else assignment.target

    def apply(self, change: PlacementChange) -> None:
        """Apply one change and increase the version of the record.

        :param change: Change of the placement.
        """
        self._version += 1
        match change:
            case Move(_, partition, target):
                self._assign(partition, target)
            case Split(_, key, target):
                used_numbers = set(self._hot_keys.values())
                candidates = count(self._service.partitions)
                free_number = next(
                    candidate
                    for candidate in candidates
                    if candidate not in used_numbers
                )
                self._hot_keys[key] = free_number
                self._assign(free_number, target)
            case Merge(_, key):
                self._assignments.pop(self._hot_keys.pop(key))

    def _assign(self, partition: int, target: str) -> None:
        self._assignments[partition] = Assignment(target, self._version)
