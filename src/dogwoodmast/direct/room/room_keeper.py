"""Keeper of targets' room in one entry VM: answers the asks of all VMs."""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.catalog import Target
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.direct.room.keeper_order import (
    KEEPERS,
    Group,
    rank_keepers,
)
from dogwoodmast.direct.room.messages import (
    RoomAsk,
    RoomReply,
    RoomReturn,
    Verdict,
)
from dogwoodmast.direct.room.room_book import RoomBook
from dogwoodmast.direct.zones.zone_prices import ZonePrices
from dogwoodmast.direct.zones.zone_spill import ZoneSpill
from dogwoodmast.events import Event, log_event
from dogwoodmast.link import Link
from dogwoodmast.message_handlers import LaterReply

if TYPE_CHECKING:
    from dogwoodmast.direct.room.refusals import Refusal
    from dogwoodmast.message_handlers import MessageHandlers

TICK_INTERVAL = 0.1
"""Pause between two checks for lapsed room while there is any, in seconds."""
SETTLING_TIME = 1.0
"""Time for which a VM has to have been first in order before it grants all of
the room, in seconds: most requests that an earlier keeper granted room have
ended by then."""
STAND_IN_FRACTION = 0.5
"""Fraction of the room that a VM grants that is not first in order, or has not
been for long, in addition to what another keeper grants."""


@attrs.define(eq=False)
class _Decision:
    """Answer to an ask, awaited by its handler."""

    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: RoomReply = RoomReply(Verdict.UNKNOWN)

    def decide(self, reply: RoomReply) -> None:
        self.reply = reply
        self.done.set()


@attrs.define(eq=False)
class RoomKeeper:
    """Books of the groups that this VM is keeper or stand-in of."""

    _vm: str
    _clock: Clock
    _list_vms: Callable[[], Iterable[VmRecord]]
    _list_targets: Callable[[], Iterable[Target]]
    _prices: ZonePrices = ZonePrices()
    has_books: anyio.Event = attrs.field(factory=anyio.Event)
    """Set as soon as this VM has a book."""
    _books: dict[Group, RoomBook] = attrs.field(factory=dict)
    _orders: dict[Group, list[str]] = attrs.field(factory=dict)
    _first_since: dict[Group, float] = attrs.field(factory=dict)
    _vms: frozenset[VmRecord] = frozenset()
    _targets: dict[Group, list[Target]] = attrs.field(factory=dict)
    _links: dict[str, Link] = attrs.field(factory=dict)
    _ranks: dict[Group, int | None] = attrs.field(factory=dict)
    _is_stopping: bool = False
    changes: int = 0
    """Times that this VM became, or ceased to be, keeper or stand-in of a group
    that it has a book of."""
    _asked: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def books(self) -> dict[Group, RoomBook]:
        """Books by service and zone."""
        return self._books

    @property
    def used(self) -> int:
        """Number of requests that may be at targets by grants of this VM."""
        return sum(book.used for book in self._books.values())

    @property
    def waiting(self) -> int:
        """Number of asks that wait for room."""
        return sum(book.waiting for book in self._books.values())

    def count_refusals(self, refusal: Refusal) -> int:
        """Count the asks that this VM has refused for a reason.

        :param refusal: Reason of the refusals.
        :return: Number of asks so far.
        """
        return sum(
            book.refusals.counts[refusal] for book in self._books.values()
        )

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handlers for asks and returns of other VMs.

        :param handlers: Message handlers of this entry VM's links.
        """
        handlers.register_direct(RoomAsk, self._on_ask)
        handlers.register_direct(RoomReturn, self._on_return)

    def order(self, group: Group) -> list[str]:
        """Return the VMs that may be asked for room, the keeper first.

        :param group: Service and zone.
        :return: Names of the keeper and its stand-in.
        """
        if group not in self._orders:
            self._orders[group] = rank_keepers(group, self._vms)[:KEEPERS]
        return self._orders[group]

    def refresh(self) -> None:
        """Apply changes of the lists of VMs and targets."""
        now = self._clock.monotonic()
        vms = frozenset(self._list_vms())
        if vms != self._vms:
            for incarnation in _find_replaced(self._vms, vms):
                # The link of a machine that lost its power ends much later.
                self._links.pop(incarnation, None)
                self._on_vm_lost(incarnation)
            self._vms = vms
            self._orders.clear()
        self._targets = {}
        for target in self._list_targets():
            group = (target.service, target.zone)
            self._targets.setdefault(group, []).append(target)
        for listed in self._targets:
            self._note_order(listed, now)
        for kept, book in self._books.items():
            self._note_rank(kept, book)
            self._update(kept, book, now)

    def stop(self) -> None:
        """Leave the room to the stand-ins, since this VM is going to end."""
        self._is_stopping = True
        for book in self._books.values():
            book.give_up()

    async def run(self) -> None:
        """Free lapsed room and refuse late asks until cancelled."""
        while True:
            await self._asked.wait()
            while self.used or self.waiting:
                await anyio.sleep(TICK_INTERVAL)
                self._tick()
            self._asked = anyio.Event()

    async def ask(self, ask: RoomAsk) -> RoomReply:
        """Decide on a request for room; wait until the decision is made.

        :param ask: Request of this VM or another one.
        :return: Answer to it.
        """
        return await self._await(self._decide(ask), None, ask)

    def give_back(self, returned: RoomReturn) -> None:
        """Free room, or withdraw an ask that waits.

        :param returned: Notice of this VM or another one.
        """
        book = self._books.get((returned.service_name, returned.zone))
        if book is not None:
            book.give_back(returned, self._clock.monotonic())

    def _decide(self, ask: RoomAsk) -> _Decision:
        """Start the decision on a request for room."""
        decision = _Decision()
        book = self.find_book((ask.service_name, ask.zone))
        if book is None:
            decision.decide(RoomReply(Verdict.UNKNOWN))
        else:
            book.ask(ask, self._clock.monotonic(), decision.decide)
            self._asked.set()
        return decision

    async def _await(
        self, decision: _Decision, _link: Link | None, ask: RoomAsk
    ) -> RoomReply:
        """Wait for a decision; withdraw the ask if its caller gives up."""
        try:
            await decision.done.wait()
        except BaseException:
            self.give_back(
                RoomReturn(ask.vm, ask.number, ask.service_name, ask.zone)
            )
            raise
        return decision.reply

    def _on_ask(self, link: Link, ask: RoomAsk) -> RoomReply | LaterReply:
        known = self._links.get(ask.vm, link)
        self._links[ask.vm] = link
        if known is not link:
            self._on_vm_lost(ask.vm)
        decision = self._decide(ask)
        if decision.done.is_set():
            return decision.reply
        return LaterReply(functools.partial(self._await, decision))

    def _on_return(self, _link: Link, returned: RoomReturn) -> None:
        self.give_back(returned)

    def find_book(self, group: Group) -> RoomBook | None:
        """Find or begin the book of a group.

        :param group: Service and zone.
        :return: The book, or ``None`` if other VMs are to be asked.
        """
        if self._is_stopping or self._vm not in self.order(group):
            return None
        if group not in self._books:
            book = RoomBook(ZoneSpill(group[1], self._prices))
            self._update(group, book, self._clock.monotonic())
            self._books[group] = book
            self.has_books.set()
            self._note_rank(group, book)
        return self._books[group]

    def _note_rank(self, group: Group, book: RoomBook) -> None:
        """Note whether this VM is keeper or stand-in of a group."""
        order = self.order(group)
        rank = order.index(self._vm) if self._vm in order else None
        if rank == self._ranks.get(group):
            return
        self._ranks[group] = rank
        self.changes += 1
        service, zone = group
        if rank is None:
            book.give_up()
            log_event(Event.ROOM_LEFT, service=service, zone=zone)
        else:
            log_event(Event.ROOM_KEPT, service=service, zone=zone, rank=rank)

    def _on_vm_lost(self, vm: str) -> None:
        now = self._clock.monotonic()
        for book in self._books.values():
            book.on_vm_lost(vm, now)

    def _update(self, group: Group, book: RoomBook, now: float) -> None:
        targets = self._targets.get(group, ())
        book.update(targets, self._fraction(group, now), now)
        if book.spill is not None:
            book.spill.observe(has_targets=bool(targets), now=now)
            service, _ = group
            book.spill.open_zones = frozenset(
                zone for name, zone in self._targets if name == service
            )

    def _note_order(self, group: Group, now: float) -> None:
        order = self.order(group)
        if not order or order[0] != self._vm:
            self._first_since.pop(group, None)
        else:
            self._first_since.setdefault(group, now)

    def _fraction(self, group: Group, now: float) -> float:
        first_since = self._first_since.get(group)
        if first_since is None or now < first_since + SETTLING_TIME:
            return STAND_IN_FRACTION
        return 1.0

    def _tick(self) -> None:
        now = self._clock.monotonic()
        ended = [vm for vm, link in self._links.items() if link.closed]
        for vm in ended:
            self._links.pop(vm)
            self._on_vm_lost(vm)
        for (service, _), book in self._books.items():
            book.tick(now)
            for target, count in book.take_silent().items():
                log_event(
                    Event.TARGET_SILENT,
                    service=service,
                    target=target,
                    requests=count,
                )


def _find_replaced(
    before: Iterable[VmRecord], listed: Iterable[VmRecord]
) -> list[str]:
    """List the incarnations that others have replaced under their names."""
    incarnations = {vm.name: vm.incarnation for vm in listed}
    return [
        vm.incarnation
        for vm in before
        if incarnations.get(vm.name, vm.incarnation) != vm.incarnation
    ]
