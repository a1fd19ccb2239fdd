"""Changes of a zone's record, one at a time, free of I/O and clocks."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.membership import (
    Membership,
    with_member,
    with_new_term,
    without_member,
)
from dogwoodmast.ownership import Member, ZoneRecord

if TYPE_CHECKING:
    from dogwoodmast.zone_coordinator import ZoneCoordinator

RecordPlan = Callable[[ZoneRecord, float], ZoneRecord | None]
"""Chooses the next assignment of partitions, or ``None`` for no change."""


@attrs.frozen
class WriteRecord:
    """Action: replace the zone's record in the platform."""

    base: ZoneRecord
    """Record that the change is based on."""
    record: ZoneRecord
    """Record to write."""
    what: str
    """Kind of the change, for the audit trail."""

    @property
    def begins_term(self) -> bool:
        """Whether the write begins a term."""
        return self.record.term > self.base.term


@attrs.define(eq=False)
class RecordWriteScheduler:
    """Chooses the writes of one entry VM."""

    _me: Member
    _membership: Membership
    _plan: RecordPlan
    _writing: WriteRecord | None = None
    _not_before: float = -math.inf

    @property
    def is_busy(self) -> bool:
        """Whether a write has not been answered yet."""
        return self._writing is not None

    def begin_term(self, record: ZoneRecord) -> WriteRecord | None:
        """Propose a new term with this member first.

        :param record: Record of the zone.
        :return: The write, or ``None`` while another one runs.
        """
        if self._writing is not None:
            return None
        return self._begin(record, with_new_term(record, self._me), 'term')

    def next_write(
        self, coordinator: ZoneCoordinator, now: float
    ) -> WriteRecord | None:
        """Choose what a coordinator that acts writes next.

        :param coordinator: The coordinator.
        :param now: Current time.
        :return: The write, or ``None``.
        """
        if self._writing is not None or now < self._not_before:
            return None
        record = coordinator.record
        epoch = coordinator.epoch
        if epoch.rank or record.term != epoch.term:
            return self.begin_term(record)
        listed = self._next_list(coordinator, now)
        if listed is not None:
            return self._begin(record, listed, 'members')
        planned = self._plan(record, now)
        if planned is not None:
            return self._begin(record, planned, 'assignments')
        return None

    def on_written(self) -> None:
        """Take in that the write was made."""
        self._writing = None

    def on_failed(self, retry_at: float) -> WriteRecord | None:
        """Take in that the write was not made.

        :param retry_at: When the next write may be made.
        :return: The write that failed.
        """
        failed = self._writing
        self._writing = None
        self._not_before = retry_at
        return failed

    def _begin(
        self, base: ZoneRecord, record: ZoneRecord, what: str
    ) -> WriteRecord:
        self._writing = WriteRecord(base, record, what)
        return self._writing

    def _next_list(
        self, coordinator: ZoneCoordinator, now: float
    ) -> ZoneRecord | None:
        if not coordinator.peers.member_list_acknowledged():
            return None
        record = coordinator.record
        for member in coordinator.removable_members(now):
            if member != self._me:
                return without_member(record, member.number)
        newcomer = self._membership.next_member_to_add(record, now)
        return None if newcomer is None else with_member(record, newcomer)
