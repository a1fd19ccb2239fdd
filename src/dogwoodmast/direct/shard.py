"""State of one shard, a contiguous range of keys, at the coordinator."""

from __future__ import annotations

import enum

import attrs

from dogwoodmast.direct.messages import ShardAssignment

DISTANT_PAST = float('-inf')
"""Monotonic time before any other, in place of a time that was never set."""
NO_TARGET = ''
"""Target name that stands for no target."""


class Phase(enum.Enum):
    """Phase of a shard's ownership."""

    OWNED = 'owned'
    """The assignment is stored; the target holds the keys or is to be granted
    them."""
    FENCING = 'fencing'
    """A grant with a new fencing token is sent, so that the target rejects
    delayed grants with lower tokens once the keys are released."""
    RELEASING = 'releasing'
    """The target is asked to release the keys."""
    EXPIRING = 'expiring'
    """No reliable release was acknowledged; the keys become free when the
    target's hold has expired or a later probe succeeds."""
    FREE = 'free'
    """No target can hold the keys."""
    RECORDING = 'recording'
    """The assignment to the next target is being written to the store."""


@attrs.define(eq=False)
class Shard:
    """Contiguous range of keys with the state of its ownership."""

    first: int
    """First key of the shard."""
    last: int
    """Last key of the shard, inclusive."""
    target: str = NO_TARGET
    """Name of the target that holds the keys, may hold them, or held them
    last if the shard is free."""
    born: int = 0
    """Start time of the target incarnation that the keys are assigned to, in
    Unix milliseconds."""
    fence: int = 0
    """Fencing token of the latest grant or assignment."""
    phase: Phase = Phase.FREE
    """Phase of the shard's ownership."""
    is_open: bool = False
    """Whether entry VMs may send requests to the target."""
    call_in_flight: bool = False
    """Whether a grant or release call to the target is in flight."""
    held_until: float = DISTANT_PAST
    """Monotonic time in seconds after which the target cannot hold the keys
    any more."""
    delayed_grant_until: float = DISTANT_PAST
    """Monotonic time in seconds until which the target may still apply an
    earlier grant whose outcome is not known."""
    is_holder_replaced: bool = False
    """Whether a later process of the target is listed at another address, so
    that the holder has ended; yet another one may listen at its address."""
    holder_born: int = 0
    """Start time of the holder if its address is not known, so that calls go to
    a later process of the target; 0 otherwise."""
    may_finish_work: bool = False
    """Whether requests from before a release that had no answer may still run
    at the target; a later release is no sign of their end."""
    is_granted_again: bool = False
    """Whether the target has accepted a grant after such a release."""
    next_call_at: float = DISTANT_PAST
    """Monotonic time in seconds of the next renewal or probe."""
    destination: str = NO_TARGET
    """Name of the target that the shard is to be moved to."""
    handover: str = ''
    """State token that the last holder returned with its release; it is
    passed on to the next one."""

    @property
    def width(self) -> int:
        """Number of keys in the shard."""
        return self.last - self.first + 1

    @property
    def is_moving(self) -> bool:
        """Whether the shard is free, changes its target or is about to."""
        return self.phase is not Phase.OWNED or bool(self.destination)

    @property
    def assignment(self) -> ShardAssignment:
        """Assignment in the form that is stored and sent to entry VMs."""
        return ShardAssignment(
            self.first,
            self.last,
            self.target,
            self.holder_born or self.born,
            self.fence,
            self.is_open,
        )

    def is_release_final(self, now: float) -> bool:
        """Check whether a release that is answered now frees the keys.

        :param now: Monotonic time in seconds.
        :return: Whether neither a grant nor requests from before the release
            can keep the target at the keys.
        """
        return not self.may_finish_work and now >= self.delayed_grant_until

    def split(self, at: int) -> Shard:
        """Split the shard in two; this one keeps the lower keys.

        :param at: First key of the upper shard.
        :return: The upper shard, with the same ownership state.
        """
        upper = attrs.evolve(self, first=at)
        self.last = at - 1
        return upper
