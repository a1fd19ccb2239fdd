"""Interface of placement policies: inputs, changes and planner.

Placement assigns the partitions of a zone to targets of the same zone.
"""

from __future__ import annotations

from typing import Protocol

import attrs

from dogwoodmast.configuration import Configuration
from dogwoodmast.load_report import LoadReport
from dogwoodmast.ownership import ZoneRecord


@attrs.frozen
class Move:
    """Assignment of a partition to a target."""

    service: str
    """Name of the service."""
    partition: int
    """Number of the partition."""
    target: str
    """Name of the target that becomes the owner."""


@attrs.frozen
class Split:
    """Move of a hot key to a new partition of its own."""

    service: str
    """Name of the service."""
    key: str
    """Hot key to split out of the partition that it hashes to."""
    target: str
    """Name of the target that becomes the owner."""


@attrs.frozen
class Merge:
    """Return of a split-out key to the partition that it hashes to."""

    service: str
    """Name of the service."""
    key: str
    """Key that is split out and no longer hot."""


PlacementChange = Move | Split | Merge
"""Any change that a placement policy may choose."""


@attrs.frozen
class PlacementInput:
    """Inputs of a placement decision."""

    configuration: Configuration
    """Configuration in force."""
    record: ZoneRecord
    """Current record of the zone."""
    reports: tuple[LoadReport, ...]
    """Latest load report of each member, without expired ones."""
    excluded: frozenset[str]
    """Names of the targets that must not own partitions: those that are
    leaving, drained or unreachable."""
    partitions: dict[str, tuple[int, ...]]
    """Partitions that the zone owns per service name, including those of
    split-out keys."""


class Planner(Protocol):
    """Placement policy."""

    def plan(
        self, inputs: PlacementInput, now: float
    ) -> tuple[PlacementChange, ...]:
        """Choose the changes to apply to the record now.

        Partitions without an owner or with an excluded one are always
        assigned if a target may own them.  The number of other moves is
        limited by the policy.

        :param inputs: Inputs of the decision.
        :param now: Monotonic time in seconds.
        :return: Changes; no two of them affect the same partition.
        """
