"""Rate limit of placement changes; reads no clock."""

from __future__ import annotations

import attrs

MINUTE = 60.0
"""Length of a minute, in seconds."""
CAPACITY_MINUTES = 1.0
"""Capacity of the token bucket, as a time of refilling in minutes."""


@attrs.define(eq=False)
class MoveBudget:
    """Token bucket in which each token allows one move; it starts empty."""

    _tokens: float = 0
    _refilled_at: float | None = None

    @property
    def allows_move(self) -> bool:
        """Whether there is a token for a move."""
        return self._tokens >= 1

    def refill(self, per_minute: float, now: float) -> None:
        """Add tokens for the time since the previous call.

        The bucket holds at least one token when full, whatever the rate.

        :param per_minute: Rate of refilling, in moves per minute.
        :param now: Monotonic time in seconds.
        """
        if self._refilled_at is not None:
            elapsed_minutes = (now - self._refilled_at) / MINUTE
            capacity = max(per_minute * CAPACITY_MINUTES, 1)
            self._tokens = min(
                self._tokens + elapsed_minutes * per_minute, capacity
            )
        self._refilled_at = now

    def spend(self) -> None:
        """Take one token for a move."""
        self._tokens -= 1
