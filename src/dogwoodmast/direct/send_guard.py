"""Last look at a target before a request is written to it.

Between the choice of a target and the send lie the queue, the permit and the
connection; meanwhile the target may leave, or the VM may be held up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.copy_freshness import CopyFreshness
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.sync_timing import LONGEST_BOUND, SyncTiming

if TYPE_CHECKING:
    from dogwoodmast.direct.catalog import Target
    from dogwoodmast.direct.rate_gate import Permit
    from dogwoodmast.direct.target_limiter import TargetLimiter


@attrs.define(eq=False)
class SendGuard:
    """Tells whether a request may still be sent to the chosen target."""

    freshness: CopyFreshness
    """Tells whether the copy of the store was checked lately."""
    _directory: Directory
    _clock: Clock

    async def find_objection(
        self, limiter: TargetLimiter, permit: Permit
    ) -> str | None:
        """Tell why a request must not be sent after all.

        The caller writes the request without another ``await`` in between.

        :param limiter: Limiter of the chosen target.
        :param permit: Permit of the request under the target's rate limit.
        :return: Reason, or ``None`` if the request may be sent.
        """
        await self.freshness.wait_checked()
        now = self._clock.monotonic()
        objection = self._find_change(limiter.target, now)
        if objection is not None:
            return objection
        return limiter.statements.find_objection(permit, now)

    def _find_change(self, target: Target, now: float) -> str | None:
        """Tell how the listing of a target has changed since it was chosen."""
        if not self._directory.revision:
            return None
        listed = self._directory.find_target(target.name, now)
        if listed is None or listed.born != target.born:
            return 'target is no longer listed'
        return 'target is listed as leaving' if listed.leaving else None


def make_send_guard(
    directory: Directory, clock: Clock, timing: SyncTiming
) -> SendGuard:
    """Make the guard of an entry VM.

    :param directory: Local copy of the store.
    :param clock: Monotonic clock that also advances while the machine is
        suspended.
    :param timing: Intervals and limits of the copy's synchronisation.
    :return: Guard, with a check of the copy of its own.
    """
    freshness = CopyFreshness(directory, clock, timing)
    return SendGuard(freshness, directory, clock)


def make_guard_without_copy(clock: Clock) -> SendGuard:
    """Make the guard of a dispatcher that has no copy of the store.

    :param clock: Monotonic clock.
    :return: Guard that looks at what targets say of themselves only.
    """
    directory = Directory(lambda _key, _content: None)
    return make_send_guard(directory, clock, SyncTiming(LONGEST_BOUND))
