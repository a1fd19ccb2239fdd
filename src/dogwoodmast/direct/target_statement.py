"""What a target's response says about the requests that it takes."""

from __future__ import annotations

import attrs

from dogwoodmast.direct.knowledge.load_statement import LoadStatement, NoLoad


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
"""Rate of requests that the target takes from all entry VMs together."""


@attrs.frozen
class NoPause:
    """The target asks for no pause."""


@attrs.frozen
class PauseRequest:
    """The target wants no requests from this entry VM for a while."""

    seconds: float
    """Length of the pause from the response on, in seconds."""


@attrs.frozen
class UnreadablePause:
    """The target asks for a pause whose length is not a number of seconds."""


PauseStatement = NoPause | PauseRequest | UnreadablePause
"""Whether a target that refuses a request asks for a pause."""


@attrs.frozen
class TargetStatement:
    """All that one response says about the requests that its target takes."""

    limit: LimitStatement = Unlimited()
    """Rate of requests that the target takes from all entry VMs together."""
    pause: PauseStatement = NoPause()
    """Pause that the target asks this entry VM for."""
    is_leaving: bool = False
    """Whether the target is about to end and wants no more requests."""
    warmup: float | None = None
    """Time for which the target stays cold, in seconds; ``None`` if it does
    not tell, or not in a readable way."""
    load: LoadStatement = NoLoad()
    """Requests that run and wait at the target, and how long work takes."""
