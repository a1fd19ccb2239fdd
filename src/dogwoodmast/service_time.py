"""Estimates of the service times of requests on one target."""

from __future__ import annotations

import attrs

MEAN_GAIN = 0.125
"""Weight of a new sample in the smoothed mean."""
DEVIATION_GAIN = 0.25
"""Weight of a new sample in the smoothed mean deviation."""
UPPER_BOUND_DEVIATIONS = 2.0
"""Number of mean deviations between the mean and the upper bound."""


@attrs.define
class _Estimate:
    mean: float
    deviation: float

    def add(self, sample: float) -> None:
        error = sample - self.mean
        self.mean += MEAN_GAIN * error
        self.deviation += DEVIATION_GAIN * (abs(error) - self.deviation)


@attrs.define
class ServiceTimes:
    """Exponentially smoothed mean and mean deviation of service times.

    They are kept for each kind of request and for all kinds together.
    """

    _by_kind: dict[str, _Estimate] = attrs.field(factory=dict)
    _overall: _Estimate | None = None

    @property
    def mean(self) -> float:
        """Mean over all kinds, in seconds; zero before the first response."""
        return 0 if self._overall is None else self._overall.mean

    def add(self, kind: str, seconds: float) -> None:
        """Add the service time of a request.

        :param kind: Name of the kind of request.
        :param seconds: Time from start to response, in seconds.
        """
        if self._overall is None:
            self._overall = _Estimate(seconds, seconds / 2)
        self._overall.add(seconds)
        estimate = self._by_kind.get(kind)
        if estimate is None:
            estimate = _Estimate(seconds, seconds / 2)
            self._by_kind[kind] = estimate
        estimate.add(seconds)

    def expected(self, kind: str) -> float:
        """Return the mean service time of a kind of request.

        :param kind: Name of the kind of request.
        :return: Time in seconds; zero if the kind has no samples.
        """
        estimate = self._by_kind.get(kind)
        return 0 if estimate is None else estimate.mean

    def upper_bound(
        self, kind: str, deviations: float = UPPER_BOUND_DEVIATIONS
    ) -> float:
        """Return a time within which most requests of a kind finish.

        :param kind: Name of the kind of request.
        :param deviations: Number of mean deviations added to the mean.
        :return: Time in seconds; zero if the kind has no samples.
        """
        estimate = self._by_kind.get(kind)
        if estimate is None:
            return 0
        return estimate.mean + deviations * estimate.deviation
