"""Weights of the placement policy."""

from __future__ import annotations

import attrs

from dogwoodmast.configuration import Preference


@attrs.frozen
class PlacementPolicy:
    """When, how far and how fast load is evened out.

    Imbalance is the highest utilization of a target over the mean one.
    The defaults favour availability.
    """

    trigger: float = 1.25
    """Imbalance that starts moves."""
    settle: float = 1.05
    """Imbalance at which moves stop."""
    idle_share: float = 0.25
    """Share of the mean utilization below which a target is filled up."""
    min_utilization: float = 0.5
    """Highest utilization below which nothing moves, as a share of slots."""
    confirmation: float = 10.0
    """Time for which an imbalance must last, in seconds."""
    overload: float = 0.65
    """Highest utilization from which moves are urgent."""
    urgent_confirmation: float = 2.0
    """Time for which an urgent imbalance must last, in seconds."""
    urgent_speed: float = 5.0
    """Factor on the moves in a minute while they are urgent."""
    min_residence: float = 30.0
    """Time that a moved partition stays, in seconds."""
    share_per_minute: float = 0.05
    """Share of the partitions that may move in a minute."""
    moves_per_minute: float = 4.0
    """Moves in a minute that are allowed in any case."""
    merge_share: float = 0.02
    """Share of a target's mean load below which a split-out key is cold."""
    merge_after: float = 120.0
    """Time for which a split-out key must be cold, in seconds."""

    def moves(self, partitions: int, *, urgent: bool) -> float:
        """Compute the budget of moves.

        :param partitions: Number of partitions.
        :param urgent: Whether a target is overloaded.
        :return: Moves in a minute.
        """
        share = self.share_per_minute * partitions
        speed = self.urgent_speed if urgent else 1
        return speed * max(share, self.moves_per_minute)

    def start_level(self, *, urgent: bool) -> float:
        """Tell the imbalance that starts moves.

        :param urgent: Whether a target is overloaded.
        :return: Imbalance.
        """
        return self.settle if urgent else self.trigger

    def confirmation_time(self, *, urgent: bool) -> float:
        """Tell for how long an imbalance must last.

        :param urgent: Whether a target is overloaded.
        :return: Seconds.
        """
        return self.urgent_confirmation if urgent else self.confirmation


@attrs.frozen
class StabilityPolicy(PlacementPolicy):
    """Policy that favours stability."""

    trigger: float = 1.5
    """Imbalance that starts moves."""
    settle: float = 1.25
    """Imbalance at which moves stop."""
    idle_share: float = 0.25
    """Share of the mean utilization below which a target is filled up."""
    min_utilization: float = 0.5
    """Highest utilization below which nothing moves, as a share of slots."""
    confirmation: float = 60.0
    """Time for which an imbalance must last, in seconds."""
    overload: float = 0.9
    """Highest utilization from which moves are urgent."""
    urgent_confirmation: float = 20.0
    """Time for which an urgent imbalance must last, in seconds."""
    urgent_speed: float = 4.0
    """Factor on the moves in a minute while they are urgent."""
    min_residence: float = 900.0
    """Time that a moved partition stays, in seconds."""
    share_per_minute: float = 0.01
    """Share of the partitions that may move in a minute."""
    moves_per_minute: float = 1.0
    """Moves in a minute that are allowed in any case."""
    merge_share: float = 0.01
    """Share of a target's mean load below which a split-out key is cold."""
    merge_after: float = 900.0
    """Time for which a split-out key must be cold, in seconds."""


def policy_for(preference: Preference) -> PlacementPolicy:
    """Choose the policy for a service.

    :param preference: Measure that the operators favour.
    :return: The policy.
    """
    match preference:
        case Preference.AVAILABILITY:
            return PlacementPolicy()
        case Preference.STABILITY:
            return StabilityPolicy()
