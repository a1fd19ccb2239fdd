"""Recent changes of a shard table, from which other VMs are brought up to date.

The coordinator keeps one for its table, and each entry VM one for its copy.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.messages import (
    ShardAssignment,
    ShardImage,
    ShardRecord,
    ShardUpdate,
)
from dogwoodmast.direct.shard_record import pack_record

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_KEPT_CHANGES = 256
"""Number of table versions whose changes are kept for incremental updates; an
entry VM that lags further behind gets the full table."""


@attrs.frozen
class _Change:
    base: int
    """Table version that the change applies to."""
    number: int
    """Table version that it leads to."""
    assignments: tuple[ShardAssignment, ...]
    """Assignments that changed."""


@attrs.define
class UpdateLog:
    """Recent changes of a shard table."""

    service: str
    """Name of the service."""
    epoch: int = 0
    """Epoch of the coordinator that the table came from; 0 for none."""
    number: int = 0
    """Version of the table within the epoch; 0 if it was read from the
    store."""
    _changes: deque[_Change] = attrs.field(
        factory=lambda: deque(maxlen=MAX_KEPT_CHANGES)
    )
    _image: ShardImage | None = None

    def add(self, number: int, assignments: Iterable[ShardAssignment]) -> None:
        """Record a change of the table.

        :param number: Version that it leads to, within the epoch.
        :param assignments: Assignments that changed.
        """
        self._changes.append(_Change(self.number, number, tuple(assignments)))
        self.number = number
        self._image = None

    def restart(self, epoch: int, number: int) -> None:
        """Record that the whole table was replaced.

        :param epoch: Epoch of the coordinator that the table came from.
        :param number: Version of the table within the epoch.
        """
        self.epoch = epoch
        self.number = number
        self._changes.clear()
        self._image = None

    def since(
        self, epoch: int, number: int, table: Iterable[ShardAssignment]
    ) -> ShardUpdate | ShardImage | None:
        """Build what brings another VM's table up to date.

        :param epoch: Epoch of the VM's table.
        :param number: Version of the VM's table within its epoch.
        :param table: All assignments of the service.
        :return: An update if all changes since then are kept, else an image;
            ``None`` if the VM's table is up to date.
        """
        if (epoch, number) >= (self.epoch, self.number):
            return None
        if epoch == self.epoch and self._reaches_back_to(number):
            return self._update_since(number)
        if self._image is None:
            record = ShardRecord(
                self.service, self.epoch, self.number, tuple(table)
            )
            self._image = ShardImage(pack_record(record))
        return self._image

    def _reaches_back_to(self, number: int) -> bool:
        return number > 0 and bool(
            self._changes and self._changes[0].base <= number
        )

    def _update_since(self, number: int) -> ShardUpdate:
        changed = tuple(
            assignment
            for change in self._changes
            if change.number > number
            for assignment in change.assignments
        )
        return ShardUpdate(
            self.service, self.epoch, number, self.number, changed
        )
