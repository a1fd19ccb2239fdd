"""The coordinator's planning of assignments, free of I/O and clocks."""

from __future__ import annotations

import math

import attrs

from dogwoodmast.configuration import Configuration
from dogwoodmast.home_transfer import reopen_record
from dogwoodmast.load_report import LoadReport
from dogwoodmast.ownership import HomeRecord, ZoneRecord
from dogwoodmast.placement import PlacementInput, Planner
from dogwoodmast.record_changes import apply_changes, owned_partitions

PLAN_INTERVAL = 1.0
"""Time between two plans while nothing changes, in seconds."""
REPORT_LIFETIME = 15.0
"""Time after which a member's report is forgotten, in seconds."""
UNREACHABLE_TIMEOUT = 1.0
"""Time after which a target that does not answer is lost, in seconds."""


@attrs.frozen
class PlanningInputs:
    """What a plan depends on besides the zone's record."""

    configuration: Configuration
    """Configuration in force."""
    homes: dict[str, HomeRecord]
    """Home record per service."""
    excluded: frozenset[str] = frozenset()
    """Targets that are drained or leaving."""
    lost: bool = False
    """Whether the zone is declared lost."""


@attrs.define(eq=False)
class AssignmentPlanner:
    """Makes the next record of a zone from the placement policy."""

    _planner: Planner
    _inputs: PlanningInputs | None = None
    _reports: dict[str, tuple[float, LoadReport]] = attrs.field(factory=dict)
    _lost: frozenset[str] = frozenset()
    _next_at: float = -math.inf
    _planned: int = 0

    def on_inputs(self, inputs: PlanningInputs) -> None:
        """Take in what plans depend on.

        :param inputs: What is known now.
        """
        if inputs != self._inputs:
            self._inputs = inputs
            self._next_at = -math.inf

    def on_report(self, report: LoadReport, now: float) -> None:
        """Take in a member's report.

        :param report: The report.
        :param now: Current time.
        """
        self._reports[report.vm] = (now, report)
        lost = self._unfit_targets(now)
        if lost != self._lost:
            self._lost = lost
            self._next_at = -math.inf

    def next_record(self, record: ZoneRecord, now: float) -> ZoneRecord | None:
        """Plan the next record.

        :param record: Record of the zone.
        :param now: Current time.
        :return: Record to write, or ``None`` for no change.
        """
        inputs = self._inputs
        if inputs is None or inputs.lost:
            return None
        if record.lost:
            return reopen_record(record)
        if now < self._next_at and record.version == self._planned:
            return None
        self._next_at = now + PLAN_INTERVAL
        self._planned = record.version
        known = self._placement_input(inputs, record, now)
        changes = self._planner.plan(known, now)
        return apply_changes(
            record, inputs.configuration, inputs.homes, changes
        )

    def _placement_input(
        self, inputs: PlanningInputs, record: ZoneRecord, now: float
    ) -> PlacementInput:
        partitions = {}
        for service in inputs.configuration.services:
            home = inputs.homes.get(service.name)
            owned = owned_partitions(home, record.zone)
            table = record.tables.get(service.name)
            split = () if table is None else table.hot_keys.values()
            partitions[service.name] = (*owned, *split)
        return PlacementInput(
            configuration=inputs.configuration,
            record=record,
            reports=self._recent_reports(now),
            excluded=inputs.excluded | self._unfit_targets(now),
            partitions=partitions,
        )

    def _recent_reports(self, now: float) -> tuple[LoadReport, ...]:
        return tuple(
            report
            for at, report in self._reports.values()
            if now - at < REPORT_LIFETIME
        )

    def _unfit_targets(self, now: float) -> frozenset[str]:
        return frozenset(
            health.target
            for report in self._recent_reports(now)
            for health in report.targets
            if health.draining or health.unreachable_for >= UNREACHABLE_TIMEOUT
        )
