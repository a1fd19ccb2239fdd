"""Metrics that are sent to a statsd server.

The operators' reference of the metrics is ``docs/metrics.md``.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from dogwoodmast.address import Address


class Metric(enum.StrEnum):
    """Names of the metrics, without their prefix."""

    REQUESTS = 'requests'
    """Counter of requests received from callers."""
    PROBLEMS = 'problems'
    """Counter of requests that get a problem document as response."""
    LATENCY = 'latency'
    """Timer from the arrival of a request until its result is known."""
    FORWARDED = 'forwarded'
    """Counter of requests forwarded to another entry VM."""
    IN_FLIGHT = 'in_flight'
    """Gauge of requests that are running on targets."""
    WAITING = 'waiting'
    """Gauge of requests that are waiting for a target's slot."""


class Metrics:
    """Client of a statsd server; without an address it does nothing."""

    def __init__(self, address: Address | None, prefix: str) -> None:
        """Create a client.

        :param address: Address of the statsd server, or ``None`` to send no
            metrics.
        :param prefix: Prefix of all metric names, without the dot after it.
        """
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(
                address.host, address.port, prefix=prefix
            )

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Increment a counter.

        :param metric: Counter to increment.
        :param amount: Increment.
        """
        if self._client is not None:
            self._client.incr(metric, amount)

    def gauge(self, metric: Metric, level: float) -> None:
        """Set a gauge.

        :param metric: Gauge to set.
        :param level: New value.
        """
        if self._client is not None:
            self._client.gauge(metric, level)

    def timing(self, metric: Metric, seconds: float) -> None:
        """Record a duration.

        :param metric: Timer to record it in.
        :param seconds: Duration in seconds; statsd gets milliseconds.
        """
        if self._client is not None:
            self._client.timing(metric, seconds * 1000)
