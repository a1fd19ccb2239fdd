"""Results of jobs: answers, failures and retries."""

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
"""Time before the first retry, in seconds; it doubles each time."""
MAX_NOT_RUN_ATTEMPTS = 3
"""Attempts at a non-idempotent request that surely did not run."""
SHED_RETRY_AFTER = 1.0
"""Time after which a caller may come back to a target that sheds load and
names no time, in seconds."""
FENCE_REASON = 'fence'
"""Reason of a target that knows a later fence."""
DEADLINE_REASON = 'deadline'
"""Reason of a target that the deadline passed on the way."""


@attrs.define(eq=False)
class Completion:
    """Finishes jobs, or has them tried again."""

    _state: DispatchState

    def finish(self, job: Job, outcome: Result | Moved) -> list[Action]:
        """Give everybody who waits for a job its result.

        :param job: The job.
        :param outcome: Its result.
        :return: Actions to perform.
        """
        final = self.with_earlier_attempts(job, outcome)
        if not isinstance(final, Moved):
            self._remember(job, final)
        tickets = self._state.jobs.finish(job)
        return [Reply(ticket, final) for ticket in tickets]

    def with_earlier_attempts(
        self, job: Job, outcome: Result | Moved
    ) -> Result | Moved:
        """Add what is known of earlier attempts to a result.

        Another copy of a remembered request may have run elsewhere, so
        that only a complete ledger proves that it did not run.

        :param job: The job.
        :param outcome: Result by the last attempt here.
        :return: Result by all attempts.
        """
        if isinstance(outcome, Response):
            return outcome
        if outcome.outcome is not Outcome.NOT_RUN:
            return outcome
        if job.may_have_run or self._may_have_run_before(job, outcome):
            return attrs.evolve(outcome, outcome=Outcome.MAY_HAVE_RUN)
        return outcome

    def on_late_response(self, job: Job, response: Response) -> None:
        """Take in the answer to a job that was given up.

        :param job: The job.
        :param response: Its answer.
        """
        self._remember(job, response)

    def on_refused(
        self, job: Job, signals: TargetSignals, now: float
    ) -> list[Action]:
        """Take in that a target did not run a job.

        :param job: The job.
        :param signals: Signals in the target's answer.
        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        match signals.reason:
            case 'fence':
                return self.finish(job, Moved())
            case 'deadline':
                detail = 'the deadline passed on the way to the target'
                problem = Problem(ProblemType.DEADLINE_TOO_SHORT, detail=detail)
                return self.finish(job, problem)
        problem = Problem(
            ProblemType.OVERLOADED,
            detail=f'target {self._state.target.name} sheds load',
            retry_after=max(signals.retry_after, SHED_RETRY_AFTER),
        )
        return self._retry_or_finish(job, problem, now)

    def on_failed(
        self, job: Job, event: ExchangeFailed, now: float
    ) -> list[Action]:
        """Take in that an attempt at a job failed.

        :param job: The job.
        :param event: The failure.
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

    def _may_have_run_before(self, job: Job, outcome: Problem | Moved) -> bool:
        if isinstance(outcome, Moved) or not job.is_remembered:
            return False
        if outcome.type is ProblemType.REQUEST_ID_REUSED:
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
        needed = (
            state.service_times.expected(job.kind.name) + RESPONSE_TRANSIT_TIME
        )
        return retry_at + needed < job.deadline and state.budget.spend()

    def _remember(self, job: Job, result: Result) -> None:
        if not job.is_remembered or _is_known_not_run(result):
            return
        ledger = self._state.ledgers.find(job.grant)
        if ledger is not None:
            request_id = job.request.request_id
            ledger.remember(LedgerEntry(request_id, job.fingerprint, result))


def _is_known_not_run(result: Result) -> bool:
    return isinstance(result, Problem) and result.outcome is Outcome.NOT_RUN
