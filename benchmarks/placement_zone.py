"""Simulation of one zone: load model, planner and zone record together."""

from __future__ import annotations

import random
from collections import defaultdict

import attrs

from benchmarks.placement_model import (
    HOT_KEY_LIFETIME,
    PARTITIONS,
    SERVICE,
    Demand,
    KeyModel,
    MeterModel,
)
from benchmarks.placement_record import ZONE, SimulatedRecord
from dogwoodmast.address import Address
from dogwoodmast.configuration import (
    Configuration,
    Preference,
    RequestKind,
    Service,
    Target,
    Zone,
)
from dogwoodmast.placement import (
    Merge,
    Move,
    PlacementChange,
    PlacementInput,
    Planner,
    Split,
)

PLANNED_MOVE_TIME = 0.3
"""Time for which a partition is unserved during a planned move, in
seconds."""
_ADDRESS = Address('127.0.0.1', 1)


@attrs.frozen
class ZoneSize:
    """Size of a zone and its share of the service."""

    name: str
    """Name of the size in the table."""
    targets: int
    """Number of targets of the zone."""
    slots: int
    """Number of slots per target."""
    zones: int
    """Number of zones among which the partitions are divided."""
    prefer: Preference
    """Preference of the service, which selects the placement policy."""


@attrs.frozen
class Conditions:
    """Conditions of a scenario during one second."""

    utilization: float
    """Offered load, as a share of the slots of all targets."""
    hot_share: float = 0.1
    """Share of the load that is distributed over the hot keys only."""
    down: frozenset[int] = frozenset()
    """Numbers of the targets that serve no requests."""
    excluded: frozenset[int] = frozenset()
    """Numbers of the targets to which the planner must not assign
    partitions."""


@attrs.define
class SimulationTotals:
    """Figures of a simulation up to now."""

    imbalances: list[float] = attrs.field(factory=list)
    """For each second, the highest load of a serving target over the total
    load per serving target; seconds without load on such targets are left
    out."""
    moves: int = 0
    """Number of partitions and keys that changed their owner."""
    unserved: float = 0
    """Load-weighted mean time for which a key had no serving owner, in
    seconds."""
    refused: float = 0
    """Load-weighted mean time for which a key was rejected since its target
    had no free slot, in seconds."""


@attrs.define(eq=False)
class SimulatedZone:
    """Zone whose partitions are placed by one planner."""

    _size: ZoneSize
    _planner: Planner
    _random: random.Random
    totals: SimulationTotals = attrs.field(factory=SimulationTotals)
    """Figures of the simulation up to now."""
    _service: Service = attrs.field(init=False)
    _partitions: tuple[int, ...] = attrs.field(init=False)
    _record: SimulatedRecord = attrs.field(init=False)
    _keys: KeyModel = attrs.field(init=False)
    _meter: MeterModel = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the load model and the zone record."""
        self._service = make_service(self._size)
        self._partitions = tuple(range(0, PARTITIONS, self._size.zones))
        self._record = SimulatedRecord(self._service)
        self._keys = KeyModel(self._partitions, self._random)
        self._meter = MeterModel(self._random)

    def step(self, second: int, conditions: Conditions) -> None:
        """Simulate one second, then apply the changes of the planner.

        :param second: Time since the start of the simulation, in seconds.
        :param conditions: Conditions during the second.
        """
        if second % HOT_KEY_LIFETIME == 0:
            self._keys.choose_hot_keys()
        capacity = self._size.targets * self._size.slots
        demand = Demand(conditions.utilization * capacity, conditions.hot_share)
        loads = self._keys.partition_loads(demand, self._record.hot_keys)
        self._record_second(loads, conditions)
        inputs = self._make_inputs(loads, demand, conditions)
        for change in self._planner.plan(inputs, float(second)):
            share = self._moved_load(change, loads, demand) / demand.busy
            self.totals.moves += share > 0
            self.totals.unserved += share * PLANNED_MOVE_TIME
            self._record.apply(change)

    def _moved_load(
        self, change: PlacementChange, loads: dict[int, float], demand: Demand
    ) -> float:
        match change:
            case Move(_, partition, _):
                owned = self._record.owner(partition) is not None
                return loads[partition] if owned else 0
            case Split(_, key, _) | Merge(_, key):
                return self._keys.key_load(key, demand)

    def _record_second(
        self, loads: dict[int, float], conditions: Conditions
    ) -> None:
        down = {make_target_name(number) for number in conditions.down}
        load_by_owner: dict[str, float] = defaultdict(float)
        for partition, busy in loads.items():
            load_by_owner[self._record.owner(partition) or ''] += busy
        total = sum(loads.values())
        unserved = sum(load_by_owner.pop(name, 0) for name in (*down, ''))
        self.totals.unserved += unserved / total
        if load_by_owner:
            mean = total / (self._size.targets - len(down))
            self.totals.imbalances.append(max(load_by_owner.values()) / mean)
        self.totals.refused += self._excess_load(load_by_owner) / total

    def _excess_load(self, load_by_owner: dict[str, float]) -> float:
        slots = self._size.slots
        return sum(max(load - slots, 0) for load in load_by_owner.values())

    def _make_inputs(
        self, loads: dict[int, float], demand: Demand, conditions: Conditions
    ) -> PlacementInput:
        keys = {
            key: self._keys.key_load(key, demand) for key in self._keys.hot_keys
        }
        return PlacementInput(
            configuration=Configuration(1, (Zone(ZONE),), (self._service,)),
            record=self._record.document,
            reports=(self._meter.measure(loads, keys),),
            excluded=frozenset(map(make_target_name, conditions.excluded)),
            partitions={SERVICE: self._partitions},
        )


def make_service(size: ZoneSize) -> Service:
    """Create a service with the targets of one zone.

    :param size: Size of the zone.
    :return: Configuration of the service.
    """
    targets = tuple(
        Target(make_target_name(number), ZONE, _ADDRESS, size.slots, 50)
        for number in range(size.targets)
    )
    kinds = (RequestKind('check', ('GET',), True, 1.0),)
    return Service(SERVICE, PARTITIONS, targets, kinds, prefer=size.prefer)


def make_target_name(number: int) -> str:
    """Make the name of a target.

    :param number: Number of the target within the zone.
    :return: Name of the target.
    """
    return f'target-{number}'
