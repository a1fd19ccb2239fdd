"""Records of ownership that the platform keeps.

A zone's record lists its members and assigns each partition that the zone
owns to a target.  The fence of an assignment is the version of the record
that made it, so that fences only grow.  The home record of a service says
which zone owns each partition.
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
    """Name the platform key of a zone's record.

    :param zone: Availability zone.
    :return: Platform key.
    """
    return f'{ZONE_PREFIX}{zone}'


def home_key(service: str) -> str:
    """Name the platform key of a service's home record.

    :param service: Service.
    :return: Platform key.
    """
    return f'{HOME_PREFIX}{service}'


@attrs.frozen
class Member:
    """An entry VM listed in a zone's record."""

    vm: str
    """Name of the entry VM."""
    incarnation: str
    """Identity of the run of its process."""
    address: Address
    """Address of its links."""

    @property
    def number(self) -> int:
        """Number that stands for the member in messages."""
        return member_number(self.incarnation)


@attrs.frozen
class Assignment:
    """Assignment of one partition to a target."""

    target: str
    """Name of the target."""
    fence: int
    """Version of the record that made the assignment."""


@attrs.frozen
class ServiceTable:
    """A service's partitions that one zone owns."""

    assignments: dict[int, Assignment]
    """Assignment per partition."""
    hot_keys: dict[str, int] = attrs.field(factory=dict)
    """Partition of each key that is split out of its hashed partition."""


@attrs.frozen
class ZoneRecord:
    """Ownership within one zone."""

    zone: str
    """Availability zone."""
    term: int
    """Term of the coordinator that wrote the record."""
    version: int
    """Version of the record; a later one has a greater number."""
    members: tuple[Member, ...]
    """Members in the order of succession."""
    tables: dict[str, ServiceTable]
    """Table per service."""
    change_id: str = ''
    """Identity of the change that wrote this version."""
    lost: bool = False
    """Whether the zone was declared lost."""
    members_version: int = 0
    """Version of the record that last changed who is listed."""

    def find_member(self, number: int) -> Member | None:
        """Find a member by its number.

        :param number: Number of the member.
        :return: The member, or ``None`` if it is not listed.
        """
        for member in self.members:
            if member.number == number:
                return member
        return None

    def find_assignment(
        self, service: str, partition: int
    ) -> Assignment | None:
        """Find who owns a partition.

        :param service: Name of the service.
        :param partition: Partition.
        :return: Its assignment, or ``None``.
        """
        table = self.tables.get(service)
        return None if table is None else table.assignments.get(partition)

    def table(self, service: str) -> ServiceTable | None:
        """Find the table of a service.

        :param service: Name of the service.
        :return: The table, or ``None``.
        """
        return self.tables.get(service)


@attrs.frozen
class HolderTable:
    """Entry VMs that front the targets of one zone; never stored."""

    zone: str
    """Availability zone."""
    coordinator: Member
    """Entry VM that coordinates the zone."""
    holders: dict[str, Member]
    """Entry VM per target that is to front it."""


@attrs.frozen
class HomeRecord:
    """Zones that own the partitions of one service."""

    service: str
    """Name of the service."""
    zones: tuple[str, ...]
    """Zone per partition, in the order of the partitions."""
    version: int = 1
    """Version of the record; a later one has a greater number."""
    min_fence: dict[int, int] = attrs.field(factory=dict)
    """Fence that a partition's next assignment must exceed."""
    change_id: str = ''
    """Identity of the change that wrote this version."""


def _unstructure_table(table: ServiceTable) -> dict[str, Any]:
    names = sorted({one.target for one in table.assignments.values()})
    index = {name: number for number, name in enumerate(names)}
    return {
        'targets': names,
        'assignments': [
            (partition, index[one.target], one.fence)
            for partition, one in sorted(table.assignments.items())
        ],
        'hot_keys': table.hot_keys,
    }


def _structure_table(
    document: dict[str, Any], _: type[ServiceTable]
) -> ServiceTable:
    targets = document['targets']
    return ServiceTable(
        assignments={
            partition: Assignment(targets[owner], fence)
            for partition, owner, fence in document['assignments']
        },
        hot_keys=dict(document.get('hot_keys', {})),
    )


def _unstructure_home(home: HomeRecord) -> dict[str, Any]:
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
        zones=tuple(names[zone] for zone in document['zones']),
        version=document['version'],
        min_fence=dict(document['min_fence']),
        change_id=document['change_id'],
    )


converter.register_unstructure_hook(ServiceTable, _unstructure_table)
converter.register_structure_hook(ServiceTable, _structure_table)
converter.register_unstructure_hook(HomeRecord, _unstructure_home)
converter.register_structure_hook(HomeRecord, _structure_home)
