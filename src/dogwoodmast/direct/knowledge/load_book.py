"""Latest load figures of targets, which fade within a second.

Answers the load of uneven targets.  Figures change many times a second, so that
old ones must not steer requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.knowledge.load_statement import (
    LoadFigures,
    LoadStatement,
    NoLoad,
    UnreadableLoad,
)
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Collection

HALF_LIFE = 0.25
"""Age at which figures have half of their weight, in seconds."""
LONGEST_AGE = 1.0
"""Age from which figures have no weight, in seconds."""
MAX_REMEMBERED = 4096
"""Number of targets whose figures are kept; those that are no longer listed are
forgotten first, the oldest before the others."""


@attrs.frozen
class KnownLoad:
    """Figures of a target, with their age."""

    figures: LoadFigures
    """What the target told last."""
    age: float
    """Time since then, in seconds."""

    @property
    def weight(self) -> float:
        """Weight of the figures: 1 when new, fading to 0."""
        if self.age >= LONGEST_AGE:
            return 0
        return float(0.5 ** (max(self.age, 0) / HALF_LIFE))


@attrs.frozen
class _Told:
    figures: LoadFigures
    at: float


@attrs.define(eq=False)
class LoadBook:
    """Latest figures of each target incarnation."""

    _told: dict[TargetKey, _Told] = attrs.field(factory=dict)
    _unreadable: set[TargetKey] = attrs.field(factory=set)

    def on_statement(
        self, target: TargetKey, statement: LoadStatement, at: float
    ) -> None:
        """Record what a response says.

        :param target: Target incarnation.
        :param statement: What the response says about its load.
        :param at: Monotonic time of the response, in seconds.
        """
        match statement:
            case LoadFigures():
                known = self._told.get(target)
                if known is None or at >= known.at:
                    self._told[target] = _Told(statement, at)
            case UnreadableLoad():
                self._on_unreadable(target)
            case NoLoad():
                pass

    def find(self, target: TargetKey, now: float) -> KnownLoad | None:
        """Return the figures of a target.

        :param target: Target incarnation.
        :param now: Monotonic time, in seconds.
        :return: Figures with a weight, or ``None`` if there are none.
        """
        told = self._told.get(target)
        if told is None or now >= told.at + LONGEST_AGE:
            return None
        return KnownLoad(told.figures, now - told.at)

    def retain(self, listed: Collection[TargetKey]) -> None:
        """Forget targets that are no longer listed, if there are too many.

        :param listed: Target incarnations that are listed.
        """
        self._unreadable.intersection_update(listed)
        surplus = len(self._told) - MAX_REMEMBERED
        if surplus <= 0:
            return
        unlisted = [one for one in self._told if one not in listed]
        for forgotten in unlisted[:surplus]:
            self._told.pop(forgotten)

    def _on_unreadable(self, target: TargetKey) -> None:
        if target not in self._unreadable:
            self._unreadable.add(target)
            log_event(Event.TARGET_LOAD_UNREADABLE, target=target[0])
