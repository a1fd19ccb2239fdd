"""Decision whether a request is sent again after a failed attempt.

It answers the load of targets that fail part of their requests, or all of them
for a while.  What the retry budget allows is spent on attempts that are likely
to be served, not on one target in quick succession.  Free of I/O.
"""

from __future__ import annotations

import attrs

MAX_SHED_RETRIES = 2
"""Times that a request is sent again to a target that refuses it at random
although it has room, for example because it is overloaded by other work."""
FIRST_BACKOFF = 0.05
"""Time before a request is sent again to the target that broke the connection
off, in seconds; it doubles with each further attempt."""


@attrs.frozen
class GiveUp:
    """The request is not sent again."""


@attrs.frozen
class SendAgain:
    """The request may be sent again."""

    delay: float
    """Time to wait before, in seconds."""


RetryDecision = GiveUp | SendAgain
"""What follows a failed attempt."""


@attrs.frozen
class FailedAttempts:
    """Attempts of a request so far, none of which was served."""

    reached: int
    """Attempts that reached a target, or may have reached it."""
    max_attempts: int
    """Attempts that the route allows."""
    was_shed: bool
    """Whether the last one was refused by a target that had room for it."""
    was_broken: bool
    """Whether the response of the last one was lost."""
    has_alternatives: bool
    """Whether another target may run the request."""

    def decide(self) -> RetryDecision:
        """Decide whether the request is sent again.

        :return: Whether, and after which time.
        """
        limit = self.max_attempts
        if self.was_shed:
            limit = max(limit, MAX_SHED_RETRIES + 1)
        if self.reached >= limit:
            return GiveUp()
        if self.was_broken and not self.has_alternatives:
            return SendAgain(FIRST_BACKOFF * 2 ** (self.reached - 1))
        return SendAgain(0)
