"""Expected durations of requests at the targets of a service, free of I/O.

Answers the load of uneven targets: they differ in speed, become slow for parts
of a second, and run requests of different work.  A duration is the work of a
kind of request, learned over all targets, times the speed of a target, learned
over all kinds, times the pace that the target told last.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.knowledge.load_book import LoadBook

if TYPE_CHECKING:
    from collections.abc import Collection

INITIAL_DURATION = 0.2
"""Duration of requests that is assumed before the first response, in
seconds."""
MIN_DURATION = 0.001
"""Shortest duration that is reckoned with, in seconds."""
FACTOR_SMOOTHING = 0.15
"""Weight of a new sample in the moving averages of one target."""
GROUP_SMOOTHING = 0.02
"""Weight of a new sample in the moving averages over all targets."""


@attrs.define
class _Target:
    """What is learned of one target."""

    seconds: float
    """Mean duration of its requests at the usual pace, in seconds."""
    work: float
    """Mean work of its requests, in seconds."""

    @property
    def factor(self) -> float:
        """Duration of requests, as a multiple of their work."""
        return self.seconds / self.work


@attrs.define(eq=False)
class TargetSpeeds:
    """Durations of requests at the targets of one service."""

    loads: LoadBook = attrs.field(factory=LoadBook)
    """Load figures that the targets told."""
    _works: dict[str, float] = attrs.field(factory=dict)
    _targets: dict[TargetKey, _Target] = attrs.field(factory=dict)
    _usual_pace: float = 1.0

    @property
    def _mean_work(self) -> float:
        """Mean work of the requests of all targets, in seconds."""
        works = [one.work for one in self._targets.values()]
        return sum(works) / len(works) if works else INITIAL_DURATION

    def duration(self, target: TargetKey, kind: str, now: float) -> float:
        """Return the expected duration of a request.

        :param target: Target incarnation.
        :param kind: Kind of the request.
        :param now: Monotonic time, in seconds.
        :return: Time from the send to the response, in seconds.
        """
        usual = self._work(kind) * self._factor(target)
        return max(MIN_DURATION, usual * self._pace(target, now))

    def mean_duration(self, target: TargetKey, now: float) -> float:
        """Return the expected mean duration over a target's requests.

        :param target: Target incarnation.
        :param now: Monotonic time, in seconds.
        :return: Time from the send to the response, in seconds.
        """
        return self.usual_duration(target) * self._pace(target, now)

    def usual_duration(self, target: TargetKey) -> float:
        """Return the mean duration over a target's requests at its usual pace.

        :param target: Target incarnation.
        :return: Time from the send to the response, in seconds.
        """
        known = self._targets.get(target)
        if known is None:
            return self._mean_work * self._factor(target)
        return max(MIN_DURATION, known.seconds)

    def on_served(
        self, target: TargetKey, kind: str, seconds: float, now: float
    ) -> None:
        """Learn from a response.

        :param target: Target incarnation.
        :param kind: Kind of the request.
        :param seconds: Time from the send to the response, in seconds.
        :param now: Monotonic time, in seconds.
        """
        sample = max(MIN_DURATION, seconds) / self._learn_pace(target, now)
        factor = self._factor(target)
        work = self._works.setdefault(kind, sample / factor)
        self._works[kind] += (sample / factor - work) * GROUP_SMOOTHING
        known = self._targets.get(target)
        if known is None:
            self._targets[target] = _Target(sample, work)
        else:
            known.seconds += (sample - known.seconds) * FACTOR_SMOOTHING
            known.work += (work - known.work) * FACTOR_SMOOTHING

    def on_missing(
        self, target: TargetKey, kind: str, seconds: float, now: float
    ) -> None:
        """Learn from a request that was given up without a response.

        :param target: Target incarnation.
        :param kind: Kind of the request.
        :param seconds: Time since the send, in seconds.
        :param now: Monotonic time, in seconds.
        """
        excess = seconds / self.duration(target, kind, now) - 1
        if excess > 0:
            work = self._work(kind)
            known = self._targets.setdefault(
                target, _Target(work * self._factor(target), work)
            )
            known.seconds *= 1 + excess * FACTOR_SMOOTHING

    def retain(self, listed: Collection[TargetKey]) -> None:
        """Forget targets that are no longer listed.

        :param listed: Target incarnations that are listed.
        """
        for target in self._targets.keys() - set(listed):
            self._targets.pop(target)
        self.loads.retain(listed)

    def _work(self, kind: str) -> float:
        """Return the work of a kind; the mean of all for an unknown one."""
        return self._works.get(kind, self._mean_work)

    def _factor(self, target: TargetKey) -> float:
        """Return the factor of a target; the mean of all for an unknown one."""
        known = self._targets.get(target)
        if known is not None:
            return known.factor
        factors = [one.factor for one in self._targets.values()]
        return sum(factors) / len(factors) if factors else 1

    def _pace(self, target: TargetKey, now: float) -> float:
        """Return the pace of a target now, relative to the usual one."""
        load = self.loads.find(target, now)
        if load is None:
            return 1
        change = load.figures.pace / self._usual_pace - 1
        return 1 + change * load.weight

    def _learn_pace(self, target: TargetKey, now: float) -> float:
        """Return the pace of a response, and learn the usual pace from it."""
        load = self.loads.find(target, now)
        if load is None:
            return 1
        change = load.figures.pace - self._usual_pace
        self._usual_pace += change * load.weight * GROUP_SMOOTHING
        return self._pace(target, now)
