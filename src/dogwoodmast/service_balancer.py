"""Balancing of one service's partitions over its targets in one zone."""

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
    """Chooses the placement changes of one service over time.

    It keeps the state that its decisions depend on besides the current load:
    the budget of moves, the duration of an imbalance, the times of recent
    moves and the times since which split-out keys have been cold.
    """

    _budget: MoveBudget = attrs.field(factory=MoveBudget)
    _imbalanced_since: float = math.inf
    _is_rebalancing: bool = False
    _moved_at: dict[int, float] = attrs.field(factory=dict)
    _cold_since: dict[str, float] = attrs.field(factory=dict)

    def plan(self, loads: ServiceLoads, now: float) -> list[PlacementChange]:
        """Choose the changes to apply to the record now.

        :param loads: Measured load and current assignments of the service.
        :param now: Monotonic time in seconds.
        :return: Changes; no two of them affect the same partition.
        """
        policy = policy_for(loads.service.prefer)
        self._expire_moves(policy, now)
        draft = PlacementDraft(loads)
        draft.assign_unowned()
        urgent = draft.targets.highest >= policy.urgent_utilization
        per_minute = policy.moves(len(loads.partitions), urgent=urgent)
        self._budget.refill(per_minute, now)
        self._merge_cold(draft, policy, now)
        if self._should_rebalance(draft.targets, policy, now):
            self._rebalance(draft, policy, now)
        return draft.changes

    def _expire_moves(self, policy: PlacementPolicy, now: float) -> None:
        self._moved_at = {
            partition: moved
            for partition, moved in self._moved_at.items()
            if now - moved < policy.min_residence
        }

    def _should_rebalance(
        self, targets: TargetLoads, policy: PlacementPolicy, now: float
    ) -> bool:
        """Decide with hysteresis whether load is to be moved.

        Rebalancing starts once the imbalance has lasted long enough, and
        continues until the stop threshold is reached.
        """
        if self._is_rebalancing:
            self._is_rebalancing = _is_imbalanced(
                targets, policy, policy.stop_imbalance
            )
            if not self._is_rebalancing:
                self._imbalanced_since = math.inf
            return self._is_rebalancing
        urgent = targets.highest >= policy.urgent_utilization
        if not _is_imbalanced(
            targets, policy, policy.imbalance_threshold(urgent=urgent)
        ):
            self._imbalanced_since = math.inf
            return False
        self._imbalanced_since = min(self._imbalanced_since, now)
        duration = now - self._imbalanced_since
        self._is_rebalancing = duration >= policy.confirmation_time(
            urgent=urgent
        )
        return self._is_rebalancing

    def _rebalance(
        self, draft: PlacementDraft, policy: PlacementPolicy, now: float
    ) -> None:
        while self._budget.allows_move:
            if not _is_imbalanced(draft.targets, policy, policy.stop_imbalance):
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


def _is_imbalanced(
    targets: TargetLoads, policy: PlacementPolicy, threshold: float
) -> bool:
    """Tell whether a target is underloaded or the imbalance is too high."""
    if _has_underloaded(targets, policy):
        return True
    exceeds_threshold = targets.imbalance > threshold
    return exceeds_threshold and targets.highest >= policy.min_utilization


def _has_underloaded(targets: TargetLoads, policy: PlacementPolicy) -> bool:
    return targets.lowest < policy.underload_share * targets.mean


def _source_floor(targets: TargetLoads, policy: PlacementPolicy) -> float:
    """Return the utilization that a target must exceed to lose load."""
    ratio = 1 if _has_underloaded(targets, policy) else policy.stop_imbalance
    return ratio * targets.mean
