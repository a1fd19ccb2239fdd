"""Ownership of partitions: home records, zone records and holder tables.

The home record of a service assigns each of its partitions to a zone.  The
record of a zone lists the zone's members and assigns each partition of the
zone to a target.  Both are stored in the platform.  The fence of an
assignment is the version of the zone record that made it, so that the fences
of a partition only grow.  A holder table, which is not stored, names the
entry VM that is to hold the lease of each target.
"""

from __future__ import annotations

from typing import Any

import attrs

from dogwoodmast._documents import converter
from dogwoodmast.address import Address
from dogwoodmast.zone_protocol import member_number

ZONE_PREFIX = '/dogwoodmast/zones/'
"""Prefix of the platform keys of zone records."""
HOME_PREFIX = '/dogwoodmast/homes/'
"""Prefix of the platform keys of home records."""


def zone_key(zone: str) -> str:
    """Build the platform key of a zone's record.

    :param zone: Name of the availability zone.
    :return: Platform key.
    """
    return f'{ZONE_PREFIX}{zone}'


def home_key(service: str) -> str:
    """Build the platform key of a service's home record.

    :param service: Name of the service.
    :return: Platform key.
    """
    return f'{HOME_PREFIX}{service}'


@attrs.frozen
class Member:
    """Process of an entry VM that takes part in the zone protocol."""

    vm: str
    """Name of the entry VM."""
    incarnation: str
    """Identity of the process, new at every start; a later one compares
    greater."""
    address: Address
    """Address at which the process accepts links."""

    @property
    def number(self) -> int:
        """Number that identifies the process in messages, derived from its
        incarnation."""
        return member_number(self.incarnation)


@attrs.frozen
class Assignment:
    """Assignment of a partition to a target."""

    target: str
    """Name of the target."""
    fence: int
    """Fencing token: version of the zone record that made the assignment."""


@attrs.frozen
class ServiceTable:
    """Partitions of one service that one zone owns."""

    assignments: dict[int, Assignment]
    """Assignment per partition number; split-out partitions are included."""
    hot_keys: dict[str, int] = attrs.field(factory=dict)
    """Number of the own partition of each key that is split out of the
    partition that it hashes to."""


@attrs.frozen
class ZoneRecord:
    """Members of one zone and assignments of the zone's partitions."""

    zone: str
    """Name of the availability zone."""
    term: int
    """Term of the coordinator epoch that wrote the record."""
    version: int
    """Version of the record; it increases with every write."""
    members: tuple[Member, ...]
    """Members in the order in which they succeed as coordinator."""
    tables: dict[str, ServiceTable]
    """Assignments per service name; services without any are left out."""
    change_id: str = ''
    """Identity of the write of this version, also in the audit trail."""
    lost: bool = False
    """Whether the record is closed because the zone was declared lost."""
    members_version: int = 0
    """Version of the record that last changed the member list."""

    def find_member(self, number: int) -> Member | None:
        """Find a member by its number.

        :param number: Number of the member.
        :return: Member with this number, or ``None`` if it is not listed.
        """
        for member in self.members:
            if member.number == number:
                return member
        return None

    def find_assignment(
        self, service: str, partition: int
    ) -> Assignment | None:
        """Find the assignment of a partition.

        :param service: Name of the service.
        :param partition: Number of the partition.
        :return: Assignment, or ``None`` if the partition is not assigned in
            this zone.
        """
        table = self.tables.get(service)
        return None if table is None else table.assignments.get(partition)

    def table(self, service: str) -> ServiceTable | None:
        """Find the assignments of a service.

        :param service: Name of the service.
        :return: Table of the service, or ``None`` if the zone has none.
        """
        return self.tables.get(service)


@attrs.frozen
class HolderTable:
    """Planned leaseholders of one zone's targets.

    The zone's coordinator publishes it to the other entry VMs, which route
    requests by it.  It is not stored in the platform.
    """

    zone: str
    """Name of the availability zone."""
    coordinator: Member
    """Coordinator of the zone, which published the table."""
    holders: dict[str, Member]
    """Planned leaseholder per target name."""


@attrs.frozen
class HomeRecord:
    """Assignment of one service's partitions to zones."""

    service: str
    """Name of the service."""
    zones: tuple[str, ...]
    """Name of the owning zone per partition, indexed by partition number."""
    version: int = 1
    """Version of the record; it increases with every write."""
    min_fence: dict[int, int] = attrs.field(factory=dict)
    """Fence per partition number that its next assignment has to exceed; set
    when a partition is transferred from a lost zone."""
    change_id: str = ''
    """Identity of the write of this version, also in the audit trail."""


def _unstructure_table(table: ServiceTable) -> dict[str, Any]:
    """Convert a table to its stored form, with each target name only once.

    An assignment is stored as partition, index of the target and fence.
    """
    names = sorted(
        {assignment.target for assignment in table.assignments.values()}
    )
    index = {name: number for number, name in enumerate(names)}
    return {
        'targets': names,
        'assignments': [
            (partition, index[assignment.target], assignment.fence)
            for partition, assignment in sorted(table.assignments.items())
        ],
        'hot_keys': table.hot_keys,
    }


def _structure_table(
    document: dict[str, Any], _: type[ServiceTable]
) -> ServiceTable:
    targets = document['targets']
    return ServiceTable(
        assignments={
            partition: Assignment(targets[index], fence)
            for partition, index, fence in document['assignments']
        },
        hot_keys=dict(document.get('hot_keys', {})),
    )


def _unstructure_home(home: HomeRecord) -> dict[str, Any]:
    """Convert a home record to its stored form, with each zone name only once.

    The zone of a partition is stored as its index in the list of names.
    """
    names = sorted(set(home.zones))
    index = {name: number for number, name in enumerate(names)}
    return {
        'service': home.service,
        'names': names,
        'zones': [index[zone] for zone in home.zones],
        'version': home.version,
        'min_fence': sorted(home.min_fence.items()),
        'change_id': home.change_id,
    }


def _structure_home(
    document: dict[str, Any], _: type[HomeRecord]
) -> HomeRecord:
    names = document['names']
    return HomeRecord(
        service=document['service'],
        zones=tuple(names[index] for index in document['zones']),
        version=document['version'],
        min_fence=dict(document['min_fence']),
        change_id=document['change_id'],
    )


converter.register_unstructure_hook(ServiceTable, _unstructure_table)
converter.register_structure_hook(ServiceTable, _structure_table)
converter.register_unstructure_hook(HomeRecord, _unstructure_home)
converter.register_structure_hook(HomeRecord, _structure_home)
