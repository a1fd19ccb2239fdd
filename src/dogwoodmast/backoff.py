"""Delays between retries that grow and are spread at random."""

from __future__ import annotations

import random

import attrs


@attrs.define
class Backoff:
    """Exponential back-off with full jitter."""

    initial_delay: float
    """Upper bound of the first delay, in seconds."""
    max_delay: float
    """Upper bound of every delay, in seconds."""
    _random: random.Random = attrs.field(factory=random.Random)
    _failures: int = 0

    def next_delay(self) -> float:
        """Choose the delay after one more failure.

        :return: Delay in seconds.
        """
        bound = min(self.max_delay, self.initial_delay * 2**self._failures)
        if bound < self.max_delay:
            self._failures += 1
        return self._random.uniform(self.initial_delay / 2, bound)

    def reset(self) -> None:
        """Begin anew after a success."""
        self._failures = 0
