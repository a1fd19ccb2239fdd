"""State of one request between its attempts."""

from __future__ import annotations

import attrs

from dogwoodmast.direct.call import AttemptOutcome, Broken, Call
from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.rate_gate import Permit
from dogwoodmast.direct.room.room_gate import GrantedRoom
from dogwoodmast.direct.target_limiter import TargetLimiter
from dogwoodmast.direct.trace import Trace


@attrs.frozen
class Unreachable:
    """This VM reaches none of the targets that may run a request."""

    holder: TargetKey | None
    """Target that holds the request's key, or ``None`` without a key."""


@attrs.define(eq=False)
class Progress:
    """State of one request between its attempts."""

    call: Call
    """Request of the caller."""
    trace: Trace
    """Trace for the request log."""
    tried: frozenset[str] = frozenset()
    """Names of the targets that attempts were made at."""
    reached_targets: frozenset[str] = frozenset()
    """Names of the targets that the request reached, or may have reached."""
    reached_attempts: int = 0
    """Number of attempts that reached a target, or may have reached it; only
    retries after these are charged to the retry budget."""
    may_have_run: bool = False
    """Whether a finished attempt may have run the request."""
    permit: Permit = Permit()
    """Permit of the next attempt under the rate limit of its target."""
    room: GrantedRoom | None = None
    """Room of the next attempt at its target, if that is shared."""
    was_shed: bool = False
    """Whether the last attempt was refused by a target that had room for it."""
    last_outcome: AttemptOutcome | None = None
    """Outcome of the last attempt, ``Broken`` while one is in progress, or
    ``None`` before the first."""
    candidates: tuple[TargetLimiter, ...] = ()
    """Limiters of the targets that the next attempt may be made at; empty if
    they are not known."""
    _carried: int = attrs.field(init=False, default=0)

    @property
    def is_uncertain(self) -> bool:
        """Whether a target may run the request, or have run it.

        An attempt that is in progress counts once a connection carries it.
        """
        return self.may_have_run or (
            isinstance(self.last_outcome, Broken)
            and len(self.call.carriers) > self._carried
        )

    def on_attempt(self) -> None:
        """Record that an attempt is made, and has not been sent yet."""
        self._carried = len(self.call.carriers)
        self.last_outcome = Broken('no response before the deadline')

    def on_possible_run(self) -> None:
        """Record that an attempt has ended that may have run the request."""
        self.reached_attempts += 1
        self.may_have_run = True
