"""Distribution of the permits for targets with a rate limit, or a warm-up.

For each target one entry VM, its keeper, counts the requests of all VMs in a
token bucket.  The keeper follows from the list of VMs, so that none is
elected; the next VM in order stands in for it with a part of the rate.  How
the sum stays within the limit whatever VMs believe is worked out in
``docs/design-platform.md``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.knowledge.cold_targets import ColdTargets
from dogwoodmast.direct.knowledge.warm_up import PermitRate, warmup_permits
from dogwoodmast.direct.messages import RateReply, RateRequest
from dogwoodmast.direct.named_limits import (
    NO_LIMIT,
    NamedLimit,
    NamedLimits,
    has_changed_much,
)
from dogwoodmast.direct.rate_bucket import RateBucket
from dogwoodmast.request_id import hash_parts

if TYPE_CHECKING:
    from dogwoodmast.link import Link
    from dogwoodmast.message_handlers import MessageHandlers

KEEPERS = 2
"""Number of VMs that give permits for a target: its keeper and a stand-in."""
STAND_IN_FRACTION = 0.2
"""Fraction of a limit that a stand-in gives, in addition to the keeper."""
SETTLING_TIME = 3.0
"""Time for which a VM has to have been first in order before it gives the whole
rate, in seconds; lists of VMs differ for less than that."""
PERMIT_LIFETIME = 0.4
"""Time after a permit was asked for in which the request has to be sent, in
seconds."""
MIN_RATE = 0.25
"""Smallest rate of permits, in requests per second; without any request a VM
would not learn that a limit has ended."""
MIN_BUCKET_RATE = 0.01
"""Smallest rate of a bucket, in requests per second."""
MIN_BURST = 2.0
"""Permits that a keeper of the smallest rate gives at once."""
BURST = 3.5
"""Permits that a keeper gives at once beyond ``BURST_TIME`` times its rate."""
BURST_RISE_TIME = 3.0
"""Time by which small rates raise the burst from ``MIN_BURST`` to ``BURST``, in
seconds."""
STAND_IN_BURST = 1.0
"""Permits that a stand-in gives at once beyond ``BURST_TIME`` times its
rate."""
BURST_TIME = 0.2
"""Part of the burst that grows with the rate, in seconds."""
REFUSALS_PER_SECOND = 200.0
"""Refused requests per second with which all VMs together may load the keeper
of a target."""
MAX_PAUSE_FRACTION = 0.5
"""Longest pause of a refused VM, as a fraction of the time that fills the
bucket; permits are wasted while it is full."""
ANNOUNCEMENT_INTERVAL = 0.5
"""Shortest time between two announcements of changed rates of one target, in
seconds."""
MAX_BUCKETS = 1024
"""Number of targets for which a VM keeps buckets."""


@attrs.frozen
class Announcement:
    """Rate that all VMs were told last."""

    rate: float
    """Rate in requests per second, or ``NO_LIMIT``."""
    at: float
    """Monotonic time of the announcement, in seconds."""

    def is_outdated(self, rate: float, now: float) -> bool:
        """Tell whether a new rate has to be announced.

        :param rate: Rate that is known now.
        :param now: Monotonic time, in seconds.
        :return: Whether a limit has begun or ended, or the rate has changed
            much since the last announcement.
        """
        has_kind_changed = (rate == NO_LIMIT) != (self.rate == NO_LIMIT)
        return has_kind_changed or (
            now >= self.at + ANNOUNCEMENT_INTERVAL
            and has_changed_much(self.rate, rate)
        )


def rank_keepers(target: TargetKey, vms: Collection[str]) -> list[str]:
    """Order the VMs by how they are preferred as the keeper of a target.

    :param target: Target incarnation.
    :param vms: Names of VMs.
    :return: The same names; all VMs with the same list get the same order,
        and a VM that joins or leaves does not change that of the others.
    """
    name = target[0].encode()
    return sorted(vms, key=lambda vm: hash_parts((name, vm.encode()), b''))


@attrs.define(eq=False)
class RateKeeper:
    """Gives permits to all VMs for the targets that this VM is keeper of."""

    _vm: str
    _limits: NamedLimits
    _list_vms: Callable[[], Collection[str]]
    _is_current: Callable[[], bool]
    _clock: Clock
    _cold: ColdTargets = attrs.field(factory=ColdTargets)
    _buckets: dict[TargetKey, RateBucket] = attrs.field(factory=dict)
    _history: deque[tuple[float, frozenset[str]]] = attrs.field(factory=deque)
    _announced: dict[TargetKey, Announcement] = attrs.field(factory=dict)
    _to_announce: set[TargetKey] = attrs.field(factory=set)

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handler for requests of other VMs.

        :param handlers: Message handlers of this entry VM's links.
        """
        handlers.register_direct(RateRequest, self.on_message)

    def on_message(self, _link: Link, request: RateRequest) -> RateReply:
        """Answer another VM's request for a permit.

        :param request: Request of the other VM.
        :return: Reply to it.
        """
        return self.on_request(request)

    def on_vms_changed(self) -> None:
        """Note the current list of VMs, since it may have changed.

        VMs that have joined are told of the limits.
        """
        now = self._clock.monotonic()
        vms = frozenset(self._list_vms())
        if not self._history or self._history[-1][1] != vms:
            if self._history and vms - self._history[-1][1]:
                self._announced.clear()
            self._history.append((now, vms))
        # Of the lists before the settling time, only the last one matters.
        while len(self._history) > 1 and (
            self._history[1][0] <= now - SETTLING_TIME
        ):
            self._history.popleft()

    def on_request(self, request: RateRequest) -> RateReply:
        """Decide on a request for a permit.

        :param request: Request of this VM or another one.
        :return: Reply to it.
        """
        now = self._clock.monotonic()
        target = (request.target, request.born)
        stated = NamedLimit(
            request.rate,
            now - request.oldest_age,
            now - request.newest_age,
        )
        self._limits.on_stated(target, stated)
        self._cold.on_told(target, request.warmup_rate, now)
        self.on_vms_changed()
        self._announce(target, now)
        limit = self._limits.get(target)
        if request.is_report:
            return _make_reply(limit, now, is_permitted=False)
        is_cold = self._cold.rate(target) < NO_LIMIT
        if limit.rate == NO_LIMIT and not is_cold:
            return _make_reply(limit, now, is_permitted=True)
        bucket = self._adjusted_bucket(target, limit.rate, now)
        if bucket is None:
            return _make_reply(limit, now, is_permitted=False)
        if bucket.try_take(request.priority, now):
            return _make_reply(limit, now, is_permitted=True)
        return attrs.evolve(
            _make_reply(limit, now, is_permitted=False),
            wait=bucket.schedule_return(request.priority, now),
            pause=self._pause(bucket, request.priority, now),
        )

    def _pause(self, bucket: RateBucket, priority: int, now: float) -> float:
        vms = len(self._history[-1][1])
        return min(
            max(bucket.time_to_token(priority, now), vms / REFUSALS_PER_SECOND),
            MAX_PAUSE_FRACTION * bucket.burst / bucket.rate,
        )

    def drain_announcements(self) -> list[TargetKey]:
        """Return the targets of whose limits all VMs have to be told."""
        found = list(self._to_announce)
        self._to_announce.clear()
        return found

    def _announce(self, target: TargetKey, now: float) -> None:
        rate = self._limits.rate(target)
        announced = self._announced.get(target, Announcement(NO_LIMIT, -1))
        if self._rank(target, self._history[-1][1]) != 0 or not (
            announced.is_outdated(rate, now)
        ):
            return
        self._announced[target] = Announcement(rate, now)
        self._to_announce.add(target)

    def _adjusted_bucket(
        self, target: TargetKey, rate: float, now: float
    ) -> RateBucket | None:
        """Return the bucket of a target, at the rate that this VM may give.

        ``None`` if this VM is neither its keeper nor the stand-in, or may not
        permit a single request.
        """
        rank = self._rank(target, self._history[-1][1])
        if rank is None or rank >= KEEPERS:
            return None
        is_keeper = rank == 0 and self._is_settled(target, now)
        permits = self._permits(target, rate, is_keeper=is_keeper)
        if permits.burst < 1:
            return None
        allowed = max(permits.rate, MIN_BUCKET_RATE)
        if target not in self._buckets:
            if len(self._buckets) >= MAX_BUCKETS:
                self._buckets.pop(next(iter(self._buckets)))
            self._buckets[target] = RateBucket(
                allowed, permits.burst, filled_at=now
            )
        self._buckets[target].adjust(allowed, permits.burst, now)
        return self._buckets[target]

    def _permits(
        self, target: TargetKey, rate: float, *, is_keeper: bool
    ) -> PermitRate:
        """Combine the permits by a target's limit and by its warm-up."""
        permits = _named_permits(rate, is_keeper=is_keeper)
        tolerated = self._cold.rate(target)
        if tolerated == NO_LIMIT:
            return permits
        return permits.lower(
            warmup_permits(
                tolerated,
                self._cold.tolerance,
                PERMIT_LIFETIME,
                is_keeper=is_keeper,
            )
        )

    def _is_settled(self, target: TargetKey, now: float) -> bool:
        """Tell whether this VM has been first in order for long enough."""
        oldest, _ = self._history[0]
        return (
            self._is_current()
            and oldest <= now - SETTLING_TIME
            and all(self._rank(target, vms) == 0 for _, vms in self._history)
        )

    def _rank(self, target: TargetKey, vms: Collection[str]) -> int | None:
        if self._vm not in vms:
            return None
        return rank_keepers(target, vms).index(self._vm)


def _named_permits(rate: float, *, is_keeper: bool) -> PermitRate:
    fraction = 1.0 if is_keeper else STAND_IN_FRACTION
    allowed = max(rate, MIN_RATE) * fraction
    burst = (
        min(BURST, MIN_BURST + BURST_RISE_TIME * rate)
        if is_keeper
        else STAND_IN_BURST
    )
    return PermitRate(allowed, burst + BURST_TIME * allowed)


def _make_reply(
    limit: NamedLimit, now: float, *, is_permitted: bool
) -> RateReply:
    return RateReply(
        is_permitted, limit.rate, now - limit.since, now - limit.until
    )
