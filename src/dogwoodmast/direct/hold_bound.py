"""How long the grants of a service may last, also those of earlier terms."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.grant_state_machine import max_hold_time
from dogwoodmast.direct.leadership import LEASE_TTL
from dogwoodmast.direct.target_control import GRANT_TIMEOUT

if TYPE_CHECKING:
    from dogwoodmast.direct.grant_state_machine import GrantStateMachine
    from dogwoodmast.direct.messages import ShardRecord

EARLIER_TERM_GRANT_WINDOW = LEASE_TTL + GRANT_TIMEOUT
"""Time in seconds for which grant calls of an earlier term may still be in
progress.  The lease of its coordinator may have been revoked right after a
renewal, so that it acts until the lease would have expired, and a grant call
that it began just before then may take as long as its time limit."""


@attrs.frozen
class HoldBound:
    """Bound of the holds that may last during a term, in seconds.

    Coordinators of different settings or builds grant keys for different times,
    so that each stores how long holds last before it grants any longer.
    """

    own: float
    """Hold of the term's own grants."""
    earlier: float = 0
    """Longest hold of the grants of earlier terms."""
    earlier_until: float = float('-inf')
    """Monotonic time until which grants of earlier terms may last."""

    @classmethod
    def of(
        cls,
        record: ShardRecord | None,
        machine: GrantStateMachine,
        now: float,
        *,
        is_readable: bool = True,
    ) -> HoldBound:
        """Bound the holds of a term that begins.

        :param record: Stored record, or ``None`` if none can be used.
        :param machine: State machine of the term.
        :param now: Monotonic time in seconds.
        :param is_readable: Whether the record can be read, or there is none.
        :return: Bound.
        """
        earlier = machine.hold if is_readable else machine.longest_hold
        if record is not None:
            earlier = max(earlier, record.hold or machine.longest_hold)
        lasting = EARLIER_TERM_GRANT_WINDOW + max_hold_time(earlier)
        return cls(machine.hold, earlier, now + lasting)

    def longest(self, now: float) -> float:
        """Return the longest hold of all grants that may last.

        :param now: Monotonic time in seconds.
        :return: Hold in seconds.
        """
        if now < self.earlier_until:
            return max(self.own, self.earlier)
        return self.own
