"""Reports of measured load and target health, sent to the coordinator."""

from __future__ import annotations

import attrs


@attrs.frozen
class PartitionLoad:
    """Measured load of one partition."""

    service: str
    """Name of the service."""
    partition: int
    """Number of the partition."""
    rate: float
    """Requests per second."""
    busy: float
    """Average number of slots that its requests occupy."""


@attrs.frozen
class KeyLoad:
    """Measured load of one of the hottest keys."""

    service: str
    """Name of the service."""
    key: str
    """Key of the requests."""
    rate: float
    """Lower bound of the requests per second."""


@attrs.frozen
class TargetHealth:
    """Health of one target, as observed by its leaseholder."""

    target: str
    """Name of the target."""
    unreachable_for: float
    """Time since the target's last answer, while requests to it fail, in
    seconds; zero if it answers."""
    draining: bool
    """Whether the target reports that it is draining."""


@attrs.frozen
class LoadReport:
    """Load and health of the targets whose leases one entry VM holds."""

    vm: str
    """Name of the reporting entry VM."""
    partitions: tuple[PartitionLoad, ...] = ()
    """Load of the busiest partitions, in descending order."""
    hot_keys: tuple[KeyLoad, ...] = ()
    """Load of the hottest keys, by descending request rate."""
    targets: tuple[TargetHealth, ...] = ()
    """Health of each target."""
