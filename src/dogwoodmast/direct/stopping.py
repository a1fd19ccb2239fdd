"""Requests that are open while their entry VM stops."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.call import Call, Deliver, Delivered, Rejected, Response
from dogwoodmast.direct.progress import Progress
from dogwoodmast.direct.stop_window import StopWindow, make_stop_window
from dogwoodmast.direct.target_limiter import TargetLimiter
from dogwoodmast.direct.work_times import WorkTimes
from dogwoodmast.events import Event, log_event
from dogwoodmast.problem import ProblemType

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from dogwoodmast.direct.catalog import Route

LOOK_INTERVAL = 0.02
"""Time between two looks at the open requests, in seconds."""


@attrs.define(eq=False)
class OpenRequest:
    """Request that the VM has read, or reads."""

    scope: anyio.CancelScope
    """Scope of the request; ended when there is no time left."""
    progress: Progress | None = None
    """State of the request, or ``None`` while it is being read."""
    is_settled: bool = False
    """Whether a response is being forwarded, or the request is handed on."""
    _seen: tuple[TargetLimiter, ...] | None = attrs.field(
        init=False, default=None
    )
    _latest_send: float = attrs.field(init=False, default=math.inf)

    def forward(self, deliver: Deliver) -> Deliver:
        """Let a response be forwarded to its end once that has begun.

        :param deliver: Forwards a response to the caller.
        :return: Callable that does the same.
        """

        async def settle(response: Response) -> None:
            self.is_settled = True
            await deliver(response)

        return settle

    def ends_at(self, window: StopWindow, stopping: Stopping) -> float:
        """Compute when the request is ended for lack of time.

        :param window: Times of the stop.
        :param stopping: Estimates of the VM.
        :return: Monotonic time, in seconds.
        """
        progress = self.progress
        if progress is None or progress.is_uncertain:
            return window.answers_at
        targets = progress.candidates
        if self._seen is not targets or self._latest_send <= stopping.now:
            self._seen = targets
            self._latest_send = stopping.latest_send(progress.call, targets)
        return min(self._latest_send, window.answers_at)


@attrs.define(eq=False)
class Stopping:
    """Ends requests that can't be served before their VM has stopped."""

    _clock: Clock
    times: WorkTimes = attrs.field(factory=WorkTimes)
    """Times that targets take for requests."""
    window: StopWindow | None = None
    """Times of the stop, or ``None`` while the VM is not stopping."""
    rejected: int = 0
    """Requests that were not run, since they would not have ended in time."""
    unanswered: int = 0
    """Requests that were sent and had no response in time."""
    _open: set[OpenRequest] = attrs.field(factory=set)

    @property
    def now(self) -> float:
        """Monotonic time, in seconds."""
        return self._clock.monotonic()

    @contextlib.contextmanager
    def open(self, progress: Progress | None = None) -> Iterator[OpenRequest]:
        """Keep a request until the block ends.

        The block is cancelled if the request has to be ended.

        :param progress: State of the request; its deadline is adapted.
        :return: The request.
        """
        with anyio.CancelScope() as scope:
            request = OpenRequest(scope, progress)
            self._shorten(request)
            self._open.add(request)
            try:
                yield request
            finally:
                self._open.discard(request)

    def fits(self, call: Call, *targets: TargetLimiter) -> bool:
        """Tell whether a request may still be sent.

        :param call: Request.
        :param targets: Limiters of the targets, by default any.
        :return: Whether one of them is expected to respond in time.
        """
        return self.now <= self.latest_send(call, targets)

    def unfit(
        self, call: Call, targets: Iterable[TargetLimiter]
    ) -> frozenset[str]:
        """List the targets that are not expected to respond in time.

        :param call: Request.
        :param targets: Limiters of targets.
        :return: Names of those that it must not be sent to.
        """
        if self.window is None:
            return frozenset()
        return frozenset(
            one.target.name for one in targets if not self.fits(call, one)
        )

    def latest_send(
        self, call: Call, targets: tuple[TargetLimiter, ...]
    ) -> float:
        """Compute until when a request may be sent.

        :param call: Request.
        :param targets: Limiters of the targets; empty for any.
        :return: Monotonic time, in seconds; infinite if the VM is not stopping,
            or its end does not limit the request.
        """
        if self.window is None:
            return math.inf
        names = [one.target.name for one in targets] or ['']
        return max(
            self.window.latest_send(
                call.caller_deadline,
                self.times.of(call.route.name, name),
                retryable=call.route.retryable,
            )
            for name in names
        )

    def expected_time(self, route: Route, latency: float) -> float:
        """Return the time that a target takes for a request.

        :param route: Route of the request.
        :param latency: Mean latency of the target, in seconds.
        :return: Time in seconds; ``latency`` unless the VM is stopping and more
            is known of the route.
        """
        work = None if self.window is None else self.times.of(route.name)
        if work is None:
            return latency
        needed = work.typical if route.retryable else work.cautious
        return max(latency, needed)

    def count(self, result: Rejected | Delivered) -> None:
        """Count a request if it was rejected since the VM stops.

        :param result: How it ended.
        """
        if isinstance(result, Rejected):
            self.rejected += result.problem.type is ProblemType.STOPPING

    def begin(self, stop_time: float) -> StopWindow:
        """Begin to stop.

        :param stop_time: Time until the process is killed, in seconds.
        :return: Times of the stop, which apply to all requests.
        """
        self.window = make_stop_window(self.now, stop_time)
        for request in self._open:
            self._shorten(request)
        return self.window

    async def run(self, window: StopWindow) -> None:
        """End requests for which there is no time, until the VM has ended.

        :param window: Times of the stop.
        """
        while True:
            for request in tuple(self._open):
                self._look_at(request, window)
            await anyio.sleep(LOOK_INTERVAL)

    def log(self) -> None:
        """Log how many requests were ended by the stop, if any."""
        if self.rejected or self.unanswered:
            log_event(
                Event.REQUESTS_STOPPED,
                rejected=self.rejected,
                unanswered=self.unanswered,
            )

    def _shorten(self, request: OpenRequest) -> None:
        """Let estimates and targets know that there is less time."""
        progress = request.progress
        if self.window is None or progress is None:
            return
        if self.window.limits(progress.call.deadline):
            progress.call = attrs.evolve(
                progress.call,
                deadline=self.window.response_due,
                until=progress.call.deadline,
            )

    def _look_at(self, request: OpenRequest, window: StopWindow) -> None:
        """End a request that may not be sent any more, or has no response."""
        if request.is_settled:
            return
        if self.now >= request.ends_at(window, self):
            request.is_settled = True
            request.scope.cancel()
