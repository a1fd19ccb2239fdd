"""Check of the copy of the store after an entry VM was held up.

A VM that was stopped or slowed down goes on with a copy that may miss changes
which it could have read.  In an outage of the store the copy is as old, but
nothing newer can be had, and service goes on.
"""

from __future__ import annotations

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.sync_timing import SyncTiming

LATE_END_SHARE = 0.1
"""Fraction of the bound by which an attempt may exceed its limit; one that took
longer was held up itself, and says nothing about its source."""


@attrs.define(eq=False)
class CopyFreshness:
    """Tells whether requests may be routed by the copy now."""

    _directory: Directory
    _clock: Clock
    _timing: SyncTiming
    _was_confirmed: bool = False
    _vain_since: float = float('-inf')
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def check_timeout(self) -> float:
        """Longest time for which a request waits for the check, in seconds.

        A step of the budget: the limit of the read that checks the copy.
        """
        return self._timing.read_timeout

    def on_confirmed(self) -> None:
        """Record that an attempt has confirmed the copy."""
        self._was_confirmed = True
        self._wake()

    def on_vain_attempt(self, began_at: float, limit: float) -> bool:
        """Record that an attempt has not confirmed the copy.

        :param began_at: Monotonic time at which it began, in seconds.
        :param limit: Longest time for which it is awaited, in seconds.
        :return: Whether it says anything of its source; false if the VM was
            held up in it, so that the source may have answered.
        """
        latest_end = began_at + limit + LATE_END_SHARE * self._timing.bound
        if self._clock.monotonic() > latest_end:
            return False
        self._vain_since = max(self._vain_since, began_at)
        self._wake()
        return True

    def is_outdated(self, now: float) -> bool:
        """Tell whether the copy is older than the bound.

        :param now: Monotonic time, in seconds.
        :return: Whether it may miss a change that must be in force.
        """
        return self._directory.age(now) > self._timing.bound

    def is_unchecked(self, now: float) -> bool:
        """Tell whether the copy may miss changes that could have been read.

        :param now: Monotonic time, in seconds.
        :return: Whether it is older than the bound, and no attempt since it
            became overdue has shown that nothing newer can be had; false
            before the first read of the store.
        """
        if not self._was_confirmed or not self.is_outdated(now):
            return False
        if now - self._vain_since > self._timing.bound:
            # The VM was held up since, in which an outage may have ended.
            return True
        # Attempts before the copy was confirmed or overdue prove nothing.
        return self._directory.age(self._vain_since) < self._timing.max_age

    async def wait_checked(self) -> None:
        """Wait until the copy is checked, or ``check_timeout`` has passed."""
        if not self.is_unchecked(self._clock.monotonic()):
            return
        with anyio.move_on_after(self.check_timeout):
            while self.is_unchecked(self._clock.monotonic()):
                await self._changed.wait()

    def _wake(self) -> None:
        """Let waiting requests look at the copy again."""
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()
