"""Adaptive concurrency limit and health of one target.

Many small entry VMs share the few slots of a target without coordination.
Each VM adapts a limit of its own by additive increase and multiplicative
decrease: it grows while responses arrive at their baseline latency, and
shrinks when the target refuses a request or responds much more slowly.  The
sum over all VMs settles near the target's capacity.
"""

from __future__ import annotations

import attrs

from dogwoodmast.direct.catalog import Target
from dogwoodmast.direct.statement_book import (
    TargetStatements,
    Unrestricted,
)

INITIAL_LIMIT = 2.0
"""Limit before the first response, in concurrent requests."""
MIN_LIMIT = 1.0
"""Smallest limit, in concurrent requests; a VM may always try one."""
LIMIT_INCREASE = 0.2
"""Additive increase of the limit per response that is not slow while the
limit is in full use, in concurrent requests."""
LIMIT_DECREASE_FACTOR = 0.7
"""Multiplicative decrease of the limit after a refusal or a slow response."""
SLOW_FACTOR = 2.5
"""Multiple of the baseline latency above which a response counts as slow."""
LATENCY_SMOOTHING = 0.15
"""Weight of a new sample in the moving average of the latency, and in the
baseline when the sample is below it."""
BASELINE_RISE_SMOOTHING = 0.02
"""Weight of a new sample in the baseline when the sample is above it; low, so
that a slowdown of the target shifts the baseline only slowly."""
INITIAL_LATENCY = 0.1
"""Latency that is assumed before the first response, in seconds."""
DOWN_THRESHOLD = 2
"""Consecutive exchanges without a response after which a target counts as
down; a single one may be due to an idle connection that was closed."""
INITIAL_PENALTY = 0.25
"""Penalty period after the first refusal or failure, in seconds; it doubles
with each further one until a request succeeds.  While it lasts, other targets
are preferred."""
MAX_PENALTY = 2.0
"""Longest penalty period, in seconds; equal to the time that the platform
allows a target for leaving."""


@attrs.define(eq=False)
class TargetLimiter:
    """Concurrency limiter and health tracker of one VM for one target."""

    target: Target
    """Target that the limit applies to."""
    statements: TargetStatements = attrs.field(
        default=attrs.Factory(
            lambda self: TargetStatements(self.target.key), takes_self=True
        )
    )
    """What the target has said of itself."""
    in_flight: int = 0
    """Requests of this VM that occupy a slot at the target."""
    limit: float = INITIAL_LIMIT
    """Current limit, in concurrent requests; its integer part applies."""
    mean_latency: float = INITIAL_LATENCY
    """Exponentially weighted moving average of the response time, in
    seconds."""
    _baseline_latency: float = 0
    _max_limit: float = INITIAL_LIMIT
    _failures: int = 0
    _missing_responses: int = 0
    _penalized_until: float = float('-inf')

    @property
    def baseline_latency(self) -> float:
        """Latency without congestion, in seconds; 0 before any response."""
        return self._baseline_latency

    @property
    def is_known(self) -> bool:
        """Whether the target has served a request of this VM."""
        return self._baseline_latency > 0

    @property
    def has_capacity(self) -> bool:
        """Whether the limit admits one more request."""
        return self.in_flight < int(self.limit)

    @property
    def service_rate(self) -> float:
        """Estimated throughput of the target for this VM, in requests/s."""
        return max(1, int(self.limit)) / self.mean_latency

    def is_penalized(self, now: float) -> bool:
        """Tell whether the penalty period of a refusal or failure lasts.

        :param now: Monotonic time, in seconds.
        :return: Whether other targets are to be preferred.
        """
        return now < self._penalized_until

    def is_down(self, now: float) -> bool:
        """Tell whether the target is considered down.

        While no request is in flight, the target does not count as down, so
        that one request at a time probes whether it is back.

        :param now: Monotonic time, in seconds.
        :return: Whether further requests should be rejected.
        """
        is_unresponsive = self._missing_responses >= DOWN_THRESHOLD
        return is_unresponsive and self.in_flight > 0 and self.is_penalized(now)

    def admits(self, priority: int, now: float) -> bool:
        """Tell whether what the target has said admits a request.

        :param priority: Priority of the request; 0 is the highest.
        :param now: Monotonic time, in seconds.
        :return: Whether the request may be sent, or may wait for a slot.
        """
        if self.statements.is_unrestricted(now):
            return True
        restriction = self.statements.restriction(priority, now)
        return isinstance(restriction, Unrestricted)

    def cap_limit(self, max_limit: float) -> None:
        """Set an upper bound for the limit, and apply it at once.

        :param max_limit: Largest allowed limit, in concurrent requests.
        """
        self._max_limit = max_limit
        self.limit = min(self.limit, max_limit)

    def on_response(self, seconds: float) -> None:
        """Record a successful response and adapt the limit.

        The slot of the request must have been released before.

        :param seconds: Response time, in seconds.
        """
        self._failures = 0
        self._missing_responses = 0
        self._penalized_until = float('-inf')
        self.mean_latency += (seconds - self.mean_latency) * LATENCY_SMOOTHING
        if not self._baseline_latency:
            self._baseline_latency = seconds
        smoothing = (
            LATENCY_SMOOTHING
            if seconds < self._baseline_latency
            else BASELINE_RISE_SMOOTHING
        )
        self._baseline_latency += (seconds - self._baseline_latency) * smoothing
        if seconds > self._baseline_latency * SLOW_FACTOR:
            self.limit = max(MIN_LIMIT, self.limit * LIMIT_DECREASE_FACTOR)
        elif self.in_flight + 1 >= int(self.limit):
            self.limit = min(self._max_limit, self.limit + LIMIT_INCREASE)

    def on_refused(self, now: float) -> None:
        """Record that the target refused a request, and lower the limit.

        :param now: Monotonic time, in seconds.
        """
        self._missing_responses = 0
        self.limit = max(MIN_LIMIT, self.limit * LIMIT_DECREASE_FACTOR)
        if self.statements.is_paused(now):
            # Requests return one by one after the pause.
            self.limit = MIN_LIMIT
        self._penalize(now)

    def on_failed(self, now: float) -> None:
        """Record a response with a server error (status 5xx).

        :param now: Monotonic time, in seconds.
        """
        self._missing_responses = 0
        self._penalize(now)

    def on_no_response(self, now: float) -> None:
        """Record a failed connection or an exchange without a response.

        :param now: Monotonic time, in seconds.
        """
        self._missing_responses += 1
        self._penalize(now)

    def _penalize(self, now: float) -> None:
        penalty = INITIAL_PENALTY * 2**self._failures
        self._penalized_until = now + min(MAX_PENALTY, penalty)
        if penalty < MAX_PENALTY:
            self._failures += 1
