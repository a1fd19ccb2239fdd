"""Placement: every partition owned, budgets kept, nothing flaps."""

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
PARTITION_LIMIT = PARTITIONS + 8
TARGETS = tuple(f't{number}' for number in range(4))
SLOTS = 6
SETTLED = 0.9
"""Highest utilization once a load of 0.7 has settled."""
RELIEVED = 0.8
"""Highest utilization once an overload has been relieved."""
PLAN_BOUND = 0.5
"""Most that a plan at the design size may take here, in seconds."""

preferences = st.sampled_from(Preference)


@attrs.define
class ZoneState:
    """A zone whose record follows the planner's changes."""

    prefer: Preference
    assignments: dict[int, str] = attrs.field(factory=dict)
    hot_keys: dict[str, int] = attrs.field(factory=dict)
    busy: dict[int, float] = attrs.field(factory=dict)
    hot_rates: dict[str, float] = attrs.field(factory=dict)
    excluded: frozenset[str] = frozenset()
    partitions: int = PARTITIONS
    targets: tuple[str, ...] = TARGETS
    planner: BalancingPlanner = attrs.field(factory=BalancingPlanner)

    def known(self) -> PlacementInput:
        """What the planner sees."""
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
        """Plan and take the changes into the record."""
        changes = self.planner.plan(self.known(), now)
        for change in changes:
            self.apply(change)
        return changes

    def apply(self, change: PlacementChange) -> None:
        """Take one change into the record."""
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
    def highest(self) -> float:
        """Highest utilization of a target."""
        return max(self.utilizations())

    def utilizations(self) -> list[float]:
        """Busy slots per target that may own keys, as shares."""
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


def touched(
    changes: tuple[PlacementChange, ...], state: ZoneState
) -> list[int]:
    """List the partitions that changes are about."""
    found = []
    for change in changes:
        match change:
            case Move(_, partition, _):
                found.append(partition)
            case Split(_, key, _):
                found.append(partition_of(key, state.partitions))
            case Merge(_, key):
                found.append(state.hot_keys[key])
    return found


@st.composite
def zone_states(draw: st.DrawFn) -> ZoneState:
    """Draw any record, load and exclusions, also odd ones."""
    owners = st.sampled_from((*TARGETS, 'removed'))
    numbers = st.integers(0, PARTITIONS - 1)
    split = draw(st.lists(st.integers(0, 200), unique=True, max_size=8))
    hot_keys = {
        f'k{key}': PARTITIONS + place for place, key in enumerate(split)
    }
    assignments = draw(st.dictionaries(numbers, owners))
    for partition in hot_keys.values():
        assignments[partition] = draw(owners)
    return ZoneState(
        prefer=draw(preferences),
        assignments=assignments,
        hot_keys=hot_keys,
        busy=draw(
            st.dictionaries(
                st.integers(0, PARTITION_LIMIT), st.floats(0, 4), max_size=40
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


@given(state=zone_states(), exclusions=exclusions)
def test_every_partition_gets_an_allowed_owner(
    state: ZoneState, exclusions: list[frozenset[str]]
) -> None:
    """Each plan leaves no partition unowned and has no conflicts."""
    twin = attrs.evolve(
        state,
        assignments=dict(state.assignments),
        hot_keys=dict(state.hot_keys),
        planner=BalancingPlanner(),
    )
    for step, excluded in enumerate(exclusions):
        now = step * 1000.0
        state.excluded = excluded
        twin.excluded = excluded
        allowed = set(TARGETS) - excluded
        planned = state.planner.plan(state.known(), now)
        about = touched(planned, state)
        assert len(about) == len(set(about))
        assert twin.plan(now) == planned
        for change in planned:
            state.apply(change)
        if allowed:
            owned = (*range(PARTITIONS), *state.hot_keys.values())
            assert {state.assignments[one] for one in owned} <= allowed
        else:
            assert not planned


@pytest.mark.parametrize('prefer', Preference)
def test_loss_moves_nothing_else(prefer: Preference) -> None:
    """A lost target's partitions all move at once, and no other one."""
    state = ZoneState(prefer, busy=dict.fromkeys(range(PARTITIONS), 0.2))
    state.plan(0)
    lost = {one for one, name in state.assignments.items() if name == 't1'}
    state.excluded = frozenset(('t1',))
    moved = [change for change in state.plan(1) if isinstance(change, Move)]
    assert {move.partition for move in moved} == lost
    assert state.highest < 1.15 * min(state.utilizations())


@pytest.mark.parametrize('prefer', Preference)
def test_budget_bounds_moves(prefer: Preference) -> None:
    """However the load jumps, moves are bounded and a partition rests."""
    policy = policy_for(prefer)
    draws = random.Random(7)
    state = ZoneState(prefer)
    state.plan(0)
    changes = 0
    moved_at: dict[int, int] = {}
    for second in range(1, 1200):
        if second % 20 == 0:
            state.busy = {
                one: draws.random() ** 8 * 4 for one in range(PARTITIONS)
            }
        planned = state.plan(second)
        changes += len(planned)
        for partition in touched(planned, state):
            since = second - moved_at.get(partition, -1200)
            assert since >= policy.min_residence
            moved_at[partition] = second
    per_minute = policy.moves(PARTITIONS, urgent=True)
    assert 0 < changes <= per_minute * (1200 / 60 + 1)


@pytest.mark.parametrize('prefer', Preference)
def test_steady_noisy_load_settles(prefer: Preference) -> None:
    """Under a steady load with noise, moves come to an end."""
    draws = random.Random(3)
    steady = [draws.random() ** 3 for _ in range(PARTITIONS)]
    scale = 0.7 * SLOTS * len(TARGETS) / sum(steady)
    state = ZoneState(prefer)
    last_change = 0
    for second in range(3600):
        state.busy = {
            one: share * scale * draws.uniform(0.9, 1.1)
            for one, share in enumerate(steady)
        }
        if state.plan(second):
            last_change = second
    assert last_change < 1200
    assert state.highest <= SETTLED


def merges(state: ZoneState, seconds: range) -> list[Merge]:
    """Plan for a while and list the merges."""
    changes = [one for second in seconds for one in state.plan(second)]
    return [one for one in changes if isinstance(one, Merge)]


def hot_pair() -> tuple[str, str]:
    """Find two keys of one partition."""
    keys = [f'k{number}' for number in range(500)]
    first = keys[0]
    same = partition_of(first, PARTITIONS)
    second = next(
        key for key in keys[1:] if partition_of(key, PARTITIONS) == same
    )
    return first, second


@pytest.mark.parametrize('prefer', Preference)
def test_hot_key_is_split_out_and_merged_back(prefer: Preference) -> None:
    """Two hot keys of one partition part, and return once they are cold."""
    policy = policy_for(prefer)
    pair = hot_pair()
    partition = partition_of(pair[0], PARTITIONS)
    state = ZoneState(prefer, busy=dict.fromkeys(range(PARTITIONS), 0.1))
    state.plan(0)
    state.busy[partition] = 6
    state.hot_rates = dict.fromkeys(pair, 140)
    now = next(
        second
        for second in range(1, 600)
        if state.plan(second) and state.hot_keys
    )
    assert len(state.hot_keys) == 1
    key = next(iter(state.hot_keys))
    split_out = state.hot_keys[key]
    assert state.assignments[split_out] != state.assignments[partition]
    state.busy[partition] = 3
    state.busy[state.hot_keys[key]] = 3
    assert not merges(state, range(now, now + 30))
    state.busy[partition] = 0.1
    state.busy[state.hot_keys[key]] = 0
    state.hot_rates = {}
    cold = now + 30
    later = cold + int(policy.merge_after)
    assert not merges(state, range(cold, later))
    assert merges(state, range(later, later + 120)) == [Merge('s', key)]


def test_overload_is_relieved_within_seconds() -> None:
    """A station's rush on one target ends within seconds."""
    state = ZoneState(
        Preference.AVAILABILITY, busy=dict.fromkeys(range(PARTITIONS), 0.15)
    )
    for second in range(120):
        state.plan(second)
    for one, name in state.assignments.items():
        if name == 't0':
            state.busy[one] = 0.6
    assert state.highest > 1
    for second in range(120, 150):
        state.plan(second)
    assert state.highest <= RELIEVED


def test_plan_at_design_size_is_cheap() -> None:
    """A plan over 16,384 partitions stays far below its interval."""
    state = ZoneState(
        Preference.AVAILABILITY,
        partitions=16_384,
        targets=tuple(f't{number}' for number in range(50)),
    )
    state.plan(0)
    draws = random.Random(1)
    state.busy = {one: draws.random() * 0.02 for one in range(16_384)}
    known = state.known()
    began = time.process_time()
    state.planner.plan(known, 5)
    for step in range(1, 100):
        state.planner.plan(known, 5 + step / 100)
    taken = time.process_time() - began
    assert taken < PLAN_BOUND
