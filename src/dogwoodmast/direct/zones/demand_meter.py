"""Moving average of the number of requests per second."""

from __future__ import annotations

import math

import attrs

TIME_CONSTANT = 1.0
"""Time in which the weight of a request decays to 1/e, in seconds."""


@attrs.define(eq=False)
class DemandMeter:
    """Requests per second, averaged with exponential decay."""

    _weight: float = 0
    _updated_at: float = 0

    def count(self, now: float) -> None:
        """Count a request.

        :param now: Monotonic time, in seconds.
        """
        self._weight = self._decayed(now) + 1
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Compute the average rate.

        :param now: Monotonic time, in seconds.
        :return: Requests per second.
        """
        return self._decayed(now) / TIME_CONSTANT

    def _decayed(self, now: float) -> float:
        elapsed = max(0, now - self._updated_at)
        return self._weight * math.exp(-elapsed / TIME_CONSTANT)
