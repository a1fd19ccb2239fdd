"""Further attempts that one entry VM may make for a service.

The load that this answers: targets that fail part of their requests, or all
at once.  The budget is one for all VMs, which do not see each other; each
takes its part of the share that grows with requests, and an even part of
the share that does not.
"""

from __future__ import annotations

from collections import deque

import attrs

BUDGET_SHARE = 0.6
"""Part of the budget that is used; the rest covers uneven VMs and windows."""


@attrs.define
class RetryBudget:
    """Count of first and further attempts in a sliding window."""

    ratio: float
    """Further attempts for each request."""
    window: float
    """Length of the window, in seconds."""
    slack: float
    """Further attempts that all VMs together may make in any case."""
    _firsts: deque[float] = attrs.field(factory=deque)
    _further: deque[float] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request.

        :param now: Steady time in seconds.
        """
        self._firsts.append(now)

    def try_spend(self, vms: int, now: float) -> bool:
        """Take one further attempt.

        :param vms: Entry VMs that share the budget.
        :param now: Steady time in seconds.
        :return: Whether it may be made.
        """
        for times in (self._firsts, self._further):
            while times and times[0] < now - self.window:
                times.popleft()
        allowed = self.ratio * len(self._firsts) + self.slack / max(vms, 1)
        if len(self._further) + 1 > allowed * BUDGET_SHARE:
            return False
        self._further.append(now)
        return True
