"""Planning of a zone's assignments by its coordinator.

The module does no I/O and reads no clock; callers pass in the time.
"""

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
"""Interval between plans while neither the record nor the inputs change, in
seconds."""
REPORT_LIFETIME = 15.0
"""Age from which a member's load report is ignored, in seconds."""
UNREACHABLE_TIMEOUT = 1.0
"""Time without an answer after which a target is excluded, in seconds."""


@attrs.frozen
class PlanningInputs:
    """Inputs of a plan besides the zone's record and the load reports."""

    configuration: Configuration
    """Configuration in force."""
    homes: dict[str, HomeRecord]
    """Home record per service name."""
    excluded: frozenset[str] = frozenset()
    """Names of the targets that are drained or leaving."""
    lost: bool = False
    """Whether the zone is declared lost, so that nothing is assigned in it."""


@attrs.define(eq=False)
class AssignmentPlanner:
    """Builds the next record of a zone from the placement policy's changes."""

    _planner: Planner
    _inputs: PlanningInputs | None = None
    _reports: dict[str, tuple[float, LoadReport]] = attrs.field(factory=dict)
    _unhealthy: frozenset[str] = frozenset()
    _next_plan_at: float = -math.inf
    _planned_version: int = 0

    def on_inputs(self, inputs: PlanningInputs) -> None:
        """Replace the inputs; if they differ, the next plan is due at once.

        :param inputs: Current inputs of a plan.
        """
        if inputs != self._inputs:
            self._inputs = inputs
            self._next_plan_at = -math.inf

    def on_report(self, report: LoadReport, now: float) -> None:
        """Store a member's load report in place of its previous one.

        If the set of unhealthy targets changes, the next plan is due at
        once.

        :param report: Load report of the member.
        :param now: Monotonic time in seconds.
        """
        self._reports[report.vm] = (now, report)
        unhealthy = self._unhealthy_targets(now)
        if unhealthy != self._unhealthy:
            self._unhealthy = unhealthy
            self._next_plan_at = -math.inf

    def next_record(self, record: ZoneRecord, now: float) -> ZoneRecord | None:
        """Plan the next record of the zone.

        :param record: Current record of the zone.
        :param now: Monotonic time in seconds.
        :return: Record to write, or ``None`` if nothing changes, no plan is
            due or the zone is declared lost.
        """
        inputs = self._inputs
        if inputs is None or inputs.lost:
            return None
        if record.lost:
            return reopen_record(record)
        if now < self._next_plan_at and record.version == self._planned_version:
            return None
        self._next_plan_at = now + PLAN_INTERVAL
        self._planned_version = record.version
        placement_input = self._make_placement_input(inputs, record, now)
        changes = self._planner.plan(placement_input, now)
        return apply_changes(
            record, inputs.configuration, inputs.homes, changes
        )

    def _make_placement_input(
        self, inputs: PlanningInputs, record: ZoneRecord, now: float
    ) -> PlacementInput:
        partitions = {}
        for service in inputs.configuration.services:
            home = inputs.homes.get(service.name)
            owned = owned_partitions(home, record.zone)
            table = record.tables.get(service.name)
            split_out = () if table is None else table.hot_keys.values()
            partitions[service.name] = (*owned, *split_out)
        return PlacementInput(
            configuration=inputs.configuration,
            record=record,
            reports=self._recent_reports(now),
            excluded=inputs.excluded | self._unhealthy_targets(now),
            partitions=partitions,
        )

    def _recent_reports(self, now: float) -> tuple[LoadReport, ...]:
        return tuple(
            report
            for received_at, report in self._reports.values()
            if now - received_at < REPORT_LIFETIME
        )

    def _unhealthy_targets(self, now: float) -> frozenset[str]:
        return frozenset(
            health.target
            for report in self._recent_reports(now)
            for health in report.targets
            if health.draining or health.unreachable_for >= UNREACHABLE_TIMEOUT
        )
