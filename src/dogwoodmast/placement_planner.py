"""Planner that evens measured load out within a budget of moves."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.service_balancer import ServiceBalancer
from dogwoodmast.service_loads import collect_loads

if TYPE_CHECKING:
    from dogwoodmast.placement import PlacementChange, PlacementInput

MIN_INTERVAL = 1.0
"""Shortest time between plans while only the load changes, in seconds."""
PARTITIONS_PER_SECOND = 4096
"""Partitions of a zone that are looked at in a second while only the load
changes."""


@attrs.frozen
class _Basis:
    record: int
    configuration: int
    excluded: frozenset[str]
    partitions: int

    @property
    def interval(self) -> float:
        return max(MIN_INTERVAL, self.partitions / PARTITIONS_PER_SECOND)


def _basis(inputs: PlacementInput) -> _Basis:
    return _Basis(
        record=inputs.record.version,
        configuration=inputs.configuration.version,
        excluded=inputs.excluded,
        partitions=sum(map(len, inputs.partitions.values())),
    )


@attrs.define(eq=False)
class BalancingPlanner:
    """Planner of one zone, deterministic and free of I/O and clocks."""

    _balancers: dict[str, ServiceBalancer] = attrs.field(factory=dict)
    _settled: _Basis | None = None
    _planned_at: float = -math.inf

    def plan(
        self, inputs: PlacementInput, now: float
    ) -> tuple[PlacementChange, ...]:
        """Choose the changes to make now.

        It may be called at any rate: as long as only the load changes, it
        looks at it now and then.

        :param inputs: What is known.
        :param now: Monotonic time in seconds.
        :return: Changes, none of them in conflict.
        """
        basis = _basis(inputs)
        rested = now - self._planned_at >= basis.interval
        if basis == self._settled and not rested:
            return ()
        changes = self._plan(inputs, now)
        self._planned_at = now
        self._settled = None if changes else basis
        return changes

    def _plan(
        self, inputs: PlacementInput, now: float
    ) -> tuple[PlacementChange, ...]:
        changes: list[PlacementChange] = []
        for loads in collect_loads(inputs):
            balancer = self._balancers.setdefault(
                loads.service.name, ServiceBalancer()
            )
            changes.extend(balancer.plan(loads, now))
        return tuple(changes)
