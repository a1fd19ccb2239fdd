"""Placement of partitions on the targets of one zone."""

from __future__ import annotations

from typing import Protocol

import attrs

from dogwoodmast.configuration import Configuration
from dogwoodmast.load_report import LoadReport
from dogwoodmast.ownership import ZoneRecord


@attrs.frozen
class Move:
    """Assign a partition to a target."""

    service: str
    """Name of the service."""
    partition: int
    """Partition."""
    target: str
    """New owner."""


@attrs.frozen
class Split:
    """Give a hot key a partition of its own on a target."""

    service: str
    """Name of the service."""
    key: str
    """Key."""
    target: str
    """New owner."""


@attrs.frozen
class Merge:
    """Return a key that is no longer hot to its hashed partition."""

    service: str
    """Name of the service."""
    key: str
    """Key."""


PlacementChange = Move | Split | Merge


@attrs.frozen
class PlacementInput:
    """What a placement decision is made from."""

    configuration: Configuration
    """Configuration in force."""
    record: ZoneRecord
    """Record of the zone."""
    reports: tuple[LoadReport, ...]
    """Latest report of each member."""
    excluded: frozenset[str]
    """Targets that must not own keys: leaving, drained or lost."""
    partitions: dict[str, tuple[int, ...]]
    """Partitions per service that the zone owns."""


class Planner(Protocol):
    """Policy that chooses where partitions go."""

    def plan(
        self, inputs: PlacementInput, now: float
    ) -> tuple[PlacementChange, ...]:
        """Choose the changes to make now.

        Partitions without an owner, or with an excluded one, are always
        assigned; the others move within the policy's budget.

        :param inputs: What is known.
        :param now: Monotonic time in seconds.
        :return: Changes, none of them in conflict.
        """
