"""Balancer of one service's partitions over its targets in one zone."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.move_budget import MoveBudget
from dogwoodmast.placement_draft import PlacementDraft
from dogwoodmast.placement_policy import PlacementPolicy, policy_for

if TYPE_CHECKING:
    from dogwoodmast.placement import PlacementChange
    from dogwoodmast.service_loads import ServiceLoads
    from dogwoodmast.target_loads import TargetLoads


@attrs.define(eq=False)
class ServiceBalancer:
    """Remembers what a service's changes depend on besides its load."""

    _budget: MoveBudget = attrs.field(factory=MoveBudget)
    _uneven_since: float = math.inf
    _evening: bool = False
    _moved_at: dict[int, float] = attrs.field(factory=dict)
    _cold_since: dict[str, float] = attrs.field(factory=dict)

    def plan(self, loads: ServiceLoads, now: float) -> list[PlacementChange]:
        """Choose the changes to make now.

        :param loads: The service's load.
        :param now: Monotonic time in seconds.
        :return: Changes, none of them in conflict.
        """
        policy = policy_for(loads.service.prefer)
        self._forget(policy, now)
        draft = PlacementDraft(loads)
        draft.assign_unowned()
        urgent = draft.targets.highest >= policy.overload
        per_minute = policy.moves(len(loads.partitions), urgent=urgent)
        self._budget.refill(per_minute, now)
        self._merge_cold(draft, policy, now)
        if self._is_uneven(draft.targets, policy, now):
            self._even_out(draft, policy, now)
        return draft.changes

    def _forget(self, policy: PlacementPolicy, now: float) -> None:
        self._moved_at = {
            partition: moved
            for partition, moved in self._moved_at.items()
            if now - moved < policy.min_residence
        }

    def _is_uneven(
        self, targets: TargetLoads, policy: PlacementPolicy, now: float
    ) -> bool:
        if self._evening:
            self._evening = _exceeds(targets, policy, policy.settle)
            if not self._evening:
                self._uneven_since = math.inf
            return self._evening
        urgent = targets.highest >= policy.overload
        if not _exceeds(targets, policy, policy.start_level(urgent=urgent)):
            self._uneven_since = math.inf
            return False
        self._uneven_since = min(self._uneven_since, now)
        lasted = now - self._uneven_since
        self._evening = lasted >= policy.confirmation_time(urgent=urgent)
        return self._evening

    def _even_out(
        self, draft: PlacementDraft, policy: PlacementPolicy, now: float
    ) -> None:
        while self._budget.allows_move:
            if not _exceeds(draft.targets, policy, policy.settle):
                return
            moved = draft.rebalance(
                _source_floor(draft.targets, policy), self._moved_at
            )
            if moved is None:
                return
            self._budget.spend()
            self._moved_at[moved] = now

    def _merge_cold(
        self, draft: PlacementDraft, policy: PlacementPolicy, now: float
    ) -> None:
        cold = draft.cold_keys(policy.merge_share)
        self._cold_since = {key: self._cold_since.get(key, now) for key in cold}
        for key, since in self._cold_since.items():
            if now - since < policy.merge_after:
                continue
            if self._budget.allows_move and draft.merge(key):
                self._budget.spend()


def _exceeds(
    targets: TargetLoads, policy: PlacementPolicy, imbalance: float
) -> bool:
    if _has_idle(targets, policy):
        return True
    uneven = targets.imbalance > imbalance
    return uneven and targets.highest >= policy.min_utilization


def _has_idle(targets: TargetLoads, policy: PlacementPolicy) -> bool:
    return targets.lowest < policy.idle_share * targets.mean


def _source_floor(targets: TargetLoads, policy: PlacementPolicy) -> float:
    share = 1 if _has_idle(targets, policy) else policy.settle
    return share * targets.mean
