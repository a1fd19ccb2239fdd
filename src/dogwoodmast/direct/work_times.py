"""Times that targets take for the requests of each route.  Free of I/O."""

from __future__ import annotations

import attrs

SMOOTHING = 0.25
"""Weight of a new sample in the moving averages."""
FIRST_DEVIATION = 0.125
"""Deviation that is assumed after one sample, as a fraction of it."""
CAUTIOUS_DEVIATIONS = 3.0
"""Mean deviations above the mean that a cautious estimate lies."""
MAX_PAIRS = 4096
"""Number of routes and of pairs of route and target that are remembered."""


@attrs.frozen
class WorkTime:
    """Time that a target takes for a request, in seconds."""

    typical: float
    """Moving average."""
    deviation: float
    """Moving average of the distance from ``typical``."""

    @property
    def cautious(self) -> float:
        """Time that few requests exceed."""
        return self.typical + CAUTIOUS_DEVIATIONS * self.deviation

    def after(self, seconds: float) -> WorkTime:
        """Return the estimate after another sample.

        :param seconds: Time that a target took, in seconds.
        :return: New estimate.
        """
        distance = seconds - self.typical
        return WorkTime(
            self.typical + distance * SMOOTHING,
            self.deviation + (abs(distance) - self.deviation) * SMOOTHING,
        )


@attrs.define(eq=False)
class WorkTimes:
    """Estimates by route, and by route and target."""

    _known: dict[tuple[str, str], WorkTime] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of estimates.

        :return: Number of routes and of pairs of route and target.
        """
        return len(self._known)

    def add(self, route: str, target: str, seconds: float) -> None:
        """Add a sample.

        :param route: Name of the route.
        :param target: Name of the target.
        :param seconds: Time from the send to the response, in seconds.
        """
        for key in ((route, target), (route, '')):
            known = self._known.pop(key, None)
            if known is None:
                self._known[key] = WorkTime(seconds, seconds * FIRST_DEVIATION)
            else:
                self._known[key] = known.after(seconds)
        while len(self._known) > MAX_PAIRS:
            self._known.pop(next(iter(self._known)))

    def of(self, route: str, target: str = '') -> WorkTime | None:
        """Return the estimate for a request.

        :param route: Name of the route.
        :param target: Name of the target; empty for any.
        :return: Estimate for the target, otherwise for the route, or ``None``
            if it has served none of its requests.
        """
        return self._known.get((route, target)) or self._known.get((route, ''))
