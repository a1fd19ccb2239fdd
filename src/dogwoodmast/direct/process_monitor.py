"""Monitor of what may delay a whole entry VM: its event loop and its links."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.events import Event, log_event
from dogwoodmast.link_traffic import LinkTraffic

if TYPE_CHECKING:
    from dogwoodmast.direct.metrics import Metrics

LOOP_CHECK_INTERVAL = 0.1
"""Pause between two measurements of the event loop's delay, in seconds."""
LATE_LOOP_DELAY = 0.2
"""Delay of the event loop that is logged, in seconds."""
TRAFFIC_LOG_INTERVAL = 1.0
"""Time between two log lines about the traffic of links, in seconds."""
LOGGED_TRAFFIC_BYTES = 131_072
"""Bytes sent and received per interval from which on they are logged; a tenth
of what the thinnest links of the platform contract carry in a second."""


@attrs.define(eq=False)
class ProcessMonitor:
    """Task that logs delays of the event loop and heavy traffic of links."""

    traffic: LinkTraffic = attrs.field(factory=LinkTraffic)
    """Counters of the process's links."""
    _sent: Counter[str] = attrs.field(factory=Counter)
    _received: Counter[str] = attrs.field(factory=Counter)
    _loop_delay: float = 0

    def add_gauges(self, metrics: Metrics) -> None:
        """Export what the monitor measures.

        :param metrics: Registry of the process.
        """
        metrics.add_gauge(
            'event_loop_delay_seconds',
            'Delay of the event loop at its last measurement.',
            lambda: self._loop_delay,
        )
        metrics.add_gauge(
            'link_sent_bytes',
            'Bytes sent to other entry VMs so far.',
            lambda: self.traffic.sent.total(),
        )
        metrics.add_gauge(
            'link_received_bytes',
            'Bytes received from other entry VMs so far.',
            lambda: self.traffic.received.total(),
        )
        metrics.add_gauge(
            'link_backlog_bytes',
            'Bytes queued for other entry VMs and not sent yet.',
            lambda: self.traffic.backlog,
        )

    async def run(self) -> None:
        """Measure until cancelled."""
        logged_at = anyio.current_time()
        while True:
            started_at = anyio.current_time()
            await anyio.sleep(LOOP_CHECK_INTERVAL)
            now = anyio.current_time()
            self._on_wake(now - started_at - LOOP_CHECK_INTERVAL)
            if now >= logged_at + TRAFFIC_LOG_INTERVAL:
                logged_at = now
                self._log_traffic()

    def _on_wake(self, delay: float) -> None:
        self._loop_delay = delay
        if delay > LATE_LOOP_DELAY:
            log_event(
                Event.EVENT_LOOP_LATE,
                seconds=round(delay, 3),
                backlog=self.traffic.backlog,
            )

    def _log_traffic(self) -> None:
        sent = self.traffic.sent - self._sent
        received = self.traffic.received - self._received
        self._sent = Counter(self.traffic.sent)
        self._received = Counter(self.traffic.received)
        if sent.total() + received.total() >= LOGGED_TRAFFIC_BYTES:
            log_event(
                Event.LINK_TRAFFIC,
                sent=dict(sent),
                received=dict(received),
                backlog=self.traffic.backlog,
            )
