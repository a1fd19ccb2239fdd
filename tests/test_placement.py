"""Placement of partitions: assignment, rebalancing and its move budget."""

from __future__ import annotations

import random
import time

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodmast.address import Address
from dogwoodmast.configuration import (
    Configuration,
    Preference,
    RequestKind,
    Service,
    Target,
    Zone,
)
from dogwoodmast.load_report import KeyLoad, LoadReport, PartitionLoad
from dogwoodmast.ownership import Assignment, ServiceTable, ZoneRecord
from dogwoodmast.partition import partition_of
from dogwoodmast.placement import (
    Merge,
    Move,
    PlacementChange,
    PlacementInput,
    Split,
)
from dogwoodmast.placement_planner import BalancingPlanner
from dogwoodmast.placement_policy import policy_for

PARTITIONS = 64
"""Number of partitions of the service, without split-out keys."""
MAX_LOADED_PARTITION = PARTITIONS + 8
"""Highest partition number for which a random load is drawn; not all of
these partitions exist."""
TARGETS = tuple(f't{number}' for number in range(4))
SLOTS = 6
"""Slots per target."""
SETTLED_UTILIZATION = 0.9
"""Bound of the highest utilization of a target once moves have ended, under
a mean utilization of 0.7, as a fraction of its slots."""
RELIEVED_UTILIZATION = 0.8
"""Bound of the highest utilization of a target after an overload, as a
fraction of its slots."""
MAX_PLANNING_TIME = 0.5
"""Bound of the CPU time of 100 plans at the design size, in seconds."""

preferences = st.sampled_from(Preference)


@attrs.define
class PlacementModel:
    """Model of a zone to which the planner's changes are applied."""

    prefer: Preference
    assignments: dict[int, str] = attrs.field(factory=dict)
    """Targets by partition."""
    hot_keys: dict[str, int] = attrs.field(factory=dict)
    """Partitions of the split-out keys by key."""
    busy: dict[int, float] = attrs.field(factory=dict)
    """Mean number of busy slots by partition."""
    hot_rates: dict[str, float] = attrs.field(factory=dict)
    """Reported rates of hot keys by key, in requests per second."""
    excluded: frozenset[str] = frozenset()
    """Targets that must not own partitions."""
    partitions: int = PARTITIONS
    targets: tuple[str, ...] = TARGETS
    planner: BalancingPlanner = attrs.field(factory=BalancingPlanner)

    def inputs(self) -> PlacementInput:
        """Build the input of the planner."""
        service = Service(
            name='s',
            partitions=self.partitions,
            targets=tuple(
                Target(name, 'z', Address('127.0.0.1', 1), SLOTS, 50)
                for name in self.targets
            ),
            kinds=(RequestKind('get', ('GET',), True, 1.0),),
            prefer=self.prefer,
        )
        table = ServiceTable(
            {
                partition: Assignment(target, 1)
                for partition, target in self.assignments.items()
            },
            dict(self.hot_keys),
        )
        loads = tuple(
            PartitionLoad('s', partition, busy * 50, busy)
            for partition, busy in self.busy.items()
        )
        hot = tuple(
            KeyLoad('s', key, rate) for key, rate in self.hot_rates.items()
        )
        return PlacementInput(
            configuration=Configuration(1, (Zone('z'),), (service,)),
            record=ZoneRecord('z', 1, 1, (), {'s': table}),
            reports=(LoadReport('vm', loads, hot),),
            excluded=self.excluded,
            partitions={
                's': (*range(self.partitions), *self.hot_keys.values())
            },
        )

    def plan(self, now: float) -> tuple[PlacementChange, ...]:
        """Make a plan and apply its changes.

        :param now: Monotonic time in seconds.
        :return: Changes of the plan.
        """
        changes = self.planner.plan(self.inputs(), now)
        for change in changes:
            self.apply(change)
        return changes

    def apply(self, change: PlacementChange) -> None:
        """Apply one change of a plan."""
        match change:
            case Move(_, partition, target):
                self.assignments[partition] = target
            case Split(_, key, target):
                number = max(*self.assignments, self.partitions - 1) + 1
                self.hot_keys[key] = number
                self.assignments[number] = target
            case Merge(_, key):
                self.assignments.pop(self.hot_keys.pop(key))

    @property
    def max_utilization(self) -> float:
        """Highest utilization of a target that is not excluded."""
        return max(self.utilizations())

    def utilizations(self) -> list[float]:
        """Compute the utilization of each target that is not excluded.

        :return: Busy slots as fractions of all slots, in target order.
        """
        return [
            sum(
                self.busy.get(partition, 0)
                for partition, target in self.assignments.items()
                if target == name
            )
            / SLOTS
            for name in self.targets
            if name not in self.excluded
        ]


def affected_partitions(
    changes: tuple[PlacementChange, ...], model: PlacementModel
) -> list[int]:
    """List the partitions that changes move, split or merge.

    :param changes: Changes of a plan.
    :param model: Zone before the changes are applied.
    :return: One partition per change.
    """
    found = []
    for change in changes:
        match change:
            case Move(_, partition, _):
                found.append(partition)
            case Split(_, key, _):
                found.append(partition_of(key, model.partitions))
            case Merge(_, key):
                found.append(model.hot_keys[key])
    return found


@st.composite
def placement_models(draw: st.DrawFn) -> PlacementModel:
    """Draw a zone, also with unassigned partitions and removed targets."""
    owners = st.sampled_from((*TARGETS, 'removed'))
    numbers = st.integers(0, PARTITIONS - 1)
    split = draw(st.lists(st.integers(0, 200), unique=True, max_size=8))
    hot_keys = {
        f'k{key}': PARTITIONS + place for place, key in enumerate(split)
    }
    assignments = draw(st.dictionaries(numbers, owners))
    for partition in hot_keys.values():
        assignments[partition] = draw(owners)
    return PlacementModel(
        prefer=draw(preferences),
        assignments=assignments,
        hot_keys=hot_keys,
        busy=draw(
            st.dictionaries(
                st.integers(0, MAX_LOADED_PARTITION),
                st.floats(0, 4),
                max_size=40,
            )
        ),
        hot_rates=draw(
            st.dictionaries(
                st.integers(0, 200).map('k{}'.format),
                st.floats(0, 300),
                max_size=15,
            )
        ),
    )


exclusions = st.lists(
    st.frozensets(st.sampled_from(TARGETS)), min_size=1, max_size=6
)


@given(model=placement_models(), exclusions=exclusions)
def test_every_partition_gets_an_allowed_owner(
    model: PlacementModel, exclusions: list[frozenset[str]]
) -> None:
    """Each plan assigns every partition to a target that is not excluded.

    Guards against partitions that stay unowned or stay with an excluded or
    removed target, against two changes of one partition in a plan, and
    against plans that differ for equal inputs.
    """
    duplicate = attrs.evolve(
        model,
        assignments=dict(model.assignments),
        hot_keys=dict(model.hot_keys),
        planner=BalancingPlanner(),
    )
    for step, excluded in enumerate(exclusions):
        now = step * 1000.0
        model.excluded = excluded
        duplicate.excluded = excluded
        allowed = set(TARGETS) - excluded
        planned = model.planner.plan(model.inputs(), now)
        affected = affected_partitions(planned, model)
        assert len(affected) == len(set(affected))
        assert duplicate.plan(now) == planned
        for change in planned:
            model.apply(change)
        if allowed:
            owned = (*range(PARTITIONS), *model.hot_keys.values())
            assert {model.assignments[one] for one in owned} <= allowed
        else:
            assert not planned


@pytest.mark.parametrize('prefer', Preference)
def test_loss_moves_nothing_else(prefer: Preference) -> None:
    """The loss of a target moves exactly its partitions, in one plan.

    Guards against partitions that wait for the move budget while they have
    no owner, against moves between the remaining targets, and against an
    uneven distribution of the lost partitions.
    """
    model = PlacementModel(prefer, busy=dict.fromkeys(range(PARTITIONS), 0.2))
    model.plan(0)
    lost_partitions = {
        one for one, name in model.assignments.items() if name == 't1'
    }
    model.excluded = frozenset(('t1',))
    moved = [change for change in model.plan(1) if isinstance(change, Move)]
    assert {move.partition for move in moved} == lost_partitions
    assert model.max_utilization < 1.15 * min(model.utilizations())


@pytest.mark.parametrize('prefer', Preference)
def test_budget_bounds_moves(prefer: Preference) -> None:
    """The number of moves is bounded under a load that changes at random.

    Guards against a planner that follows every change of the load.  The
    move budget limits all changes together, and a partition must not move
    again within the minimum residence time.
    """
    policy = policy_for(prefer)
    generator = random.Random(7)
    model = PlacementModel(prefer)
    model.plan(0)
    changes = 0
    moved_at: dict[int, int] = {}
    for second in range(1, 1200):
        if second % 20 == 0:
            model.busy = {
                one: generator.random() ** 8 * 4 for one in range(PARTITIONS)
            }
        planned = model.plan(second)
        changes += len(planned)
        for partition in affected_partitions(planned, model):
            since = second - moved_at.get(partition, -1200)
            assert since >= policy.min_residence
            moved_at[partition] = second
    per_minute = policy.moves(PARTITIONS, urgent=True)
    assert 0 < changes <= per_minute * (1200 / 60 + 1)


@pytest.mark.parametrize('prefer', Preference)
def test_steady_noisy_load_settles(prefer: Preference) -> None:
    """Moves end under a steady load with noise.

    Guards against partitions that move back and forth because noise lets
    the imbalance cross the thresholds again and again, and against moves
    that end while a target is still overloaded.
    """
    generator = random.Random(3)
    base_loads = [generator.random() ** 3 for _ in range(PARTITIONS)]
    scale = 0.7 * SLOTS * len(TARGETS) / sum(base_loads)
    model = PlacementModel(prefer)
    last_change = 0
    for second in range(3600):
        model.busy = {
            one: share * scale * generator.uniform(0.9, 1.1)
            for one, share in enumerate(base_loads)
        }
        if model.plan(second):
            last_change = second
    assert last_change < 1200
    assert model.max_utilization <= SETTLED_UTILIZATION


def plan_merges(model: PlacementModel, seconds: range) -> list[Merge]:
    """Make one plan a second and collect the merges.

    :param model: Zone to plan for.
    :param seconds: Times of the plans, in seconds.
    :return: Merges in the order of the plans.
    """
    changes = [one for second in seconds for one in model.plan(second)]
    return [one for one in changes if isinstance(one, Merge)]


def find_keys_of_one_partition() -> tuple[str, str]:
    """Find two keys of the same partition."""
    keys = [f'k{number}' for number in range(500)]
    first = keys[0]
    partition = partition_of(first, PARTITIONS)
    second = next(
        key for key in keys[1:] if partition_of(key, PARTITIONS) == partition
    )
    return first, second


@pytest.mark.parametrize('prefer', Preference)
def test_hot_key_is_split_out_and_merged_back(prefer: Preference) -> None:
    """A hot key is split out and merged again once it is cold.

    Guards against two hot keys of a partition that overload one target,
    against a split-out key on the same target as before, and against a
    merge before the key has been cold for the configured time, which would
    split and merge it repeatedly.
    """
    policy = policy_for(prefer)
    hot_key_pair = find_keys_of_one_partition()
    partition = partition_of(hot_key_pair[0], PARTITIONS)
    model = PlacementModel(prefer, busy=dict.fromkeys(range(PARTITIONS), 0.1))
    model.plan(0)
    model.busy[partition] = 6
    model.hot_rates = dict.fromkeys(hot_key_pair, 140)
    now = next(
        second
        for second in range(1, 600)
        if model.plan(second) and model.hot_keys
    )
    assert len(model.hot_keys) == 1
    key = next(iter(model.hot_keys))
    split_out = model.hot_keys[key]
    assert model.assignments[split_out] != model.assignments[partition]
    model.busy[partition] = 3
    model.busy[model.hot_keys[key]] = 3
    assert not plan_merges(model, range(now, now + 30))
    model.busy[partition] = 0.1
    model.busy[model.hot_keys[key]] = 0
    model.hot_rates = {}
    cold_since = now + 30
    merge_allowed_at = cold_since + int(policy.merge_after)
    assert not plan_merges(model, range(cold_since, merge_allowed_at))
    assert plan_merges(
        model, range(merge_allowed_at, merge_allowed_at + 120)
    ) == [Merge('s', key)]


def test_overload_is_relieved_within_seconds() -> None:
    """An overload of one target is relieved within 30 s.

    Guards against a planner that waits as long for the confirmation of an
    overload as for that of a small imbalance.
    """
    model = PlacementModel(
        Preference.AVAILABILITY, busy=dict.fromkeys(range(PARTITIONS), 0.15)
    )
    for second in range(120):
        model.plan(second)
    for one, name in model.assignments.items():
        if name == 't0':
            model.busy[one] = 0.6
    assert model.max_utilization > 1
    for second in range(120, 150):
        model.plan(second)
    assert model.max_utilization <= RELIEVED_UTILIZATION


def test_plan_at_design_size_is_cheap() -> None:
    """Plans for 16,384 partitions and 50 targets take little CPU time.

    Guards against a planner whose cost grows so much with the numbers of
    partitions and targets that it delays the other work of the process.
    """
    model = PlacementModel(
        Preference.AVAILABILITY,
        partitions=16_384,
        targets=tuple(f't{number}' for number in range(50)),
    )
    model.plan(0)
    generator = random.Random(1)
    model.busy = {one: generator.random() * 0.02 for one in range(16_384)}
    inputs = model.inputs()
    started_at = time.process_time()
    model.planner.plan(inputs, 5)
    for step in range(1, 100):
        model.planner.plan(inputs, 5 + step / 100)
    cpu_time = time.process_time() - started_at
    assert cpu_time < MAX_PLANNING_TIME
