"""Thresholds and rates of the placement policy."""

from __future__ import annotations

import attrs

from dogwoodmast.configuration import Preference


@attrs.frozen
class PlacementPolicy:
    """Thresholds and rates of rebalancing.

    The utilization of a target is the fraction of its slots that are busy.
    Imbalance is the highest utilization of a target divided by the mean
    utilization.  The defaults favour availability: load is balanced early
    and quickly.
    """

    start_imbalance: float = 1.25
    """Imbalance above which rebalancing starts."""
    stop_imbalance: float = 1.05
    """Imbalance at which rebalancing stops; while a target is overloaded, also
    the imbalance above which it starts."""
    underload_share: float = 0.25
    """Utilization below which a target is underloaded, as a fraction of the
    mean utilization; an underloaded target counts as an imbalance."""
    min_utilization: float = 0.5
    """Highest utilization of a target below which imbalance is ignored, unless
    a target is underloaded, as a fraction of its slots."""
    confirmation: float = 10.0
    """Time for which an imbalance must last before rebalancing starts, in
    seconds."""
    urgent_utilization: float = 0.65
    """Utilization from which a target is overloaded and rebalancing is
    urgent, as a fraction of its slots."""
    urgent_confirmation: float = 2.0
    """Time for which an imbalance must last while a target is overloaded, in
    seconds."""
    urgent_speed_factor: float = 5.0
    """Factor applied to the budget of moves while a target is overloaded."""
    min_residence: float = 30.0
    """Time for which a moved partition is not moved again, in seconds."""
    share_per_minute: float = 0.05
    """Budget of moves per minute, as a fraction of the partitions."""
    moves_per_minute: float = 4.0
    """Minimum of the budget, in moves per minute."""
    merge_share: float = 0.02
    """Load up to which a split-out key is cold, as a fraction of the mean load
    of a target."""
    merge_after: float = 120.0
    """Time for which a split-out key must be cold before it is merged, in
    seconds."""

    def moves(self, partitions: int, *, urgent: bool) -> float:
        """Compute the budget of moves.

        :param partitions: Number of the service's partitions in the zone.
        :param urgent: Whether a target is overloaded.
        :return: Budget in moves per minute.
        """
        share = self.share_per_minute * partitions
        speed_factor = self.urgent_speed_factor if urgent else 1
        return speed_factor * max(share, self.moves_per_minute)

    def imbalance_threshold(self, *, urgent: bool) -> float:
        """Return the imbalance above which rebalancing starts.

        :param urgent: Whether a target is overloaded.
        :return: Highest utilization divided by the mean.
        """
        return self.stop_imbalance if urgent else self.start_imbalance

    def confirmation_time(self, *, urgent: bool) -> float:
        """Return how long an imbalance must last before rebalancing starts.

        :param urgent: Whether a target is overloaded.
        :return: Duration in seconds.
        """
        return self.urgent_confirmation if urgent else self.confirmation


@attrs.frozen
class StabilityPolicy(PlacementPolicy):
    """Policy that favours stability: fewer and later moves."""

    start_imbalance: float = 1.5
    """Imbalance above which rebalancing starts."""
    stop_imbalance: float = 1.25
    """Imbalance at which rebalancing stops; while a target is overloaded, also
    the imbalance above which it starts."""
    underload_share: float = 0.25
    """Utilization below which a target is underloaded, as a fraction of the
    mean utilization; an underloaded target counts as an imbalance."""
    min_utilization: float = 0.5
    """Highest utilization of a target below which imbalance is ignored, unless
    a target is underloaded, as a fraction of its slots."""
    confirmation: float = 60.0
    """Time for which an imbalance must last before rebalancing starts, in
    seconds."""
    urgent_utilization: float = 0.9
    """Utilization from which a target is overloaded and rebalancing is
    urgent, as a fraction of its slots."""
    urgent_confirmation: float = 20.0
    """Time for which an imbalance must last while a target is overloaded, in
    seconds."""
    urgent_speed_factor: float = 4.0
    """Factor applied to the budget of moves while a target is overloaded."""
    min_residence: float = 900.0
    """Time for which a moved partition is not moved again, in seconds."""
    share_per_minute: float = 0.01
    """Budget of moves per minute, as a fraction of the partitions."""
    moves_per_minute: float = 1.0
    """Minimum of the budget, in moves per minute."""
    merge_share: float = 0.01
    """Load up to which a split-out key is cold, as a fraction of the mean load
    of a target."""
    merge_after: float = 900.0
    """Time for which a split-out key must be cold before it is merged, in
    seconds."""


def policy_for(preference: Preference) -> PlacementPolicy:
    """Choose the placement policy of a service.

    :param preference: Preference in the service's configuration.
    :return: Thresholds and rates for this preference.
    """
    match preference:
        case Preference.AVAILABILITY:
            return PlacementPolicy()
        case Preference.STABILITY:
            return StabilityPolicy()
