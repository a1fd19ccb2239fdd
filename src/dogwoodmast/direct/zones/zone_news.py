"""What the keepers of a service's room tell each other of their zones.

It answers the load of uneven zones: a keeper with more demand than room learns
which zones have room to spare, and which others want it too.
"""

from __future__ import annotations

import attrs

from dogwoodmast._wire import Range, wire_message

_IDL = 'zones'
_FIGURES: Range = (0, 1e15)
"""Sums of requests or slots, rates and durations that are not absurd."""

RESERVE = 0.1
"""Fraction of a zone's slots and throughput that is not offered to other zones;
it covers changes of the zone's own demand between two pieces of news."""
BACKLOG_TIME = 1.0
"""Time within which the waiting requests of a zone should be served in addition
to its demand, in seconds."""


@wire_message(
    _IDL,
    free=_FIGURES,
    slots=_FIGURES,
    rate=_FIGURES,
    waiting=_FIGURES,
    demand=_FIGURES,
    duration=_FIGURES,
)
@attrs.frozen
class ZoneNews:
    """State of a service's targets in one zone, as their keeper knows it.

    The receiver replies with its own news.
    """

    vm: str
    """Name of the keeper's VM; empty if the replying VM is not the keeper."""
    service_name: str
    """Name of the service."""
    zone: str
    """Availability zone of the targets."""
    free: int = 0
    """Number of slots that run no request."""
    slots: int = 0
    """Number of slots."""
    rate: float = 0
    """Requests per second that the targets run when all slots are in use."""
    waiting: int = 0
    """Number of requests that wait for room."""
    demand: float = 0
    """Requests per second that this zone was asked of first."""
    duration: float = 0
    """Mean duration of requests, in seconds."""
    to_zone: str = ''
    """Zone whose keeper is told, and asked for its news."""

    @property
    def lack(self) -> float:
        """Requests per second that exceed what the zone's targets run."""
        backlog = self.waiting / BACKLOG_TIME
        return max(0, self.demand - self.rate) + backlog

    @property
    def unused(self) -> float:
        """Free slots, for requests that would not be served otherwise."""
        return 0 if self.waiting else self.free

    def spare(self, period: float) -> float:
        """Compute how many requests of other zones this one can take.

        :param period: Time over which they come, in seconds.
        :return: Number of requests for which there will be free slots.
        """
        if self.waiting or not self.duration:
            return 0
        ending = (self.slots - self.free) / self.duration
        freed = (ending - self.demand) * period
        slots = self.free - self.slots * RESERVE + freed
        rate = self.rate * (1 - RESERVE) - self.demand
        return max(0, min(slots, rate * period))
