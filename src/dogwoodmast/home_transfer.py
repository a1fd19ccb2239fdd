"""Transfer of partitions from a lost zone to other zones.

The functions do no I/O.  The transfer has three steps:

1. The record of the lost zone is closed: it is written with a higher term
   and without assignments.  Writes of that zone's coordinator then fail,
   since they are based on an older version.
2. The partitions get other home zones.  Their minimum fence is raised to the
   version of the closed record, which exceeds every fence that the lost zone
   issued.
3. The coordinators of the new home zones assign the partitions to targets,
   like any partition without an owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.initial_placement import choose_target

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from dogwoodmast.configuration import Service
    from dogwoodmast.ownership import HomeRecord, ZoneRecord


def close_record(record: ZoneRecord) -> ZoneRecord | None:
    """Remove all assignments from the record of a lost zone.

    :param record: Record of the zone.
    :return: Closed record to write, or ``None`` if it is already closed.
    """
    if record.lost:
        return None
    return attrs.evolve(
        record,
        term=record.term + 1,
        version=record.version + 1,
        tables={},
        lost=True,
    )


def reopen_record(record: ZoneRecord) -> ZoneRecord:
    """Clear the lost flag of a zone that is no longer declared lost.

    :param record: Closed record of the zone.
    :return: Record to write; it has no assignments yet.
    """
    return attrs.evolve(record, version=record.version + 1, lost=False)


def transfer_home(
    home: HomeRecord, service: Service, fences: dict[str, int]
) -> HomeRecord | None:
    """Choose other home zones for a service's partitions in lost zones.

    A partition goes to the zone of the target that weighted rendezvous
    hashing selects among the targets outside the lost zones.

    :param home: Home record of the service.
    :param service: Service that the partitions belong to.
    :param fences: Version of the closed record per lost zone; the next
        assignment of a transferred partition gets a greater fence.
    :return: Record to write, or ``None`` if no partition is in a lost zone
        or no target is outside of them.
    """
    targets = [
        target for target in service.targets if target.zone not in fences
    ]
    moved = [
        partition for partition, zone in enumerate(home.zones) if zone in fences
    ]
    if not moved or not targets:
        return None
    zones = list(home.zones)
    min_fences = dict(home.min_fence)
    for partition in moved:
        fence = fences[zones[partition]]
        min_fences[partition] = max(min_fences.get(partition, 0), fence)
        zones[partition] = choose_target(partition, targets).zone
    return attrs.evolve(
        home, zones=tuple(zones), version=home.version + 1, min_fence=min_fences
    )


def closed_record_versions(
    records: dict[str, ZoneRecord], declared: AbstractSet[str]
) -> dict[str, int]:
    """Select the zones whose partitions may be transferred.

    :param records: Zone record per zone.
    :param declared: Names of the zones that operators declared lost.
    :return: Version of the closed record per zone that is declared lost and
        whose record is closed.
    """
    return {
        zone: record.version
        for zone, record in records.items()
        if zone in declared and record.lost
    }
