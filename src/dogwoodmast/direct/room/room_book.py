"""Room of a service's targets in one availability zone, free of I/O.

It answers two loads.  Many entry VMs send to few slots: without one count of
what all of them have sent, a target gets several times what it can run and
queue.  Callers compete for too little room: who gets the next free slot is
decided once for all entry VMs, by rank, and what cannot be served in time is
refused at once.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.knowledge.target_speeds import TargetSpeeds
from dogwoodmast.direct.room.messages import (
    ReturnReason,
    RoomAsk,
    RoomReply,
    Verdict,
)
from dogwoodmast.direct.room.refusals import Refusal, Refusals
from dogwoodmast.direct.room.room_queue import (
    Decide,
    RoomQueue,
    WaitingAsk,
    longest_wait,
)
from dogwoodmast.direct.room.target_room import TargetRoom
from dogwoodmast.direct.room.zone_exit import ZoneExit
from dogwoodmast.direct.zones.zone_spill import ZoneSpill

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.catalog import Target
    from dogwoodmast.direct.room.messages import RoomReturn
    from dogwoodmast.direct.room.target_room import GrantId

PENALTY_FACTOR = 8.0
"""Cost factor of a target in the penalty period after a failure."""
COLD_FACTOR = 4.0
"""Cost factor of a target that warms up: it is slow, and takes few requests a
second, so that warm targets with room come first."""
CONNECTED_FACTOR = 0.9
"""Cost factor of a target to which the asking VM has an idle connection; a new
one takes two round trips, and a slot of the target while it is set up."""
MIN_DOWN_WAIT = 0.3
"""Time after which the caller of a request for a target that does not respond
may return, in seconds; half of the time that a request waits for a move."""
MIN_URGENT_DEMAND = 0.2
"""Requests per second of higher ranks for a target's keys from which on its own
queue is kept for them."""
_GIVEN_UP = RoomReply(Verdict.AGAIN)
_WITHDRAWN = RoomReply(Verdict.UNKNOWN)


@attrs.define(eq=False)
class RoomBook:
    """Grants and waiting asks of one service's targets in one zone."""

    spill: ZoneSpill | None = None
    """Decides which asks should go to another zone; none do without it."""
    refusals: Refusals = attrs.field(factory=Refusals)
    """Asks that were refused, without those that may wait nowhere yet."""
    silent_count: int = 0
    """Requests so far without a response from a target that answered others
    meanwhile."""
    _speeds: TargetSpeeds = attrs.field(factory=TargetSpeeds)
    _rooms: dict[str, TargetRoom] = attrs.field(factory=dict)
    _queues: dict[str, RoomQueue] = attrs.field(factory=dict)
    _silent: Counter[str] = attrs.field(factory=Counter)
    exit: ZoneExit = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: ZoneExit(self.spill, self._rooms, self._queues),
            takes_self=True,
        ),
    )
    """Sends asks to other zones."""

    @property
    def rooms(self) -> tuple[TargetRoom, ...]:
        """Room of each target."""
        return tuple(self._rooms.values())

    @property
    def used(self) -> int:
        """Number of grants that have not been given back."""
        return sum(room.used for room in self._rooms.values())

    @property
    def size(self) -> int:
        """Number of requests that may be at the targets at a time."""
        return sum(room.size for room in self._rooms.values())

    @property
    def waiting(self) -> int:
        """Number of asks that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def update(
        self, targets: Iterable[Target], fraction: float, now: float
    ) -> None:
        """Apply a list of targets.

        :param targets: Targets of the group that may be sent requests.
        :param fraction: Fraction of their room that this keeper may grant.
        :param now: Monotonic time, in seconds.
        """
        listed = {one.name: one for one in targets}
        for name, room in tuple(self._rooms.items()):
            if name not in listed or listed[name].born != room.target.born:
                self._rooms.pop(name)
                self._give_up(name)
        self._speeds.retain({one.key for one in listed.values()})
        for name, target in listed.items():
            if name not in self._rooms:
                self._rooms[name] = TargetRoom(target, speeds=self._speeds)
            self._rooms[name].target = target
            self._rooms[name].fraction = fraction
        if not self._rooms:
            self._give_up('')
        self._admit_all(now)

    def ask(self, ask: RoomAsk, now: float, decide: Decide) -> None:
        """Decide on a request for room, now or later.

        Room that is free is of no use to the asks that wait, so that granting
        it overtakes none of them.

        :param ask: Request of an entry VM.
        :param now: Monotonic time, in seconds.
        :param decide: Called once with the answer.
        """
        rooms = self._candidates(ask)
        if self.exit.sends_early(ask, now, decide):
            return
        if not rooms:
            decide(RoomReply(Verdict.UNKNOWN))
            return
        if ask.target and rooms[0].is_down(now):
            decide(self.refusals.refuse(Refusal.DOWN, MIN_DOWN_WAIT))
            return
        room = _choose(rooms, ask, now)
        if room is not None and not self._accepts(room, ask.rank, now):
            room = None
        is_early = self.refusals.fairness.is_early(ask.caller, now)
        if not is_early and (ask.may_wait or room is not None):
            queue = self._queues.setdefault(ask.target, RoomQueue())
            queue.demand.add(ask.rank, now)
        if room is None:
            self._enqueue(ask, rooms, now, decide, is_early=is_early)
        else:
            self.refusals.fairness.on_granted(ask.caller)
            _grant(room, ask, now, decide)

    def give_back(self, returned: RoomReturn, now: float) -> None:
        """Free room, and grant it to the asks that wait for it.

        :param returned: Notice of an entry VM.
        :param now: Monotonic time, in seconds.
        """
        grant_id = (returned.vm, returned.number)
        if not returned.target:
            self._withdraw(grant_id)
        rooms = (
            [self._rooms[returned.target]]
            if returned.target in self._rooms
            else tuple(self._rooms.values())
        )
        for room in rooms:
            if room.give_back(grant_id):
                self._record(room, returned, now)
                self._admit(room, now)
                return

    def on_vm_lost(self, vm: str, now: float) -> None:
        """Free the room of an entry VM to which the link was lost.

        It may have ended, or run its requests on and connect again; its room
        lapses when they have ended either way.

        :param vm: Incarnation of the entry VM.
        :param now: Monotonic time, in seconds.
        """
        for queue in self._queues.values():
            for waiting in queue:
                if waiting.ask.vm == vm:
                    queue.remove(waiting)
                    waiting.decide(_WITHDRAWN)
        for room in self._rooms.values():
            room.limit_grants(vm, now + room.mean_duration)

    def give_up(self) -> None:
        """Answer all asks that wait, since this VM is no longer the keeper."""
        for label in tuple(self._queues):
            self._give_up(label)

    def tick(self, now: float) -> None:
        """Free lapsed room, and refuse asks whose time to wait is over.

        :param now: Monotonic time, in seconds.
        """
        for room in self._rooms.values():
            room.lapse(now)
        self._admit_all(now)
        for label, queue in self._queues.items():
            self._refuse_late(label, queue, now)

    def take_silent(self) -> Counter[str]:
        """Return the requests that targets were silent to since the last call.

        :return: Number of requests by target.
        """
        taken = self._silent
        self._silent = Counter()
        return taken

    def _candidates(self, ask: RoomAsk) -> list[TargetRoom]:
        if ask.target:
            room = self._rooms.get(ask.target)
            if room is None or room.target.born != ask.born:
                return []
            return [room]
        return [
            room
            for name, room in self._rooms.items()
            if name not in ask.avoided
        ]

    def _accepts(self, room: TargetRoom, rank: int, now: float) -> bool:
        """Tell whether a target has room that is not kept for higher ranks.

        A target runs what it queues in the order of arrival, and only the
        holder of a key may run its requests, so that a less urgent request in
        the queue would delay the urgent ones by its whole duration.

        :param room: Room of the target.
        :param rank: Rank of the request.
        :param now: Monotonic time, in seconds.
        :return: Whether a request may be sent.
        """
        if not room.accepts(now):
            return False
        queue = self._queues.get(room.target.name)
        if queue is None or room.free_slots:
            return True
        return queue.demand.above(rank, now) < MIN_URGENT_DEMAND

    def _enqueue(
        self,
        ask: RoomAsk,
        rooms: list[TargetRoom],
        now: float,
        decide: Decide,
        *,
        is_early: bool,
    ) -> None:
        """Let an ask wait, unless its room would come too late.

        One that is repeated too early waits behind the others of its rank, and
        stays in the zone, since others do not know that it is early.
        """
        if is_early:
            self.refusals.fairness.on_early(ask.caller)
        queue = self._queues.setdefault(ask.target, RoomQueue())
        rate = sum(room.rate(now) for room in rooms)
        duration = min(room.duration(ask.route, now) for room in rooms)
        wait = queue.expected_wait(ask.rank, rate, now, is_behind=is_early)
        longest = longest_wait(ask, duration)
        if not is_early and self.exit.sends_away(
            ask, wait, longest, now, decide
        ):
            return
        if ask.may_wait and wait <= longest:
            queue.add(WaitingAsk(ask, now, now + longest, decide, is_early))
            self._refuse_late(ask.target, queue, now)
        elif ask.may_wait:
            decide(
                self.refusals.refuse_in_turn(ask, Refusal.FULL, wait, rate, now)
            )
        else:
            decide(RoomReply(Verdict.REFUSED, wait=wait))

    def _refuse_late(self, label: str, queue: RoomQueue, now: float) -> None:
        if not len(queue):
            return
        rate = self._rate(label, now)
        for late in queue.drain_late(rate, now):
            wait = queue.expected_wait(late.ask.rank, rate, now)
            if self.exit.sends_away(late.ask, wait, 0, now, late.decide):
                continue
            late.decide(
                self.refusals.refuse_in_turn(
                    late.ask, Refusal.LATE, wait, rate, now
                )
            )

    def _rate(self, label: str, now: float) -> float:
        rooms = [self._rooms[label]] if label else self._rooms.values()
        return sum(room.rate(now) for room in rooms)

    def _record(
        self, room: TargetRoom, returned: RoomReturn, now: float
    ) -> None:
        """Record how a request at a target ended."""
        reason = ReturnReason.read(returned.result)
        seconds = max(0, returned.seconds)
        if reason is ReturnReason.OVERDUE and room.has_responded_since(
            now - seconds
        ):
            self.silent_count += 1
            self._silent[returned.target] += 1
        room.on_result(returned, now)

    def _admit_all(self, now: float) -> None:
        if self.waiting:
            for room in self._rooms.values():
                self._admit(room, now)

    def _admit(self, room: TargetRoom, now: float) -> None:
        for label in (room.target.name, ''):
            queue = self._queues.get(label)
            while queue and self._accepts(room, queue.first_rank, now):
                waiting = queue.take_next(room.target.name, now)
                if waiting is None:
                    break
                self._decide(room, waiting, now)

    def _decide(
        self, room: TargetRoom, waiting: WaitingAsk, now: float
    ) -> None:
        """Grant room to an ask, or refuse it after a freeze of this VM."""
        ask = waiting.ask
        if now > waiting.leaves_at:
            waiting.decide(
                self.refusals.refuse_in_turn(
                    ask, Refusal.LATE, 0, room.rate(now), now
                )
            )
        else:
            self.refusals.fairness.on_granted(ask.caller)
            _grant(room, ask, now, waiting.decide, waiting.asked_at)

    def _withdraw(self, grant_id: GrantId) -> None:
        for queue in self._queues.values():
            waiting = queue.find(*grant_id)
            if waiting is not None:
                queue.remove(waiting)
                waiting.decide(_WITHDRAWN)

    def _give_up(self, label: str) -> None:
        """Answer the asks that wait for targets which are no longer there."""
        self.refusals.forget(label)
        queue = self._queues.pop(label, None)
        if queue is not None:
            for waiting in queue.drain():
                waiting.decide(_GIVEN_UP)


def _choose(
    rooms: Iterable[TargetRoom], ask: RoomAsk, now: float
) -> TargetRoom | None:
    """Choose the target with room that is expected to respond first."""
    best: TargetRoom | None = None
    lowest = float('inf')
    for room in rooms:
        if not room.accepts(now):
            continue
        cost = room.cost(ask.route, now)
        if room.is_penalized(now):
            cost *= PENALTY_FACTOR
        if room.target.is_cold:
            cost *= COLD_FACTOR
        if room.target.name in ask.connected:
            cost *= CONNECTED_FACTOR
        if cost < lowest:
            best, lowest = room, cost
    return best


def _grant(
    room: TargetRoom,
    ask: RoomAsk,
    now: float,
    decide: Decide,
    asked_at: float | None = None,
) -> None:
    arrived_at = now if asked_at is None else asked_at
    room.grant((ask.vm, ask.number), arrived_at + ask.time_left)
    decide(RoomReply(Verdict.GRANTED, room.target.name, room.target.born))
