"""Limiters, connections and admission queues for all targets of an entry VM."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.admission_queue import AdmissionQueue
from dogwoodmast.direct.connection_pool import ConnectionPool
from dogwoodmast.direct.reach import ReachTracker
from dogwoodmast.direct.room.room_gate import needs_shared_room
from dogwoodmast.direct.statement_book import StatementBook
from dogwoodmast.direct.target_choice import RoutingContext, choose_target
from dogwoodmast.direct.target_limiter import TargetLimiter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from anyio.abc import TaskGroup

    from dogwoodmast.direct.catalog import RouteTable, Target, TargetKey

CONNECTION_SHARE = 0.8
"""Fraction of a target's connections that all entry VMs together use for
requests; the rest is for the coordinator's calls and for VMs that have just
started."""
MIN_CONNECTIONS = 2
"""Connections to a target that each VM may use in any case; each carries one
request at a time."""
SLOT_OVERCOMMIT = 2.0
"""Concurrent requests that all VMs together may send to a target, as a multiple
of its slots; more would queue at the target for longer than their responses
are worth."""
STATIC_SHARE = 1.0
"""Concurrent requests that a VM may send to a target whose room is shared while
no keeper of the room answers."""


@attrs.frozen(eq=False)
class Candidates:
    """Targets that may run a request, with the queue for them."""

    limiters: tuple[TargetLimiter, ...]
    """Limiters of one target, or of all targets of a service."""
    queue: AdmissionQueue
    """Requests that wait for a slot at any of these targets."""

    def without(self, tried: frozenset[str]) -> Candidates:
        """Return the candidates that a request has not tried.

        :param tried: Names of targets.
        :return: Other candidates, with the same queue.
        """
        if not tried:
            return self
        return Candidates(
            tuple(
                limiter
                for limiter in self.limiters
                if limiter.target.name not in tried
            ),
            self.queue,
        )

    def admitting(self, priority: int, now: float) -> Candidates:
        """Return the candidates that admit a request.

        :param priority: Priority of a request; 0 is the highest.
        :param now: Monotonic time, in seconds.
        :return: These candidates, with the same queue.
        """
        return Candidates(
            tuple(
                limiter
                for limiter in self.limiters
                if limiter.admits(priority, now)
            ),
            self.queue,
        )

    def within_reach(self, reach: ReachTracker) -> Candidates:
        """Return the candidates that this VM reaches.

        :param reach: Which targets new connections reach.
        :return: These candidates, with the same queue.
        """
        if not reach.has_failing:
            return self
        return Candidates(
            tuple(
                limiter
                for limiter in self.limiters
                if reach.can_reach(limiter.target.key)
            ),
            self.queue,
        )

    @property
    def service_rate(self) -> float:
        """Estimated throughput of all targets for this VM, in requests/s."""
        return sum(limiter.service_rate for limiter in self.limiters)

    @property
    def mean_latency(self) -> float:
        """Mean latency of the fastest target, in seconds."""
        return min(limiter.mean_latency for limiter in self.limiters)


@attrs.define(eq=False)
class TargetSet:
    """Targets that the VM may send requests to, with their local state.

    Targets are identified by name and ``born``, so that a restarted target
    starts with fresh state.
    """

    zone: str
    """Availability zone of the own VM."""
    _clock: Clock
    statements: StatementBook = attrs.field(factory=StatementBook)
    """What targets have said of themselves."""
    reach: ReachTracker = attrs.field(factory=ReachTracker)
    """Which targets new connections reach."""
    _random: random.Random = attrs.field(factory=random.Random)
    _limiters: dict[tuple[str, int], TargetLimiter] = attrs.field(factory=dict)
    _pools: dict[tuple[str, int], ConnectionPool] = attrs.field(factory=dict)
    _queues: dict[str, AdmissionQueue] = attrs.field(factory=dict)
    _unused_pools: list[ConnectionPool] = attrs.field(factory=list)
    _by_service: dict[str, tuple[TargetLimiter, ...]] = attrs.field(
        factory=dict
    )
    _applied: tuple[object, ...] = ()

    def __attrs_post_init__(self) -> None:
        """Remove targets as soon as they say that they leave."""
        self.statements.subscribe(self._remove)

    @property
    def is_empty(self) -> bool:
        """Whether there is no target to send requests to."""
        return not self._limiters

    @property
    def limiters(self) -> tuple[TargetLimiter, ...]:
        """Limiters of all targets that may be sent requests."""
        return tuple(self._limiters.values())

    def update(
        self,
        targets: Mapping[str, Target],
        table: RouteTable,
        vm_count: int,
        tasks: TaskGroup,
    ) -> None:
        """Apply a new list of targets.

        Targets that are leaving count as removed.  Requests that are queued
        for a removed target have to look for candidates again.

        :param targets: Listed targets by name.
        :param table: Configuration in force.
        :param vm_count: Number of entry VMs that are up.
        :param tasks: Task group in which idle connections are closed.
        """
        lists = (dict(targets), table, vm_count)
        if lists == self._applied and not self._unused_pools:
            return
        self._applied = lists
        listed = {
            one.key: one
            for one in targets.values()
            if not one.leaving and not self.statements.is_leaving(one.key)
        }
        self.reach.update(listed.values())
        for removed in self._limiters.keys() - listed.keys():
            self._remove(removed)
        while self._unused_pools:
            tasks.start_soon(self._unused_pools.pop().aclose)
        for key, target in listed.items():
            if key not in self._limiters:
                self._by_service.pop(target.service, None)
                self._limiters[key] = TargetLimiter(
                    target, self.statements.of(key)
                )
                self._pools[key] = ConnectionPool(
                    target.name,
                    target.address,
                    self._clock,
                    functools.partial(self._on_connect, key),
                )
            # A listing may change while the target runs, such as its slots.
            self._limiters[key].target = target
            service = table.services.get(target.service)
            connections = service.max_connections if service else 0
            max_limit = max_concurrency(target.slots, connections, vm_count)
            if needs_shared_room(target.slots, vm_count):
                max_limit = STATIC_SHARE
            self._limiters[key].cap_limit(max_limit)

    def has_any(self, service: str) -> bool:
        """Tell whether a service has targets that may be sent requests.

        :param service: Name of the service.
        :return: Whether it has.
        """
        return bool(self._of_service(service))

    def service_candidates(self, service: str) -> Candidates | None:
        """Return the targets of a service, for requests without a key.

        :param service: Name of the service.
        :return: Its targets, or ``None`` if none is up.
        """
        return self._make_candidates(
            f'service {service}', self._of_service(service)
        )

    def target_candidates(self, name: str, born: int) -> Candidates | None:
        """Return a single target, for requests whose key it holds.

        :param name: Name of the target.
        :param born: Incarnation of the target that holds the key.
        :return: The target, or ``None`` if that incarnation is not up.
        """
        limiter = self._limiters.get((name, born))
        limiters = () if limiter is None else (limiter,)
        return self._make_candidates(f'target {name}', limiters)

    def choose(
        self, candidates: Candidates, response_size: float
    ) -> TargetLimiter | None:
        """Choose a candidate with a free slot.

        :param candidates: Targets to choose from.
        :param response_size: Expected size of the response, in bytes.
        :return: Limiter of the target, or ``None`` if none has a free slot.
        """
        now = self._clock.monotonic()
        context = RoutingContext(self.zone, response_size)
        return choose_target(candidates.limiters, context, now, self._random)

    def baseline_latencies(self, service: str) -> dict[str, float]:
        """Return the baseline latencies of a service's targets.

        :param service: Name of the service.
        :return: Baseline latencies in seconds by target name, without targets
            that have not responded yet.
        """
        return {
            limiter.target.name: limiter.baseline_latency
            for limiter in self._of_service(service)
            if limiter.baseline_latency
        }

    def zones(self, candidates: Candidates) -> tuple[str, ...]:
        """List the availability zones of targets, the own one first.

        :param candidates: Targets to choose from.
        :return: Zones without repetition.
        """
        found = {limiter.target.zone for limiter in candidates.limiters}
        others = sorted(
            found - {self.zone}, key=lambda _: self._random.random()
        )
        return (*(found & {self.zone}), *others)

    def names_outside(
        self, service: str, candidates: Candidates
    ) -> frozenset[str]:
        """List the targets of a service that are no candidates.

        :param service: Name of the service.
        :param candidates: Targets to choose from.
        :return: Names of the other targets.
        """
        known = self._of_service(service)
        if candidates.limiters is known:
            return frozenset()
        chosen = {limiter.target.name for limiter in candidates.limiters}
        return frozenset(
            limiter.target.name
            for limiter in known
            if limiter.target.name not in chosen
        )

    def find_limiter(self, target: TargetKey) -> TargetLimiter | None:
        """Return the limiter of a target by its key.

        :param target: Target incarnation.
        :return: Its limiter, or ``None`` if the target was removed.
        """
        return self._limiters.get(target)

    def list_connected(self, candidates: Candidates) -> tuple[str, ...]:
        """List the targets to which there is an idle connection.

        :param candidates: Targets to choose from.
        :return: Names of targets.
        """
        return tuple(
            limiter.target.name
            for limiter in candidates.limiters
            if self._pools[limiter.target.key].has_idle
        )

    def find_pool(self, target: TargetKey) -> ConnectionPool | None:
        """Return the connection pool of a target by its key.

        :param target: Target incarnation.
        :return: Its pool, or ``None`` if the target was removed.
        """
        return self._pools.get(target)

    def pool(self, limiter: TargetLimiter) -> ConnectionPool | None:
        """Return the connection pool of a target.

        :param limiter: Limiter of the target.
        :return: Its pool, or ``None`` if the target was removed.
        """
        return self._pools.get((limiter.target.name, limiter.target.born))

    def release(self, limiter: TargetLimiter) -> None:
        """Release a slot at a target and admit waiting requests to it.

        Requests that need this target, for their key, are admitted before
        those that may run at any target of the service.

        :param limiter: Limiter of the target.
        """
        limiter.in_flight -= 1
        target = limiter.target
        if self._limiters.get(target.key) is not limiter:
            # Removed, and listed anew if its zone was evacuated meanwhile.
            return
        now = self._clock.monotonic()
        for label, limiters in (
            (f'target {target.name}', (limiter,)),
            (f'service {target.service}', self._of_service(target.service)),
        ):
            queue = self._queues.get(label)
            if queue is not None and len(queue):
                queue.admit_waiters(limiter, now)
                queue.wake_refused(limiters, now)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for pool in (*self._pools.values(), *self._unused_pools):
            await pool.aclose()

    def _of_service(self, service: str) -> tuple[TargetLimiter, ...]:
        found = self._by_service.get(service)
        if found is None:
            found = tuple(
                limiter
                for limiter in self._limiters.values()
                if limiter.target.service == service
            )
            self._by_service[service] = found
        return found

    def _remove(self, target: TargetKey) -> None:
        """Remove a target; queued requests look for candidates again."""
        limiter = self._limiters.pop(target, None)
        if limiter is None:
            return
        self._by_service.pop(limiter.target.service, None)
        self._unused_pools.append(self._pools.pop(target))
        self._drop_queue(f'target {target[0]}')
        service = limiter.target.service
        if not self._of_service(service):
            self._drop_queue(f'service {service}')

    def _on_connect(self, target: TargetKey, is_open: bool) -> None:
        self.reach.on_connect(target, is_open=is_open)

    def _drop_queue(self, label: str) -> None:
        queue = self._queues.pop(label, None)
        if queue is not None:
            queue.wake_all()

    def _make_candidates(
        self, label: str, limiters: tuple[TargetLimiter, ...]
    ) -> Candidates | None:
        if not limiters:
            self._drop_queue(label)
            return None
        queue = self._queues.setdefault(label, AdmissionQueue())
        return Candidates(limiters, queue)


def max_concurrency(slots: int, connections: int, vm_count: int) -> float:
    """Compute the upper bound of one VM's concurrency limit for a target.

    :param slots: Requests that the target runs at a time.
    :param connections: Connections that a target accepts from all VMs
        together; 0 if the configuration does not limit them.
    :param vm_count: Number of entry VMs that are up.
    :return: Concurrent requests; at least ``MIN_CONNECTIONS``.
    """
    by_slots = max(
        float(MIN_CONNECTIONS), slots * SLOT_OVERCOMMIT / vm_count + 1
    )
    if not connections:
        return by_slots
    share = connections * CONNECTION_SHARE / vm_count
    return max(float(MIN_CONNECTIONS), min(by_slots, share))
