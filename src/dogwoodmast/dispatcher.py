"""Request dispatch for one target, without I/O.

The dispatcher owns the target's execution slots, its admission queue and
its ledgers of request ids. Callers pass in events together with the time
at which they occurred, and perform the actions that are returned.
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
    """State machine that queues, starts and finishes a target's requests."""

    def __init__(
        self,
        service: Service,
        target: Target,
        rights: DispatchRights,
        wall_offset: float,
        meter: LoadMeter,
        quarantine: Quarantine,
    ) -> None:
        """Create a dispatcher without any requests.

        :param service: Service that the target belongs to.
        :param target: Target that the requests are sent to.
        :param rights: Source of leases and of the right to dispatch.
        :param wall_offset: Seconds to add to monotonic time to get seconds
            since the Unix epoch.
        :param meter: Load meter that counts executed requests.
        :param quarantine: Requests suspected of crashing targets.
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
        """Internal state, which callers must not modify."""
        return self._state

    def on_grants(self, grants: frozenset[Grant], now: float) -> None:
        """Replace the set of partitions assigned to the target.

        Opens a ledger for each one that may be dispatched now.

        :param grants: Grants of all assigned partitions.
        :param now: Monotonic time in seconds.
        """
        state = self._state
        state.ledgers.on_grants(grants)
        state.ledgers.open_granted(now, state.wall_time(now))

    def on_submission(self, submission: Submission, now: float) -> list[Action]:
        """Admit or refuse a request.

        A request with the id of one that is queued or running does not
        start a second exchange, but waits for the result of the first.

        :param submission: Request with its kind and grant.
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
        """Handle a response from the target.

        A response that reports that the request did not run counts as a
        refusal. A response to a job whose callers were already answered
        is only recorded in the ledger.

        :param event: Slot and response.
        :param now: Monotonic time in seconds.
        :return: Actions to perform.
        """
        state = self._state
        signals = read_signals(event.response)
        slot = state.slots.slot(event.slot)
        job = slot.job
        if job is None:
            return []
        state.health.on_alive(now)
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
        """Handle an exchange that ended without a response.

        :param event: Slot and cause of the failure.
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
        """Record the result of a health poll.

        :param poll: Whether the target accepted a connection, and whether
            it is draining.
        :param now: Monotonic time in seconds.
        :return: No actions; a list as for the other events.
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
        """Handle a caller that no longer waits for its result.

        A running request may finish: closing the connection would not
        free its slot earlier, and a caller that sends the same request id
        again can still get the result. The target is only told that the
        exchange is cancelled.

        :param ticket: Number of the caller's submission.
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
        """Re-evaluate all waiting jobs after a change of dispatch rights.

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
        """Process deadlines, delayed retries and expired slots.

        :param now: Monotonic time in seconds.
        :param wall_time: Wall-clock time in seconds since the Unix epoch.
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
        """Return when :meth:`on_tick` must be called next.

        :param now: Monotonic time in seconds.
        :return: Monotonic time in seconds; infinite if no timer is set.
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
        """Stop admitting requests and return waiting ones for rerouting.

        Running exchanges are left to finish.

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
        """List grants with requests that run or may still run.

        Includes requests whose connection was closed, until their deadline
        plus an allowance has passed.

        :param now: Monotonic time in seconds.
        :return: Grants that must not be handed over yet.
        """
        self._state.slots.on_tick(now)
        return self._state.slots.unsettled()

    def export_ledger(self, grant: Grant, now: float) -> LedgerExtract | None:
        """Close a partition's ledger and export it for handover.

        :param grant: Grant that is no longer dispatched by this entry VM.
        :param now: Monotonic time in seconds.
        :return: Contents of the ledger; ``None`` if none is open, or while
            a request runs or may still run under the grant.
        """
        if grant in self.unsettled(now):
            return None
        return self._state.ledgers.export(grant)

    def import_ledger(
        self, extract: LedgerExtract, grant: Grant, now: float
    ) -> None:
        """Import a ledger from the previous leaseholder.

        :param extract: Contents of the ledger.
        :param grant: Grant under which this entry VM dispatches the
            partition.
        :param now: Monotonic time in seconds.
        :raises MalformedFrame: If an entry of the ledger is not valid.
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
        detail = 'the deadline passed while the request was queued'
        return Problem(ProblemType.DEADLINE_TOO_SHORT, detail=detail)
    return Problem(
        ProblemType.DEADLINE_EXCEEDED,
        outcome,
        'the deadline passed before the target responded',
    )
