"""Measured load of each service of a zone, as input of placement."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, TypeVar

import attrs

from dogwoodmast.configuration import Service
from dogwoodmast.ownership import ServiceTable
from dogwoodmast.partition import partition_of

if TYPE_CHECKING:
    from dogwoodmast.placement import PlacementInput

_LoadKey = TypeVar('_LoadKey')

UNMEASURED_UTILIZATION = 0.01
"""Utilization of the zone's targets that is attributed to all partitions
together in addition to their measured load, as a fraction of all slots."""


@attrs.frozen(slots=False)
class ServiceLoads:
    """Assignments and measured load of one service in one zone."""

    service: Service
    """Configuration of the service."""
    slots: dict[str, int]
    """Number of slots of each target of the zone that may own partitions."""
    table: ServiceTable
    """Current assignments in the zone."""
    partitions: tuple[int, ...]
    """Numbers of the partitions that the zone owns; those of split-out keys may
    be missing."""
    busy: dict[int, float]
    """Average number of busy slots per partition; partitions without measured
    load are missing."""
    rates: dict[int, float]
    """Requests per second per partition; partitions without measured load are
    missing."""
    hot_keys: dict[str, float]
    """Requests per second of each of the hottest keys."""

    def weight(self, partition: int) -> float:
        """Compute the load at which a partition is counted in placement.

        A small constant is added to the measured load so that partitions
        without load are spread evenly too.

        :param partition: Number of the partition.
        :return: Number of busy slots.
        """
        return self.busy.get(partition, 0) + self.base_weight

    @functools.cached_property
    def base_weight(self) -> float:
        """Number of busy slots at which an idle partition is counted."""
        slots = sum(self.slots.values())
        return UNMEASURED_UTILIZATION * slots / max(len(self.partitions), 1)

    def partition_of(self, key: str) -> int:
        """Compute the partition that a key hashes to.

        :param key: Key of the service's requests.
        :return: Number of the partition.
        """
        return partition_of(key, self.service.partitions)

    def key_weight(self, key: str) -> float:
        """Estimate the load of a hot key that is not split out.

        The load of its partition is divided in proportion to request rates.

        :param key: Hot key.
        :return: Number of busy slots; zero without measured requests.
        """
        partition = self.partition_of(key)
        rate = self.rates.get(partition, 0)
        if not rate:
            return 0
        share = min(self.hot_keys.get(key, 0) / rate, 1)
        return self.busy[partition] * share


def collect_loads(inputs: PlacementInput) -> list[ServiceLoads]:
    """Sum the load reports of all members per service.

    :param inputs: Inputs of the placement decision.
    :return: Load of each service that has a target in the zone which may own
        partitions.
    """
    collected = {
        service.name: _empty_loads(service, inputs)
        for service in inputs.configuration.services
    }
    for report in inputs.reports:
        for load in report.partitions:
            loads = collected.get(load.service)
            if loads is not None:
                _add(loads.busy, load.partition, load.busy)
                _add(loads.rates, load.partition, load.rate)
        for hot in report.hot_keys:
            loads = collected.get(hot.service)
            if loads is not None:
                _add(loads.hot_keys, hot.key, hot.rate)
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


def _add(
    sums: dict[_LoadKey, float], load_key: _LoadKey, amount: float
) -> None:
    sums[load_key] = sums.get(load_key, 0) + amount
