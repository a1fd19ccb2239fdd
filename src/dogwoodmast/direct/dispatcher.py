"""Way of a request from the entry VM that took it to a target."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.admission_queue import Waiter, retry_delay, should_queue
from dogwoodmast.direct.attempt import Exchange
from dogwoodmast.direct.call import (
    Attempt,
    Broken,
    Call,
    Deliver,
    Delivered,
    Failed,
    Refused,
    Rejected,
)
from dogwoodmast.direct.retry_budget import RetryBudget
from dogwoodmast.direct.settings import Bounds
from dogwoodmast.direct.shard_view import ShardView
from dogwoodmast.direct.target_set import TargetSet
from dogwoodmast.direct.trace import Trace
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.quarantine import Quarantine

if TYPE_CHECKING:
    from dogwoodmast.direct.target_limiter import TargetLimiter
    from dogwoodmast.direct.target_set import Line

KEY_WAIT = 0.6
"""Time for which a request waits while its key moves, in seconds; a move
takes as long as the running work on the key."""
KEY_RETURN = 0.3
"""Time after which a caller is told to return if its key has no holder, in
seconds; half of the time that a move may take."""
SIZE_WEIGHT = 0.1
"""Weight of an answer in the usual size of a route's answers."""
RETRY_SHARE = 1.0
"""Time left over the usual time of an answer from which a further attempt
is worth while."""


@attrs.define(eq=False)
class Progress:
    """What has become of a call so far."""

    call: Call
    """The call."""
    trace: Trace
    """Notes for the log."""
    tried: frozenset[str] = frozenset()
    """Targets that were asked."""
    arrivals: int = 0
    """Attempts that reached a target, or may have."""
    may_have_run: bool = False
    """Whether a target may have run the request."""
    last: Attempt | None = None
    """How the last attempt ended."""


@attrs.define(eq=False)
class Dispatcher:
    """Chooses targets, waits for room, retries and gives up."""

    _gates: TargetSet
    _shards: ShardView
    _clock: Clock
    bounds: Bounds
    """Bounds of the contract."""
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    """Requests that crash targets."""
    vms: int = 1
    """Entry VMs that are up."""
    _chance: random.Random = attrs.field(factory=random.Random)
    _sizes: dict[str, float] = attrs.field(factory=dict)
    _allowances: dict[str, RetryBudget] = attrs.field(factory=dict)

    async def run(
        self, call: Call, deliver: Deliver, trace: Trace
    ) -> Rejected | Delivered:
        """Bring a call to a target and its answer to the caller.

        :param call: What the caller asked for.
        :param deliver: Passes an answer on.
        :param trace: Notes for the log.
        :return: The end, with a problem if no target's answer was passed on.
        :raises AnswerCut: If an answer broke off after its beginning.
        """
        self._allowance(call.service).record_request(self._clock.monotonic())
        if call.shard_key is not None:
            self._shards.count(call.service, call.shard_key)
        progress = Progress(call, trace)
        left = call.deadline - self._clock.monotonic()
        with anyio.move_on_after(left):
            return await self._run(progress, deliver)
        return self._give_up(progress, ProblemType.DEADLINE_EXCEEDED)

    async def _run(
        self, progress: Progress, deliver: Deliver
    ) -> Rejected | Delivered:
        while True:
            if self._is_held_back(progress.call):
                rejected = self._hold_back(progress)
                return await self._end(progress, rejected, deliver)
            limiter = await self._find_place(progress)
            if isinstance(limiter, Rejected):
                return await self._end(progress, limiter, deliver)
            progress.last = await self._attempt(progress, limiter, deliver)
            if isinstance(progress.last, Delivered):
                return progress.last
            if not self._may_retry(progress, limiter):
                rejected = self._give_up(progress, _problem_of(progress.last))
                return await self._end(progress, rejected, deliver)

    def _hold_back(self, progress: Progress) -> Rejected:
        if progress.may_have_run:
            return self._give_up(progress, ProblemType.EXCHANGE_BROKEN)
        return Rejected(Problem(ProblemType.QUARANTINED, Outcome.NOT_RUN))

    def _is_held_back(self, call: Call) -> bool:
        now = self._clock.monotonic()
        return self.quarantine.is_quarantined(call.fingerprint, now)

    async def _end(
        self, progress: Progress, rejected: Rejected, deliver: Deliver
    ) -> Rejected | Delivered:
        """Prefer a target's own failure to a problem of the router."""
        if isinstance(progress.last, Failed):
            await deliver(progress.last.reply)
            return Delivered(progress.last.reply.status)
        return rejected

    async def _attempt(
        self, progress: Progress, limiter: TargetLimiter, deliver: Deliver
    ) -> Attempt:
        began = self._clock.monotonic()
        progress.trace.on_start(limiter.target)
        try:
            attempt = await self._exchange(progress, limiter, deliver)
        finally:
            self._gates.release(limiter)
        self._learn(progress, limiter, attempt, began)
        return attempt

    async def _exchange(
        self, progress: Progress, limiter: TargetLimiter, deliver: Deliver
    ) -> Attempt:
        pool = self._gates.pool(limiter)
        if pool is None:
            return Refused('the target has left', was_sent=False)
        exchange = Exchange(progress.call, limiter, pool, self._clock, deliver)
        # Unless it ends, the target may have run the request.
        progress.last = Broken('no answer in time')
        return await exchange.run()

    def _learn(
        self,
        progress: Progress,
        limiter: TargetLimiter,
        attempt: Attempt,
        began: float,
    ) -> None:
        now = self._clock.monotonic()
        progress.trace.on_attempt(limiter.target, attempt, now - began)
        progress.tried |= {limiter.target.name}
        match attempt:
            case Delivered(_, size):
                self.quarantine.on_response(progress.call.fingerprint)
                limiter.on_response(now - began)
                self._learn_size(progress.call.route.name, size)
            case Refused(_, was_sent) if was_sent:
                progress.arrivals += 1
                limiter.on_refused(now)
            case Refused():
                limiter.on_no_response(now)
            case Failed():
                self._note_run(progress)
                limiter.on_failed(now)
            case Broken(_, has_crashed):
                self._note_run(progress)
                limiter.on_no_response(now)
                if has_crashed:
                    self.quarantine.on_crash(
                        limiter.target.name, progress.call.fingerprint, now
                    )

    def _note_run(self, progress: Progress) -> None:
        progress.arrivals += 1
        progress.may_have_run = True

    def _learn_size(self, route: str, size: int) -> None:
        known = self._sizes.get(route, size)
        self._sizes[route] = known + (size - known) * SIZE_WEIGHT

    def _may_retry(self, progress: Progress, limiter: TargetLimiter) -> bool:
        call = progress.call
        now = self._clock.monotonic()
        if progress.may_have_run and not call.route.retryable:
            return False
        if call.deadline - now < limiter.pace * RETRY_SHARE:
            return False
        if len(progress.tried) >= max(call.route.max_attempts, 1):
            return False
        if not progress.arrivals:
            return True
        return self._allowance(call.service).try_spend(self.vms, now)

    async def _find_place(self, progress: Progress) -> TargetLimiter | Rejected:
        found = None
        while found is None:
            found = await self._look_for_place(progress)
        return found

    async def _look_for_place(
        self, progress: Progress
    ) -> TargetLimiter | Rejected | None:
        """Find a place, or ``None`` if the targets changed meanwhile."""
        call = progress.call
        is_free = call.shard_key is None
        line = (
            self._gates.service_line(call.service)
            if is_free
            else await self._find_holder(progress)
        )
        if line is None:
            return self._refuse(progress, ProblemType.NO_OWNER, KEY_RETURN)
        if not is_free and line.limiters[0].is_down(self._clock.monotonic()):
            return self._refuse(progress, ProblemType.NO_OWNER, KEY_RETURN)
        tried = progress.tried if is_free else frozenset()
        if all(limiter.target.name in tried for limiter in line.limiters):
            return self._give_up(progress, ProblemType.OVERLOADED)
        size = self._sizes.get(call.route.name, 0)
        limiter = self._gates.choose(line, tried, size)
        if limiter is not None and not len(line.waiting):
            limiter.in_flight += 1
            return limiter
        return await self._wait(progress, line, tried)

    async def _find_holder(self, progress: Progress) -> Line | None:
        """Wait for a target that holds the key."""
        left = progress.call.deadline - self._clock.monotonic()
        line: Line | None = None
        with anyio.move_on_after(min(KEY_WAIT, left / 2)):
            while line is None:
                changed = self._shards.changed
                line = self._holder_line(progress)
                if line is None:
                    await changed.wait()
        return line

    def _holder_line(self, progress: Progress) -> Line | None:
        call = progress.call
        assert call.shard_key is not None
        held = self._shards.table(call.service).find(call.shard_key)
        if held is None or not held.open:
            return None
        if held.target in progress.tried and isinstance(progress.last, Refused):
            return None
        return self._gates.target_line(held.target, held.born)

    async def _wait(
        self, progress: Progress, line: Line, tried: frozenset[str]
    ) -> TargetLimiter | Rejected | None:
        call = progress.call
        wait = (line.waiting.count_ahead(call.route.priority) + 1) / line.rate
        left = call.deadline - self._clock.monotonic()
        latency_objective = call.route.latency_objective
        if not should_queue(wait, line.pace, left, latency_objective):
            progress.trace.on_wait(len(line.waiting), wait)
            return self._refuse(progress, ProblemType.OVERLOADED, wait)
        waiter = Waiter(call.route.priority, call.deadline, tried)
        line.waiting.add(waiter)
        try:
            await waiter.ready.wait()
        except BaseException:
            self._abandon(line, waiter)
            raise
        return waiter.limiter

    def _abandon(self, line: Line, waiter: Waiter) -> None:
        if waiter.limiter is None:
            line.waiting.remove(waiter)
        else:
            self._gates.release(waiter.limiter)

    def _refuse(
        self, progress: Progress, kind: ProblemType, wait: float
    ) -> Rejected:
        left = progress.call.deadline - self._clock.monotonic()
        if progress.may_have_run:
            return self._give_up(progress, ProblemType.EXCHANGE_BROKEN)
        after = retry_delay(wait, left, self._chance.random())
        return Rejected(Problem(kind, Outcome.NOT_RUN, '', after))

    def _give_up(self, progress: Progress, kind: ProblemType) -> Rejected:
        is_uncertain = progress.may_have_run or isinstance(
            progress.last, Broken
        )
        if is_uncertain:
            if kind is not ProblemType.DEADLINE_EXCEEDED:
                kind = ProblemType.EXCHANGE_BROKEN
            return Rejected(Problem(kind, Outcome.MAY_HAVE_RUN))
        return self._refuse(progress, ProblemType.OVERLOADED, KEY_RETURN)

    def _allowance(self, service: str) -> RetryBudget:
        found = self._allowances.get(service)
        if found is None:
            bounds = self.bounds
            found = RetryBudget(
                bounds.retry_ratio, bounds.retry_window, bounds.retry_slack
            )
            self._allowances[service] = found
        return found


def _problem_of(attempt: Attempt | None) -> ProblemType:
    match attempt:
        case Refused():
            return ProblemType.OVERLOADED
        case _:
            return ProblemType.EXCHANGE_BROKEN
