"""Number of slots in use while a target warms up or sheds load."""

from __future__ import annotations

import attrs

MAX_SHED_PAUSE = 1.0
"""Longest pause that a target's Retry-After causes, in seconds."""


@attrs.define
class SlotLimit:
    """Limit that starts at one slot and grows with each answer.

    It grows by one slot an answer up to a threshold, then by one slot a
    round. A target that answers slowly is so warmed up slowly.
    """

    _slots: int
    _limit: float = 1
    _slow_start_threshold: float = attrs.field(init=False)
    _paused_until: float = 0

    def __attrs_post_init__(self) -> None:
        """Let the limit grow fast up to all slots."""
        self._slow_start_threshold = self._slots

    def allowed(self, now: float) -> int:
        """Tell how many slots may be in use.

        :param now: Monotonic time in seconds.
        :return: Number of slots; zero during a pause.
        """
        return 0 if now < self._paused_until else int(self._limit)

    @property
    def paused_until(self) -> float:
        """Monotonic time at which a pause ends, in seconds."""
        return self._paused_until

    def on_response(self) -> None:
        """Grow after an answer."""
        step = (
            1 if self._limit < self._slow_start_threshold else 1 / self._limit
        )
        self._limit = min(self._limit + step, self._slots)

    def on_shed(self, retry_after: float, now: float) -> None:
        """Halve the limit, since the target sheds load.

        :param retry_after: Time for which the target asks, in seconds.
        :param now: Monotonic time in seconds.
        """
        self._limit = max(self._limit / 2, 1)
        self._slow_start_threshold = self._limit
        self._paused_until = now + min(retry_after, MAX_SHED_PAUSE)

    def on_unreachable(self) -> None:
        """Start anew with one slot."""
        self._limit = 1
        self._slow_start_threshold = self._slots
