"""Priority queue of requests that wait for a free slot at a target.

The queue absorbs bursts above the targets' capacity.  A request is queued
only if it is expected to be answered in time; otherwise it is rejected at
once with a ``Retry-After``.  Higher priorities are admitted first, and
requests of one priority in the order of their arrival.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.direct.target_limiter import TargetLimiter

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_RETRY_DELAY = 0.05
"""Shortest ``Retry-After`` of a rejected request, before the jitter, in
seconds; a retry takes longer than that to pass the load balancer."""
QUEUE_TIME_SHARE = 0.5
"""Fraction of a route's latency objective that a request may spend in the
queue; the rest is for the target, which usually takes a third of the
objective."""
DEADLINE_SHARE = 0.9
"""Fraction of the time to the deadline within which the response must be
expected; the rest covers errors of the estimate."""
RETRY_JITTER = 0.5
"""Largest random extension of a retry delay, as a fraction of the delay; it
keeps callers that were rejected together from retrying together."""


@attrs.define(eq=False)
class Waiter:
    """Queued request."""

    priority: int
    """Priority of the route; 0 is the highest."""
    deadline: float
    """Monotonic time by which the caller needs a response, in seconds."""
    tried: frozenset[str] = frozenset()
    """Names of targets that the request must not be sent to again."""
    limiter: TargetLimiter | None = None
    """Limiter of the target that the request was admitted to, or ``None``."""
    ready: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when the request is admitted to a target, and also, with
    ``limiter`` still ``None``, when the queue is discarded and the request
    has to look for candidates again."""
    left: bool = False
    """Whether the request has left the queue.  Its heap entry may still
    exist; entries are removed lazily."""

    def may_use(self, limiter: TargetLimiter, now: float) -> bool:
        """Tell whether the request may be sent to a target.

        :param limiter: Limiter of the target.
        :param now: Monotonic time, in seconds.
        :return: Whether it has not tried the target, and what the target has
            said of itself admits it.
        """
        return limiter.target.name not in self.tried and limiter.admits(
            self.priority, now
        )

    def admit(self, limiter: TargetLimiter) -> None:
        """Occupy a slot at a target and wake the waiting task.

        :param limiter: Limiter of a target with a free slot.
        """
        limiter.in_flight += 1
        self.limiter = limiter
        self.left = True
        self.ready.set()


@attrs.define
class AdmissionQueue:
    """Queue of the requests that wait for the same set of targets."""

    _heap: list[tuple[int, int, Waiter]] = attrs.field(factory=list)
    _sequence: itertools.count[int] = attrs.field(factory=itertools.count)
    _length: int = 0

    def __len__(self) -> int:
        """Return the number of waiting requests.

        :return: Number of waiting requests, without those that have left.
        """
        return self._length

    def count_ahead(self, priority: int) -> int:
        """Count the waiting requests that are admitted before a new one.

        :param priority: Priority of the new request; 0 is the highest.
        :return: Number of requests of the same or a higher priority.
        """
        return sum(
            not waiter.left and rank <= priority
            for rank, _, waiter in self._heap
        )

    def add(self, waiter: Waiter) -> None:
        """Append a request behind those of the same priority.

        :param waiter: Request to queue.
        """
        entry = (waiter.priority, next(self._sequence), waiter)
        heapq.heappush(self._heap, entry)
        self._length += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a request, for example because its caller disconnected.

        :param waiter: Request to remove; nothing happens if it has left.
        """
        if not waiter.left:
            waiter.left = True
            self._length -= 1

    def wake_all(self) -> None:
        """Empty the queue and wake all requests without a target.

        Each of them has to look for candidates again.
        """
        for _, _, waiter in self._heap:
            if not waiter.left:
                waiter.left = True
                waiter.ready.set()
        self._heap.clear()
        self._length = 0

    def admit_waiters(self, limiter: TargetLimiter, now: float) -> None:
        """Admit requests to a target until it is full or none may use it.

        :param limiter: Limiter of the target.
        :param now: Monotonic time, in seconds.
        """
        was_admitted = True
        while was_admitted and self._length and limiter.has_capacity:
            was_admitted = self.admit_next(limiter, now)

    def wake_refused(
        self, limiters: Iterable[TargetLimiter], now: float
    ) -> None:
        """Wake the requests that no target admits.

        They have to look for candidates again, and are then rejected.

        :param limiters: Limiters of all targets that the queue is for.
        :param now: Monotonic time, in seconds.
        """
        listed = tuple(limiters)
        for _, _, waiter in self._heap:
            if not waiter.left and not any(
                waiter.may_use(limiter, now) for limiter in listed
            ):
                self.remove(waiter)
                waiter.ready.set()

    def admit_next(self, limiter: TargetLimiter, now: float) -> bool:
        """Admit the first request that may use the target.

        :param limiter: Limiter of a target with a free slot.
        :param now: Monotonic time, in seconds.
        :return: Whether a request was admitted.
        """
        skipped: list[tuple[int, int, Waiter]] = []
        found = False
        while self._heap and not found:
            entry = heapq.heappop(self._heap)
            waiter = entry[2]
            if waiter.left:
                continue
            if not waiter.may_use(limiter, now):
                skipped.append(entry)
                continue
            self._length -= 1
            waiter.admit(limiter)
            found = True
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return found


def should_queue(
    wait: float, latency: float, time_left: float, objective: float
) -> bool:
    """Tell whether a request should be queued rather than rejected.

    Under sustained overload a longer queue adds latency to every response
    without serving more of them.  Queueing time is therefore limited to a
    fraction of the latency objective.

    :param wait: Expected time in the queue, in seconds.
    :param latency: Expected response time of the target, in seconds.
    :param time_left: Time to the request's deadline, in seconds.
    :param objective: Latency objective of the route, in seconds.
    :return: Whether the response is expected in time.
    """
    if wait > objective * QUEUE_TIME_SHARE:
        return False
    return wait + latency <= time_left * DEADLINE_SHARE


def retry_delay(wait: float, time_left: float, fraction: float) -> float:
    """Compute the ``Retry-After`` of a rejected request.

    :param wait: Expected time until a slot is free, in seconds.
    :param time_left: Time to the request's deadline, in seconds.
    :param fraction: Uniform random number from 0 to 1, for the jitter.
    :return: Delay in seconds, at most a third of ``time_left``, since callers
        honour no longer delay.
    """
    jitter = 1 + RETRY_JITTER * fraction
    return min(max(wait, MIN_RETRY_DELAY) * jitter, max(time_left, 0) / 3)
