"""Requests at a target that its keeper has not granted, free of I/O.

Answers the load of targets that fill up unseen: others send to them too, or
they work on after a caller has left.  Their own figures are believed while they
are new.
"""

from __future__ import annotations

import attrs

from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.knowledge.load_book import LoadBook
from dogwoodmast.direct.knowledge.load_statement import (
    LoadFigures,
    LoadStatement,
)


@attrs.define(eq=False)
class ForeignLoad:
    """Count of the requests at one target that are none of the grants."""

    _target: TargetKey
    _loads: LoadBook
    _count: int = 0

    def on_statement(
        self, statement: LoadStatement, counted_free: int, at: float, now: float
    ) -> None:
        """Record what the target told.

        :param statement: Load that the target told.
        :param counted_free: Slots without a grant; negative if more requests
            are granted than it can run at a time.
        :param at: Monotonic time of the response, in seconds.
        :param now: Monotonic time, in seconds.
        """
        self._loads.on_statement(self._target, statement, at)
        latest = self._loads.find(self._target, now)
        if latest is None or latest.figures is not statement:
            return
        if isinstance(statement, LoadFigures):
            held = statement.running + statement.waiting
            self._count = max(0, counted_free - statement.slots + held)

    def count(self, now: float) -> int:
        """Count these requests.

        :param now: Monotonic time, in seconds.
        :return: Number of requests, fading with the age of the figures.
        """
        if not self._count:
            return 0
        load = self._loads.find(self._target, now)
        return 0 if load is None else round(self._count * load.weight)
