"""Shard table: the targets that hold the keys of one service."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.messages import ShardAssignment
from dogwoodmast.direct.update_log import UpdateLog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.messages import (
        ShardImage,
        ShardRecord,
        ShardUpdate,
        ShardVersion,
    )


@attrs.define
class ShardTable:
    """Shard assignments of one service, ordered by key, without overlaps."""

    _log: UpdateLog = attrs.field(factory=lambda: UpdateLog(''))
    _assignments: list[ShardAssignment] = attrs.field(factory=list)
    _first_keys: list[int] = attrs.field(factory=list)

    @property
    def epoch(self) -> int:
        """Epoch of the coordinator that the table came from; 0 for none."""
        return self._log.epoch

    @property
    def number(self) -> int:
        """Version within the epoch; 0 if it was read from the store."""
        return self._log.number

    @property
    def assignments(self) -> tuple[ShardAssignment, ...]:
        """Assignments of all known shards, ordered by key."""
        return tuple(self._assignments)

    def find(self, key: int) -> ShardAssignment | None:
        """Look up the shard of a key.

        :param key: Shard key of a request.
        :return: Assignment of the shard, or ``None`` if it is not known.
        """
        position = bisect_right(self._first_keys, key) - 1
        if position < 0 or self._assignments[position].last < key:
            return None
        return self._assignments[position]

    def is_older_than(self, epoch: int, number: int) -> bool:
        """Compare the table's version with another one.

        :param epoch: Epoch of the other version.
        :param number: Number of the other version within its epoch.
        :return: Whether this table is older.
        """
        return (self.epoch, self.number) < (epoch, number)

    def replace(self, assignments: Iterable[ShardAssignment]) -> None:
        """Replace all assignments; the version stays as it is.

        :param assignments: Assignments without overlaps, in any order.
        """
        self._assignments = sorted(assignments, key=_first_key)
        self._first_keys = [one.first for one in self._assignments]

    def overlay(self, changed: Iterable[ShardAssignment]) -> None:
        """Replace the assignments of some key ranges.

        Existing assignments are cut where the changed ones overlap them.

        :param changed: Assignments in the order in which they apply; later
            ones replace earlier ones.
        """
        assignments = self._assignments
        for new in changed:
            assignments = [
                part for old in assignments for part in _subtract(old, new)
            ]
            assignments.append(new)
        self.replace(assignments)

    def on_update(self, update: ShardUpdate) -> bool:
        """Apply a full or incremental update of a coordinator.

        An incremental update applies only if the table is of the same epoch
        and has reached the update's base version.

        :param update: Update that was received.
        :return: Whether the table now has at least the update's version.
        """
        if not self.is_older_than(update.epoch, update.number):
            return True
        if update.base == 0:
            self.replace(update.assignments)
            self._log.restart(update.epoch, update.number)
        elif update.epoch == self.epoch and update.base <= self.number:
            self.overlay(update.assignments)
            self._log.add(update.number, update.assignments)
        else:
            return False
        return True

    def on_record(self, record: ShardRecord, number: int) -> None:
        """Replace the table by a record of a later version.

        :param record: Shard assignments of the service.
        :param number: Version of the table within the record's epoch.
        """
        self.replace(record.assignments)
        self._log.restart(record.epoch, number)

    def update_since(
        self, version: ShardVersion
    ) -> ShardUpdate | ShardImage | None:
        """Build what brings another VM's table up to date.

        :param version: Version of the other VM's table.
        :return: Update or image; ``None`` if its table is up to date.
        """
        return self._log.since(version.epoch, version.number, self._assignments)


def _first_key(assignment: ShardAssignment) -> int:
    return assignment.first


def _subtract(
    old: ShardAssignment, new: ShardAssignment
) -> Iterable[ShardAssignment]:
    """Return the parts of an assignment that a newer one does not cover."""
    if old.last < new.first or new.last < old.first:
        yield old
        return
    if old.first < new.first:
        yield attrs.evolve(old, last=new.first - 1)
    if new.last < old.last:
        yield attrs.evolve(old, first=new.last + 1)
