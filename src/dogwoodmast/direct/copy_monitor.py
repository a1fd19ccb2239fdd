"""Monitor of the age of an entry VM's copy of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.sync_activity import SyncActivity
from dogwoodmast.direct.sync_timing import SyncTiming
from dogwoodmast.events import Event, log_event
from dogwoodmast.ticks import sleep_until_tick

if TYPE_CHECKING:
    from dogwoodmast.direct.metrics import Metrics

CHECK_INTERVAL = 0.05
"""Time between two checks of the age, in seconds; short beside the bound, so
that a late copy is seen before most of the requests that are handled by it."""


@attrs.define(eq=False)
class CopyMonitor:
    """Task that logs when the copy becomes older than the bound, and why."""

    _directory: Directory
    _activity: SyncActivity
    _clock: Clock
    _timing: SyncTiming
    _greatest_age: float = 0
    _outdated: int = 0

    def add_gauges(self, metrics: Metrics) -> None:
        """Export what the monitor counts.

        :param metrics: Registry of the process.
        """
        metrics.add_gauge(
            'outdated_copies',
            'Times that the copy of the store was older than the bound.',
            lambda: self._outdated,
        )

    async def run(self) -> None:
        """Check the age until cancelled."""
        while True:
            self.check(self._clock.monotonic())
            await sleep_until_tick(CHECK_INTERVAL)

    def check(self, now: float) -> None:
        """Log if the copy has become too old, or is current again.

        :param now: Monotonic time, in seconds.
        """
        age = self._directory.age(now)
        if self._directory.revision and age > self._timing.bound:
            if not self._greatest_age:
                self._on_outdated(age, now)
            self._greatest_age = age
        elif self._greatest_age:
            log_event(
                Event.COPY_CURRENT,
                source=self._activity.source_name,
                greatest_age=round(self._greatest_age, 3),
                revision=self._directory.revision,
            )
            self._greatest_age = 0

    def _on_outdated(self, age: float, now: float) -> None:
        self._outdated += 1
        log_event(
            Event.COPY_OUTDATED,
            age=round(age, 3),
            source=self._activity.source_name,
            attempt_seconds=round(self._activity.attempt_time(now), 3),
            store_failures=self._activity.store_failures,
            revision=self._directory.revision,
        )
