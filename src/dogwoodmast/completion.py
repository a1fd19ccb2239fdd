"""Completion and retry of jobs after their exchanges have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.admission import RESPONSE_TRANSIT_TIME, unreachable_problem
from dogwoodmast.dispatch_messages import (
    Action,
    ExchangeFailed,
    FailureCause,
    Moved,
    Reply,
)
from dogwoodmast.dispatch_state import DispatchState
from dogwoodmast.ledger import LedgerEntry
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.request import Response, Result

if TYPE_CHECKING:
    from dogwoodmast.job import Job
    from dogwoodmast.target_signals import TargetSignals

INITIAL_RETRY_DELAY = 0.01
"""Delay before the first retry, in seconds; it doubles for each further one."""
MAX_NOT_RUN_ATTEMPTS = 3
"""Maximum number of attempts at a non-idempotent request whose attempts are
all known not to have run."""
SHED_RETRY_AFTER = 1.0
"""Smallest Retry-After sent to callers when a target sheds load, in
seconds."""
FENCE_REASON = 'fence'
"""Refusal reason of a target that has seen a newer fence."""
DEADLINE_REASON = 'deadline'
"""Refusal reason of a target that received a request after its deadline."""


@attrs.define(eq=False)
class Completion:
    """Replies to callers when a job ends, or schedules its next attempt."""

    _state: DispatchState

    def finish(self, job: Job, result: Result | Moved) -> list[Action]:
        """Record a job's final result and reply to all its waiters.

        :param job: Job to finish.
        :param result: Result of the last attempt, or that the request must
            be rerouted.
        :return: One reply for each waiter.
        """
        final = self.with_earlier_attempts(job, result)
        if not isinstance(final, Moved):
            self._remember(job, final)
        tickets = self._state.jobs.finish(job)
        return [Reply(ticket, final) for ticket in tickets]

    def with_earlier_attempts(
        self, job: Job, result: Result | Moved
    ) -> Result | Moved:
        """Adjust the outcome of a result for earlier attempts.

        Another entry VM may have dispatched the same request id, so only
        a ledger that covers the id proves that the request did not run.

        :param job: Job with the attempts made here.
        :param result: Result of the last attempt made here.
        :return: Result whose outcome covers all attempts.
        """
        if isinstance(result, Response):
            return result
        if result.outcome is not Outcome.NOT_RUN:
            return result
        if job.may_have_run or self._may_have_run_before(job, result):
            return attrs.evolve(result, outcome=Outcome.MAY_HAVE_RUN)
        return result

    def on_late_response(self, job: Job, response: Response) -> None:
        """Record the response to a job whose waiters were already answered.

        A caller that repeats the request id then gets this response.

        :param job: Job that is already done.
        :param response: Response from the target.
        """
        self._remember(job, response)

    def on_refused(
        self, job: Job, signals: TargetSignals, now: float
    ) -> list[Action]:
        """Handle a target's refusal to run a job.

        :param job: Job that was refused.
        :param signals: Signals in the target's response.
        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        match signals.reason:
            case 'fence':
                return self.finish(job, Moved())
            case 'deadline':
                detail = 'the deadline passed before the target started it'
                problem = Problem(ProblemType.DEADLINE_TOO_SHORT, detail=detail)
                return self.finish(job, problem)
        problem = Problem(
            ProblemType.OVERLOADED,
            detail=f'target {self._state.target.name} is shedding load',
            retry_after=max(signals.retry_after, SHED_RETRY_AFTER),
        )
        return self._retry_or_finish(job, problem, now)

    def on_failed(
        self, job: Job, event: ExchangeFailed, now: float
    ) -> list[Action]:
        """Handle a failed attempt at a job.

        :param job: Job whose exchange failed.
        :param event: Cause and description of the failure.
        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        if event.cause is FailureCause.CONNECT:
            problem = unreachable_problem(self._state.target.name)
        else:
            job.may_have_run = True
            problem = Problem(
                ProblemType.EXCHANGE_BROKEN, event.outcome, event.reason
            )
        return self._retry_or_finish(job, problem, now)

    def _may_have_run_before(self, job: Job, result: Problem | Moved) -> bool:
        if isinstance(result, Moved) or not job.is_remembered:
            return False
        if result.type is ProblemType.REQUEST_ID_REUSED:
            return False
        ledger = self._state.ledgers.find(job.grant)
        return ledger is None or not ledger.never_ran(job.request.request_id)

    def _retry_or_finish(
        self, job: Job, problem: Problem, now: float
    ) -> list[Action]:
        delay = INITIAL_RETRY_DELAY * 2 ** (job.attempts - 1)
        if not self._may_retry(job, problem, now + delay):
            return self.finish(job, problem)
        self._state.waiting.delay(job, now + delay)
        return []

    def _may_retry(self, job: Job, problem: Problem, retry_at: float) -> bool:
        state = self._state
        if job.kind.idempotent:
            attempts = job.kind.attempts
        elif problem.outcome is Outcome.NOT_RUN:
            attempts = MAX_NOT_RUN_ATTEMPTS
        else:
            return False
        if job.attempts >= attempts or not job.waiters or state.draining:
            return False
        time_needed = (
            state.service_times.expected(job.kind.name) + RESPONSE_TRANSIT_TIME
        )
        return retry_at + time_needed < job.deadline and state.budget.spend()

    def _remember(self, job: Job, result: Result) -> None:
        if not job.is_remembered or _is_known_not_run(result):
            return
        ledger = self._state.ledgers.find(job.grant)
        if ledger is not None:
            request_id = job.request.request_id
            ledger.remember(LedgerEntry(request_id, job.fingerprint, result))


def _is_known_not_run(result: Result) -> bool:
    return isinstance(result, Problem) and result.outcome is Outcome.NOT_RUN
