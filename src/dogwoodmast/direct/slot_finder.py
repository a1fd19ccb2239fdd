"""Slots at targets for the requests of one entry VM.

A slot is occupied locally, or, where the room of targets is shared by many
entry VMs, granted by the keeper of the room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.admission_queue import Waiter, should_queue
from dogwoodmast.direct.call import (
    AttemptOutcome,
    Broken,
    Call,
    Delivered,
    Failed,
    Refused,
    Rejected,
    Withheld,
)
from dogwoodmast.direct.closed_keys import longest_key_wait
from dogwoodmast.direct.progress import Progress, Unreachable
from dogwoodmast.direct.rate_gate import Permit, RateDenied, RateGate
from dogwoodmast.direct.rejections import NO_OWNER_RETRY_DELAY, Rejections
from dogwoodmast.direct.response_sizes import ResponseSizes
from dogwoodmast.direct.room.admission import RoomAdmission
from dogwoodmast.direct.room.messages import ReturnReason
from dogwoodmast.direct.room.room_gate import (
    LookAgain,
    NoKeeper,
    RoomRefused,
)
from dogwoodmast.direct.shard_view import ShardView
from dogwoodmast.direct.stopping import Stopping
from dogwoodmast.direct.target_set import TargetSet
from dogwoodmast.direct.zones.homes import Homes
from dogwoodmast.problem import ProblemType

if TYPE_CHECKING:
    from dogwoodmast.direct.target_limiter import TargetLimiter
    from dogwoodmast.direct.target_set import Candidates


@attrs.define(eq=False)
class SlotFinder:
    """Finds a target for each attempt of a request, and occupies a slot."""

    _targets: TargetSet
    _shards: ShardView
    _clock: Clock
    _gate: RateGate
    _rejections: Rejections
    _room: RoomAdmission | None = None
    vm_count: int = 1
    """Number of entry VMs that are up."""
    sizes: ResponseSizes = attrs.field(factory=ResponseSizes)
    """Expected sizes of responses."""
    homes: Homes = attrs.field(factory=Homes)
    """Regions that requests may be sent to."""
    _stopping: Stopping = attrs.field(
        default=attrs.Factory(
            lambda self: Stopping(self._clock), takes_self=True
        )
    )

    async def acquire(
        self, progress: Progress
    ) -> TargetLimiter | Rejected | Unreachable:
        """Occupy a slot for the next attempt, queueing if necessary.

        :param progress: State of the request.
        :return: Limiter of the target, a rejection, or that this VM reaches
            none of the targets.
        """
        while True:
            found = await self._try_acquire_slot(progress)
            if isinstance(found, (Rejected, Unreachable)):
                return found
            if found is not None and await self._has_permit(progress, found):
                return found

    def release_after(
        self,
        progress: Progress,
        limiter: TargetLimiter,
        outcome: AttemptOutcome | None,
        started_at: float,
    ) -> None:
        """Release the slot of an attempt.

        :param progress: State of the request.
        :param limiter: Limiter of the target.
        :param outcome: Outcome, or ``None`` if the attempt was cancelled.
        :param started_at: Monotonic time of its start, in seconds.
        """
        now = self._clock.monotonic()
        progress.was_shed = progress.room is not None and _is_shed(outcome)
        is_late = now >= progress.call.deadline
        reason = _return_reason(outcome, is_late=is_late)
        self._release(progress, limiter, reason, now - started_at)

    def _release(
        self,
        progress: Progress,
        limiter: TargetLimiter,
        reason: ReturnReason = ReturnReason.UNUSED,
        seconds: float = 0,
    ) -> None:
        """Release a slot, and the shared room that it stands for."""
        self._targets.release(limiter)
        if self._room is not None:
            load = self._targets.statements.loads.find(
                limiter.target.key, self._clock.monotonic()
            )
            self._room.give_back(progress, reason, seconds, load)

    async def _has_permit(
        self, progress: Progress, limiter: TargetLimiter
    ) -> bool:
        """Obtain a permit for the next attempt, or release its slot."""
        priority = progress.call.route.priority
        try:
            permit = await self._gate.obtain(limiter.target.key, priority)
        except BaseException:
            self._release(progress, limiter)
            raise
        match permit:
            case Permit():
                progress.permit = permit
                return True
            case RateDenied(wait, pause):
                now = self._clock.monotonic()
                limiter.statements.on_denied(priority, now + pause, now + wait)
                self._release(progress, limiter)
                return False

    async def _try_acquire_slot(
        self, progress: Progress
    ) -> TargetLimiter | Rejected | Unreachable | None:
        """Occupy a slot, queueing if necessary.

        :return: Limiter of the target, a rejection, or ``None`` if the queue
            was discarded because targets changed; look again in that case.
        """
        call = progress.call
        is_unkeyed = call.shard_key is None
        candidates = (
            self._targets.service_candidates(call.service)
            if is_unkeyed
            else await self._await_holder(progress)
        )
        if candidates is not None:
            candidates = self.homes.select(candidates, call.route)
        if candidates is None or not candidates.limiters:
            # A closure is expected to last as long again as it has lasted.
            delay = max(NO_OWNER_RETRY_DELAY, self._seconds_closed(call))
            return self._rejections.reject(
                progress, ProblemType.NO_OWNER, delay
            )
        reachable = candidates.within_reach(self._targets.reach)
        if not reachable.limiters:
            holder = candidates.limiters[0]
            if is_unkeyed:
                return Unreachable(None)
            if holder.statements.is_paused(self._clock.monotonic()):
                # Other VMs are told to avoid the holder.
                return self._reject_restricted(progress, candidates)
            return Unreachable(holder.target.key)
        if self._is_for_others(progress, candidates):
            return Unreachable(None)
        return await self._occupy_slot(progress, reachable)

    def _is_for_others(
        self, progress: Progress, candidates: Candidates
    ) -> bool:
        """Tell whether only targets admit a request that this VM can't reach.

        Other VMs may reach them, unless they have ended.
        """
        call, reach = progress.call, self._targets.reach
        if call.shard_key is not None or call.relayed is not None:
            return False
        if not reach.has_failing:
            return False
        now = self._clock.monotonic()
        admitting = candidates.admitting(call.route.priority, now)
        admitting = admitting.without(progress.tried)
        return bool(admitting.limiters) and not any(
            reach.can_reach(limiter.target.key)
            for limiter in admitting.limiters
        )

    async def _occupy_slot(
        self, progress: Progress, reachable: Candidates
    ) -> TargetLimiter | Rejected | None:
        """Occupy a slot at one of the targets that this VM reaches."""
        call = progress.call
        is_unkeyed = call.shard_key is None
        now = self._clock.monotonic()
        if not is_unkeyed and _is_down(reachable.limiters[0], now):
            return self._rejections.reject(
                progress, ProblemType.NO_OWNER, NO_OWNER_RETRY_DELAY
            )
        tried = progress.tried | call.avoided if is_unkeyed else frozenset()
        if is_unkeyed and call.route.regions:
            # The queue is shared with routes that allow other regions.
            tried |= self._targets.names_outside(call.service, reachable)
        unfit = self._stopping.unfit(call, reachable.limiters)
        tried |= unfit
        untried = reachable.without(tried)
        if unfit and not untried.limiters:
            return self._rejections.reject_stopping(progress)
        if not untried.limiters:
            return self._rejections.give_up(progress, ProblemType.OVERLOADED)
        usable = untried.admitting(call.route.priority, now)
        if not usable.limiters:
            return self._reject_restricted(progress, untried)
        progress.candidates = usable.limiters
        found = await self._obtain_room(progress, usable)
        if isinstance(found, NoKeeper):
            return await self._occupy_locally(progress, usable, tried)
        return found

    async def _occupy_locally(
        self, progress: Progress, usable: Candidates, tried: frozenset[str]
    ) -> TargetLimiter | Rejected | None:
        """Occupy a slot of the own share of the targets' room."""
        size = self.sizes.expected(progress.call.route.name)
        limiter = self._targets.choose(usable, size)
        # A free slot belongs to the requests that already wait for one.
        if limiter is not None and not len(usable.queue):
            limiter.in_flight += 1
            return limiter
        return await self._wait_in_queue(progress, usable, tried)

    async def _obtain_room(
        self, progress: Progress, usable: Candidates
    ) -> TargetLimiter | Rejected | NoKeeper | None:
        """Occupy a slot at a target whose room is shared.

        :return: As :meth:`_try_acquire_slot`, or ``NoKeeper`` if the room is
            not shared, or no keeper answers.
        """
        room = self._room
        if room is None or not room.applies_to(usable, self.vm_count):
            return NoKeeper()
        size = self.sizes.expected(progress.call.route.name)
        found = await room.obtain(progress, usable, size)
        match found:
            case RoomRefused(wait):
                progress.trace.on_wait(0, wait)
                return self._rejections.reject(
                    progress, ProblemType.OVERLOADED, wait
                )
            case LookAgain():
                return None
            case NoKeeper():
                return found
        if self._has_moved(progress, found):
            self._release(progress, found)
            return None
        return found

    def _has_moved(self, progress: Progress, limiter: TargetLimiter) -> bool:
        """Tell whether the key has moved while the request waited for room."""
        if progress.call.shard_key is None:
            return False
        candidates = self._holder_candidates(progress)
        return candidates is None or candidates.limiters[0] is not limiter

    def _reject_restricted(
        self, progress: Progress, candidates: Candidates
    ) -> Rejected:
        return self._rejections.reject_restricted(
            progress, candidates, self._targets.statements
        )

    async def _await_holder(self, progress: Progress) -> Candidates | None:
        """Wait until a target holds the key.

        :return: The holder, or ``None`` if there is none within
            ``KEY_MOVE_TIMEOUT`` or half of the time left, or none is expected
            to: no target of the service is up that the key could move to, or
            it has been closed for longer than a move takes.
        """
        call = progress.call
        if not self._targets.has_any(call.service):
            return None
        time_left = call.deadline - self._clock.monotonic()
        longest = longest_key_wait(self._seconds_closed(call), time_left)
        candidates = self._holder_candidates(progress)
        with anyio.move_on_after(longest):
            while candidates is None:
                changed = self._shards.changed
                candidates = self._holder_candidates(progress)
                if candidates is None:
                    await changed.wait()
        return candidates

    def _seconds_closed(self, call: Call) -> float:
        if call.shard_key is None:
            return 0
        return self._shards.seconds_closed(call.service, call.shard_key)

    def _holder_candidates(self, progress: Progress) -> Candidates | None:
        call = progress.call
        assert call.shard_key is not None
        assignment = self._shards.table(call.service).find(call.shard_key)
        if assignment is None or not assignment.open:
            return None
        if assignment.target in call.avoided:
            return None
        holder = (assignment.target, assignment.born)
        now = self._clock.monotonic()
        # If the holder must not get the request, wait until the key has moved,
        # unless the holder has said for how long it wants no requests.
        if (
            assignment.target in progress.tried
            and isinstance(progress.last_outcome, (Refused, Withheld))
            and not progress.was_shed
            and not self._targets.statements.of(holder).is_paused(now)
        ):
            return None
        return self._targets.target_candidates(*holder)

    async def _wait_in_queue(
        self, progress: Progress, candidates: Candidates, tried: frozenset[str]
    ) -> TargetLimiter | Rejected | None:
        """Queue the request, or reject it if it would be served too late."""
        call = progress.call
        wait = (
            candidates.queue.count_ahead(call.route.priority) + 1
        ) / candidates.service_rate
        time_left = call.deadline - self._clock.monotonic()
        latency_objective = call.route.latency_objective
        latency = self._stopping.expected_time(
            call.route, candidates.mean_latency
        )
        if not should_queue(wait, latency, time_left, latency_objective):
            progress.trace.on_wait(len(candidates.queue), wait)
            return self._reject_unqueued(progress, candidates, wait)
        waiter = Waiter(call.route.priority, call.deadline, tried)
        candidates.queue.add(waiter)
        try:
            await waiter.ready.wait()
        except BaseException:
            self._cancel_wait(candidates, waiter)
            raise
        return waiter.limiter

    def _reject_unqueued(
        self, progress: Progress, candidates: Candidates, wait: float
    ) -> Rejected:
        """Reject a request for its wait, or since the VM stops before."""
        call = progress.call
        time_left = call.caller_deadline - self._clock.monotonic()
        if call.until is not None and should_queue(
            wait,
            candidates.mean_latency,
            time_left,
            call.route.latency_objective,
        ):
            return self._rejections.reject_stopping(progress)
        return self._rejections.reject(progress, ProblemType.OVERLOADED, wait)

    def _cancel_wait(self, candidates: Candidates, waiter: Waiter) -> None:
        if waiter.limiter is None:
            candidates.queue.remove(waiter)
        else:
            self._targets.release(waiter.limiter)


def _is_shed(outcome: AttemptOutcome | None) -> bool:
    """Tell whether a target refused a request that it could have run."""
    match outcome:
        case Refused(_, was_sent, is_misdirected):
            return was_sent and not is_misdirected
        case _:
            return False


def _return_reason(
    outcome: AttemptOutcome | None, *, is_late: bool
) -> ReturnReason:
    """Tell a keeper how an attempt ended; ``None`` if it was cancelled."""
    match outcome:
        case None:
            return ReturnReason.OVERDUE if is_late else ReturnReason.UNUSED
        case Delivered():
            return ReturnReason.SERVED
        case Refused(_, was_sent):
            return (
                ReturnReason.REFUSED if was_sent else ReturnReason.NO_RESPONSE
            )
        case Failed():
            return ReturnReason.FAILED
        case Broken():
            return ReturnReason.NO_RESPONSE
        case _:
            return ReturnReason.UNUSED


def _is_down(holder: TargetLimiter, now: float) -> bool:
    """Tell whether a holder is down; one that has asked for a pause is up."""
    return holder.is_down(now) and not holder.statements.is_paused(now)
