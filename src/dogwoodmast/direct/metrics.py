"""Prometheus metrics of one entry VM."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
import prometheus_client
from prometheus_client.metrics import Counter, Gauge, Histogram
from prometheus_client.registry import CollectorRegistry

from dogwoodmast._asgi import send_response
from dogwoodmast.direct.call import Delivered, Rejected

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodmast._asgi import Receive, Scope, Send
    from dogwoodmast.direct.call import Call

LATENCY_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5)
"""Upper bounds of the latency histogram's buckets, in seconds; they cover the
latency objectives and deadlines of the platform contract."""


@attrs.define(eq=False)
class Metrics:
    """Registry of the metrics, and ASGI application that exports them."""

    _zone: str = ''
    _registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    _requests: Counter = attrs.field(init=False)
    _latency: Histogram = attrs.field(init=False)
    _zone_requests: Counter = attrs.field(init=False)
    _zone_bytes: Counter = attrs.field(init=False)
    _counters: dict[tuple[str, str, int], Counter] = attrs.field(factory=dict)
    _histograms: dict[str, Histogram] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the metrics."""
        self._requests = Counter(
            'dogwoodmast_requests',
            'Requests by what the caller was told.',
            ('route', 'outcome', 'status'),
            registry=self._registry,
        )
        self._latency = Histogram(
            'dogwoodmast_latency_seconds',
            'Time from arrival to the end of the answer.',
            ('route',),
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._zone_requests = Counter(
            'dogwoodmast_zone_requests',
            'Delivered responses by zone of the VM and of the target.',
            ('zone', 'target_zone', 'crossing'),
            registry=self._registry,
        )
        self._zone_bytes = Counter(
            'dogwoodmast_zone_bytes',
            'Bytes of the bodies of these requests and responses.',
            ('zone', 'target_zone'),
            registry=self._registry,
        )

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read at each scrape.

        :param name: Name of the metric without the prefix ``dogwoodmast_``.
        :param description: Help text.
        :param read: Callable that returns the current value.
        """
        gauge = Gauge(
            f'dogwoodmast_{name}', description, registry=self._registry
        )
        gauge.set_function(read)

    def on_end(
        self, call: Call, result: Rejected | Delivered | None, seconds: float
    ) -> None:
        """Count a request, and observe its latency if it was delivered.

        :param call: Request of the caller.
        :param result: How it ended, or ``None`` if the caller disconnected or
            the response was cut off.
        :param seconds: Time since the request arrived, in seconds.
        """
        route = call.route.name
        match result:
            case Delivered(status, _):
                self._counter(route, 'delivered', status).inc()
                self._histogram(route).observe(seconds)
            case Rejected(problem):
                status = int(problem.type.status)
                slug = problem.type.slug
                self._counter(route, slug, status).inc()
            case None:
                self._counter(route, 'abandoned', 0).inc()

    def on_served(
        self, call: Call, target_zone: str, crossing: str, size: int
    ) -> None:
        """Count a response by the zones that it passed.

        :param call: Request of the caller.
        :param target_zone: Zone of the target that responded.
        :param crossing: Why the request left its zone; empty if it did not.
        :param size: Size of the response, in bytes.
        """
        zones = (self._zone, target_zone)
        self._zone_requests.labels(*zones, crossing).inc()
        self._zone_bytes.labels(*zones).inc(len(call.body) + size)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Respond with all metrics in the Prometheus text format.

        :param scope: ASGI scope.
        :param receive: ASGI receive callable.
        :param send: ASGI send callable.
        """
        body = prometheus_client.generate_latest(self._registry)
        content_type = prometheus_client.CONTENT_TYPE_LATEST
        headers = [
            (b'content-type', content_type.encode()),
            (b'content-length', str(len(body)).encode()),
        ]
        await send_response(send, HTTPStatus.OK, headers, body)

    def _counter(self, route: str, outcome: str, status: int) -> Counter:
        """Return a labelled counter, which takes long to look up by labels."""
        labels = (route, outcome, status)
        found = self._counters.get(labels)
        if found is None:
            found = self._requests.labels(*labels)
            self._counters[labels] = found
        return found

    def _histogram(self, route: str) -> Histogram:
        found = self._histograms.get(route)
        if found is None:
            found = self._latency.labels(route)
            self._histograms[route] = found
        return found
