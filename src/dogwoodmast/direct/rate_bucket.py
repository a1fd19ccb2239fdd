"""Token bucket for a rate that all entry VMs share, with priorities."""

from __future__ import annotations

import attrs

RESERVE_STEP = 0.5
"""Part of the bucket beyond the first token that each step of priority leaves
to more urgent requests."""
MAX_RESERVE = 0.8
"""Largest part of the bucket that is left to more urgent requests."""


@attrs.define
class RateBucket:
    """Tokens for requests to one target.

    In any time span at most ``rate`` times its length plus ``burst`` tokens
    are taken.  Less urgent requests take tokens only from a fuller bucket, so
    that the most urgent ones come first while there are more requests than
    tokens.
    """

    rate: float
    """Tokens added per second."""
    burst: float
    """Largest number of tokens kept."""
    _level: float = 1
    _filled_at: float = 0
    _next_return: float = 0

    def adjust(self, rate: float, burst: float, now: float) -> None:
        """Change the rate from now on.

        :param rate: Tokens added per second.
        :param burst: Largest number of tokens kept; at least 1.
        :param now: Monotonic time, in seconds.
        """
        self._fill(now)
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)

    def try_take(self, priority: int, now: float) -> bool:
        """Take a token if there is one for the request.

        :param priority: Priority of the request; 0 is the highest.
        :param now: Monotonic time, in seconds.
        :return: Whether a token was taken.
        """
        self._fill(now)
        if self._level < self._threshold(priority):
            return False
        self._level -= 1
        return True

    def schedule_return(self, priority: int, now: float) -> float:
        """Reserve a time at which a rejected request may come back.

        Requests that are rejected one after the other get times apart by the
        interval of the tokens, so that they do not return together.

        :param priority: Priority of the request; 0 is the highest.
        :param now: Monotonic time, in seconds.
        :return: Time until then, in seconds.
        """
        available_at = now + self.time_to_token(priority, now)
        self._next_return = max(self._next_return + 1 / self.rate, available_at)
        return self._next_return - now

    def time_to_token(self, priority: int, now: float) -> float:
        """Compute when a request could take a token if no other one came.

        :param priority: Priority of the request; 0 is the highest.
        :param now: Monotonic time, in seconds.
        :return: Time until then, in seconds.
        """
        self._fill(now)
        missing = self._threshold(priority) - self._level
        return max(missing, 0) / self.rate

    def _threshold(self, priority: int) -> float:
        reserve = min(priority * RESERVE_STEP, MAX_RESERVE)
        return 1 + reserve * (self.burst - 1)

    def _fill(self, now: float) -> None:
        elapsed = max(now - self._filled_at, 0)
        self._filled_at = now
        self._level = min(self.burst, self._level + elapsed * self.rate)
