"""Probes of connections to targets, while some fail.

A probe opens a connection, which is kept for requests.  After a first failure
other targets are probed at once, since only they show whether the VM itself is
cut off; targets that fail are probed until they can be connected to again, so
that no request has to find out.
"""

from __future__ import annotations

import random
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.target_set import TargetSet
from dogwoodmast.errors import ConnectFailed
from dogwoodmast.ticks import sleep_until_tick

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dogwoodmast.direct.reach import ServiceReach

CHECK_INTERVAL = 0.05
"""Pause between two checks whether probes are due, in seconds."""
CUT_PROBE_INTERVAL = 0.2
"""Time between two probes of a service that the VM is cut off from, in
seconds."""
FAILING_PROBE_INTERVAL = 0.5
"""Time between two probes of a target that fails, in seconds."""
SUSPICION_PROBES = 2
"""Least number of targets that are probed at once after another one failed.
As many as have failed in a row are probed, so that few are while others can be
connected to, and a cut from hundreds of targets is known within seconds."""


@attrs.define(eq=False)
class TargetProber:
    """Task that probes targets."""

    _targets: TargetSet
    _clock: Clock
    _random: random.Random = attrs.field(factory=random.Random)
    _probed_at: dict[TargetKey, float] = attrs.field(factory=dict)
    _cut_probed_at: dict[str, float] = attrs.field(factory=dict)
    _running: set[TargetKey] = attrs.field(factory=set)

    async def run(self) -> None:
        """Probe targets until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await sleep_until_tick(CHECK_INTERVAL)
                for target in self.due_probes(self._clock.monotonic()):
                    self._start(tasks, target)

    def due_probes(self, now: float) -> list[TargetKey]:
        """Return the targets to probe now.

        :param now: Monotonic time, in seconds.
        :return: Targets, without those that are being probed.
        """
        reach = self._targets.reach
        for gone in self._probed_at.keys() - reach.failing:
            self._probed_at.pop(gone)
        due: list[TargetKey] = []
        cut: set[TargetKey] = set()
        for service in reach.services:
            if service.is_cut:
                cut |= service.listed
                due.extend(self._due_while_cut(service, now))
            elif service.is_suspicious:
                count = max(SUSPICION_PROBES, service.failed_in_row)
                due.extend(self._draw(service.untested, count))
        due.extend(self._due_failing(reach.failing - cut, now))
        return [one for one in due if one not in self._running]

    def _due_failing(
        self, failing: frozenset[TargetKey], now: float
    ) -> list[TargetKey]:
        return [
            target
            for target in failing
            if now
            >= self._probed_at.setdefault(target, now) + FAILING_PROBE_INTERVAL
        ]

    def _due_while_cut(
        self, service: ServiceReach, now: float
    ) -> list[TargetKey]:
        probed_at = self._cut_probed_at.get(service.service, now)
        self._cut_probed_at.setdefault(service.service, now)
        if now < probed_at + CUT_PROBE_INTERVAL:
            return []
        self._cut_probed_at[service.service] = now
        return self._draw(service.failing, 1)

    def _draw(
        self, targets: frozenset[TargetKey], count: int
    ) -> list[TargetKey]:
        running = len(self._running & targets)
        idle = sorted(targets - self._running)
        wanted = min(len(idle), max(count - running, 0))
        return self._random.sample(idle, wanted)

    def on_started(self, target: TargetKey) -> None:
        """Record that a probe was started.

        :param target: Target that is probed.
        """
        self._running.add(target)
        self._probed_at[target] = self._clock.monotonic()

    def on_ended(self, target: TargetKey) -> None:
        """Record that a probe has ended.

        :param target: Target that was probed.
        """
        self._running.discard(target)

    def _start(self, tasks: TaskGroup, target: TargetKey) -> None:
        self.on_started(target)
        tasks.start_soon(self._probe, target)

    async def _probe(self, target: TargetKey) -> None:
        pool = self._targets.find_pool(target)
        try:
            if pool is not None:
                # The pool tells the tracker of reach how the probe ended.
                with suppress(ConnectFailed):
                    await pool.release(await pool.connect())
        finally:
            self.on_ended(target)
