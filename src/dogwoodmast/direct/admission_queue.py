"""Requests that wait for room at a target.

The load that this answers: bursts above what the targets can run.  A request
waits only if its turn is expected in time; any other is refused at once and
told when to come back.  More urgent kinds of request go first.
"""

from __future__ import annotations

import heapq
import itertools

import anyio
import attrs

from dogwoodmast.direct.target_limiter import TargetLimiter

SHORTEST_RETURN = 0.05
"""Shortest time after which a refused caller is told to return, in seconds;
below it the balancer's way takes longer."""
WAIT_SHARE = 0.5
"""Part of the objective that a request may wait; the rest is for the answer,
whose usual time is a third of the objective."""
LEFT_SHARE = 0.9
"""Part of the time left within which an answer must be expected; the rest
covers the estimate's error."""
RETURN_SPREAD = 0.5
"""Part by which chance lengthens the time, so that callers refused together
do not return together."""


@attrs.define(eq=False)
class Waiter:
    """Place of one request in a line."""

    priority: int
    """Rank of its kind; 0 is the highest."""
    deadline: float
    """Time by which an answer must come, in seconds."""
    tried: frozenset[str] = frozenset()
    """Targets that it must not go to again."""
    limiter: TargetLimiter | None = None
    """Target that has been given to it."""
    ready: anyio.Event = attrs.field(factory=anyio.Event)
    """Set once a target has been given to it, or it must look elsewhere."""
    left: bool = False
    """Whether it no longer waits."""

    def give(self, limiter: TargetLimiter) -> None:
        """Give it a place at a target.

        :param limiter: Target with room.
        """
        limiter.in_flight += 1
        self.limiter = limiter
        self.left = True
        self.ready.set()


@attrs.define
class AdmissionQueue:
    """Requests that wait for the same targets, most urgent first."""

    _heap: list[tuple[int, int, Waiter]] = attrs.field(factory=list)
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    _length: int = 0

    def __len__(self) -> int:
        """Return how many requests wait.

        :return: Their number.
        """
        return self._length

    def count_ahead(self, priority: int) -> int:
        """Count the requests that go before a new one.

        :param priority: Rank of the new request.
        :return: Their number.
        """
        return sum(
            not waiter.left and rank <= priority
            for rank, _, waiter in self._heap
        )

    def add(self, waiter: Waiter) -> None:
        """Add a request.

        :param waiter: Its ticket.
        """
        entry = (waiter.priority, next(self._numbers), waiter)
        heapq.heappush(self._heap, entry)
        self._length += 1

    def remove(self, waiter: Waiter) -> None:
        """Take a request out.

        :param waiter: Its ticket.
        """
        if not waiter.left:
            waiter.left = True
            self._length -= 1

    def wake_all(self) -> None:
        """Send all requests away to look for another place."""
        for _, _, waiter in self._heap:
            if not waiter.left:
                waiter.left = True
                waiter.ready.set()
        self._heap.clear()
        self._length = 0

    def admit_waiters(self, limiter: TargetLimiter) -> None:
        """Give a target's room away while some wait for it.

        :param limiter: Target.
        """
        is_wanted = True
        while is_wanted and self._length and limiter.has_room:
            is_wanted = self.admit_next(limiter)

    def admit_next(self, limiter: TargetLimiter) -> bool:
        """Give a target's room to the first request that may have it.

        :param limiter: Target with room.
        :return: Whether one was found.
        """
        passed: list[tuple[int, int, Waiter]] = []
        found = False
        while self._heap and not found:
            entry = heapq.heappop(self._heap)
            waiter = entry[2]
            if waiter.left:
                continue
            if limiter.target.name in waiter.tried:
                passed.append(entry)
                continue
            self._length -= 1
            waiter.give(limiter)
            found = True
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return found


def should_queue(
    wait: float, pace: float, left: float, objective: float
) -> bool:
    """Tell whether a request may wait.

    Where more requests come than can run, a long line makes every answer
    late and serves no more of them; so the line is kept to a part of the
    time within which answers are of full use.

    :param wait: Expected time until its turn, in seconds.
    :param pace: Expected time of its answer, in seconds.
    :param left: Time left for it, in seconds.
    :param objective: Time within which an answer is of full use, in seconds.
    :return: Whether the answer is expected in time.
    """
    if wait > objective * WAIT_SHARE:
        return False
    return wait + pace <= left * LEFT_SHARE


def retry_delay(wait: float, left: float, point: float) -> float:
    """Choose when a refused caller is to come back.

    :param wait: Time in which the line would be served, in seconds.
    :param left: Time that the caller has left, in seconds.
    :param point: Number from 0 to 1, drawn evenly.
    :return: Time in seconds; callers heed up to a third of what is left.
    """
    spread = 1 + RETURN_SPREAD * point
    return min(max(wait, SHORTEST_RETURN) * spread, max(left, 0) / 3)
