"""Exponential backoff with jitter."""

from __future__ import annotations

import random

import attrs


@attrs.define
class Backoff:
    """Exponential backoff with jitter between half the initial delay and a cap.

    The cap starts at the initial delay and doubles with each failure, up to
    the maximum delay.
    """

    initial_delay: float
    """Upper bound of the first delay, in seconds."""
    max_delay: float
    """Upper bound of all delays, in seconds."""
    _random: random.Random = attrs.field(factory=random.Random)
    _failures: int = 0

    def next_delay(self) -> float:
        """Return a random delay after a failure, and raise the next cap.

        :return: Delay in seconds.
        """
        bound = min(self.max_delay, self.initial_delay * 2**self._failures)
        if bound < self.max_delay:
            self._failures += 1
        return self._random.uniform(self.initial_delay / 2, bound)

    def reset(self) -> None:
        """Reset the cap to the initial delay, after a success."""
        self._failures = 0
