"""Retry budget, which limits the share of retries sent to a target."""

from __future__ import annotations

import attrs

INITIAL_RETRY_TOKENS = 3.0
"""Initial number of tokens; each pays for one retry."""
MAX_RETRY_TOKENS = 10.0
"""Capacity of the token bucket, in tokens."""


@attrs.define
class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Each first attempt adds a fraction of a token, the service's configured
    ratio of retries to first attempts.
    """

    _ratio: float
    _tokens: float = INITIAL_RETRY_TOKENS

    def on_first_attempt(self) -> None:
        """Add the configured fraction of a token, up to the capacity."""
        self._tokens = min(self._tokens + self._ratio, MAX_RETRY_TOKENS)

    def spend(self) -> bool:
        """Take the token for one retry, if there is one.

        :return: Whether the retry is allowed.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
