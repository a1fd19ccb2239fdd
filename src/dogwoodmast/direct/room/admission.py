"""Admission of an entry VM's requests to targets whose room is shared."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.room.messages import ReturnReason
from dogwoodmast.direct.room.room_gate import (
    GrantedRoom,
    LookAgain,
    NoKeeper,
    RoomGate,
    RoomRefused,
    RoomRequest,
    needs_shared_room,
)
from dogwoodmast.direct.target_set import Candidates, TargetSet

if TYPE_CHECKING:
    from dogwoodmast.direct.knowledge.load_book import KnownLoad
    from dogwoodmast.direct.progress import Progress
    from dogwoodmast.direct.target_limiter import TargetLimiter


@attrs.define(eq=False)
class RoomAdmission:
    """Obtains room for requests, and gives it back."""

    _gate: RoomGate
    _targets: TargetSet

    def applies_to(self, candidates: Candidates, vm_count: int) -> bool:
        """Tell whether the room of targets is shared.

        :param candidates: Targets that may run a request.
        :param vm_count: Number of entry VMs that are up.
        :return: Whether their keepers have to be asked.
        """
        slots = min(one.target.slots for one in candidates.limiters)
        return needs_shared_room(slots, vm_count)

    async def obtain(
        self, progress: Progress, candidates: Candidates, response_size: float
    ) -> TargetLimiter | RoomRefused | LookAgain | NoKeeper:
        """Ask the keepers for room, and occupy a slot at the granted target.

        :param progress: State of the request; the room is noted there.
        :param candidates: Targets that may run the request.
        :param response_size: Expected size of the response, in bytes.
        :return: Limiter of the granted target, or why there is none.
        """
        request = self._make_request(progress, candidates, response_size)
        progress.trace.crossing = ''
        answer = await self._gate.obtain(request)
        if not isinstance(answer, GrantedRoom):
            return answer
        progress.room = answer
        progress.trace.crossing = answer.crossing
        limiter = self._targets.find_limiter(answer.target)
        if limiter is None:
            # The keeper's copy of the store is newer or older than this one.
            # The target is avoided, so that it is not granted again at once.
            self.give_back(progress, ReturnReason.UNUSED, 0)
            progress.tried |= {answer.target[0]}
            return LookAgain()
        limiter.in_flight += 1
        return limiter

    def give_back(
        self,
        progress: Progress,
        reason: ReturnReason,
        seconds: float,
        load: KnownLoad | None = None,
    ) -> None:
        """Give the room of a request back, if it has any.

        :param progress: State of the request.
        :param reason: How the attempt ended.
        :param seconds: Time from the send to the response, in seconds.
        :param load: Load that the target told, if any.
        """
        room = progress.room
        progress.room = None
        if room is not None:
            self._gate.give_back(room, reason, seconds, load)

    def _make_request(
        self, progress: Progress, candidates: Candidates, response_size: float
    ) -> RoomRequest:
        call = progress.call
        request = RoomRequest(
            call.service,
            self._targets.zones(candidates),
            None,
            call.route.priority,
            call.deadline,
            call.route.latency_objective,
            response_size=response_size,
            body_size=len(call.body),
            caller=call.caller,
            route=call.route.name,
        )
        if call.shard_key is not None:
            holder = candidates.limiters[0].target
            return attrs.evolve(request, target=holder.key)
        unusable = self._targets.names_outside(call.service, candidates)
        return attrs.evolve(
            request,
            avoided=unusable | progress.tried | call.avoided,
            connected=self._targets.list_connected(candidates),
        )
