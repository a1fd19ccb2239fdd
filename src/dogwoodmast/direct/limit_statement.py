"""What a target's response says about the rate of requests that it takes."""

from __future__ import annotations

import attrs


@attrs.frozen
class Unlimited:
    """The target names no limit."""


@attrs.frozen
class RateLimit:
    """The target names a limit."""

    rate: float
    """Requests per second that it takes from all entry VMs together."""


@attrs.frozen
class UnreadableLimit:
    """The target names a limit that is not a number of requests."""


LimitStatement = Unlimited | RateLimit | UnreadableLimit
