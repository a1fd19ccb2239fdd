"""Decision whether a request leaves its availability zone, free of I/O.

It answers the load of uneven zones: one zone has more demand than its targets
can run, or fewer targets than its demand needs, while others have slots to
spare.  Only the excess leaves, and all zones that lack room share what the
others offer, so that nobody floods a zone and no two zones exchange requests.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.room.room_queue import QUEUE_TIME_SHARE
from dogwoodmast.direct.zones.demand_meter import DemandMeter
from dogwoodmast.direct.zones.zone_news import ZoneNews
from dogwoodmast.direct.zones.zone_prices import ZonePrices

if TYPE_CHECKING:
    from dogwoodmast.direct.room.messages import RoomAsk

NEWS_INTERVAL = 0.15
"""Time between two pieces of news of one zone while there is demand, in
seconds."""
MAX_NEWS_AGE = 0.6
"""Age from which on news is ignored, in seconds; requests then stay in their
zone."""
RETURN_PERIOD = 5.0
"""Time over which requests return to a zone whose targets were all gone, in
seconds; targets that have just started are slow."""
MIN_RETURN_SHARE = 0.1
"""Fraction of the requests that returns at once."""
MIN_LACK = 1.0
"""Least lack that is assumed of a zone with a request that wants to leave, in
requests per second."""


class Crossing(enum.StrEnum):
    """Why a request leaves its zone; the values are sent and logged."""

    WAIT = 'wait'
    """It would wait longer in its zone than leaving costs."""
    REFUSAL = 'refusal'
    """Its zone would refuse it."""
    NO_TARGET = 'no-target'
    """No target of its zone responds."""
    RETURN = 'return'
    """The targets of its zone have come back a short time ago."""
    NO_KEEPER = 'no-keeper'
    """No keeper of its zone's room answers, or its zone has no targets."""


@attrs.frozen
class Stay:
    """The request stays in its zone, where it is granted, waits or is
    refused."""


@attrs.frozen
class Leave:
    """The request should be sent to another zone."""

    zone: str
    """Availability zone to ask for room."""
    reason: Crossing
    """Why the request leaves."""


@attrs.frozen
class Prospect:
    """What an ask can expect in its own zone."""

    wait: float
    """Expected time until there is room, in seconds."""
    longest: float
    """Time for which the ask may wait, in seconds."""
    own: ZoneNews
    """State of the own zone."""


@attrs.define(eq=False)
class _Offer:
    """Room that another zone offers, and what has been taken of it."""

    news: ZoneNews
    taken_at: float
    period: float = NEWS_INTERVAL
    carry: float = 0
    used: int = 0
    share: float = 1

    def left(self, reason: Crossing = Crossing.WAIT) -> float:
        """Compute the number of requests that may still be sent.

        The own callers of that zone wait a little longer at most, where those
        that would be refused are not served at all.
        """
        left = self.carry + self.share * self.news.spare(self.period)
        if reason is Crossing.REFUSAL:
            # What was sent before this news occupies slots that are not free.
            left = max(left, self.share * self.news.unused)
        return left - self.used


@attrs.define(eq=False)
class ZoneSpill:
    """Decides for the asks of one service's room in one zone."""

    _zone: str
    _prices: ZonePrices = ZonePrices()
    open_zones: frozenset[str] = frozenset()
    """Zones with targets that may be sent requests."""
    _demand: DemandMeter = attrs.field(factory=DemandMeter)
    _offers: dict[str, _Offer] = attrs.field(factory=dict)
    _is_gone: bool = False
    _returned_at: float = float('-inf')
    _home_credit: float = 0

    def demand(self, now: float) -> float:
        """Return the demand of the zone.

        :param now: Monotonic time, in seconds.
        :return: Requests per second that this zone was asked of first.
        """
        return self._demand.rate(now)

    def on_ask(self, ask: RoomAsk, now: float) -> None:
        """Count an ask.

        :param ask: Ask for room of this zone.
        :param now: Monotonic time, in seconds.
        """
        if ask.earlier_zone:
            # That zone has less room than it told.
            self._offers.pop(ask.earlier_zone, None)
        else:
            self._demand.count(now)

    def on_news(self, news: ZoneNews, taken_at: float) -> None:
        """Take note of the state of another zone.

        :param news: News of its keeper.
        :param taken_at: Latest monotonic time at which the news was certainly
            not yet outdated, in seconds.
        """
        former = self._offers.get(news.zone)
        if former is None:
            self._offers[news.zone] = _Offer(news, taken_at)
        elif taken_at > former.taken_at:
            self._offers[news.zone] = _Offer(
                news,
                taken_at,
                min(taken_at - former.taken_at, MAX_NEWS_AGE),
                min(1, former.left()),
            )

    def news_age(self, zone: str, now: float) -> float:
        """Return the age of the news of a zone.

        :param zone: Another zone.
        :param now: Monotonic time, in seconds.
        :return: Age in seconds, infinite without news.
        """
        offer = self._offers.get(zone)
        return float('inf') if offer is None else now - offer.taken_at

    def is_settled(self, now: float) -> bool:
        """Tell whether requests may go to the targets of the own zone.

        :param now: Monotonic time, in seconds.
        :return: Whether there are targets, and have been for a while.
        """
        return not self._is_gone and now >= self._returned_at + RETURN_PERIOD

    def observe(self, *, has_targets: bool, now: float) -> None:
        """Note whether the own zone has targets that respond.

        :param has_targets: Whether there are any.
        :param now: Monotonic time, in seconds.
        """
        if not has_targets:
            self._is_gone = True
        elif self._is_gone:
            self._is_gone = False
            self._returned_at = now

    def decide_early(
        self, ask: RoomAsk, own: ZoneNews, now: float
    ) -> Stay | Leave:
        """Decide for an ask while the zone's targets are not settled.

        :param ask: Ask for room of the own zone.
        :param own: State of the own zone.
        :param now: Monotonic time, in seconds.
        :return: Whether the request leaves.
        """
        if self._is_gone:
            return self._leave(ask, own, Crossing.NO_TARGET, now)
        share = (now - self._returned_at) / RETURN_PERIOD
        self._home_credit += max(MIN_RETURN_SHARE, share)
        if self._home_credit >= 1:
            self._home_credit -= 1
            return Stay()
        return self._leave(ask, own, Crossing.RETURN, now)

    def decide(
        self, ask: RoomAsk, prospect: Prospect, now: float
    ) -> Stay | Leave:
        """Decide for an ask for which the own zone has no room at present.

        The asks behind all others in the queue, those of the lowest rank, have
        the longest wait and leave first: an urgent request gets the next free
        slot of its own zone, which is nearer and certain.

        :param ask: Ask for room of the own zone.
        :param prospect: What it can expect there.
        :param now: Monotonic time, in seconds.
        :return: Whether the request leaves.
        """
        if prospect.wait > prospect.longest:
            return self._leave(ask, prospect.own, Crossing.REFUSAL, now)
        return self._leave(ask, prospect.own, Crossing.WAIT, now, prospect.wait)

    def _leave(
        self,
        ask: RoomAsk,
        own: ZoneNews,
        reason: Crossing,
        now: float,
        wait: float = 0,
    ) -> Stay | Leave:
        """Choose the zone with the most room left, if leaving pays."""
        price = self._prices.required_saving(ask.response_size + ask.body_size)
        completion = wait + own.duration
        paying: list[_Offer] = []
        for offer in self._usable_offers(now):
            offer.share = self._share(offer, own.lack, now)
            if _saving(ask, reason, completion, offer.news) >= price:
                paying.append(offer)
        best = max(paying, key=lambda one: one.left(reason), default=None)
        if best is None or best.left(reason) < 1:
            return Stay()
        best.used += 1
        return Leave(best.news.zone, reason)

    def _usable_offers(self, now: float) -> list[_Offer]:
        """List the offers that are new, of zones that may be sent to."""
        return [
            offer
            for zone, offer in self._offers.items()
            if zone in self.open_zones
            and zone != self._zone
            and now - offer.taken_at <= MAX_NEWS_AGE
        ]

    def _share(self, offer: _Offer, own_lack: float, now: float) -> float:
        """Compute this zone's share of what another zone offers."""
        others = sum(
            other.news.lack
            for other in self._offers.values()
            if other is not offer and now - other.taken_at <= MAX_NEWS_AGE
        )
        lack = max(MIN_LACK, own_lack)
        return lack / (lack + others)


def _saving(
    ask: RoomAsk, reason: Crossing, completion: float, news: ZoneNews
) -> float:
    """Compute the time that an ask saves in another zone, in seconds."""
    match reason:
        case Crossing.WAIT:
            return completion - news.duration
        case Crossing.RETURN:
            return ask.objective * QUEUE_TIME_SHARE
        case _:
            # It would lose all of the time that its caller has left.
            return ask.time_left
