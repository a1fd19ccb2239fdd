"""Choice of the writes of a zone's record, one at a time.

The module does no I/O and reads no clock; callers pass in the time.
"""

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
"""Callback that plans the next record from the current record and the
monotonic time in seconds; ``None`` means that no assignment changes."""


@attrs.frozen
class WriteRecord:
    """Action: replace the zone's record in the platform."""

    base: ZoneRecord
    """Version of the record to be replaced."""
    record: ZoneRecord
    """New version of the record."""
    what: str
    """Kind of the change, for the audit trail: ``term``, ``members`` or
    ``assignments``."""

    @property
    def begins_term(self) -> bool:
        """Whether the new record has a higher term than the replaced one."""
        return self.record.term > self.base.term


@attrs.define(eq=False)
class RecordWriteScheduler:
    """Chooses the next write of the zone's record at one entry VM.

    A new term comes before changes of the member list, and these come before
    changes of assignments.
    """

    _me: Member
    _membership: Membership
    _plan_assignments: RecordPlan
    _pending_write: WriteRecord | None = None
    _retry_at: float = -math.inf

    @property
    def is_busy(self) -> bool:
        """Whether a write is in progress."""
        return self._pending_write is not None

    def begin_term(self, record: ZoneRecord) -> WriteRecord | None:
        """Start a write of a new term that lists this member first.

        :param record: Latest known record of the zone.
        :return: Write to carry out, or ``None`` if one is in progress.
        """
        if self._pending_write is not None:
            return None
        return self._start(record, with_new_term(record, self._me), 'term')

    def next_write(
        self, coordinator: ZoneCoordinator, now: float
    ) -> WriteRecord | None:
        """Start the next write of a coordinator that has a quorum.

        A coordinator that took over without writing a new term writes one
        first.

        :param coordinator: Coordinator state of this entry VM.
        :param now: Monotonic time in seconds.
        :return: Write to carry out, or ``None`` if nothing has to change, a
            write is in progress or the delay after a failure has not passed.
        """
        if self._pending_write is not None or now < self._retry_at:
            return None
        record = coordinator.record
        epoch = coordinator.epoch
        if epoch.rank or record.term != epoch.term:
            return self.begin_term(record)
        member_change = self._next_member_change(coordinator, now)
        if member_change is not None:
            return self._start(record, member_change, 'members')
        assignment_change = self._plan_assignments(record, now)
        if assignment_change is not None:
            return self._start(record, assignment_change, 'assignments')
        return None

    def on_written(self) -> None:
        """Process the success of the write in progress."""
        self._pending_write = None

    def on_failed(self, retry_at: float) -> WriteRecord | None:
        """Process the failure of the write in progress.

        :param retry_at: Monotonic time before which no write of a
            coordinator starts, in seconds.
        :return: Write that failed, or ``None`` if none was in progress.
        """
        failed = self._pending_write
        self._pending_write = None
        self._retry_at = retry_at
        return failed

    def _start(
        self, base: ZoneRecord, record: ZoneRecord, what: str
    ) -> WriteRecord:
        self._pending_write = WriteRecord(base, record, what)
        return self._pending_write

    def _next_member_change(
        self, coordinator: ZoneCoordinator, now: float
    ) -> ZoneRecord | None:
        if not coordinator.peers.member_list_acknowledged():
            return None
        record = coordinator.record
        for member in coordinator.removable_members(now):
            if member != self._me:
                return without_member(record, member.number)
        joining = self._membership.next_member_to_add(record, now)
        return None if joining is None else with_member(record, joining)
