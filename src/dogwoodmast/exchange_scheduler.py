"""Scheduling of exchanges on the slots of one target."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.admission import Admission
from dogwoodmast.completion import Completion
from dogwoodmast.dispatch_messages import (
    AbortExchange,
    Action,
    Moved,
    StartExchange,
)
from dogwoodmast.dispatch_right import Right
from dogwoodmast.dispatch_state import DispatchState
from dogwoodmast.job import Job, JobState
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.slot_table import Slot, SlotState

if TYPE_CHECKING:
    from dogwoodmast.request import Result


@attrs.define(eq=False)
class ExchangeScheduler:
    """Starts queued jobs on free slots and aborts running exchanges."""

    _state: DispatchState
    _admission: Admission
    _completion: Completion

    def start_waiting(self, now: float) -> list[Action]:
        """Start queued jobs while slots are free.

        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        state = self._state
        if not len(state.waiting.queue):
            return []
        actions = self.check_lease(now)
        while len(state.waiting.queue):
            slot = state.slots.find_free(state.limit.allowed(now))
            if slot is None:
                break
            job = state.waiting.queue.pop()
            if job is not None:
                actions.extend(self._start_or_finish(job, slot, now))
        return actions

    def check_lease(self, now: float) -> list[Action]:
        """Abort all running exchanges if the lease was not held throughout.

        The period checked begins with the previous call. A lease that has
        lapsed and was acquired again also aborts them, since another entry
        VM may have held it in between.

        :param now: Monotonic time in seconds.
        :return: Actions to perform; none if the lease was held throughout
            or no exchange is running.
        """
        if self._state.ledgers.observe(now, self._state.wall_time(now)):
            return []
        return self._abort_all()

    def abort(self, slot: Slot) -> AbortExchange:
        """Mark a slot as aborting its exchange.

        :param slot: Slot with a running exchange.
        :return: Action that closes the connection and cancels the exchange.
        """
        slot.state = SlotState.ABORTING
        return AbortExchange(slot.number)

    def abort_expired(self, now: float) -> list[Action]:
        """Abort exchanges whose deadline has passed and reply to callers.

        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        actions: list[Action] = []
        for slot in self._state.slots.running():
            if slot.job is not None and slot.job.deadline <= now:
                actions.append(self.abort(slot))
                actions.extend(
                    self._completion.finish(slot.job, _deadline_exceeded())
                )
        return actions

    def slot_of(self, job: Job) -> Slot:
        """Find the slot on which a job is running.

        :param job: Job in state ``RUNNING``.
        :return: Slot of its exchange.
        """
        return next(
            slot for slot in self._state.slots.running() if slot.job is job
        )

    def next_wake(self) -> float:
        """Return the earliest deadline of a running exchange.

        :return: Monotonic time in seconds; infinite if none is running.
        """
        return min(
            (
                slot.job.deadline
                for slot in self._state.slots.running()
                if slot.job is not None
            ),
            default=math.inf,
        )

    def _abort_all(self) -> list[Action]:
        actions: list[Action] = []
        for slot in self._state.slots.running():
            actions.append(self.abort(slot))
            if slot.job is not None:
                result = _lease_lapsed_result(slot.job)
                actions.extend(self._completion.finish(slot.job, result))
        return actions

    def _start_or_finish(
        self, job: Job, slot: Slot, now: float
    ) -> list[Action]:
        match self._state.right(job.grant, now):
            case Right.DENIED:
                return self._completion.finish(job, Moved())
            case Right.PENDING:
                self._state.waiting.hold(job)
                return []
        final = self._known_result(job, now)
        if final is not None:
            return self._completion.finish(job, final)
        return [self._start(job, slot, now)]

    def _known_result(self, job: Job, now: float) -> Result | None:
        problem = self._start_problem(job, now)
        if problem is not None or not job.is_remembered:
            return problem
        wall_time = self._state.wall_time(now)
        ledger = self._state.ledgers.ledger(job.grant, now, wall_time)
        return ledger.check(job.request.request_id, job.fingerprint, wall_time)

    def _start_problem(self, job: Job, now: float) -> Problem | None:
        quarantined = self._admission.quarantine_problem(job.request, now)
        if quarantined is not None:
            return attrs.evolve(quarantined, outcome=job.outcome)
        return self._admission.deadline_problem(job, now)

    def _start(self, job: Job, slot: Slot, now: float) -> StartExchange:
        if job.attempts == 0:
            self._state.budget.on_first_attempt()
        job.attempts += 1
        job.state = JobState.RUNNING
        new_connection = self._state.slots.start(slot, job, now)
        return StartExchange(
            job.submission, slot.number, job.deadline, new_connection
        )


def _lease_lapsed_result(job: Job) -> Result | Moved:
    if job.kind.idempotent:
        return Moved(Outcome.MAY_HAVE_RUN)
    return Problem(
        ProblemType.EXCHANGE_BROKEN,
        Outcome.MAY_HAVE_RUN,
        'the dispatch lease expired while the request was running',
    )


def _deadline_exceeded() -> Problem:
    return Problem(
        ProblemType.DEADLINE_EXCEEDED,
        Outcome.MAY_HAVE_RUN,
        'the deadline passed before the target responded',
    )
