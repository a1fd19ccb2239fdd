"""Budget that bounds how many retries a target is sent."""

from __future__ import annotations

import attrs

INITIAL_RETRY_TOKENS = 3.0
"""Retries that a budget starts with."""
MAX_RETRY_TOKENS = 10.0
"""Retries that may be saved up."""


@attrs.define
class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

    _ratio: float
    _tokens: float = INITIAL_RETRY_TOKENS

    def on_first_attempt(self) -> None:
        """Earn the part of a retry that a first attempt is worth."""
        self._tokens = min(self._tokens + self._ratio, MAX_RETRY_TOKENS)

    def spend(self) -> bool:
        """Pay for a retry.

        :return: Whether the budget allows it.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
