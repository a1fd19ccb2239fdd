"""All targets that an entry VM sends requests to, with their lines."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.admission_queue import AdmissionQueue
from dogwoodmast.direct.connection_pool import ConnectionPool
from dogwoodmast.direct.target_choice import RoutingContext, choose_target
from dogwoodmast.direct.target_limiter import TargetLimiter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from anyio.abc import TaskGroup

    from dogwoodmast.direct.catalog import RouteTable, Target

CONNECTION_SHARE = 0.8
"""Part of a target's connections that entry VMs use together; the rest is
for the coordinator's calls and for VMs that have just started."""
FEWEST_CONNECTIONS = 2
"""Connections to a target that a VM may open in any case."""
SLOT_FACTOR = 2.0
"""Requests at a time that all VMs together may send to a target, over its
slots; more would wait there longer than answers are worth."""


@attrs.frozen(eq=False)
class Line:
    """Requests that wait for one target, or for any of a service."""

    limiters: tuple[TargetLimiter, ...]
    """Targets that the requests may go to."""
    waiting: AdmissionQueue
    """Requests that wait."""

    @property
    def rate(self) -> float:
        """Requests a second that the targets run for this VM."""
        return sum(limiter.rate for limiter in self.limiters)

    @property
    def pace(self) -> float:
        """Time of an answer at the fastest target, in seconds."""
        return min(limiter.pace for limiter in self.limiters)


@attrs.define(eq=False)
class TargetSet:
    """Gates, connections and lines of all targets."""

    zone: str
    """Availability zone of the own VM."""
    _clock: Clock
    _chance: random.Random = attrs.field(factory=random.Random)
    _gates: dict[tuple[str, int], TargetLimiter] = attrs.field(factory=dict)
    _pools: dict[tuple[str, int], ConnectionPool] = attrs.field(factory=dict)
    _lines: dict[str, AdmissionQueue] = attrs.field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no target is known."""
        return not self._gates

    @property
    def limiters(self) -> tuple[TargetLimiter, ...]:
        """Gates of all targets that may be sent requests."""
        return tuple(self._gates.values())

    def update(
        self,
        targets: Mapping[str, Target],
        table: RouteTable,
        vms: int,
        tasks: TaskGroup,
    ) -> None:
        """Take over which targets are up.

        :param targets: Listed targets by name.
        :param table: Configuration in force.
        :param vms: Entry VMs that are up.
        :param tasks: Task group that closes connections.
        """
        present = {
            (one.name, one.born): one
            for one in targets.values()
            if not one.leaving
        }
        for gone in self._gates.keys() - present.keys():
            self._gates.pop(gone)
            self._dismiss(f'target {gone[0]}')
            tasks.start_soon(self._pools.pop(gone).aclose)
        for life, target in present.items():
            if life not in self._gates:
                self._gates[life] = TargetLimiter(target)
                self._pools[life] = ConnectionPool(
                    target.name, target.address, self._clock
                )
            service = table.services.get(target.service)
            connections = service.max_connections if service else 0
            highest = highest_limit(target.slots, connections, vms)
            self._gates[life].cap_limit(highest)

    def service_line(self, service: str) -> Line | None:
        """Find the line of a service whose targets are all alike.

        :param service: Name of the service.
        :return: Its line, or ``None`` if no target is up.
        """
        limiters = tuple(
            limiter
            for limiter in self._gates.values()
            if limiter.target.service == service
        )
        return self._line(f'service {service}', limiters)

    def target_line(self, name: str, born: int) -> Line | None:
        """Find the line of one target.

        :param name: Name of the target.
        :param born: Start of its life; 0 if it does not matter.
        :return: Its line, or ``None`` if it is not up.
        """
        limiter = self._gates.get((name, born))
        limiters = () if limiter is None else (limiter,)
        return self._line(f'target {name}', limiters)

    def choose(
        self, line: Line, tried: frozenset[str], answer_size: float
    ) -> TargetLimiter | None:
        """Choose a target of a line with room.

        :param line: The line.
        :param tried: Names of targets that must not be chosen.
        :param answer_size: Usual size of the answer, in bytes.
        :return: The target, or ``None``.
        """
        limiters = [
            limiter
            for limiter in line.limiters
            if limiter.target.name not in tried
        ]
        now = self._clock.monotonic()
        context = RoutingContext(self.zone, answer_size)
        return choose_target(limiters, context, now, self._chance)

    def baseline_latencies(self, service: str) -> dict[str, float]:
        """Tell how fast the targets of a service answer.

        :param service: Name of the service.
        :return: Usual times in seconds by the names of targets.
        """
        return {
            limiter.target.name: limiter.usual
            for limiter in self._gates.values()
            if limiter.target.service == service and limiter.usual
        }

    def pool(self, limiter: TargetLimiter) -> ConnectionPool | None:
        """Find the connections to a target.

        :param limiter: Gate of the target.
        :return: Its connections, or ``None`` if it is no longer up.
        """
        return self._pools.get((limiter.target.name, limiter.target.born))

    def release(self, limiter: TargetLimiter) -> None:
        """Give a place at a target back, and to whoever waits for it.

        :param limiter: Gate of the target.
        """
        limiter.in_flight -= 1
        target = limiter.target
        if self.pool(limiter) is None:
            return
        for label in (f'target {target.name}', f'service {target.service}'):
            waiting = self._lines.get(label)
            if waiting is not None:
                waiting.admit_waiters(limiter)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.aclose()

    def _dismiss(self, label: str) -> None:
        waiting = self._lines.pop(label, None)
        if waiting is not None:
            waiting.wake_all()

    def _line(
        self, label: str, limiters: tuple[TargetLimiter, ...]
    ) -> Line | None:
        if not limiters:
            self._dismiss(label)
            return None
        waiting = self._lines.setdefault(label, AdmissionQueue())
        return Line(limiters, waiting)


def highest_limit(slots: int, connections: int, vms: int) -> float:
    """Bound the requests that one VM sends to a target at a time.

    :param slots: Requests that the target runs at a time.
    :param connections: Connections that it takes; 0 if it does not say.
    :param vms: Entry VMs that are up.
    :return: Requests at a time.
    """
    by_slots = max(float(FEWEST_CONNECTIONS), slots * SLOT_FACTOR / vms + 1)
    if not connections:
        return by_slots
    share = connections * CONNECTION_SHARE / vms
    return max(float(FEWEST_CONNECTIONS), min(by_slots, share))
