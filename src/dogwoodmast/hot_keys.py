"""Rates of the hottest keys of one entry VM, free of I/O and clocks.

Requests are counted exactly within a window of bounded size; the hottest
keys of each window are averaged with exponential decay.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

import attrs

MAX_COUNTED_KEYS = 16_384
"""Keys counted within one window; further ones are left out."""
TRACKED_KEYS = 128
"""Keys whose rates are kept from window to window."""


class ServiceKey(NamedTuple):
    """Key of a service."""

    service: str
    """Name of the service."""
    key: str
    """Key."""


@attrs.define(eq=False)
class HotKeyTracker:
    """Rates of the hottest keys, as lower bounds."""

    _counts: dict[ServiceKey, int] = attrs.field(factory=dict)
    _rates: dict[ServiceKey, float] = attrs.field(factory=dict)

    def on_request(self, service: str, key: str) -> None:
        """Count a request.

        :param service: Name of the service.
        :param key: Key.
        """
        place = ServiceKey(service, key)
        counts = self._counts
        count = counts.get(place)
        if count is not None:
            counts[place] = count + 1
        elif len(counts) < MAX_COUNTED_KEYS:
            counts[place] = 1

    def end_window(self, window: float, decay: float) -> None:
        """End a window and average its counts with the earlier rates.

        :param window: Length of the window, in seconds.
        :param decay: Weight of the earlier rates, from zero to one.
        """
        counts = self._counts
        self._counts = {}
        hottest = heapq.nlargest(TRACKED_KEYS, counts, key=counts.__getitem__)
        averaged = {
            place: rate * decay + (1 - decay) * counts.get(place, 0) / window
            for place, rate in self._rates.items()
        }
        for hot in hottest:
            fresh = (1 - decay) * counts[hot] / window
            averaged.setdefault(hot, fresh)
        kept = heapq.nlargest(TRACKED_KEYS, averaged, key=averaged.__getitem__)
        self._rates = {place: averaged[place] for place in kept}

    def hottest(self, count: int) -> list[tuple[ServiceKey, float]]:
        """List the hottest keys.

        :param count: Number of keys.
        :return: Keys with their requests per second, hottest first.
        """
        return list(self._rates.items())[:count]
