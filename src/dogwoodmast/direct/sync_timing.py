"""Time budget within which each entry VM learns of a change in the store.

docs/design-platform.md adds the steps up.
"""

from __future__ import annotations

import attrs

LONGEST_STORE_PAUSE = 1.0
"""Longest time for which the store is not read whatever the bound is, in
seconds."""
LONGEST_BOUND = 4.0
"""Bound above which the intervals do not grow any more, in seconds, so that
targets are discovered within a few seconds in any case."""
_READ_INTERVAL_SHARE = 0.15
_LONG_POLL_SHARE = 0.15
_PULL_INTERVAL_SHARE = 0.125
_PULL_TIMEOUT_SHARE = 0.25
_SOURCE_AGE_SHARE = 0.5
_MAX_AGE_SHARE = 0.7
_READ_TIMEOUT_SHARE = 0.25
_OVERDUE_TIMEOUT_SHARE = 0.1
_FIRST_STORE_PAUSE_SHARE = 0.1
_LONGEST_STORE_PAUSE_SHARE = 0.5


@attrs.define
class SyncTiming:
    """Intervals and limits that keep a copy of the store current enough."""

    bound: float
    """Time within which a change has to be in force, in seconds; a reload of
    the settings may replace it."""

    @property
    def read_interval(self) -> float:
        """Pause between two reads of the store, in seconds."""
        return self._share(_READ_INTERVAL_SHARE)

    @property
    def long_poll_time(self) -> float:
        """Longest time for which a read waits for a change, in seconds."""
        return self._share(_LONG_POLL_SHARE)

    @property
    def read_timeout(self) -> float:
        """Time for which the store's answer is awaited beyond the long poll,
        in seconds; other sources are tried after it."""
        return self._share(_READ_TIMEOUT_SHARE)

    @property
    def overdue_timeout(self) -> float:
        """Time for which the answer of any source is awaited while the copy is
        overdue, in seconds."""
        return self._share(_OVERDUE_TIMEOUT_SHARE)

    @property
    def first_store_pause(self) -> float:
        """Time for which the store is not read after a read without an answer,
        in seconds; it doubles with each further one."""
        return self._share(_FIRST_STORE_PAUSE_SHARE)

    @property
    def longest_store_pause(self) -> float:
        """Longest time for which the store is not read, in seconds."""
        longest = self._share(_LONGEST_STORE_PAUSE_SHARE)
        return min(longest, LONGEST_STORE_PAUSE)

    @property
    def pull_interval(self) -> float:
        """Pause between two pulls from another entry VM, in seconds."""
        return self._share(_PULL_INTERVAL_SHARE)

    @property
    def pull_timeout(self) -> float:
        """Time limit for the answer to a pull, in seconds."""
        return self._share(_PULL_TIMEOUT_SHARE)

    @property
    def max_source_age(self) -> float:
        """Age above which another VM's copy counts as stale, in seconds.

        A copy read from the store is younger at all times: it was confirmed
        at the start of the last read, whose wait, the pause and the wait of
        the next read may follow.
        """
        return self._share(_SOURCE_AGE_SHARE)

    @property
    def max_age(self) -> float:
        """Age at which a VM reads the store itself, in seconds.

        What remains of the bound is for that read.
        """
        return self._share(_MAX_AGE_SHARE)

    def _share(self, share: float) -> float:
        return share * min(self.bound, LONGEST_BOUND)
