"""One range of keys as a coordinator follows it."""

from __future__ import annotations

import enum

import attrs

from dogwoodmast.direct.messages import ShardAssignment

DISTANT_PAST = float('-inf')
"""Time before all others."""
NO_TARGET = ''
"""Name in place of a target where there is none."""


class Phase(enum.Enum):
    """What a range of keys waits for."""

    OWNED = 'owned'
    """A target holds the keys, or is about to be granted them."""
    FENCING = 'fencing'
    """A grant with a new fence makes earlier ones void before a release."""
    RELEASING = 'releasing'
    """The target is asked to give the keys back."""
    EXPIRING = 'expiring'
    """The target does not answer; its hold has to run out."""
    FREE = 'free'
    """No target can hold the keys."""
    RECORDING = 'recording'
    """The next target is being written to the store."""


@attrs.define(eq=False)
class Shard:
    """Range of keys with what is known of its holder."""

    first: int
    """First key."""
    last: int
    """Last key."""
    target: str = NO_TARGET
    """Target that holds the keys, or may hold them."""
    born: int = 0
    """Start of the life of the target that was granted the keys."""
    fence: int = 0
    """Fencing token of the latest grant."""
    phase: Phase = Phase.FREE
    """What the range waits for."""
    is_open: bool = False
    """Whether requests may be sent to the target."""
    in_call: bool = False
    """Whether a call to the target is under way."""
    held_until: float = DISTANT_PAST
    """Time until which the target may hold the keys, in seconds."""
    delayed_grant_until: float = DISTANT_PAST
    """Time until which an earlier grant may yet be applied, in seconds."""
    next_call_at: float = DISTANT_PAST
    """Time of the next renewal, in seconds."""
    destination: str = NO_TARGET
    """Target that the keys are to move to."""
    handover: str = ''
    """State token of the last holder."""

    @property
    def width(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    @property
    def is_moving(self) -> bool:
        """Whether the range is on its way to another target."""
        return self.phase is not Phase.OWNED or bool(self.destination)

    @property
    def assignment(self) -> ShardAssignment:
        """What entry VMs and the store are told."""
        return ShardAssignment(
            self.first,
            self.last,
            self.target,
            self.born,
            self.fence,
            self.is_open,
        )

    def split(self, at: int) -> Shard:
        """Cut the range in two.

        :param at: First key of the upper part.
        :return: The upper part; this one keeps the lower.
        """
        upper = attrs.evolve(self, first=at)
        self.last = at - 1
        return upper
