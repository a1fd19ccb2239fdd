"""Concurrency limit of a target, adapted by slow start and load shedding."""

from __future__ import annotations

import attrs

MAX_SHED_PAUSE = 1.0
"""Maximum pause caused by a target's Retry-After, in seconds."""


@attrs.define
class SlotLimit:
    """Concurrency limit with slow start, similar to TCP congestion control.

    The limit starts at one slot. Below a threshold it grows by one slot per
    response; above it by one slot per round, that is, per as many responses
    as the limit has slots. The load on a target that responds slowly thus
    grows slowly. Load shedding by the target halves the limit.
    """

    _slots: int
    _limit: float = 1
    _slow_start_threshold: float = attrs.field(init=False)
    _paused_until: float = 0

    def __attrs_post_init__(self) -> None:
        """Set the slow-start threshold to all slots of the target."""
        self._slow_start_threshold = self._slots

    def allowed(self, now: float) -> int:
        """Return how many slots may be in use.

        :param now: Monotonic time in seconds.
        :return: Number of slots; zero during a pause for load shedding.
        """
        return 0 if now < self._paused_until else int(self._limit)

    @property
    def paused_until(self) -> float:
        """Monotonic time at which the last pause ends, in seconds."""
        return self._paused_until

    def on_response(self) -> None:
        """Raise the limit after a response, up to all slots."""
        step = (
            1 if self._limit < self._slow_start_threshold else 1 / self._limit
        )
        self._limit = min(self._limit + step, self._slots)

    def on_shed(self, retry_after: float, now: float) -> None:
        """Halve the limit and pause, since the target sheds load.

        :param retry_after: Pause requested by the target, in seconds.
        :param now: Monotonic time in seconds.
        """
        self._limit = max(self._limit / 2, 1)
        self._slow_start_threshold = self._limit
        self._paused_until = now + min(retry_after, MAX_SHED_PAUSE)

    def on_unreachable(self) -> None:
        """Reset the limit to one slot and restart the slow start."""
        self._limit = 1
        self._slow_start_threshold = self._slots
