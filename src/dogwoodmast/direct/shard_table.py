"""Table of the targets that hold the keys of a service."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.messages import ShardAssignment

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.messages import ShardUpdate


@attrs.define
class ShardTable:
    """Assignments of one service, ordered by key, without overlaps."""

    epoch: int = 0
    """Reign of the coordinator that told them."""
    number: int = 0
    """Number of the version within the reign."""
    _pieces: list[ShardAssignment] = attrs.field(factory=list)
    _firsts: list[int] = attrs.field(factory=list)

    @property
    def pieces(self) -> tuple[ShardAssignment, ...]:
        """Assignments in the order of their keys."""
        return tuple(self._pieces)

    def find(self, key: int) -> ShardAssignment | None:
        """Find who holds a key.

        :param key: Shard key.
        :return: Its assignment, or ``None``.
        """
        position = bisect_right(self._firsts, key) - 1
        if position < 0 or self._pieces[position].last < key:
            return None
        return self._pieces[position]

    def is_older_than(self, epoch: int, number: int) -> bool:
        """Compare versions.

        :param epoch: Reign of the other version.
        :param number: Its number.
        :return: Whether this table is older.
        """
        return (self.epoch, self.number) < (epoch, number)

    def replace(self, pieces: Iterable[ShardAssignment]) -> None:
        """Take over a whole table.

        :param pieces: Assignments.
        """
        self._pieces = sorted(pieces, key=_first_of)
        self._firsts = [piece.first for piece in self._pieces]

    def overlay(self, changed: Iterable[ShardAssignment]) -> None:
        """Replace what some assignments cover.

        :param changed: Assignments that count from now on.
        """
        pieces = self._pieces
        for piece in changed:
            pieces = [part for old in pieces for part in _rest(old, piece)]
            pieces.append(piece)
        self.replace(pieces)

    def on_update(self, update: ShardUpdate) -> bool:
        """Take over what a coordinator tells.

        :param update: Changed or all assignments.
        :return: Whether the table has what the update leads to.
        """
        if not self.is_older_than(update.epoch, update.number):
            return True
        if update.base == 0:
            self.replace(update.assignments)
        elif update.epoch == self.epoch and update.base <= self.number:
            self.overlay(update.assignments)
        else:
            return False
        self.epoch = update.epoch
        self.number = update.number
        return True


def _first_of(piece: ShardAssignment) -> int:
    return piece.first


def _rest(
    old: ShardAssignment, new: ShardAssignment
) -> Iterable[ShardAssignment]:
    """Cut out of an assignment what a newer one covers."""
    if old.last < new.first or new.last < old.first:
        yield old
        return
    if old.first < new.first:
        yield attrs.evolve(old, last=new.first - 1)
    if new.last < old.last:
        yield attrs.evolve(old, first=new.last + 1)
