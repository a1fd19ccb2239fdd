"""Room for the requests of one entry VM, asked of the targets' keepers."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.room.keeper_order import Group
from dogwoodmast.direct.room.messages import (
    ReturnReason,
    RoomAsk,
    RoomReply,
    RoomReturn,
    Verdict,
)
from dogwoodmast.direct.room.room_keeper import RoomKeeper
from dogwoodmast.direct.room.room_queue import QUEUE_TIME_SHARE
from dogwoodmast.direct.zones.zone_spill import Crossing
from dogwoodmast.errors import LinkError

if TYPE_CHECKING:
    from dogwoodmast.direct.knowledge.load_book import KnownLoad

VMS_PER_SLOT = 2.5
"""Entry VMs for each slot of a target from which on its room is shared; with
fewer, what the VMs send without it fits into the target's queue."""
KEEPER_TIMEOUT = 0.3
"""Time limit for a keeper's answer beyond the time for which the ask may wait,
in seconds."""
SUSPECT_PERIOD = 1.0
"""Time for which a VM that did not answer is not asked again, in seconds."""
MAX_CONNECTED = 16
"""Number of targets with an idle connection that an ask names."""


def needs_shared_room(slots: int, vm_count: int) -> bool:
    """Tell whether the room of a target is shared through a keeper.

    :param slots: Requests that the target runs at a time.
    :param vm_count: Number of entry VMs that are up.
    :return: Whether the VMs would otherwise send many times what it can run.
    """
    return vm_count > slots * VMS_PER_SLOT


@attrs.frozen
class GrantedRoom:
    """A request may be sent to a target."""

    target: TargetKey
    """Target incarnation."""
    group: Group
    """Service and zone of the target."""
    number: int
    """Number of the ask."""
    keeper: str
    """Entry VM that granted the room."""
    route: str = ''
    """Name of the request's route."""
    crossing: str = ''
    """Why the request leaves its zone; empty if it does not."""


@attrs.frozen
class RoomRefused:
    """There is no room in time."""

    wait: float
    """Time after which the caller may return, in seconds."""


@attrs.frozen
class RoomElsewhere:
    """Another zone has room, and leaving the zone pays."""

    zone: str
    """Zone to ask."""
    reason: str
    """Why the request should leave."""


@attrs.frozen
class LookAgain:
    """The target has left while the request waited."""


@attrs.frozen
class NoKeeper:
    """No keeper answers; the static share of each VM applies."""


RoomAnswer = GrantedRoom | RoomRefused | LookAgain | NoKeeper
"""Answer to a request for room."""

AskPeer = Callable[[str, RoomAsk], Awaitable[object]]
"""Callable that sends an ask to the VM of a name and returns its reply; it
raises ``LinkError`` if there is none."""
TellPeer = Callable[[str, RoomReturn], None]
"""Callable that sends a notice to the VM of a name if a link to it is open."""


@attrs.frozen
class RoomRequest:
    """What a keeper is told of a caller's request."""

    service: str
    """Name of the service."""
    zones: tuple[str, ...]
    """Zones whose targets may run it, the preferred ones first."""
    target: TargetKey | None
    """Holder of the request's key, or ``None`` if any target may run it."""
    rank: int
    """Priority of the route; 0 is the highest."""
    deadline: float
    """Monotonic time by which the caller needs a response, in seconds."""
    objective: float
    """Latency objective of the route, in seconds."""
    avoided: frozenset[str] = frozenset()
    """Names of targets that must not be granted."""
    connected: tuple[str, ...] = ()
    """Names of targets to which there is an idle connection."""
    response_size: float = 0
    """Expected size of the response, in bytes."""
    body_size: int = 0
    """Size of the request's body, in bytes."""
    caller: int = 0
    """Hash of the caller and what it requests; 0 if it is not known."""
    route: str = ''
    """Name of the request's route."""

    @property
    def first_query(self) -> ZoneQuery:
        """Query of the first zone; its keeper may name another zone."""
        may_leave = self.target is None and len(self.zones) > 1
        return ZoneQuery(self.zones[0], may_leave=may_leave)


@attrs.frozen
class ZoneQuery:
    """Which zone's room a keeper is asked for."""

    zone: str
    """Zone of the targets."""
    may_leave: bool = False
    """Whether the keeper may name another zone."""
    earlier_zone: str = ''
    """Zone that was asked of before without success."""


@attrs.define(eq=False)
class RoomGate:
    """Asks keepers for room, and gives it back."""

    _vm: str
    _incarnation: str
    _keeper: RoomKeeper
    _ask_peer: AskPeer
    _tell_peer: TellPeer
    _clock: Clock
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    _suspects: dict[str, float] = attrs.field(factory=dict)

    async def obtain(self, request: RoomRequest) -> RoomAnswer:
        """Ask for permission to send a request.

        :param request: What the keepers are told.
        :return: Granted room, or why there is none.
        """
        answer = await self._ask_keepers(request, request.first_query)
        match answer:
            case RoomElsewhere():
                return await self._cross(request, answer)
            case NoKeeper():
                return await self._ask_other_zones(request)
            case _:
                return answer

    def give_back(
        self,
        room: GrantedRoom,
        reason: ReturnReason,
        seconds: float,
        load: KnownLoad | None = None,
    ) -> None:
        """Give room back, at once when the request has ended.

        :param room: Room that was granted.
        :param reason: How the request ended.
        :param seconds: Time from the send to the response, in seconds.
        :param load: Load that the target told, if any.
        """
        service, zone = room.group
        returned = RoomReturn(
            self._incarnation,
            room.number,
            service,
            zone,
            room.target[0],
            reason,
            seconds,
            room.route,
        )
        if load is not None:
            told = load.figures
            returned = attrs.evolve(
                returned,
                running=told.running,
                waiting=told.waiting,
                slots=told.slots,
                pace=told.pace,
                age=load.age,
            )
        self._tell(room.keeper, returned)

    async def _cross(
        self, request: RoomRequest, elsewhere: RoomElsewhere
    ) -> RoomAnswer:
        """Ask the zone that a keeper has named, and the first one again if it
        has no room."""
        home, zone = request.zones[0], elsewhere.zone
        if zone not in request.zones:
            # The request may not be sent there, which says nothing of its room.
            again = ZoneQuery(home, earlier_zone=home)
            return _without_leaving(await self._ask_keepers(request, again))
        answer = await self._ask_keepers(
            request, ZoneQuery(zone, earlier_zone=home)
        )
        if isinstance(answer, GrantedRoom):
            return attrs.evolve(answer, crossing=elsewhere.reason)
        fallback = ZoneQuery(home, earlier_zone=zone)
        return _without_leaving(await self._ask_keepers(request, fallback))

    async def _ask_other_zones(self, request: RoomRequest) -> RoomAnswer:
        """Ask the zones in turn whose keepers have not been asked yet."""
        for zone in request.zones[1:]:
            answer = await self._ask_keepers(request, ZoneQuery(zone))
            if isinstance(answer, GrantedRoom):
                return attrs.evolve(answer, crossing=Crossing.NO_KEEPER)
            if not isinstance(answer, NoKeeper):
                return _without_leaving(answer)
        return NoKeeper()

    async def _ask_keepers(
        self, request: RoomRequest, query: ZoneQuery
    ) -> RoomAnswer | RoomElsewhere:
        group = (request.service, query.zone)
        for vm in self._keeper.order(group):
            now = self._clock.monotonic()
            if now < self._suspects.get(vm, now):
                continue
            ask = self._make_ask(request, query, now)
            reply = await self._ask(vm, ask)
            if reply is None:
                self._suspects[vm] = self._clock.monotonic() + SUSPECT_PERIOD
            elif reply.verdict != Verdict.UNKNOWN:
                return _make_answer(reply, group, ask, vm)
        return NoKeeper()

    def _make_ask(
        self, request: RoomRequest, query: ZoneQuery, now: float
    ) -> RoomAsk:
        name, born = request.target or ('', 0)
        return RoomAsk(
            self._incarnation,
            next(self._numbers),
            request.service,
            query.zone,
            name,
            born,
            request.rank,
            request.deadline - now,
            request.objective,
            tuple(request.avoided),
            request.connected[:MAX_CONNECTED],
            True,
            query.may_leave,
            request.response_size,
            request.body_size,
            query.earlier_zone,
            # What another zone refuses is asked for at home again.
            request.caller if query.zone == request.zones[0] else 0,
            request.route,
        )

    async def _ask(self, vm: str, ask: RoomAsk) -> RoomReply | None:
        """Ask one keeper; return ``None`` if it does not answer."""
        reply: object = None
        longest = KEEPER_TIMEOUT + ask.may_wait * min(
            ask.objective * QUEUE_TIME_SHARE, ask.time_left
        )
        try:
            with anyio.move_on_after(longest):
                reply = await self._send_ask(vm, ask)
        except LinkError:
            return None
        finally:
            if reply is None:
                self._withdraw(vm, ask)
        return reply if isinstance(reply, RoomReply) else None

    async def _send_ask(self, vm: str, ask: RoomAsk) -> object:
        if vm == self._vm:
            return await self._keeper.ask(ask)
        return await self._ask_peer(vm, ask)

    def _withdraw(self, vm: str, ask: RoomAsk) -> None:
        """Free the room that an unanswered ask may have been granted."""
        self._tell(
            vm, RoomReturn(ask.vm, ask.number, ask.service_name, ask.zone)
        )

    def _tell(self, vm: str, returned: RoomReturn) -> None:
        if vm == self._vm:
            self._keeper.give_back(returned)
        else:
            self._tell_peer(vm, returned)


def _make_answer(
    reply: RoomReply, group: Group, ask: RoomAsk, keeper: str
) -> RoomAnswer | RoomElsewhere:
    match reply.verdict:
        case Verdict.GRANTED:
            target = (reply.target, reply.born)
            return GrantedRoom(target, group, ask.number, keeper, ask.route)
        case Verdict.AGAIN:
            return LookAgain()
        case Verdict.ELSEWHERE:
            return RoomElsewhere(reply.zone, reply.reason)
        case _:
            return RoomRefused(reply.wait)


def _without_leaving(answer: RoomAnswer | RoomElsewhere) -> RoomAnswer:
    """Take a keeper that names a zone unasked for one that has no room."""
    if isinstance(answer, RoomElsewhere):
        return RoomRefused(0)
    return answer
