"""Requests for room a second, by rank, free of I/O.

It answers the load of urgent requests that keep coming: a less urgent one that
they will overtake until its time is gone is refused at once.
"""

from __future__ import annotations

import math

import attrs

DEMAND_WINDOW = 1.0
"""Time over which the demand is averaged, in seconds; the longest waits for
room are about as long."""


@attrs.define
class _Rate:
    value: float = 0
    """Requests per second at the time of the last one."""
    at: float = 0
    """Monotonic time of the last one, in seconds."""

    def read(self, now: float) -> float:
        return self.value * math.exp((self.at - now) / DEMAND_WINDOW)


@attrs.define(eq=False)
class RankDemand:
    """Moving averages of the rates of the ranks' requests."""

    _rates: dict[int, _Rate] = attrs.field(factory=dict)

    def add(self, rank: int, now: float) -> None:
        """Count a request.

        :param rank: Its rank.
        :param now: Monotonic time, in seconds.
        """
        rate = self._rates.setdefault(rank, _Rate())
        rate.value = rate.read(now) + 1 / DEMAND_WINDOW
        rate.at = now

    def part_below(self, rank: int, now: float) -> float:
        """Compute which part of the demand is that of the lower ranks.

        :param rank: Rank of a request.
        :param now: Monotonic time, in seconds.
        :return: Fraction from 0 to 1.
        """
        demand = {one: rate.read(now) for one, rate in self._rates.items()}
        total = sum(demand.values())
        below = sum(rate for one, rate in demand.items() if one > rank)
        return below / total if total else 0

    def above(self, rank: int, now: float) -> float:
        """Sum up the demand of the higher ranks.

        :param rank: Rank of a request.
        :param now: Monotonic time, in seconds.
        :return: Requests per second that are granted room before it.
        """
        return sum(
            rate.read(now) for one, rate in self._rates.items() if one < rank
        )
