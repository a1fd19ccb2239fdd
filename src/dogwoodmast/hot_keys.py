"""Request rates of the hottest keys at one entry VM.

Requests are counted per key within a time window, for a bounded number of
keys.  The rates of the hottest keys are averaged over windows with
exponential decay.  The module does no I/O and reads no clock.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

import attrs

MAX_COUNTED_KEYS = 16_384
"""Maximum number of keys counted in one window; requests with further keys
are not counted."""
TRACKED_KEYS = 128
"""Maximum number of keys whose rates are kept between windows."""


class ServiceKey(NamedTuple):
    """Key together with the service that it belongs to."""

    service: str
    """Name of the service."""
    key: str
    """Key of the service's requests."""


@attrs.define(eq=False)
class HotKeyTracker:
    """Tracks lower bounds of the request rates of the hottest keys."""

    _counts: dict[ServiceKey, int] = attrs.field(factory=dict)
    _rates: dict[ServiceKey, float] = attrs.field(factory=dict)

    def on_request(self, service: str, key: str) -> None:
        """Count a request in the current window.

        :param service: Name of the service.
        :param key: Key of the request.
        """
        service_key = ServiceKey(service, key)
        counts = self._counts
        count = counts.get(service_key)
        if count is not None:
            counts[service_key] = count + 1
        elif len(counts) < MAX_COUNTED_KEYS:
            counts[service_key] = 1

    def end_window(self, window: float, decay: float) -> None:
        """End the current window and average its rates with earlier ones.

        :param window: Length of the window, in seconds.
        :param decay: Weight of the earlier rates, between zero and one.
        """
        counts = self._counts
        self._counts = {}
        hottest = heapq.nlargest(TRACKED_KEYS, counts, key=counts.__getitem__)
        averaged = {
            service_key: rate * decay
            + (1 - decay) * counts.get(service_key, 0) / window
            for service_key, rate in self._rates.items()
        }
        for hot_key in hottest:
            new_rate = (1 - decay) * counts[hot_key] / window
            averaged.setdefault(hot_key, new_rate)
        kept = heapq.nlargest(TRACKED_KEYS, averaged, key=averaged.__getitem__)
        self._rates = {
            service_key: averaged[service_key] for service_key in kept
        }

    def hottest(self, count: int) -> list[tuple[ServiceKey, float]]:
        """List the hottest keys.

        :param count: Maximum number of keys to list.
        :return: Keys with their requests per second, hottest first.
        """
        return list(self._rates.items())[:count]
