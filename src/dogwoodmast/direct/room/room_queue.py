"""Queue of the asks that wait for room at the same targets, by rank.

It answers the load of callers that compete for too little room: a more urgent
request is granted room before less urgent ones of any entry VM, no rank is
starved, a request that is repeated too early is behind the others of its rank,
and a request that will be overtaken until its time is gone is refused when that
is known.
"""

from __future__ import annotations

import bisect
import itertools
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.room.messages import RoomAsk, RoomReply
from dogwoodmast.direct.room.rank_demand import RankDemand

if TYPE_CHECKING:
    from collections.abc import Iterator

QUEUE_TIME_SHARE = 0.5
"""Fraction of a route's latency objective for which a request may wait; the
rest is for the target."""
DEADLINE_SHARE = 0.9
"""Fraction of the time to the deadline within which the response must be
expected."""
LOWER_RANK_SHARE = 0.5
"""Part of the room that lower ranks are granted while higher ones wait, as a
fraction of their part of the demand: they are served less often, not never."""
MAX_LOWER_PART = 0.2
"""Largest part of the room that lower ranks are granted so."""
MIN_LOWER_PART = 0.01
"""Smallest part of the room that lower ranks are granted so."""
MAX_WAITING = 1024
"""Asks that wait in one queue at most; the last ones are refused beyond it."""

_arrivals = itertools.count()

Decide = Callable[[RoomReply], None]
"""Callable that is passed the answer to an ask, once."""


@attrs.define(eq=False)
class WaitingAsk:
    """Ask that waits for room."""

    ask: RoomAsk
    """Request of the entry VM."""
    asked_at: float
    """Monotonic time of its arrival, in seconds."""
    leaves_at: float
    """Monotonic time from which a response would come too late, in seconds."""
    decide: Decide
    """Answers the ask."""
    is_behind: bool = False
    """Whether its place is behind the others of its rank."""
    order: tuple[int, bool, int] = attrs.field(
        default=attrs.Factory(
            lambda self: (self.ask.rank, self.is_behind, next(_arrivals)),
            takes_self=True,
        )
    )
    """Rank, whether it is behind, and number of the arrival."""


def longest_wait(ask: RoomAsk, duration: float) -> float:
    """Compute how long an ask may wait for room.

    :param ask: Request of an entry VM.
    :param duration: Expected time from send to response, in seconds.
    :return: Time in seconds; not positive if no response can come in time.
    """
    return min(
        ask.objective * QUEUE_TIME_SHARE,
        ask.time_left * DEADLINE_SHARE - duration,
    )


@attrs.define
class _Places:
    """Places of waiting asks, counted in the order of rank and arrival."""

    first: int
    """Highest rank that waits."""
    lower_part: float
    """Part of the grants that lower ranks get."""
    credit: float
    """Fraction of a grant that lower ranks have saved up."""
    ahead: int = 0
    """Asks that were kept so far."""
    _lower: list[tuple[bool, int]] = attrs.field(factory=list)

    def count_before(self, waiting: WaitingAsk) -> float:
        """Return the least number of grants before that of an ask."""
        if waiting.ask.rank <= self.first:
            return self.ahead
        older = bisect.bisect(self._lower, _arrival_of(waiting))
        turns = (older + 1 - self.credit) / self.lower_part
        return min(self.ahead, turns - 1)

    def keep(self, waiting: WaitingAsk) -> None:
        """Count an ask that waits on."""
        self.ahead += 1
        if waiting.ask.rank > self.first:
            bisect.insort(self._lower, _arrival_of(waiting))


@attrs.define(eq=False)
class RoomQueue:
    """Waiting asks, the most urgent and then the oldest first."""

    demand: RankDemand = attrs.field(factory=RankDemand)
    """Rates of the asks of each rank."""
    _waiting: list[WaitingAsk] = attrs.field(factory=list)
    _credit: float = 0

    @property
    def first_rank(self) -> int:
        """Highest rank that waits; asks must be waiting."""
        return self._waiting[0].ask.rank

    def __len__(self) -> int:
        """Return the number of waiting asks.

        :return: Number of waiting asks.
        """
        return len(self._waiting)

    def __iter__(self) -> Iterator[WaitingAsk]:
        """Iterate over the waiting asks in the order of rank and arrival.

        :return: Iterator over a copy.
        """
        return iter(tuple(self._waiting))

    def count_ahead(self, rank: int, *, is_behind: bool = False) -> int:
        """Count the asks that are granted room before a new one.

        :param rank: Rank of the new ask.
        :param is_behind: Whether its place is behind the others of its rank.
        :return: Number of asks of the same or a higher rank.
        """
        end = (rank, True, math.inf if is_behind else 0)
        return bisect.bisect_left(self._waiting, end, key=_order_of_waiting)

    def expected_wait(
        self, rank: int, rate: float, now: float, *, is_behind: bool = False
    ) -> float:
        """Estimate how long a new ask would wait.

        :param rank: Rank of the new ask.
        :param rate: Requests per second that the targets run.
        :param now: Monotonic time, in seconds.
        :param is_behind: Whether its place is behind the others of its rank.
        :return: Time in seconds.
        """
        first = self._waiting[0].ask.rank if self._waiting else rank
        own_rate = rate - self.demand.above(rank + is_behind, now)
        lowest_rate = rate * self._lower_part(first, now)
        ahead = self.count_ahead(rank, is_behind=is_behind)
        wait = (ahead + 1) / max(own_rate, lowest_rate)
        if rank > first and not is_behind:
            lower = len(self._waiting) - self.count_ahead(first, is_behind=True)
            wait = min(wait, (lower + 1 - self._credit) / lowest_rate)
        return wait

    def add(self, waiting: WaitingAsk) -> None:
        """Append an ask to those of its rank, or to those behind them.

        :param waiting: Ask to append.
        """
        bisect.insort(self._waiting, waiting, key=_order_of_waiting)

    def remove(self, waiting: WaitingAsk) -> None:
        """Remove an ask.

        :param waiting: Ask to remove; nothing happens if it has left.
        """
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def find(self, vm: str, number: int) -> WaitingAsk | None:
        """Find an ask by its sender.

        :param vm: Incarnation of the entry VM.
        :param number: Number of the ask.
        :return: The ask, or ``None`` if it does not wait.
        """
        for waiting in self._waiting:
            if waiting.ask.number == number and waiting.ask.vm == vm:
                return waiting
        return None

    def take_next(self, target: str, now: float) -> WaitingAsk | None:
        """Remove the ask that is granted room next.

        :param target: Name of the target with room.
        :param now: Monotonic time, in seconds.
        :return: The ask, or ``None`` if none may use the target.
        """
        usable = [one for one in self._waiting if target not in one.ask.avoided]
        if not usable:
            return None
        chosen = usable[0]
        part = self._lower_part(chosen.ask.rank, now)
        self._credit = min(1, self._credit + part)
        if self._credit >= 1:
            lower = [one for one in usable if one.ask.rank > chosen.ask.rank]
            if lower:
                chosen = min(lower, key=_arrival_of)
                self._credit = 0
        self._waiting.remove(chosen)
        return chosen

    def drain_late(self, rate: float, now: float) -> list[WaitingAsk]:
        """Remove the asks that would be granted room too late.

        :param rate: Requests per second that the targets run.
        :param now: Monotonic time, in seconds.
        :return: Asks that were removed.
        """
        if not self._waiting:
            return []
        late: list[WaitingAsk] = []
        first = self._waiting[0].ask.rank
        places = _Places(first, self._lower_part(first, now), self._credit)
        for waiting in self:
            grants_before = places.count_before(waiting)
            has_place = places.ahead < MAX_WAITING
            if has_place and now + grants_before / rate <= waiting.leaves_at:
                places.keep(waiting)
            else:
                late.append(waiting)
                self._waiting.remove(waiting)
        return late

    def drain(self) -> list[WaitingAsk]:
        """Remove all asks.

        :return: Asks that were removed.
        """
        drained = self._waiting
        self._waiting = []
        return drained

    def _lower_part(self, rank: int, now: float) -> float:
        """Compute the part of the room that ranks below one are granted."""
        part = self.demand.part_below(rank, now) * LOWER_RANK_SHARE
        return min(max(part, MIN_LOWER_PART), MAX_LOWER_PART)


def _order_of_waiting(waiting: WaitingAsk) -> tuple[int, bool, float]:
    return waiting.order


def _arrival_of(waiting: WaitingAsk) -> tuple[bool, int]:
    return waiting.order[1:]
