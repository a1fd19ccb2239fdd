"""Admission control for the queue of one target."""

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
"""Time reserved for returning a response to its caller, in seconds."""
MIN_RETRY_AFTER = 1.0
"""Smallest Retry-After sent with a refusal, in seconds."""
QUARANTINE_RETRY_AFTER = 600.0
"""Retry-After sent for a quarantined request, in seconds."""
UNREACHABLE_AFTER = 0.5
"""Time without contact to a target after which new requests are refused
while one of its slots is busy, in seconds. With no slot busy, a request is
still admitted, as a probe."""


@attrs.define(eq=False)
class Admission:
    """Admission checks before a request is queued or started."""

    _state: DispatchState

    def refusal(
        self, submission: Submission, right: Right, now: float
    ) -> Result | Moved | None:
        """Check whether a new request is refused.

        :param submission: Request with its kind and grant.
        :param right: Right to dispatch under the request's grant.
        :param now: Monotonic time in seconds.
        :return: Remembered result if the request id has already run, a
            problem, or that the request must be rerouted; ``None`` if the
            request is admitted.
        """
        if right is Right.DENIED or self._state.draining:
            return Moved()
        if right is Right.PENDING:
            return self._refusal_while_pending(submission, now)
        remembered = self._known_result(submission, now)
        if remembered is not None:
            return remembered
        quarantined = self.quarantine_problem(submission.request, now)
        return quarantined or self._refusal_by_load(submission, now)

    def quarantine_problem(
        self, request: Request, now: float
    ) -> Problem | None:
        """Check whether a request is quarantined for crashing targets.

        :param request: Request to look up.
        :param now: Monotonic time in seconds.
        :return: Problem to reply with; ``None`` if not quarantined.
        """
        quarantine = self._state.quarantine
        if quarantine.has_no_suspects:
            return None
        if not quarantine.is_quarantined(fingerprint(request), now):
            return None
        return Problem(
            ProblemType.QUARANTINED,
            detail='several targets crashed while running this request',
            retry_after=QUARANTINE_RETRY_AFTER,
        )

    def deadline_problem(self, job: Job, now: float) -> Problem | None:
        """Check a job's deadline immediately before its start.

        On an idle target the estimated service time is ignored, and the
        request is started if its deadline has not passed. Otherwise an
        estimate that is too high would never be corrected.

        :param job: Job to be started.
        :param now: Monotonic time in seconds.
        :return: Problem to reply with; ``None`` if the deadline can be met.
        """
        state = self._state
        time_needed: float = 0
        if state.slots.busy:
            time_needed = (
                state.service_times.upper_bound(job.kind.name)
                + RESPONSE_TRANSIT_TIME
            )
        if now + time_needed < job.deadline:
            return None
        return Problem(
            ProblemType.DEADLINE_TOO_SHORT,
            job.outcome,
            'the request is not expected to finish before its deadline',
            MIN_RETRY_AFTER,
        )

    def is_full(self) -> bool:
        """Check whether the waiting jobs reach the service's queue limit.

        :return: ``True`` if the queue takes no further job.
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
        # While the right is pending, the ledger may be missing or incomplete,
        # so an earlier attempt at a non-idempotent request is not excluded.
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
        time_needed = (
            state.service_times.expected(submission.kind.name)
            + RESPONSE_TRANSIT_TIME
        )
        if time_needed >= time_left:
            return _deadline_problem(
                'the expected service time exceeds the time left'
            )
        queue_wait = self._queue_wait(submission.request.customer, now)
        if queue_wait + time_needed >= time_left:
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
        """Create the problem for a request that is refused for overload.

        :param queue_wait: Expected wait in the queue, in seconds. Sent as
            Retry-After if it exceeds :data:`MIN_RETRY_AFTER`.
        :return: Problem with the outcome that the request did not run.
        """
        return Problem(
            ProblemType.OVERLOADED,
            detail=(
                f'the queue of target {self._state.target.name} is full '
                'or its expected wait exceeds the deadline'
            ),
            retry_after=max(queue_wait, MIN_RETRY_AFTER),
        )


def unreachable_problem(target: str) -> Problem:
    """Create the problem for a target that accepts no connections.

    :param target: Name of the target.
    :return: Problem with the outcome that the request did not run.
    """
    return Problem(
        ProblemType.OWNER_UNREACHABLE,
        Outcome.NOT_RUN,
        f'cannot connect to target {target}',
        MIN_RETRY_AFTER,
    )


def _deadline_problem(detail: str) -> Problem:
    return Problem(ProblemType.DEADLINE_TOO_SHORT, detail=detail)
