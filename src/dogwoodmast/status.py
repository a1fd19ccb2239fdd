"""Status report of an entry VM, for operators.

An entry VM responds to ``GET /-/status`` with a :class:`StatusReport` as a
JSON document.
"""

from __future__ import annotations

import attrs

STATUS_PATH = '/-/status'
"""HTTP path of the status report."""


@attrs.frozen
class OrderStatus:
    """An operator's order that the entry VM has received."""

    subject: str
    """Order in words, such as ``drain balance-pikine-1``."""
    change_id: str
    """Id of the change that created the order."""


@attrs.frozen
class ZoneStatus:
    """State of one zone as received by the entry VM."""

    zone: str
    """Name of the zone."""
    record_version: int
    """Version of the latest zone record that the entry VM has received."""
    term: int
    """Term of the coordinator that wrote the record."""
    coordinator: str | None
    """Entry VM that coordinates the zone, or ``None`` before its holder table
    was received."""
    members: tuple[str, ...]
    """Entry VMs of the zone, in the order in which they take over from the
    coordinator."""
    floor: int
    """Low watermark of the entry VM's own zone: the record version at which
    all members are known to have settled; zero for other zones."""
    holders: dict[str, str]
    """Entry VM per target that is to hold the target's dispatch lease."""
    partitions: dict[str, int] = attrs.field(factory=dict)
    """Number of partitions per target; targets without any are left out."""
    orders: tuple[OrderStatus, ...] = ()
    """Orders of all zones, listed under the entry VM's own zone; empty for
    other zones."""
    lost: bool = False
    """Whether the zone is recorded as lost."""


@attrs.frozen
class LeaseStatus:
    """State of one target that the entry VM dispatches to."""

    target: str
    """Name of the target."""
    seconds_left: float
    """Time until the dispatch lease expires, in seconds; zero if it has
    expired or was never granted."""
    waiting: int
    """Number of requests that wait for the target."""
    in_flight: int
    """Number of slots of the target that are in use."""


@attrs.frozen
class PlatformStatus:
    """Whether the entry VM can reach the platform."""

    reachable: bool
    """Whether the latest read or watch succeeded; also true before the first
    read."""
    since: float
    """Time of the last change between reachable and unreachable, in seconds
    since the Unix epoch; zero before the first read."""


@attrs.frozen
class StatusReport:
    """Status of one entry VM."""

    vm: str
    """Name of the entry VM."""
    zone: str
    """Availability zone of the entry VM."""
    incarnation: str
    """Incarnation of its process: an id that is new after each restart."""
    configuration_version: int
    """Version of the configuration in force on the entry VM; zero before it
    has received any."""
    zones: tuple[ZoneStatus, ...]
    """Zones whose records it has received; empty without a configuration."""
    leases: tuple[LeaseStatus, ...]
    """Targets that it dispatches to, sorted by name."""
    platform: PlatformStatus
    """Whether it can reach the platform."""

    @property
    def own_zone(self) -> ZoneStatus | None:
        """Status of the entry VM's own zone, or ``None`` before its record was
        received."""
        for zone in self.zones:
            if zone.zone == self.zone:
                return zone
        return None
