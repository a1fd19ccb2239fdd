"""Retry budget of one entry VM for one service.

It keeps retries from multiplying the load when targets fail part of their
requests, or all of them.  The platform sets one budget for all VMs, but the
VMs do not coordinate.  The budget is a ratio of the requests plus a fixed
number; each VM applies the ratio to its own requests and takes an equal share
of the fixed number.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from dogwoodmast.direct.settings import Bounds

BUDGET_SHARE = 0.75
"""Fraction of the budget that is used.  The platform counts requests in several
windows, one of which overlaps the window of a VM by at least three quarters;
uneven load among the VMs does not change the sum."""


@attrs.define
class RetryBudget:
    """Retries allowed by the requests of a sliding window."""

    ratio: float
    """Allowed retries per request."""
    window: float
    """Length of the sliding window, in seconds."""
    slack: float
    """Retries per window that all VMs together may make regardless of the
    number of requests."""
    _request_times: deque[float] = attrs.field(factory=deque)
    _retry_times: deque[float] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count the first attempt of a request.

        :param now: Monotonic time, in seconds.
        """
        self._request_times.append(now)

    def try_spend(self, vm_count: int, now: float) -> bool:
        """Spend one retry if the budget allows it.

        :param vm_count: Number of entry VMs that share the budget.
        :param now: Monotonic time, in seconds.
        :return: Whether the retry is allowed; if so, it has been counted.
        """
        for times in (self._request_times, self._retry_times):
            while times and times[0] < now - self.window:
                times.popleft()
        allowed = self.ratio * len(self._request_times) + self.slack / max(
            vm_count, 1
        )
        if len(self._retry_times) + 1 > allowed * BUDGET_SHARE:
            return False
        self._retry_times.append(now)
        return True


@attrs.define(eq=False)
class RetryBudgets:
    """Retry budgets of one entry VM by service."""

    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def of(self, service: str, bounds: Bounds) -> RetryBudget:
        """Return the budget of a service.

        :param service: Name of the service.
        :param bounds: Limits that a budget gets at the first call for its
            service.
        :return: Budget of the service.
        """
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(
                bounds.retry_ratio, bounds.retry_window, bounds.retry_slack
            )
            self._budgets[service] = found
        return found
