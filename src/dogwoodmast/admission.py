"""Admission of requests to the queue of a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.dispatch_messages import Moved, Submission
from dogwoodmast.dispatch_right import Right
from dogwoodmast.dispatch_state import DispatchState
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.request_id import fingerprint

if TYPE_CHECKING:
    from dogwoodmast.job import Job
    from dogwoodmast.request import Request, Result

RESPONSE_TRANSIT_TIME = 0.005
"""Time that an answer needs back to its caller, in seconds."""
MIN_RETRY_AFTER = 1.0
"""Shortest time that a refused caller is told to wait, in seconds."""
QUARANTINE_RETRY_AFTER = 600.0
"""Time after which a request that is held back may be tried, in seconds."""
UNREACHABLE_AFTER = 0.5
"""Time without a sign of life after which only probes are sent to a
target, in seconds."""


@attrs.define(eq=False)
class Admission:
    """Decides which requests a target's queue takes."""

    _state: DispatchState

    def refusal(
        self, submission: Submission, right: Right, now: float
    ) -> Result | Moved | None:
        """Decide about a request that is new.

        :param submission: The request.
        :param right: Whether it may be dispatched.
        :param now: Monotonic time in seconds.
        :return: Its result, or ``None`` if it is admitted.
        """
        if right is Right.DENIED or self._state.draining:
            return Moved()
        if right is Right.PENDING:
            return self._refusal_while_pending(submission, now)
        known = self._known_result(submission, now)
        if known is not None:
            return known
        held = self.quarantine_problem(submission.request, now)
        return held or self._refusal_by_load(submission, now)

    def quarantine_problem(
        self, request: Request, now: float
    ) -> Problem | None:
        """Check whether a request is held back for crashing targets.

        :param request: The request.
        :param now: Monotonic time in seconds.
        :return: Problem if it is.
        """
        quarantine = self._state.quarantine
        if quarantine.has_no_suspects:
            return None
        if not quarantine.is_quarantined(fingerprint(request), now):
            return None
        return Problem(
            ProblemType.QUARANTINED,
            detail='the request was running on several targets that crashed',
            retry_after=QUARANTINE_RETRY_AFTER,
        )

    def deadline_problem(self, job: Job, now: float) -> Problem | None:
        """Check a job's deadline right before its start.

        A request that finds the target idle is always tried, so that an
        estimate that has grown too high is corrected.

        :param job: The job.
        :param now: Monotonic time in seconds.
        :return: Problem if it would not finish in time.
        """
        state = self._state
        needed: float = 0
        if state.slots.busy:
            needed = (
                state.service_times.upper_bound(job.kind.name)
                + RESPONSE_TRANSIT_TIME
            )
        if now + needed < job.deadline:
            return None
        return Problem(
            ProblemType.DEADLINE_TOO_SHORT,
            job.outcome,
            'the request would not finish before its deadline',
            MIN_RETRY_AFTER,
        )

    def is_full(self) -> bool:
        """Tell whether the queue has reached its limit.

        :return: ``True`` if it has.
        """
        return len(self._state.waiting) >= self._state.service.queue_limit

    def _known_result(
        self, submission: Submission, now: float
    ) -> Result | None:
        request = submission.request
        state = self._state
        if submission.kind.idempotent or not request.request_id:
            return None
        wall_time = state.wall_time(now)
        ledger = state.ledgers.ledger(submission.grant, now, wall_time)
        return ledger.check(request.request_id, fingerprint(request), wall_time)

    def _refusal_while_pending(
        self, submission: Submission, now: float
    ) -> Problem | None:
        problem = None
        if submission.request.deadline <= now:
            problem = _deadline_problem('the deadline has passed')
        elif self.is_full():
            problem = self.overloaded_problem(MIN_RETRY_AFTER)
        if problem is None or submission.kind.idempotent:
            return problem
        return attrs.evolve(problem, outcome=Outcome.MAY_HAVE_RUN)

    def _refusal_by_load(
        self, submission: Submission, now: float
    ) -> Problem | None:
        state = self._state
        time_left = submission.request.deadline - now
        if time_left <= 0:
            return _deadline_problem('the deadline has passed')
        if not state.slots.busy:
            return None
        if state.health.unreachable_for(now) > UNREACHABLE_AFTER:
            return unreachable_problem(state.target.name)
        needed = (
            state.service_times.expected(submission.kind.name)
            + RESPONSE_TRANSIT_TIME
        )
        if needed >= time_left:
            return _deadline_problem(
                'the request takes longer than its deadline'
            )
        queue_wait = self._queue_wait(submission.request.customer, now)
        if queue_wait + needed >= time_left:
            return self.overloaded_problem(queue_wait)
        return None

    def _queue_wait(self, customer: str, now: float) -> float:
        state = self._state
        slots = state.limit.allowed(now) or 1
        ahead = state.waiting.queue.count_ahead(customer)
        if not ahead and state.slots.busy < slots:
            return 0
        return (ahead + 1) * state.service_times.mean / slots

    def overloaded_problem(self, queue_wait: float) -> Problem:
        """Make the problem of a request that the queue cannot take.

        :param queue_wait: Time that the queue takes, in seconds.
        :return: The problem.
        """
        return Problem(
            ProblemType.OVERLOADED,
            detail=f'the queue of target {self._state.target.name} is full',
            retry_after=max(queue_wait, MIN_RETRY_AFTER),
        )


def unreachable_problem(target: str) -> Problem:
    """Make the problem of a target that cannot be reached.

    :param target: Name of the target.
    :return: The problem.
    """
    return Problem(
        ProblemType.OWNER_UNREACHABLE,
        Outcome.NOT_RUN,
        f'no connection to target {target}',
        MIN_RETRY_AFTER,
    )


def _deadline_problem(detail: str) -> Problem:
    return Problem(ProblemType.DEADLINE_TOO_SHORT, detail=detail)
