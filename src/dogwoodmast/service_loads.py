"""What a placement decision about one service of a zone is made from."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, TypeVar

import attrs

from dogwoodmast.configuration import Service
from dogwoodmast.ownership import ServiceTable
from dogwoodmast.partition import partition_of

if TYPE_CHECKING:
    from dogwoodmast.placement import PlacementInput

_Place = TypeVar('_Place')

LEAST_UTILIZATION = 0.01
"""Utilization that all partitions without load count for together."""


@attrs.frozen(slots=False)
class ServiceLoads:
    """One service of one zone, with the load that was measured."""

    service: Service
    """The service."""
    slots: dict[str, int]
    """Slots per target of the zone that may own keys."""
    table: ServiceTable
    """Assignments in force."""
    partitions: tuple[int, ...]
    """Partitions that the zone owns; split-out ones may be left out."""
    busy: dict[int, float]
    """Busy slots per partition with measured load."""
    rates: dict[int, float]
    """Requests per second per partition with measured load."""
    hot_keys: dict[str, float]
    """Requests per second of the hottest keys."""

    def weight(self, partition: int) -> float:
        """Tell the load that a partition counts for.

        A partition without measured load counts a little, so that such
        partitions are spread too.

        :param partition: Partition.
        :return: Busy slots.
        """
        return self.busy.get(partition, 0) + self.least_weight

    @functools.cached_property
    def least_weight(self) -> float:
        """Busy slots that a partition without measured load counts for."""
        slots = sum(self.slots.values())
        return LEAST_UTILIZATION * slots / max(len(self.partitions), 1)

    def partition_of(self, key: str) -> int:
        """Find the partition that a key hashes to.

        :param key: Key.
        :return: Partition.
        """
        return partition_of(key, self.service.partitions)

    def key_weight(self, key: str) -> float:
        """Estimate the load of a hot key that is not split out.

        :param key: Key.
        :return: Busy slots.
        """
        partition = self.partition_of(key)
        rate = self.rates.get(partition, 0)
        if not rate:
            return 0
        share = min(self.hot_keys.get(key, 0) / rate, 1)
        return self.busy[partition] * share


def collect_loads(inputs: PlacementInput) -> list[ServiceLoads]:
    """Sort what is known by service.

    :param inputs: What is known.
    :return: Each service that can have owners in the zone.
    """
    collected = {
        service.name: _empty_loads(service, inputs)
        for service in inputs.configuration.services
    }
    for report in inputs.reports:
        for load in report.partitions:
            found = collected.get(load.service)
            if found is not None:
                _add(found.busy, load.partition, load.busy)
                _add(found.rates, load.partition, load.rate)
        for hot in report.hot_keys:
            found = collected.get(hot.service)
            if found is not None:
                _add(found.hot_keys, hot.key, hot.rate)
    return [loads for loads in collected.values() if loads.slots]


def _empty_loads(service: Service, inputs: PlacementInput) -> ServiceLoads:
    slots = {
        target.name: target.slots
        for target in service.targets
        if target.zone == inputs.record.zone
        and target.name not in inputs.excluded
    }
    return ServiceLoads(
        service=service,
        slots=slots,
        table=inputs.record.table(service.name) or ServiceTable({}),
        partitions=inputs.partitions.get(service.name, ()),
        busy={},
        rates={},
        hot_keys={},
    )


def _add(sums: dict[_Place, float], place: _Place, amount: float) -> None:
    sums[place] = sums.get(place, 0) + amount
