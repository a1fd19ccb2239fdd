"""Room at one target, as one entry VM sees it.

The load that this answers: many small VMs share a target's few slots without
seeing each other.  Each keeps a limit of its own that grows while answers
come in their usual time and shrinks when the target refuses, breaks off or
takes much longer, so that the sum settles near what the target can run.
"""

from __future__ import annotations

import attrs

from dogwoodmast.direct.catalog import Target

FIRST_LIMIT = 2.0
"""Requests at a time that a VM starts with at each target."""
LOWEST_LIMIT = 1.0
"""Requests at a time that a VM may always try."""
GROWTH = 0.2
"""Growth of the limit for each answer in the usual time."""
SHRINKAGE = 0.7
"""Factor on the limit after a refusal or a slow answer."""
SLOW_FACTOR = 2.5
"""Time of an answer over the usual at which it counts as slow."""
PACE_WEIGHT = 0.15
"""Weight of a new answer in the mean time of answers."""
USUAL_WEIGHT = 0.02
"""Weight by which the usual time follows the mean upwards."""
FIRST_PACE = 0.1
"""Time of an answer that is assumed before the first, in seconds."""
DOWN_SILENCES = 2
"""Exchanges without an answer, one after another, from which a target seems
to be gone; a single one may be a connection that was closed when idle."""
FIRST_PENALTY = 0.25
"""Time for which a target is passed over after one failure, in seconds."""
LONGEST_PENALTY = 2.0
"""Longest time for which a failing target is passed over, in seconds; the
platform's allowance for a leaving target."""


@attrs.define(eq=False)
class TargetLimiter:
    """Requests of this VM at one target, and how it answers."""

    target: Target
    """The target."""
    in_flight: int = 0
    """Requests that are under way."""
    limit: float = FIRST_LIMIT
    """Requests at a time that the target is given."""
    pace: float = FIRST_PACE
    """Mean time of an answer, in seconds."""
    _usual: float = 0
    _highest: float = FIRST_LIMIT
    _failures: int = 0
    _silences: int = 0
    _shunned_until: float = float('-inf')

    @property
    def usual(self) -> float:
        """Usual time of an answer, in seconds; 0 before the first."""
        return self._usual

    @property
    def has_room(self) -> bool:
        """Whether one more request may be sent."""
        return self.in_flight < int(self.limit)

    @property
    def rate(self) -> float:
        """Requests a second that the target runs for this VM."""
        return max(1, int(self.limit)) / self.pace

    def is_shunned(self, now: float) -> bool:
        """Tell whether the target failed a moment ago.

        :param now: Steady time in seconds.
        :return: Whether others are to be preferred.
        """
        return now < self._shunned_until

    def is_down(self, now: float) -> bool:
        """Tell whether the target seems to be gone.

        One request at a time still finds out whether it is back.

        :param now: Steady time in seconds.
        :return: Whether another request would only wait in vain.
        """
        is_silent = self._silences >= DOWN_SILENCES
        return is_silent and self.in_flight > 0 and self.is_shunned(now)

    def cap_limit(self, highest: float) -> None:
        """Bound the limit.

        :param highest: Requests at a time that must not be passed.
        """
        self._highest = highest
        self.limit = min(self.limit, highest)

    def on_response(self, seconds: float) -> None:
        """Learn from an answer.

        :param seconds: Time that it took.
        """
        self._failures = 0
        self._silences = 0
        self._shunned_until = float('-inf')
        self.pace += (seconds - self.pace) * PACE_WEIGHT
        if not self._usual:
            self._usual = seconds
        weight = PACE_WEIGHT if seconds < self._usual else USUAL_WEIGHT
        self._usual += (seconds - self._usual) * weight
        if seconds > self._usual * SLOW_FACTOR:
            self.limit = max(LOWEST_LIMIT, self.limit * SHRINKAGE)
        elif self.in_flight + 1 >= int(self.limit):
            self.limit = min(self._highest, self.limit + GROWTH)

    def on_refused(self, now: float) -> None:
        """Learn that the target had no room.

        :param now: Steady time in seconds.
        """
        self._silences = 0
        self.limit = max(LOWEST_LIMIT, self.limit * SHRINKAGE)
        self._shun(now)

    def on_failed(self, now: float) -> None:
        """Learn that the target answered with a failure of its own.

        :param now: Steady time in seconds.
        """
        self._silences = 0
        self._shun(now)

    def on_no_response(self, now: float) -> None:
        """Learn that no connection could be made, or none gave an answer.

        :param now: Steady time in seconds.
        """
        self._silences += 1
        self._shun(now)

    def _shun(self, now: float) -> None:
        penalty = FIRST_PENALTY * 2**self._failures
        self._shunned_until = now + min(LONGEST_PENALTY, penalty)
        if penalty < LONGEST_PENALTY:
            self._failures += 1
