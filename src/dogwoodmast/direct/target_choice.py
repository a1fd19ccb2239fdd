"""Choice among the targets that may run a request.

The load that this answers: targets of one service differ in speed by a
factor of three, some turn slow or fail part of their requests, and bytes
between zones cost.  A request goes where it is expected to be answered
soonest, with a little chance so that the VMs do not all choose alike.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from dogwoodmast.direct.target_limiter import TargetLimiter


FAR_FACTOR = 1.25
"""Weight of a target in another zone; the way there costs a hundredth of an
answer's usual time, and the rest keeps traffic near."""
FAR_BYTES = 30_000
"""Size of an answer that adds one to the weight of another zone, in bytes;
the price of as many bytes between zones is about a quarter of an answer's
worth, so that large documents leave their zone only if it is crowded."""
SHUNNED_FACTOR = 8.0
"""Weight of a target that failed a moment ago."""
SPREAD = 0.3
"""Part by which chance changes a weight."""


@attrs.frozen
class RoutingContext:
    """Where an answer is to go."""

    zone: str
    """Availability zone of the own VM."""
    answer_size: float = 0
    """Usual size of the answer, in bytes."""


def choose_target(
    limiters: Iterable[TargetLimiter],
    context: RoutingContext,
    now: float,
    chance: Random,
) -> TargetLimiter | None:
    """Choose a target with room.

    :param limiters: Targets that may run the request.
    :param context: Where the answer is to go.
    :param now: Steady time in seconds.
    :param chance: Source of chance.
    :return: The target, or ``None`` if none has room.
    """
    best: TargetLimiter | None = None
    lowest = float('inf')
    for limiter in limiters:
        if not limiter.has_room:
            continue
        weight = _weight(limiter, context, now) * (1 + SPREAD * chance.random())
        if weight < lowest:
            best, lowest = limiter, weight
    return best


def _weight(
    limiter: TargetLimiter, context: RoutingContext, now: float
) -> float:
    weight = limiter.pace * (1 + limiter.in_flight / 2)
    if limiter.target.zone != context.zone:
        weight *= FAR_FACTOR + context.answer_size / FAR_BYTES
    if limiter.is_shunned(now):
        weight *= SHUNNED_FACTOR
    return weight
