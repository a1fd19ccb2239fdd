"""Transfer of partitions from a lost zone to others, free of I/O.

The lost zone's record is closed first, under a higher term, so that its
coordinator cannot change it any more.  Then the partitions get other homes
with fences above every one that the lost zone gave.  The other zones take
them into their records as they take any partition without an owner.
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
    """Close the record of a lost zone.

    :param record: Record of the zone.
    :return: Record to write, or ``None`` if it is closed.
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
    """Open the record of a zone that is no longer declared lost.

    :param record: Closed record of the zone.
    :return: Record to write.
    """
    return attrs.evolve(record, version=record.version + 1, lost=False)


def transfer_home(
    home: HomeRecord, service: Service, fences: dict[str, int]
) -> HomeRecord | None:
    """Give the partitions of lost zones other homes.

    :param home: Home record of the service.
    :param service: The service.
    :param fences: Version of the closed record per lost zone.
    :return: Record to write, or ``None`` if nothing changes.
    """
    targets = [one for one in service.targets if one.zone not in fences]
    moved = [
        partition for partition, zone in enumerate(home.zones) if zone in fences
    ]
    if not moved or not targets:
        return None
    zones = list(home.zones)
    least = dict(home.min_fence)
    for partition in moved:
        fence = fences[zones[partition]]
        least[partition] = max(least.get(partition, 0), fence)
        zones[partition] = choose_target(partition, targets).zone
    return attrs.evolve(
        home, zones=tuple(zones), version=home.version + 1, min_fence=least
    )


def closed_zones(
    records: dict[str, ZoneRecord], declared: AbstractSet[str]
) -> dict[str, int]:
    """Select the zones whose partitions may get other homes.

    :param records: Record per zone.
    :param declared: Zones that are declared lost.
    :return: Version of the closed record per zone.
    """
    return {
        zone: record.version
        for zone, record in records.items()
        if zone in declared and record.lost
    }
