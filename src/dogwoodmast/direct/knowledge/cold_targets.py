"""Targets that warm up, as one entry VM knows them.

Answers the load of targets that start, or grow cold, while requests arrive.
A listing says whether its target is cold, so that all VMs learn it from their
copies of the store and none has to be told.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.knowledge.warm_up import WarmupTolerance
from dogwoodmast.direct.named_limits import NO_LIMIT
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.catalog import RoutedService, RouteTable, Target

END_MARGIN = 1.0
"""Time by which a warm-up counts as longer than told, in seconds; listings are
written at intervals."""
TOLD_TIME = 2.5
"""Time for which a target counts as cold because another VM says so, in
seconds; by then the own copy of the store tells it."""
USAGE_LOG_INTERVAL = 1.0
"""Time between two log lines about the requests sent to a cold target, in
seconds."""
MAX_REMEMBERED = 4096
"""Number of incarnations of which the VM remembers when it first saw them."""


@attrs.frozen
class Warmup:
    """Warm-up of a target."""

    rate: float
    """Requests per second that it tolerates from all VMs together."""
    until: float
    """Monotonic time of the end, in seconds."""


@attrs.define(eq=False)
class ColdTargets:
    """Targets that warm up, with the rate that they tolerate."""

    tolerance: WarmupTolerance = WarmupTolerance()
    """By how much the requests of one second may exceed the rates."""
    _configured: dict[TargetKey, float] = attrs.field(factory=dict)
    _listed: dict[TargetKey, Warmup] = attrs.field(factory=dict)
    _stated: dict[TargetKey, Warmup] = attrs.field(factory=dict)
    _told: dict[TargetKey, Warmup] = attrs.field(factory=dict)
    _rates: dict[TargetKey, float] = attrs.field(factory=dict)
    _first_seen: dict[TargetKey, float] = attrs.field(factory=dict)
    _has_listed: bool = False
    _sent: Counter[TargetKey] = attrs.field(factory=Counter)

    @property
    def rates(self) -> dict[TargetKey, float]:
        """Tolerated rates of the targets that are cold, in requests/s."""
        return self._rates

    def rate(self, target: TargetKey) -> float:
        """Return the rate that a target tolerates.

        :param target: Target incarnation.
        :return: Requests per second from all VMs together, or ``NO_LIMIT`` if
            it is not cold.
        """
        return self._rates.get(target, NO_LIMIT)

    def own_rate(self, target: TargetKey) -> float:
        """Return the rate of a target that this VM knows itself to be cold.

        :param target: Target incarnation.
        :return: Requests per second, or 0 if the target is warm, or cold only
            by what other VMs say.
        """
        found = self._listed.get(target) or self._stated.get(target)
        return found.rate if found else 0

    def update(
        self,
        targets: Iterable[Target],
        table: RouteTable,
        confirmed_at: float,
        now: float,
    ) -> None:
        """Apply the lists of targets and services; end what is over.

        While the copy of the store is not confirmed, a target that it lists as
        cold counts as cold until its warm-up must have ended.

        :param targets: Listed targets.
        :param table: Configuration in force.
        :param confirmed_at: Monotonic time for which the lists were confirmed
            last, in seconds.
        :param now: Monotonic time, in seconds.
        """
        self._configured.clear()
        self._listed.clear()
        for target in targets:
            service = table.services.get(target.service)
            if service is None or not service.warmup_rate:
                continue
            self._configured[target.key] = service.warmup_rate
            until = self._find_end(target, service, confirmed_at, now)
            if now < until:
                warmup = Warmup(service.warmup_rate, until)
                self._listed[target.key] = warmup
        self._has_listed = self._has_listed or bool(self._configured)
        self._forget()
        self._stated = _unfinished(self._stated, now)
        self._told = _unfinished(self._told, now)
        self._apply()

    def on_stated(self, target: TargetKey, seconds: float, now: float) -> None:
        """Record how long a target says that it stays cold.

        :param target: Target incarnation.
        :param seconds: Remaining time of its warm-up, in seconds; 0 if it is
            warm.
        :param now: Monotonic time, in seconds.
        """
        rate = self._configured.get(target)
        if rate is None:
            return
        if seconds > 0:
            self._stated[target] = Warmup(rate, now + seconds)
        else:
            self._stated.pop(target, None)
        self._apply()

    def on_told(self, target: TargetKey, rate: float, now: float) -> None:
        """Record that another VM knows a target to be cold.

        :param target: Target incarnation.
        :param rate: Requests per second that it tolerates; 0 if the other VM
            does not know it to be cold.
        :param now: Monotonic time, in seconds.
        """
        if not rate > 0:
            return
        is_new = target not in self._told
        if is_new and len(self._told) >= MAX_REMEMBERED:
            return
        self._told[target] = Warmup(rate, now + TOLD_TIME)
        if is_new:
            self._apply()

    def on_sent(self, target: TargetKey) -> None:
        """Count a request that this VM sends.

        :param target: Target incarnation that it is sent to.
        """
        if target in self._rates:
            self._sent[target] += 1

    async def run(self) -> None:
        """Log the requests to cold targets once a second until cancelled."""
        while True:
            await anyio.sleep(USAGE_LOG_INTERVAL)
            sent = self._sent
            self._sent = Counter()
            for target, requests in sent.items():
                log_event(
                    Event.TARGET_WARMUP_USED, target=target[0], sent=requests
                )

    def _find_end(
        self,
        target: Target,
        service: RoutedService,
        confirmed_at: float,
        now: float,
    ) -> float:
        """Compute the monotonic time at which a warm-up ends."""
        if target.is_cold is None:
            # The listing does not tell; what appears later has just started.
            since = now if self._has_listed else -math.inf
            since = self._first_seen.setdefault(target.key, since)
        else:
            since = confirmed_at if target.is_cold else -math.inf
        return since + service.warmup_time + END_MARGIN

    def _forget(self) -> None:
        surplus = len(self._first_seen) - MAX_REMEMBERED
        if surplus > 0:
            unlisted = self._first_seen.keys() - self._configured.keys()
            for forgotten in tuple(unlisted)[:surplus]:
                self._first_seen.pop(forgotten)

    def _apply(self) -> None:
        previous = self._rates
        self._rates = {}
        for source in (self._listed, self._stated, self._told):
            for target, warmup in source.items():
                known = self._rates.get(target, NO_LIMIT)
                self._rates[target] = min(known, warmup.rate)
        for cold in self._rates.keys() - previous.keys():
            log_event(Event.TARGET_COLD, target=cold[0], rate=self._rates[cold])
        for warm in previous.keys() - self._rates.keys():
            log_event(Event.TARGET_WARM, target=warm[0])


def _unfinished(
    warmups: dict[TargetKey, Warmup], now: float
) -> dict[TargetKey, Warmup]:
    return {
        target: warmup
        for target, warmup in warmups.items()
        if now < warmup.until
    }
