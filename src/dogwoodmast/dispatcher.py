"""Dispatch of requests to one target, free of I/O.

The dispatcher owns the target's slots, queue and request ids. It is told
of events with the time at which they happened, and returns actions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodmast.admission import Admission
from dogwoodmast.completion import Completion
from dogwoodmast.dispatch_messages import (
    Action,
    CancelExchange,
    ExchangeCompleted,
    ExchangeFailed,
    FailureCause,
    Moved,
    ProbeTarget,
    Reply,
    Submission,
)
from dogwoodmast.dispatch_right import DispatchRights, Right
from dogwoodmast.dispatch_state import DispatchState
from dogwoodmast.exchange_scheduler import ExchangeScheduler
from dogwoodmast.job import Job, JobState
from dogwoodmast.ledger import id_reused_problem
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.request_id import fingerprint
from dogwoodmast.target_signals import read_signals

if TYPE_CHECKING:
    from dogwoodmast.backend import Grant
    from dogwoodmast.configuration import Service, Target
    from dogwoodmast.ledger_extract import LedgerExtract
    from dogwoodmast.load_meter import LoadMeter
    from dogwoodmast.quarantine import Quarantine
    from dogwoodmast.target_health import Poll


class Dispatcher:
    """Queue, slots and request ids of one target."""

    def __init__(
        self,
        service: Service,
        target: Target,
        rights: DispatchRights,
        wall_offset: float,
        meter: LoadMeter,
        quarantine: Quarantine,
    ) -> None:
        """Create an idle dispatcher.

        :param service: Service of the target.
        :param target: The target.
        :param rights: What may be dispatched.
        :param wall_offset: What to add to monotonic time for seconds
            since the Unix epoch.
        :param meter: Meter of the requests that were run.
        :param quarantine: Requests that crash targets.
        """
        self._state = DispatchState(
            service, target, rights, wall_offset, meter, quarantine
        )
        self._admission = Admission(self._state)
        self._completion = Completion(self._state)
        self._scheduler = ExchangeScheduler(
            self._state, self._admission, self._completion
        )

    @property
    def state(self) -> DispatchState:
        """What the dispatcher knows; for reading only."""
        return self._state

    def on_grants(self, grants: frozenset[Grant], now: float) -> None:
        """Take in which partitions are assigned to the target.

        :param grants: Their grants.
        :param now: Monotonic time in seconds.
        """
        state = self._state
        state.ledgers.on_grants(grants)
        state.ledgers.open_granted(now, state.wall_time(now))

    def on_submission(self, submission: Submission, now: float) -> list[Action]:
        """Take in a request.

        :param submission: The request.
        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        state = self._state
        actions = self._scheduler.check_lease(now)
        running = state.jobs.find(submission)
        if running is not None:
            return [*actions, *self._join(running, submission, now)]
        right = state.right(submission.grant, now)
        refusal = self._admission.refusal(submission, right, now)
        if refusal is not None:
            return [*actions, Reply(submission.ticket, refusal)]
        actions.extend(self._admit(submission, right))
        actions.extend(self._scheduler.start_waiting(now))
        return actions

    def on_response(self, event: ExchangeCompleted, now: float) -> list[Action]:
        """Take in a target's answer.

        :param event: The answer.
        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        state = self._state
        signals = read_signals(event.response)
        slot = state.slots.slot(event.slot)
        job = slot.job
        if job is None:
            return []
        state.health.on_response(now)
        if signals.draining:
            state.health.on_draining_header()
        if signals.shed:
            state.limit.on_shed(signals.retry_after, now)
        elif not signals.not_run:
            state.limit.on_response()
            state.on_executed(job, now - slot.started, now)
        state.slots.on_response(slot, now)
        actions = self._scheduler.check_lease(now)
        if job.state is JobState.DONE:
            if not signals.not_run:
                self._completion.on_late_response(job, event.response)
        elif signals.not_run:
            actions.extend(self._completion.on_refused(job, signals, now))
        else:
            actions.extend(self._completion.finish(job, event.response))
        actions.extend(self._scheduler.start_waiting(now))
        return actions

    def on_failed(self, event: ExchangeFailed, now: float) -> list[Action]:
        """Take in the failure of an exchange.

        :param event: The failure.
        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        state = self._state
        slot = state.slots.slot(event.slot)
        job = slot.job
        if job is None:
            return []
        actions = self._on_failure_cause(event, job, now)
        actions.extend(self._scheduler.check_lease(now))
        if job.state is not JobState.DONE:
            actions.extend(self._completion.on_failed(job, event, now))
        actions.extend(self._scheduler.start_waiting(now))
        return actions

    def on_polled(self, poll: Poll, now: float) -> list[Action]:
        """Take in the result of a health poll.

        :param poll: What it showed.
        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        self._state.health.on_poll(poll, now)
        name = self._state.target.name
        quarantine = self._state.quarantine
        if poll.connected:
            quarantine.on_reachable(name)
        else:
            quarantine.on_unreachable(name, now)
        return []

    def on_cancelled(self, ticket: int, now: float) -> list[Action]:
        """Take in that a caller has gone.

        A request that runs is left to finish: its slot is busy until then
        whether or not the connection is closed, and a caller may still
        learn the result with the same request id.

        :param ticket: Number of the submission.
        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        state = self._state
        job = state.jobs.detach(ticket)
        if job is None or job.waiters:
            return []
        if job.state is not JobState.RUNNING:
            state.waiting.remove(job)
            return self._completion.finish(job, Moved())
        slot = self._scheduler.slot_of(job)
        return [CancelExchange(slot.number)]

    def on_rights_changed(self, now: float) -> list[Action]:
        """Look again at what waits, since a right may have changed.

        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        state = self._state
        actions = self._scheduler.check_lease(now)
        state.ledgers.open_granted(now, state.wall_time(now))
        for job in state.waiting.pop_all():
            actions.extend(self._requeue(job, now))
        actions.extend(self._scheduler.start_waiting(now))
        return actions

    def on_tick(self, now: float, wall_time: float) -> list[Action]:
        """Take in that time has passed.

        :param now: Monotonic time in seconds.
        :param wall_time: Seconds since the Unix epoch.
        :return: Actions to perform.
        """
        state = self._state
        state.wall_offset = wall_time - now
        state.slots.on_tick(now)
        actions = self._scheduler.check_lease(now)
        for ticket in state.jobs.pop_expired(now):
            actions.extend(self._expire(ticket))
        actions.extend(self._scheduler.abort_expired(now))
        for job in state.waiting.pop_due(now):
            state.enqueue(job)
        actions.extend(self._scheduler.start_waiting(now))
        return actions

    def next_wake(self, now: float) -> float:
        """Tell when :meth:`on_tick` is needed next.

        :param now: Monotonic time in seconds.
        :return: Monotonic time in seconds; infinite if nothing waits.
        """
        state = self._state
        times = [
            state.jobs.next_deadline,
            state.waiting.next_attempt,
            state.slots.next_wake(),
            self._scheduler.next_wake(),
        ]
        if state.limit.paused_until > now:
            times.append(state.limit.paused_until)
        return min(times)

    def drain(self, now: float) -> list[Action]:
        """Admit nothing more and give back what waits.

        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        state = self._state
        state.draining = True
        actions = self._scheduler.check_lease(now)
        for job in state.waiting.pop_all():
            actions.extend(self._completion.finish(job, Moved()))
        return actions

    def unsettled(self, now: float) -> frozenset[Grant]:
        """List the grants under which something runs or may still run.

        :param now: Monotonic time in seconds.
        :return: Grants.
        """
        self._state.slots.on_tick(now)
        return self._state.slots.unsettled()

    def export_ledger(self, grant: Grant, now: float) -> LedgerExtract | None:
        """Close a partition's ledger to hand it over.

        :param grant: Grant that is not dispatched here any more.
        :param now: Monotonic time in seconds.
        :return: The ledger; ``None`` if there is none, or while something
            runs or may run under the grant.
        """
        if grant in self.unsettled(now):
            return None
        return self._state.ledgers.export(grant)

    def import_ledger(
        self, extract: LedgerExtract, grant: Grant, now: float
    ) -> None:
        """Take in a ledger that the last leaseholder handed over.

        :param extract: The ledger.
        :param grant: Grant under which the partition is to run here.
        :param now: Monotonic time in seconds.
        """
        self._state.ledgers.stage(extract, grant, now)

    def _on_failure_cause(
        self, event: ExchangeFailed, job: Job, now: float
    ) -> list[Action]:
        state = self._state
        slot = state.slots.slot(event.slot)
        match event.cause:
            case FailureCause.CONNECT:
                state.slots.on_closed(slot, connected=False, now=now)
                state.on_unreachable(now)
            case FailureCause.CLOSED:
                state.slots.on_closed(slot, connected=True, now=now)
                state.slots.invalidate_connections(now)
                state.on_broken(job, now)
                return [ProbeTarget()]
            case FailureCause.ABORTED:
                state.slots.on_aborted(slot, ended=event.ended, now=now)
        return []

    def _join(
        self, job: Job, submission: Submission, now: float
    ) -> list[Action]:
        ticket = submission.ticket
        if job.fingerprint != fingerprint(submission.request):
            return [Reply(ticket, id_reused_problem())]
        deadline = submission.request.deadline
        if deadline <= now:
            return [Reply(ticket, _deadline_problem(Outcome.MAY_HAVE_RUN))]
        self._state.jobs.attach(job, ticket, deadline)
        return []

    def _admit(self, submission: Submission, right: Right) -> list[Action]:
        state = self._state
        actions: list[Action] = []
        if self._admission.is_full():
            customer = submission.request.customer
            last = state.waiting.queue.evict_for(customer)
            overloaded_problem = self._admission.overloaded_problem(0)
            if last is None:
                return [Reply(submission.ticket, overloaded_problem)]
            actions.extend(self._completion.finish(last, overloaded_problem))
        job = state.jobs.add(submission)
        if right is Right.PENDING:
            state.waiting.hold(job)
        else:
            state.enqueue(job)
        return actions

    def _requeue(self, job: Job, now: float) -> list[Action]:
        state = self._state
        match state.right(job.grant, now):
            case Right.DENIED:
                return self._completion.finish(job, Moved())
            case Right.PENDING:
                state.waiting.hold(job)
            case Right.GRANTED if job.not_before > now:
                state.waiting.delay(job, job.not_before)
            case Right.GRANTED:
                state.enqueue(job)
        return []

    def _expire(self, ticket: int) -> list[Action]:
        state = self._state
        job = state.jobs.detach(ticket)
        if job is None:
            return []
        if job.state is JobState.RUNNING or job.waiters:
            return [Reply(ticket, _deadline_problem(Outcome.MAY_HAVE_RUN))]
        state.waiting.remove(job)
        result = self._completion.with_earlier_attempts(
            job, _deadline_problem(job.outcome)
        )
        state.jobs.finish(job)
        return [Reply(ticket, result)]


def _deadline_problem(outcome: Outcome) -> Problem:
    if outcome is Outcome.NOT_RUN:
        detail = 'the deadline passed in the queue'
        return Problem(ProblemType.DEADLINE_TOO_SHORT, detail=detail)
    return Problem(
        ProblemType.DEADLINE_EXCEEDED,
        outcome,
        'the deadline passed before the answer came',
    )
