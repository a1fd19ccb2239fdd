"""Load per target while placement changes are chosen."""

from __future__ import annotations

import attrs

from dogwoodmast.partition import rendezvous_score


@attrs.define(eq=False)
class TargetLoads:
    """Number of busy slots of each target that may own partitions.

    The utilization of a target is its number of busy slots divided by its
    number of slots.
    """

    _slots: dict[str, int]
    _busy: dict[str, float] = attrs.field(
        init=False,
        default=attrs.Factory(lambda self: dict.fromkeys(self._slots, 0), True),
    )

    @property
    def mean(self) -> float:
        """Busy slots of all targets as a fraction of all slots."""
        return sum(self._busy.values()) / sum(self._slots.values())

    @property
    def highest(self) -> float:
        """Highest utilization of a target, as a fraction of its slots."""
        return max(map(self.utilization, self._slots))

    @property
    def lowest(self) -> float:
        """Lowest utilization of a target, as a fraction of its slots."""
        return min(map(self.utilization, self._slots))

    @property
    def imbalance(self) -> float:
        """Highest utilization divided by the mean; one without any load."""
        mean = self.mean
        return self.highest / mean if mean else 1

    def __contains__(self, target: str) -> bool:
        """Tell whether a target may own partitions.

        :param target: Name of the target.
        :return: ``False`` for targets that are excluded or not configured.
        """
        return target in self._slots

    def utilization(self, target: str) -> float:
        """Compute the utilization of a target.

        :param target: Name of the target.
        :return: Busy slots as a fraction of its slots.
        """
        return self._busy[target] / self._slots[target]

    def add(self, target: str, busy: float) -> None:
        """Add load to a target.

        :param target: Name of the target.
        :param busy: Number of busy slots to add.
        """
        self._busy[target] += busy

    def move(self, source: str, target: str, busy: float) -> None:
        """Move load between targets.

        :param source: Target that loses the load.
        :param target: Target that gains the load.
        :param busy: Number of busy slots to move.
        """
        self._busy[source] -= busy
        self._busy[target] += busy

    def by_utilization(self) -> list[str]:
        """Sort the targets by utilization; ties are broken by a hash.

        :return: Names, least utilized first.
        """
        return sorted(
            self._slots,
            key=lambda target: (
                self.utilization(target),
                rendezvous_score(target),
            ),
        )

    def balancing_load(self, source: str, target: str) -> float:
        """Compute the load to move for two targets to be equally utilized.

        :param source: Target with the higher utilization.
        :param target: Target with the lower utilization.
        :return: Number of busy slots to move from source to target.
        """
        difference = self.utilization(source) - self.utilization(target)
        return difference / (1 / self._slots[source] + 1 / self._slots[target])
