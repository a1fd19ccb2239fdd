"""Time that an entry VM that stops has for the requests of its callers.

It answers the load of requests that come, wait or run while their VM is
stopped.  Free of I/O.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from dogwoodmast.direct.work_times import WorkTime

ACCEPT_TIME = 3.0
"""Time for which a stopping VM still accepts connections, in seconds, unless
half of its stop time is shorter; the load balancer checks readiness once a
second and removes a VM after two failures."""
EXIT_MARGIN = 0.4
"""Time by which the process ends by itself before it would be killed, in
seconds."""
ANSWER_MARGIN = 0.1
"""Time in which the last answers leave the sockets' buffers before the
connections are closed, in seconds."""
RESPONSE_MARGIN = 0.1
"""Time that a response takes from the target to the caller's connection, in
seconds, with that for a target that stops work at its deadline."""


@attrs.frozen
class StopWindow:
    """Times in the stop of an entry VM, all monotonic and in seconds."""

    accepts_until: float
    """When it accepts no more connections; callers of requests that are sent
    later may rely on a response."""
    answers_at: float
    """When each request that has no response by then gets an answer of the
    VM's own."""
    closes_at: float
    """When all connections are closed."""

    @property
    def response_due(self) -> float:
        """Time by which a target's response must be there."""
        return self.answers_at - RESPONSE_MARGIN

    def limits(self, deadline: float) -> bool:
        """Tell whether a request has less time than its caller gives it.

        :param deadline: Monotonic time by which the caller needs a response,
            in seconds.
        :return: Whether the VM's end comes first.
        """
        return deadline > self.response_due

    def latest_send(
        self, deadline: float, work: WorkTime | None, *, retryable: bool
    ) -> float:
        """Compute until when a request may be sent to a target.

        Where nothing is known of the work, a request is sent as long as new
        connections come: no other VM is sure to know more.

        :param deadline: Monotonic time by which the caller needs a response,
            in seconds.
        :param work: Time that targets need for such requests, or ``None`` if
            it is not known.
        :param retryable: Whether a request that may have run may be sent again,
            so that its loss costs less.
        :return: Monotonic time, in seconds; infinite if the end of the VM does
            not limit the request.
        """
        if not self.limits(deadline):
            return math.inf
        if work is None:
            return self.accepts_until
        latest = self.response_due - work.cautious
        if not retryable:
            return latest
        typical = self.response_due - work.typical
        return max(latest, min(typical, self.accepts_until))


def make_stop_window(began_at: float, stop_time: float) -> StopWindow:
    """Make the window of a stop.

    :param began_at: Monotonic time of the signal, in seconds.
    :param stop_time: Time from the signal until the process is killed, in
        seconds.
    :return: Window; none of its times is before the signal.
    """
    closes_at = began_at + max(stop_time - EXIT_MARGIN, 0)
    return StopWindow(
        min(began_at + min(ACCEPT_TIME, stop_time / 2), closes_at),
        max(closes_at - ANSWER_MARGIN, began_at),
        closes_at,
    )
