"""Application of placement changes to a zone's record.

The fence of a new assignment is the version of the record that makes it.
A split or merge also gives a new fence to the partition that the key hashes
to, since that partition loses or regains a key.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.configuration import Configuration, Service
from dogwoodmast.ownership import (
    Assignment,
    HomeRecord,
    ServiceTable,
    ZoneRecord,
)
from dogwoodmast.partition import partition_of
from dogwoodmast.placement import Merge, Move, PlacementChange, Split

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

EMPTY_TABLE = ServiceTable({})
"""Table of a service none of whose partitions is assigned in the zone."""
MAX_DESCRIBED_ASSIGNMENTS = 20
"""Maximum number of assignments that an audit entry lists."""


@attrs.define
class _TableEdit:
    """Mutable copy of a service's table."""

    service: Service
    assignments: dict[int, Assignment]
    hot_keys: dict[str, int]

    def assign(self, partition: int, target: str, fence: int) -> None:
        """Assign a partition to a target."""
        self.assignments[partition] = Assignment(target, fence)

    def refence(self, key: str, fence: int) -> None:
        """Give a new fence to the partition that a key hashes to."""
        partition = partition_of(key, self.service.partitions)
        owner = self.assignments.get(partition)
        if owner is not None:
            self.assign(partition, owner.target, fence)

    def split(self, key: str, target: str, fence: int) -> None:
        """Move a key to a new partition of its own, at a given target."""
        partition = self.service.partitions
        while partition in self.assignments:
            partition += 1
        self.refence(key, fence)
        self.hot_keys[key] = partition
        self.assign(partition, target, fence)

    def merge(self, key: str, fence: int) -> None:
        """Return a split-out key to the partition that it hashes to."""
        partition = self.hot_keys.pop(key, None)
        if partition is not None:
            self.assignments.pop(partition, None)
            self.refence(key, fence)

    def retain(self, partitions: Iterable[int]) -> None:
        """Drop the assignments of partitions that the zone no longer owns.

        The partitions of keys that were split out of them are dropped too.
        """
        owned = set(partitions)
        for key in list(self.hot_keys):
            if partition_of(key, self.service.partitions) not in owned:
                self.assignments.pop(self.hot_keys.pop(key), None)
        owned.update(self.hot_keys.values())
        for partition in set(self.assignments) - owned:
            self.assignments.pop(partition)


def apply_changes(
    record: ZoneRecord,
    configuration: Configuration,
    homes: Mapping[str, HomeRecord],
    changes: Iterable[PlacementChange],
) -> ZoneRecord | None:
    """Build the next version of a zone's record.

    Assignments of partitions that the zone no longer owns and of services
    that are no longer configured are dropped, also without any changes.

    :param record: Record of the zone.
    :param configuration: Configuration in force.
    :param homes: Home record per service name.
    :param changes: Changes that the placement policy chose.
    :return: Record to write, or ``None`` if no assignment changes.
    """
    change_list = list(changes)
    version = _next_version(record, homes, change_list)
    edits = _make_edits(record, configuration, homes)
    for change in change_list:
        _apply(edits, change, version)
    tables = {
        name: ServiceTable(edit.assignments, edit.hot_keys)
        for name, edit in edits.items()
        if edit.assignments
    }
    if tables == record.tables:
        return None
    return attrs.evolve(record, version=version, tables=tables)


def owned_partitions(home: HomeRecord | None, zone: str) -> tuple[int, ...]:
    """List the partitions of a service that a zone owns.

    Partitions of split-out keys are not included.

    :param home: Home record of the service, or ``None`` if there is none.
    :param zone: Name of the availability zone.
    :return: Numbers of the partitions, in ascending order.
    """
    zones = () if home is None else home.zones
    return tuple(
        partition for partition, owner in enumerate(zones) if owner == zone
    )


def describe_changes(base: ZoneRecord, record: ZoneRecord) -> str:
    """Describe a new version of a record for the audit trail.

    :param base: Record that the new version is based on.
    :param record: New version of the record.
    :return: Version, term, changed member list and the first
        ``MAX_DESCRIBED_ASSIGNMENTS`` changed assignments.
    """
    parts = [f'version {record.version}', f'term {record.term}']
    if base.members != record.members:
        listed = ' '.join(member.vm for member in record.members)
        parts.append(f'members {listed}')
    moved = [
        f'{name}/{partition} to {assignment.target}'
        for name, table in record.tables.items()
        for partition, assignment in table.assignments.items()
        if base.find_assignment(name, partition) != assignment
    ]
    parts.extend(moved[:MAX_DESCRIBED_ASSIGNMENTS])
    if len(moved) > MAX_DESCRIBED_ASSIGNMENTS:
        parts.append(f'and {len(moved) - MAX_DESCRIBED_ASSIGNMENTS} more')
    return ', '.join(parts)


def _make_edits(
    record: ZoneRecord,
    configuration: Configuration,
    homes: Mapping[str, HomeRecord],
) -> dict[str, _TableEdit]:
    edits = {}
    for service in configuration.services:
        table = record.tables.get(service.name, EMPTY_TABLE)
        edit = _TableEdit(
            service, dict(table.assignments), dict(table.hot_keys)
        )
        edit.retain(owned_partitions(homes.get(service.name), record.zone))
        edits[service.name] = edit
    return edits


def _apply(
    edits: Mapping[str, _TableEdit], change: PlacementChange, fence: int
) -> None:
    edit = edits[change.service]
    match change:
        case Move(_, partition, target):
            edit.assign(partition, target, fence)
        case Split(_, key, target):
            edit.split(key, target, fence)
        case Merge(_, key):
            edit.merge(key, fence)


def _next_version(
    record: ZoneRecord,
    homes: Mapping[str, HomeRecord],
    changes: Iterable[PlacementChange],
) -> int:
    """Choose a version above the minimum fences of all moved partitions.

    The version becomes the fence of the new assignments.
    """
    version = record.version + 1
    for change in changes:
        home = homes.get(change.service)
        if home is not None and isinstance(change, Move):
            min_fence = home.min_fence.get(change.partition, 0)
            version = max(version, min_fence + 1)
    return version
