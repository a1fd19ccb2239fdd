"""Fairness among the callers of one rank, free of I/O.

It answers the load of callers that repeat a refused request at once, several
times as often as those that wait as told: the place of a repeated request is
behind theirs until the time that its caller was told.
"""

from __future__ import annotations

import attrs

from dogwoodmast.direct.admission_queue import RETRY_JITTER

MAX_TOLD = 4096
"""Refused requests that are remembered at a time; the oldest are forgotten
beyond it."""
UNKNOWN_CALLER = 0
"""Number of a caller that is not known; its requests are never behind."""


@attrs.frozen
class _ReturnTime:
    """When a refused caller may return, as monotonic times in seconds."""

    earliest: float
    latest: float


@attrs.define(eq=False)
class CallerFairness:
    """Times at which refused callers were told to return."""

    behind: int = 0
    """Asks so far that found no room before the time that their callers were
    told."""
    _told: dict[int, _ReturnTime] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of refused requests that are remembered.

        :return: Number of requests.
        """
        return len(self._told)

    def is_early(self, caller: int, now: float) -> bool:
        """Tell whether a refused caller returns before the time it was told.

        :param caller: Hash of the caller and what it requests.
        :param now: Monotonic time, in seconds.
        :return: Whether its ask belongs behind those that wait as told.
        """
        return self.remaining(caller, now) > 0

    def remaining(self, caller: int, now: float) -> float:
        """Compute for how long a caller has still to wait as told.

        :param caller: Hash of the caller and what it requests.
        :param now: Monotonic time, in seconds.
        :return: Time in seconds; 0 if it may return.
        """
        told = self._told.get(caller)
        return 0 if told is None else max(0, told.earliest - now)

    def on_refused(self, caller: int, wait: float, now: float) -> None:
        """Remember when a refused caller may return.

        :param caller: Hash of the caller and what it requests.
        :param wait: Time after which it was told to return, without the jitter
            that its entry VM adds, in seconds.
        :param now: Monotonic time, in seconds.
        """
        if caller == UNKNOWN_CALLER or self.is_early(caller, now):
            return
        self._told.pop(caller, None)
        latest = now + wait * (1 + RETRY_JITTER)
        self._told[caller] = _ReturnTime(now + wait, latest)
        while len(self._told) > MAX_TOLD:
            self._told.pop(next(iter(self._told)))

    def on_early(self, caller: int) -> None:
        """Count an early ask; its caller may return when the last one would.

        Callers that wait as told return with a jitter, which is unknown here.
        The time does not move further, so that the caller has its turn however
        often it repeats its request.

        :param caller: Hash of the caller and what it requests.
        """
        self.behind += 1
        latest = self._told[caller].latest
        self._told[caller] = _ReturnTime(latest, latest)

    def on_granted(self, caller: int) -> None:
        """Forget a caller that is served.

        :param caller: Hash of the caller and what it requests.
        """
        self._told.pop(caller, None)
