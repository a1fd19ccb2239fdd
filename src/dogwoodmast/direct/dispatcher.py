"""Dispatch of requests to targets: selection, queueing, retries and rejection.

An instance runs in each entry VM and sends the requests that the VM receives
directly to targets.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.attempt import Exchange
from dogwoodmast.direct.call import (
    AttemptOutcome,
    Broken,
    Call,
    Deliver,
    Delivered,
    Failed,
    Refused,
    Rejected,
    Withheld,
)
from dogwoodmast.direct.progress import Progress, Unreachable
from dogwoodmast.direct.rate_gate import RateGate
from dogwoodmast.direct.rejections import Rejections
from dogwoodmast.direct.relay_dispatcher import RelayDispatcher
from dogwoodmast.direct.retry_budget import RetryBudgets
from dogwoodmast.direct.retry_policy import (
    FailedAttempts,
    GiveUp,
    RetryDecision,
    SendAgain,
)
from dogwoodmast.direct.room.admission import RoomAdmission
from dogwoodmast.direct.send_guard import SendGuard, make_guard_without_copy
from dogwoodmast.direct.settings import Bounds
from dogwoodmast.direct.shard_view import ShardView
from dogwoodmast.direct.slot_finder import SlotFinder
from dogwoodmast.direct.stopping import Stopping
from dogwoodmast.direct.target_set import TargetSet
from dogwoodmast.direct.zones.homes import Homes
from dogwoodmast.problem import ProblemType
from dogwoodmast.quarantine import Quarantine

if TYPE_CHECKING:
    from dogwoodmast.direct.catalog import Target
    from dogwoodmast.direct.target_limiter import TargetLimiter
    from dogwoodmast.direct.trace import Trace

RETRY_TIME_FACTOR = 1.0
"""Multiple of the target's mean latency that must be left before the deadline
for a retry to be worthwhile."""


@attrs.define(eq=False)
class Dispatcher:
    """Runs requests at targets within the limits of load and deadline."""

    _targets: TargetSet
    _shards: ShardView
    _clock: Clock
    _gate: RateGate
    _relay: RelayDispatcher
    bounds: Bounds
    """Limits set by the platform contract.  The retry budget of a service keeps
    the limits that were in force at the first request for the service."""
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    """Fingerprints of requests that are rejected since they crash targets."""
    _guard: SendGuard = attrs.field(
        default=attrs.Factory(
            lambda self: make_guard_without_copy(self._clock), takes_self=True
        )
    )
    _room: RoomAdmission | None = None
    homes: Homes = attrs.field(factory=Homes)
    """Regions that requests may be sent to."""
    stopping: Stopping = attrs.field(
        default=attrs.Factory(
            lambda self: Stopping(self._clock), takes_self=True
        )
    )
    """Ends requests that can't be served before the VM has stopped."""
    _retry_budgets: RetryBudgets = attrs.field(factory=RetryBudgets)
    _rejections: Rejections = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: Rejections(self._clock), takes_self=True
        ),
    )
    _slots: SlotFinder = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: SlotFinder(
                self._targets,
                self._shards,
                self._clock,
                self._gate,
                self._rejections,
                self._room,
                homes=self.homes,
                stopping=self.stopping,
            ),
            takes_self=True,
        ),
    )

    @property
    def vm_count(self) -> int:
        """Number of entry VMs that are up; they share the retry budget."""
        return self._slots.vm_count

    @vm_count.setter
    def vm_count(self, count: int) -> None:
        self._slots.vm_count = count

    async def run(
        self, call: Call, deliver: Deliver, trace: Trace
    ) -> Rejected | Delivered:
        """Run a request at a target and forward the response to the caller.

        :param call: Request of the caller.
        :param deliver: Forwards a response to the caller.
        :param trace: Trace for the request log, which is filled in.
        :return: ``Delivered`` if a target's response was forwarded, otherwise
            the problem that the caller must be sent.
        :raises ResponseTruncated: If a response broke off after its start was
            forwarded.
        """
        if call.relayed is None:
            self._count(call)
        progress = Progress(call, trace)
        time_left = call.deadline - self._clock.monotonic()
        with self.stopping.open(progress) as opened:
            with anyio.move_on_after(time_left):
                result = await self._run(progress, opened.forward(deliver))
                self.stopping.count(result)
                return result
            return self._rejections.give_up(
                progress, ProblemType.DEADLINE_EXCEEDED
            )
        rejected = self._rejections.reject_stopping(progress)
        self.stopping.count(rejected)
        if progress.is_uncertain:
            self.stopping.unanswered += 1
        return await self._finish(progress, rejected, deliver)

    def _count(self, call: Call) -> None:
        """Count a request at the VM that its caller sent it to."""
        now = self._clock.monotonic()
        budget = self._retry_budgets.of(call.service, self.bounds)
        budget.record_request(now)
        if call.shard_key is not None:
            self._shards.count(call.service, call.shard_key)

    async def _run(
        self, progress: Progress, deliver: Deliver
    ) -> Rejected | Delivered:
        while True:
            if self._is_quarantined(progress.call):
                rejected = self._rejections.reject_quarantined(progress)
                return await self._finish(progress, rejected, deliver)
            limiter = await self._slots.acquire(progress)
            if isinstance(limiter, Unreachable):
                relayed = await self._run_relayed(progress, limiter, deliver)
                return await self._finish(progress, relayed, deliver)
            if isinstance(limiter, Rejected):
                return await self._finish(progress, limiter, deliver)
            progress.last_outcome = await self._send_attempt(
                progress, limiter, deliver
            )
            if isinstance(progress.last_outcome, Delivered):
                return progress.last_outcome
            match self._decide_retry(progress, limiter):
                case SendAgain(delay):
                    await anyio.sleep(delay)
                case GiveUp():
                    rejected = self._rejections.give_up(
                        progress, _problem_of(progress.last_outcome)
                    )
                    return await self._finish(progress, rejected, deliver)

    async def _run_relayed(
        self, progress: Progress, unreachable: Unreachable, deliver: Deliver
    ) -> Rejected | Delivered:
        if not self.stopping.fits(progress.call):
            return self._rejections.reject_stopping(progress)
        return await self._relay.run(
            progress, unreachable, deliver, self._may_spend_retry
        )

    def _is_quarantined(self, call: Call) -> bool:
        now = self._clock.monotonic()
        return self.quarantine.is_quarantined(call.fingerprint, now)

    async def _finish(
        self,
        progress: Progress,
        result: Rejected | Delivered,
        deliver: Deliver,
    ) -> Rejected | Delivered:
        """Forward the last attempt's 5xx response, if any, not a problem."""
        if isinstance(result, Rejected) and isinstance(
            progress.last_outcome, Failed
        ):
            await deliver(progress.last_outcome.response)
            return Delivered(progress.last_outcome.response.status)
        return result

    async def _send_attempt(
        self, progress: Progress, limiter: TargetLimiter, deliver: Deliver
    ) -> AttemptOutcome:
        started_at = self._clock.monotonic()
        progress.trace.on_start(limiter.target)
        outcome: AttemptOutcome | None = None
        try:
            outcome = await self._exchange(progress, limiter, deliver)
        finally:
            self._slots.release_after(progress, limiter, outcome, started_at)
        self._record_outcome(progress, limiter, outcome, started_at)
        if isinstance(outcome, Delivered):
            self.stopping.times.add(
                progress.call.route.name,
                limiter.target.name,
                self._clock.monotonic() - started_at,
            )
        return outcome

    async def _exchange(
        self, progress: Progress, limiter: TargetLimiter, deliver: Deliver
    ) -> AttemptOutcome:
        progress.candidates = (limiter,)
        await self._guard.freshness.wait_checked()
        if not self.stopping.fits(progress.call, limiter):
            return Withheld('entry VM is stopping')
        pool = self._targets.pool(limiter)
        if pool is None:
            return Withheld('target is leaving or gone')
        if not self.homes.allows(progress.call.route, limiter.target.zone):
            # Listed while the request was in the queue of the service.
            return Withheld('target is outside the regions of the route')
        exchange = Exchange(
            progress.call,
            limiter,
            pool,
            self._clock,
            deliver,
            self._targets.statements,
            progress.permit,
            self._guard,
        )
        progress.on_attempt()
        return await exchange.run()

    def _record_outcome(
        self,
        progress: Progress,
        limiter: TargetLimiter,
        outcome: AttemptOutcome,
        started_at: float,
    ) -> None:
        now = self._clock.monotonic()
        progress.trace.on_attempt(limiter.target, outcome, now - started_at)
        name = limiter.target.name
        progress.tried |= {name}
        if _has_reached(outcome):
            progress.reached_targets |= {name}
        match outcome:
            case Withheld():
                # Says nothing of the target's health.
                return
            case Delivered(_, size):
                self.quarantine.on_response(progress.call.fingerprint)
                limiter.on_response(now - started_at)
                self._slots.sizes.add(progress.call.route.name, size)
            case Refused(_, was_sent) if was_sent:
                progress.reached_attempts += 1
                limiter.on_refused(now)
            case Refused():
                limiter.on_no_response(now)
            case Failed():
                progress.on_possible_run()
                limiter.on_failed(now)
            case Broken(_, has_crashed):
                progress.on_possible_run()
                limiter.on_no_response(now)
                self._suspect(progress.call, limiter.target, now, has_crashed)

    def _suspect(
        self, call: Call, target: Target, now: float, has_crashed: bool
    ) -> None:
        """Suspect a request once the VM is known not to be cut off."""
        if has_crashed:
            action = functools.partial(
                self.quarantine.on_crash, target.name, call.fingerprint, now
            )
            self._targets.reach.confirm(target.key, action)

    def _decide_retry(
        self, progress: Progress, limiter: TargetLimiter
    ) -> RetryDecision:
        """Decide on another attempt; it is charged to the retry budget."""
        call = progress.call
        if progress.may_have_run and not call.route.retryable:
            return GiveUp()
        decision = FailedAttempts(
            progress.reached_attempts,
            call.max_attempts,
            progress.was_shed,
            isinstance(progress.last_outcome, Broken),
            has_alternatives=call.shard_key is None,
        ).decide()
        if isinstance(decision, SendAgain) and not self._can_afford(
            progress, decision.delay + limiter.mean_latency * RETRY_TIME_FACTOR
        ):
            return GiveUp()
        return decision

    def _can_afford(self, progress: Progress, seconds: float) -> bool:
        """Tell whether there is time for another attempt, and budget."""
        call = progress.call
        if call.deadline - self._clock.monotonic() < seconds:
            return False
        return not progress.reached_attempts or self._may_spend_retry(call)

    def _may_spend_retry(self, call: Call) -> bool:
        now = self._clock.monotonic()
        budget = self._retry_budgets.of(call.service, self.bounds)
        return budget.try_spend(self.vm_count, now)


def _has_reached(outcome: AttemptOutcome) -> bool:
    """Tell whether the target got the request, or may have got it."""
    match outcome:
        case Refused(_, was_sent):
            return was_sent
        case Withheld():
            return False
        case _:
            return True


def _problem_of(outcome: AttemptOutcome | None) -> ProblemType:
    match outcome:
        case Refused() | Withheld():
            return ProblemType.OVERLOADED
        case _:
            return ProblemType.EXCHANGE_BROKEN
