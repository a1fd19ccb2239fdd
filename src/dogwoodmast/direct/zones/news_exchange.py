"""Exchange of news between the keepers of a service's room in all zones.

It answers uneven zones: a keeper that is asked for room tells the keepers of
the other zones how much it needs, and learns how much they have to spare.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.room.room_keeper import RoomKeeper
from dogwoodmast.direct.zones.zone_news import ZoneNews
from dogwoodmast.direct.zones.zone_spill import NEWS_INTERVAL
from dogwoodmast.errors import LinkError

if TYPE_CHECKING:
    from dogwoodmast.direct.room.keeper_order import Group
    from dogwoodmast.link import Link
    from dogwoodmast.message_handlers import MessageHandlers

REPLY_TIMEOUT = 0.3
"""Time limit for the reply of another keeper, in seconds."""
MIN_DEMAND = 0.5
"""Demand from which on a keeper asks for news, in requests per second."""
FRESH_SHARE = 0.75
"""Fraction of the interval for which news that has come unasked is not asked
for again."""

AskPeer = Callable[[str, ZoneNews], Awaitable[object]]
"""Callable that sends news to the VM of a name and returns its reply; it raises
``LinkError`` if there is none."""


@attrs.define(eq=False)
class NewsExchange:
    """Sends and receives the news of the groups that this VM keeps."""

    _vm: str
    _keeper: RoomKeeper
    _ask_peer: AskPeer
    _clock: Clock

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handler for news of other VMs.

        :param handlers: Message handlers of this entry VM's links.
        """
        handlers.register_direct(ZoneNews, self._on_news)

    async def run(self) -> None:
        """Exchange news while there is demand, until cancelled."""
        await self._keeper.has_books.wait()
        async with anyio.create_task_group() as tasks:
            while True:
                for group, other in self._due_pairs():
                    tasks.start_soon(self._exchange, group, other)
                await anyio.sleep(NEWS_INTERVAL)

    def _due_pairs(self) -> list[tuple[Group, Group]]:
        """List the groups of this VM with those that they need news of."""
        now = self._clock.monotonic()
        return [
            (group, other)
            for group in self._keeper.books
            for other in self._due(group, now)
        ]

    def _due(self, group: Group, now: float) -> list[Group]:
        spill = self._keeper.books[group].spill
        if spill is None or not self._is_keeper(self._vm, group):
            return []
        if spill.demand(now) < MIN_DEMAND:
            return []
        service, own = group
        return [
            (service, zone)
            for zone in spill.open_zones
            if zone != own
            and spill.news_age(zone, now) > NEWS_INTERVAL * FRESH_SHARE
        ]

    async def _exchange(self, group: Group, other: Group) -> None:
        # The reply is at least as new as the time at which it was asked for.
        asked_at = self._clock.monotonic()
        reply = await self._ask(group, other)
        if isinstance(reply, ZoneNews):
            self._apply(group, reply, asked_at)

    async def _ask(self, group: Group, other: Group) -> object:
        news = self._make_news(group)
        order = self._keeper.order(other)
        if news is None or not order:
            return None
        news = attrs.evolve(news, to_zone=other[1])
        if order[0] == self._vm:
            return self.answer(news)
        try:
            with anyio.move_on_after(REPLY_TIMEOUT):
                return await self._ask_peer(order[0], news)
        except LinkError:
            return None
        return None

    def _on_news(self, _link: Link, news: ZoneNews) -> ZoneNews:
        return self.answer(news)

    def answer(self, news: ZoneNews) -> ZoneNews:
        """Take note of another zone's news, and reply with the own zone's.

        :param news: News of the keeper of another zone.
        :return: News of the zone that is asked for.
        """
        group = (news.service_name, news.to_zone)
        own = self._make_news(group)
        self._apply(group, news, self._clock.monotonic())
        return own or ZoneNews('', *group)

    def _make_news(self, group: Group) -> ZoneNews | None:
        book = self._keeper.find_book(group)
        if book is None:
            return None
        return book.exit.make_news(self._vm, group, self._clock.monotonic())

    def _apply(self, group: Group, news: ZoneNews, taken_at: float) -> None:
        """Pass on news of a VM that keeps the room of another zone."""
        book = self._keeper.books.get(group)
        if book is None or book.spill is None:
            return
        sender = (news.service_name, news.zone)
        if self._is_keeper(news.vm, sender):
            book.spill.on_news(news, taken_at)

    def _is_keeper(self, vm: str, group: Group) -> bool:
        """Tell whether a VM is the keeper rather than its stand-in."""
        return self._keeper.order(group)[:1] == [vm]
