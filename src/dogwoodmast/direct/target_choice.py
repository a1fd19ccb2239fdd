"""Load balancing among the targets that may run a request.

Targets of one service differ in speed by a factor of three, some become slow
or fail part of their requests, and traffic between availability zones is
charged by the byte.  A request goes to the target with the lowest cost, which
is its expected response time with a surcharge for other zones and for recent
failures.  Random jitter keeps the VMs from all choosing the same target.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from dogwoodmast.direct.target_limiter import TargetLimiter


OTHER_ZONE_FACTOR = 1.25
"""Cost factor of a target in another availability zone.  The round trip alone
adds about 1 % to the usual response time; the rest is there to keep traffic
within the zone."""
OTHER_ZONE_BYTES = 30_000
"""Response size that adds 1 to the cost factor of another zone, in bytes.
Transferring that many bytes between zones costs about a quarter of what a
response is worth, so large documents cross zones only if the targets of the
own zone are overloaded."""
PENALTY_FACTOR = 8.0
"""Cost factor of a target in the penalty period after a failure."""
COST_JITTER = 0.3
"""Largest random increase of a cost, as a fraction of the cost."""


@attrs.frozen
class RoutingContext:
    """Facts about a request that affect the cost of each target."""

    zone: str
    """Availability zone of the own VM, which receives the response."""
    response_size: float = 0
    """Expected size of the response, in bytes."""


def choose_target(
    limiters: Iterable[TargetLimiter],
    context: RoutingContext,
    now: float,
    rng: Random,
) -> TargetLimiter | None:
    """Choose the cheapest target with a free slot.

    :param limiters: Limiters of the targets that may run the request.
    :param context: Zone of the VM and expected size of the response.
    :param now: Monotonic time, in seconds.
    :param rng: Random number generator for the jitter.
    :return: Limiter of the chosen target, or ``None`` if all are full.
    """
    best: TargetLimiter | None = None
    lowest_cost = float('inf')
    free = [limiter for limiter in limiters if limiter.has_capacity]
    # A target that has not responded yet is expected to be no slower than the
    # fastest one, since it would stay unknown otherwise.
    fastest = min((one.mean_latency for one in free), default=0)
    for limiter in free:
        expected = limiter.mean_latency if limiter.is_known else fastest
        cost = expected * _cost_factor(limiter, context, now)
        cost *= 1 + COST_JITTER * rng.random()
        if cost < lowest_cost:
            best, lowest_cost = limiter, cost
    return best


def _cost_factor(
    limiter: TargetLimiter, context: RoutingContext, now: float
) -> float:
    factor = 1 + limiter.in_flight / 2
    if limiter.target.zone != context.zone:
        factor *= OTHER_ZONE_FACTOR + context.response_size / OTHER_ZONE_BYTES
    if limiter.is_penalized(now):
        factor *= PENALTY_FACTOR
    return factor
