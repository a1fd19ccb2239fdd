"""Lookup of the target that owns a key, and of the target's leaseholder.

A key is hashed to a partition of its service.  The home record names the
zone of the partition, and that zone's record assigns the partition to a
target.  Requests reach the target through its leaseholder, the one entry VM
that holds the target's dispatch lease.
"""

from __future__ import annotations

import attrs

from dogwoodmast.address import Address
from dogwoodmast.backend import Grant
from dogwoodmast.configuration import Configuration, Service
from dogwoodmast.errors import DogwoodmastError
from dogwoodmast.ownership import (
    HomeRecord,
    ServiceTable,
    ZoneRecord,
)
from dogwoodmast.partition import partition_of


class RoutingError(DogwoodmastError):
    """No route to the owner of a key is known."""


@attrs.define
class NoOwner(RoutingError):
    """The partition of the key is not assigned to any target."""

    service: str
    """Name of the service."""
    partition: int
    """Number of the partition."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return (
            'no target is assigned to partition '
            f'{self.service}/{self.partition}'
        )


@attrs.define
class NoLeaseholder(RoutingError):
    """No entry VM is known to hold the lease of the owning target."""

    target: str
    """Name of the target."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'no entry VM holds the lease of target {self.target}'


def make_grant(service: str, partition: int, fence: int) -> Grant:
    """Make the grant that lets a target run a partition's requests.

    :param service: Name of the service.
    :param partition: Number of the partition.
    :param fence: Fencing token of the partition's assignment.
    :return: Grant for the partition ``service/partition``.
    """
    return Grant(f'{service}/{partition}', fence)


@attrs.frozen
class Leaseholder:
    """Entry VM that holds the dispatch lease of a target."""

    vm: str
    """Name of the entry VM."""
    address: Address
    """Address on which it accepts links."""


@attrs.frozen
class Route:
    """Owner of a key and the entry VM to send its requests to."""

    service: str
    """Name of the service."""
    zone: str
    """Availability zone of the owning target."""
    partition: int
    """Number of the key's partition."""
    target: str
    """Name of the target that owns the key."""
    fence: int
    """Fencing token of the partition's assignment."""
    holder: Leaseholder
    """Holder of the target's dispatch lease."""

    @property
    def grant(self) -> Grant:
        """Partition and fencing token that are sent with each request."""
        return make_grant(self.service, self.partition, self.fence)


@attrs.frozen
class RoutingView:
    """Snapshot of the configuration and records that requests are routed by."""

    configuration: Configuration
    """Configuration in force."""
    homes: dict[str, HomeRecord]
    """Zone of every hashed partition, by name of the service."""
    zones: dict[str, ZoneRecord]
    """Members and assignments of every zone, by name of the zone."""
    holders: dict[str, Leaseholder]
    """Leaseholder by name of the target."""

    def resolve(self, service: Service, key: str) -> Route:
        """Find the route to the owner of a key.

        A hot key may have been split out of its hashed partition into one
        of its own.

        :param service: Service that the key belongs to.
        :param key: Key, percent-decoded.
        :return: Route to the target that owns the key.
        :raises NoOwner: If its partition is not assigned.
        :raises NoLeaseholder: If nobody is known to hold the target's
            lease.
        """
        hashed = partition_of(key, service.partitions)
        zone = self._home_zone(service.name, hashed)
        table = self._table(zone, service.name)
        if table is None:
            raise NoOwner(service.name, hashed)
        partition = table.hot_keys.get(key, hashed)
        return self._route(service.name, zone, partition, table)

    def resolve_partition(self, service: str, partition: int) -> Route:
        """Find the route to the owner of a partition.

        :param service: Name of the service.
        :param partition: Number of a hashed partition, or of one that was
            split out for a hot key.
        :return: Route to the target that owns the partition.
        :raises NoOwner: If the partition is not assigned.
        :raises NoLeaseholder: If nobody is known to hold the target's
            lease.
        """
        for zone, record in self.zones.items():
            table = record.table(service)
            if table is not None and partition in table.assignments:
                return self._route(service, zone, partition, table)
        raise NoOwner(service, partition)

    def _home_zone(self, service: str, partition: int) -> str:
        home = self.homes.get(service)
        if home is None or partition >= len(home.zones):
            raise NoOwner(service, partition)
        return home.zones[partition]

    def _table(self, zone: str, service: str) -> ServiceTable | None:
        record = self.zones.get(zone)
        return None if record is None else record.table(service)

    def _route(
        self, service: str, zone: str, partition: int, table: ServiceTable
    ) -> Route:
        assignment = table.assignments.get(partition)
        if assignment is None:
            raise NoOwner(service, partition)
        holder = self.holders.get(assignment.target)
        if holder is None:
            raise NoLeaseholder(assignment.target)
        return Route(
            service=service,
            zone=zone,
            partition=partition,
            target=assignment.target,
            fence=assignment.fence,
            holder=holder,
        )
