"""Rejections that the router ends requests with."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.admission_queue import RETRY_JITTER, retry_delay
from dogwoodmast.direct.call import Rejected
from dogwoodmast.direct.rate_keeper import MIN_RATE
from dogwoodmast.direct.statement_book import Leaving, Paused
from dogwoodmast.problem import Outcome, Problem, ProblemType

if TYPE_CHECKING:
    from dogwoodmast.direct.progress import Progress
    from dogwoodmast.direct.statement_book import StatementBook
    from dogwoodmast.direct.target_limiter import TargetLimiter
    from dogwoodmast.direct.target_set import Candidates

NO_OWNER_RETRY_DELAY = 0.3
"""Base of the ``Retry-After`` when a key has no reachable holder, a service has
no target, or the router gives up a request that has not run, in seconds; half
of the time that a request waits for a move."""
SHED_RETRY_DELAY = 0.05
"""Base of the ``Retry-After`` when a target refused a request although it had
room for it, in seconds; the next request may be accepted at once."""
STOP_RETRY_DELAY = 0.05
"""Base of the ``Retry-After`` when the VM stops, in seconds; another VM takes
the request."""


@attrs.define(eq=False)
class Rejections:
    """Builds rejections, with a ``Retry-After`` for what has not run."""

    _clock: Clock
    _random: random.Random = attrs.field(factory=random.Random)

    def reject(
        self, progress: Progress, kind: ProblemType, wait: float
    ) -> Rejected:
        """Reject a request for now, with a ``Retry-After`` if it has not run.

        :param progress: State of the request.
        :param kind: Problem, unless the request may have run.
        :param wait: Expected time until a retry may succeed, in seconds.
        :return: The rejection.
        """
        now = self._clock.monotonic()
        time_left = progress.call.caller_deadline - now
        if progress.may_have_run:
            return self.give_up(progress, ProblemType.EXCHANGE_BROKEN)
        after = retry_delay(wait, time_left, self._random.random())
        return Rejected(Problem(kind, Outcome.NOT_RUN, '', after))

    def give_up(self, progress: Progress, kind: ProblemType) -> Rejected:
        """Reject a request after its last attempt or at its deadline.

        A request that has certainly not run is always reported as overloaded,
        so that the caller may retry it.

        :param progress: State of the request.
        :param kind: Problem that ended the request.  If the request may have
            run, ``DEADLINE_EXCEEDED`` is reported as it is, and any other
            problem as ``EXCHANGE_BROKEN``.
        :return: The rejection.
        """
        if progress.is_uncertain:
            if kind is not ProblemType.DEADLINE_EXCEEDED:
                kind = ProblemType.EXCHANGE_BROKEN
            return Rejected(Problem(kind, Outcome.MAY_HAVE_RUN))
        wait = SHED_RETRY_DELAY if progress.was_shed else NO_OWNER_RETRY_DELAY
        return self.reject(progress, ProblemType.OVERLOADED, wait)

    def reject_stopping(self, progress: Progress) -> Rejected:
        """End a request for which a VM that stops has no time.

        :param progress: State of the request.
        :return: The rejection; that it has not run unless it was sent.
        """
        if progress.is_uncertain:
            return self.give_up(progress, ProblemType.EXCHANGE_BROKEN)
        return self.reject(progress, ProblemType.STOPPING, STOP_RETRY_DELAY)

    def reject_quarantined(self, progress: Progress) -> Rejected:
        """Reject a request that crashes targets.

        :param progress: State of the request.
        :return: The rejection.
        """
        if progress.may_have_run:
            return self.give_up(progress, ProblemType.EXCHANGE_BROKEN)
        return Rejected(Problem(ProblemType.QUARANTINED, Outcome.NOT_RUN))

    def reject_restricted(
        self,
        progress: Progress,
        candidates: Candidates,
        statements: StatementBook,
    ) -> Rejected:
        """Reject a request that no target admits by what it has said.

        :param progress: State of the request.
        :param candidates: Targets that may run it.
        :param statements: What targets have said of themselves.
        :return: The rejection, with the shortest of the targets' waits.
        """
        now = self._clock.monotonic()
        priority = progress.call.route.priority
        latest = (progress.call.deadline - now) / 3
        kind = ProblemType.TARGET_PAUSED
        waits: list[float] = []
        for limiter in candidates.limiters:
            match limiter.statements.restriction(priority, now):
                case Paused(until):
                    waits.append(until - now)
                case Leaving():
                    waits.append(NO_OWNER_RETRY_DELAY)
                case _:
                    kind = ProblemType.TARGET_LIMITED
                    waits.append(_schedule_return(limiter, statements, now))
        wait = min(waits)
        if kind is ProblemType.TARGET_LIMITED:
            # Callers honour a third of their time; a longer wait is drawn
            # within it, so that they do not all return at its end.
            wait = min(wait, latest * (1 + self._random.random()) / 3)
        else:
            # Leaves room for the jitter, for the same reason.
            wait = min(wait, latest / (1 + RETRY_JITTER))
        return self.reject(progress, kind, wait)


def _schedule_return(
    limiter: TargetLimiter, statements: StatementBook, now: float
) -> float:
    rate = max(statements.rate(limiter.target.key), MIN_RATE)
    return limiter.statements.schedule_return(1 / rate, now)
