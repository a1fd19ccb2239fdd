"""Placement policy that balances measured load within a budget of moves.

The module does no I/O and reads no clock; callers pass in the time.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.service_balancer import ServiceBalancer
from dogwoodmast.service_loads import collect_loads

if TYPE_CHECKING:
    from dogwoodmast.placement import PlacementChange, PlacementInput

MIN_INTERVAL = 1.0
"""Minimum interval between plans while only the load changes, in seconds."""
PARTITIONS_PER_SECOND = 4096
"""Maximum rate at which partitions are planned while only the load changes,
in partitions of the zone per second.  Larger zones are planned less often, to
limit the processor time of planning."""


@attrs.frozen
class _Basis:
    """Inputs of a plan other than the load.

    A change of any of them makes the next plan due at once.
    """

    record: int
    configuration: int
    excluded: frozenset[str]
    partitions: int

    @property
    def interval(self) -> float:
        """Minimum interval between plans on this basis, in seconds."""
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
    """Deterministic planner of one zone, with one balancer per service."""

    _balancers: dict[str, ServiceBalancer] = attrs.field(factory=dict)
    _no_change_basis: _Basis | None = None
    """Basis of the last plan, or ``None`` if that plan chose changes."""
    _planned_at: float = -math.inf

    def plan(
        self, inputs: PlacementInput, now: float
    ) -> tuple[PlacementChange, ...]:
        """Choose the changes to apply to the record now.

        It may be called at any rate: if only the load has changed since a
        plan without changes, it returns at once until the planning interval
        has passed.

        :param inputs: Inputs of the decision.
        :param now: Monotonic time in seconds.
        :return: Changes; no two of them affect the same partition.
        """
        basis = _basis(inputs)
        interval_elapsed = now - self._planned_at >= basis.interval
        if basis == self._no_change_basis and not interval_elapsed:
            return ()
        changes = self._plan(inputs, now)
        self._planned_at = now
        self._no_change_basis = None if changes else basis
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
