"""Keys that no target can hold any more, and why."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from dogwoodmast.direct.shard import Shard


class FreedBecause(enum.Enum):
    """Reason why no target can hold the keys of a shard any more."""

    RELEASED = 'released'
    """The target acknowledged a release."""
    PROBED = 'probed'
    """The target acknowledged a probe, after a release that had no answer."""
    HOLD_EXPIRED = 'hold_expired'
    """The maximum time for which any grant can last has passed."""
    ADDRESS_REUSED = 'address_reused'
    """Another target answered at the holder's address."""
    RESTARTED = 'restarted'
    """The target is listed with a later start time, at another address, and its
    earlier address refuses connections."""
    NEVER_GRANTED = 'never_granted'
    """No grant was sent for the assignment."""


@attrs.frozen
class FreedKeys:
    """Keys that became free, with the reason."""

    first: int
    """First key."""
    last: int
    """Last key, inclusive."""
    target: str
    """Target that held the keys, or was to hold them."""
    fence: int
    """Fencing token of the latest grant or assignment."""
    reason: FreedBecause
    """Reason why they are free."""


@attrs.define(eq=False)
class FreedKeysLog:
    """Keys that became free since the log was last drained."""

    _freed: list[FreedKeys] = attrs.field(factory=list)

    def add(self, shard: Shard, reason: FreedBecause) -> None:
        """Record that the keys of a shard are free.

        :param shard: Shard, still with the target that held it.
        :param reason: Reason why no target can hold the keys.
        """
        self._freed.append(
            FreedKeys(
                shard.first, shard.last, shard.target, shard.fence, reason
            )
        )

    def drain(self) -> list[FreedKeys]:
        """Return and clear the recorded keys.

        :return: Keys in the order in which they became free.
        """
        freed = self._freed
        self._freed = []
        return freed
