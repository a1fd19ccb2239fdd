"""Random schedule of the requests of a load run; does no I/O."""

from __future__ import annotations

import random
from itertools import accumulate, count
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.load_tool.plan import KindLoad

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodmast.load_tool.plan import CustomerLoad, KeyLoad, LoadPlan


@attrs.frozen
class PlannedRequest:
    """One request of a schedule."""

    number: int
    """Position in the schedule, from zero."""
    due: float
    """Scheduled start, in seconds after the start of the run."""
    kind: KindLoad
    """Kind of request."""
    customer: str
    """Name of the customer that sends the request."""
    key: str
    """Key that the request is routed by."""


def make_schedule(plan: LoadPlan) -> Iterator[PlannedRequest]:
    """Generate the requests of a run in the order of their starts.

    Arrivals are a Poisson process of the planned rate. The same plan gives
    the same schedule, since all draws depend on its seed.

    :param plan: Load plan of the run.
    :return: Requests that start within the planned duration.
    """
    rng = random.Random(plan.seed)
    sampler = _RequestSampler(plan, rng)
    due = rng.expovariate(plan.rate)
    for number in count():
        if due >= plan.duration:
            return
        yield sampler.make_request(number, due)
        due += rng.expovariate(plan.rate)


def zipf_weights(keys: KeyLoad) -> tuple[float, ...]:
    """Compute the cumulative weights of the keys under a Zipf distribution.

    :param keys: Number of keys and exponent of the distribution.
    :return: Cumulative weight per rank, the most frequent key first.
    """
    return tuple(
        accumulate(rank**-keys.zipf for rank in range(1, keys.count + 1))
    )


class _RequestSampler:
    """Random choice of the kind, customer and key of each request."""

    def __init__(self, plan: LoadPlan, rng: random.Random) -> None:
        self._plan = plan
        self._rng = rng
        self._ranks = range(plan.keys.count)
        self._key_weights = zipf_weights(plan.keys)
        self._kind_weights = _cumulative_weights(plan.kinds)
        self._customer_weights = _cumulative_weights(plan.customers)

    def make_request(self, number: int, due: float) -> PlannedRequest:
        plan = self._plan
        choices = self._rng.choices
        kind = choices(plan.kinds, cum_weights=self._kind_weights)[0]
        customer = choices(plan.customers, cum_weights=self._customer_weights)[
            0
        ]
        rank = choices(self._ranks, cum_weights=self._key_weights)[0]
        return PlannedRequest(
            number, due, kind, customer.name, plan.keys.name(rank)
        )


def _cumulative_weights(
    entries: tuple[KindLoad, ...] | tuple[CustomerLoad, ...],
) -> tuple[float, ...]:
    return tuple(accumulate(entry.weight for entry in entries))
