"""Requests a second that each target can run, as entry VMs see it.

The load that this answers: targets of one service whose speeds differ by a
factor of three, so that equal parts of the keys overload the slow ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.catalog import Target

REPORT_WEIGHT = 0.1
"""Weight of one VM's report in a target's pace; a dozen VMs report."""
FIRST_PACE = 0.1
"""Time of an answer before any target has given one, in seconds."""
LEAST_SPEED = 0.4
"""Lowest speed that a target is taken to have, over the mean."""
GREATEST_SPEED = 2.0
"""Greatest speed that a target is taken to have, over the mean."""


@attrs.define
class TargetLatencies:
    """Usual times of targets' answers."""

    _paces: dict[str, float] = attrs.field(factory=dict)

    def add(self, target: str, seconds: float) -> None:
        """Take one VM's report.

        :param target: Name of the target.
        :param seconds: Usual time of its answers, in seconds.
        """
        known = self._paces.get(target, seconds)
        self._paces[target] = known + (seconds - known) * REPORT_WEIGHT

    def capacities(self, targets: Iterable[Target]) -> dict[str, float]:
        """Work out what targets can run.

        A target that has not answered yet is taken to be as fast as the
        others.

        :param targets: Targets of one service.
        :return: Requests a second by name.
        """
        listed = list(targets)
        known = [
            self._paces[one.name] for one in listed if one.name in self._paces
        ]
        mean = sum(known) / len(known) if known else FIRST_PACE
        return {
            one.name: one.slots / self._bounded(one.name, mean)
            for one in listed
        }

    def _bounded(self, name: str, mean: float) -> float:
        pace = self._paces.get(name, mean)
        return min(max(pace, mean / GREATEST_SPEED), mean / LEAST_SPEED)
