"""Queueing, refusing, choosing and retrying, each under the load it answers."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodmast.address import Address
from dogwoodmast.direct.admission_queue import (
    AdmissionQueue,
    Waiter,
    retry_delay,
    should_queue,
)
from dogwoodmast.direct.catalog import Target, WeightedService, pick_service
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.directory_sync import (
    SUSPECT_PERIOD,
    SourceSelector,
    StoreSource,
    VmSource,
)
from dogwoodmast.direct.messages import ShardAssignment, ShardUpdate, VmRecord
from dogwoodmast.direct.retry_budget import BUDGET_SHARE, RetryBudget
from dogwoodmast.direct.shard_table import ShardTable
from dogwoodmast.direct.target_choice import RoutingContext, choose_target
from dogwoodmast.direct.target_limiter import TargetLimiter
from dogwoodmast.key_value import Change, ChangePage, Snapshot, StoredValue

ROUNDING = 1e-9
HERE = RoutingContext('a')


def make_limiter(
    name: str = 't', zone: str = 'a', slots: int = 6
) -> TargetLimiter:
    """Make the gate of a target."""
    address = Address('10.0.0.1', 80)
    limiter = TargetLimiter(Target(name, 's', address, zone, slots, False, 1))
    limiter.cap_limit(8)
    return limiter


def test_limit_shrinks_at_a_crowded_target_and_recovers() -> None:
    """A VM gives way while answers are slow, and comes back afterwards."""
    limiter = make_limiter()
    for _ in range(50):
        limiter.in_flight = int(limiter.limit)
        limiter.on_response(0.1)
    roomy = limiter.limit
    for _ in range(10):
        limiter.on_response(0.5)
    assert limiter.limit == 1
    assert roomy > 1
    for _ in range(50):
        limiter.in_flight = int(limiter.limit)
        limiter.on_response(0.1)
    assert limiter.limit > roomy / 2


def test_failing_target_is_chosen_last_and_tried_again() -> None:
    """A target that fails gets little until its time is up."""
    good, bad = make_limiter('good'), make_limiter('bad')
    bad.on_failed(10.0)
    chance = random.Random(1)
    chosen = {choose_target([good, bad], HERE, 10.1, chance) for _ in range(50)}
    assert chosen == {good}
    later = {choose_target([good, bad], HERE, 13.0, chance) for _ in range(50)}
    assert later == {good, bad}


def test_requests_do_not_wait_for_a_target_that_is_gone() -> None:
    """One at a time finds out whether it is back; the rest are told at once."""
    limiter = make_limiter()
    limiter.on_no_response(10.0)
    limiter.in_flight = 1
    assert not limiter.is_down(10.1)
    limiter.on_no_response(10.1)
    assert limiter.is_down(10.2)
    limiter.in_flight = 0
    assert not limiter.is_down(10.2)
    limiter.in_flight = 1
    limiter.on_refused(10.3)
    assert not limiter.is_down(10.4)
    for _ in range(4):
        limiter.on_no_response(10.5)
    assert not limiter.is_down(20.0)
    limiter.on_response(0.1)
    assert not limiter.is_down(10.6)


def test_faster_and_nearer_targets_are_preferred() -> None:
    """Work goes where it is done soonest, but not all of it."""
    fast, slow = make_limiter('fast'), make_limiter('slow')
    for _ in range(30):
        fast.on_response(0.1)
        slow.on_response(0.3)
    chance = random.Random(1)
    near, far = make_limiter('near'), make_limiter('far', zone='b')
    assert choose_target([slow, fast], HERE, 0, chance) is fast
    picks = [choose_target([near, far], HERE, 0, chance) for _ in range(200)]
    assert picks.count(near) > 120


def test_large_answers_stay_in_their_zone() -> None:
    """They leave it only if its targets are crowded."""
    near, far = make_limiter('near'), make_limiter('far', zone='b')
    chance = random.Random(1)
    context = RoutingContext('a', 90_000)
    picks = [choose_target([near, far], context, 0, chance) for _ in range(200)]
    assert picks.count(near) == len(picks)
    for _ in range(40):
        near.on_response(1.0)
    assert choose_target([near, far], context, 0, chance) is far


def test_full_targets_are_not_chosen() -> None:
    """Without room anywhere nothing is chosen."""
    limiter = make_limiter()
    limiter.in_flight = int(limiter.limit)
    assert choose_target([limiter], HERE, 0, random.Random(1)) is None


def test_overload_is_refused_early_and_answers_stay_useful() -> None:
    """At twice the capacity, what is served is served within its objective.

    One target runs 40 requests a second; 80 come.  Callers whose request
    waits longer than it may would get a late answer.
    """
    objective, deadline, pace, slots = 0.5, 1.2, 0.1, 4
    free_at: list[float] = [0 for _ in range(slots)]
    in_time = 0
    late = 0
    refused = 0
    for number in range(800):
        now = number / 80
        soonest = min(free_at)
        waiting = max(0, soonest - now)
        if waiting and not should_queue(waiting, pace, deadline, objective):
            refused += 1
            continue
        free_at[free_at.index(soonest)] = max(soonest, now) + pace
        if waiting + pace <= objective:
            in_time += 1
        else:
            late += 1
    assert late == 0
    assert in_time >= 95 * 40 * 10 // 100
    assert refused > 350


def test_more_urgent_requests_go_first() -> None:
    """The line serves by rank, then by arrival."""
    queue, limiter = AdmissionQueue(), make_limiter()
    ranks = (2, 1, 2, 0)
    waiters = [Waiter(rank, 1.0) for rank in ranks]
    for waiter in waiters:
        queue.add(waiter)
    assert queue.count_ahead(1) == 2
    served = []
    while queue.admit_next(limiter):
        served.append(next(one for one in waiters if one.limiter and one.left))
        waiters.remove(served[-1])
    assert [one.priority for one in served] == [0, 1, 2, 2]


def test_request_is_not_given_a_target_it_was_refused_by() -> None:
    """It keeps its place for another target."""
    queue = AdmissionQueue()
    queue.add(Waiter(1, 1.0, frozenset(('t',))))
    assert not queue.admit_next(make_limiter('t'))
    assert queue.admit_next(make_limiter('u'))


def test_requests_of_a_target_that_left_look_elsewhere() -> None:
    """None waits for what cannot come."""
    queue = AdmissionQueue()
    waiters = [Waiter(1, 1.0) for _ in range(3)]
    for waiter in waiters:
        queue.add(waiter)
    queue.wake_all()
    assert not len(queue)
    assert all(one.ready.is_set() and one.limiter is None for one in waiters)


@given(st.floats(0, 100), st.floats(0, 10), st.floats(0, 1))
def test_return_time_is_one_that_callers_heed(
    wait: float, left: float, point: float
) -> None:
    """It is never more than a third of what the caller has left."""
    time = retry_delay(wait, left, point)
    assert time >= 0
    assert time * 3 < left * (1 + ROUNDING) + ROUNDING


@pytest.mark.parametrize('vms', [1, 3, 12])
def test_retries_of_all_vms_stay_within_one_budget(vms: int) -> None:
    """However requests are spread, each window keeps to the budget."""
    chance = random.Random(vms)
    budgets = [RetryBudget(0.2, 10, 64) for _ in range(vms)]
    firsts: list[float] = []
    further: list[float] = []
    for number in range(6000):
        now = number / 200
        one = budgets[int(chance.random() ** 2 * vms)]
        one.record_request(now)
        firsts.append(now)
        if chance.random() * 5 < 4 and one.try_spend(vms, now):
            further.append(now)
    for start in range(0, 20, 2):
        window = [at for at in further if start <= at < start + 10]
        asked = [at for at in firsts if start <= at < start + 10]
        assert len(window) <= 0.2 * len(asked) + 64
    assert len(further) > BUDGET_SHARE * 0.2 * len(firsts) / 2


def test_shares_follow_their_weights() -> None:
    """Each service gets its part of a route's requests."""
    weighted_services = (WeightedService('a', 90), WeightedService('b', 10))
    chance = random.Random(3)
    picks = [
        pick_service(weighted_services, chance.random()) for _ in range(5000)
    ]
    assert 350 < picks.count('b') < 650
    assert pick_service(weighted_services, 1.0) == 'b'


def record(name: str, zone: str = 'a') -> VmRecord:
    """Make the record of an entry VM."""
    return VmRecord(name, zone, '10.0.0.1:7000', 'i')


def test_one_vm_of_a_zone_reads_the_store() -> None:
    """The others ask it, and whoever is left asks the store."""
    vms = [record(name) for name in ('v1', 'v2', 'v3')]
    vms.append(record('w1', 'b'))
    assert SourceSelector('v1', 'a').choose(vms, 0) == StoreSource()
    assert SourceSelector('w1', 'b').choose(vms, 0) == StoreSource()
    choice = SourceSelector('v3', 'a')
    first = choice.choose(vms, 0)
    assert isinstance(first, VmSource)
    assert first.name == 'v1'
    choice.on_failure(first, 0)
    second = choice.choose(vms, 0.1)
    assert isinstance(second, VmSource)
    assert second.name == 'v2'
    choice.on_failure(second, 0.1)
    assert choice.choose(vms, 0.2) == StoreSource()
    assert choice.choose(vms, SUSPECT_PERIOD + 0.05) == first


def test_vm_that_the_store_turns_away_asks_any_other() -> None:
    """Also one of another zone, rather than nobody."""
    vms = [record('v1'), record('w1', 'b')]
    choice = SourceSelector('v1', 'a')
    choice.on_failure(StoreSource(), 0)
    found = choice.choose(vms, 0.1)
    assert isinstance(found, VmSource)
    assert found.name == 'w1'


def make_directory() -> Directory:
    """Make a copy whose entries decode to their own text."""

    def decode(key: str, content: bytes) -> Target | None:
        if not key.startswith('t/'):
            return None
        name = key.removeprefix('t/')
        born = len(content)
        address = Address('10.0.0.1', 80)
        return Target(name, 's', address, 'a', 4, False, born)

    return Directory(decode)


def test_copy_never_goes_back() -> None:
    """Late, stale and repeated reads change nothing."""
    directory = make_directory()
    fresh = Snapshot(9, (StoredValue('t/x', b'22', 9),))
    stale = Snapshot(7, (StoredValue('t/x', b'1', 7),))
    assert directory.on_snapshot(fresh, 1.0) == ['t/x']
    assert directory.on_snapshot(stale, 2.0) == []
    page = ChangePage(8, (Change('t/x', b'1', 8),))
    assert directory.on_changes(page, 3.0) == []
    assert directory.targets(3.0)['x'].born == 2


def test_removed_entry_is_gone_at_once() -> None:
    """While the store has been up, a missing entry names no target."""
    directory = make_directory()
    directory.on_snapshot(Snapshot(5, (StoredValue('t/x', b'1', 5),)), 1.0)
    directory.on_changes(ChangePage(6, (Change('t/x', None, 6),)), 2.0)
    assert directory.targets(2.0) == {}


def test_entry_that_lapsed_in_an_outage_has_time_to_return() -> None:
    """It counts for two seconds after the store's return, here and there."""
    directory = make_directory()
    directory.on_snapshot(Snapshot(5, (StoredValue('t/x', b'1', 5),)), 1.0)
    directory.on_outage(10.0)
    directory.on_snapshot(Snapshot(8, ()), 10.5)
    other = make_directory()
    other.on_snapshot(Snapshot(5, (StoredValue('t/x', b'1', 5),)), 51.0)
    other.on_page(directory.page_since(5, 11.0), 61.0, 61.0)
    assert set(directory.targets(11.9)) == {'x'}
    assert directory.targets(12.1) == {}
    assert set(other.targets(61.9)) == {'x'}
    assert other.targets(62.1) == {}


def test_heartbeats_are_not_passed_on() -> None:
    """Only entries that say something new reach other VMs."""
    directory = make_directory()
    directory.on_snapshot(Snapshot(5, (StoredValue('t/x', b'1', 5),)), 1.0)
    page = ChangePage(6, (Change('t/x', b'2', 6),))
    assert directory.on_changes(page, 2.0) == []
    assert directory.page_since(5, 2.0).items == ()
    assert directory.revision == 6


def piece(first: int, last: int, target: str) -> ShardAssignment:
    """Make an assignment."""
    return ShardAssignment(first, last, target, 1, 1, True)


RANGES = st.lists(
    st.tuples(st.integers(0, 60), st.integers(0, 20), st.sampled_from('abc')),
    max_size=12,
)


@given(RANGES)
def test_table_gives_the_latest_holder_of_each_key(
    ranges: list[tuple[int, int, str]],
) -> None:
    """Overlaid assignments act like single keys written one by one."""
    table = ShardTable()
    expected: dict[int, str] = {}
    for number, (first, width, target) in enumerate(ranges, 1):
        changed = (piece(first, first + width, target),)
        update = ShardUpdate('s', 1, number - 1, number, changed)
        assert table.on_update(update)
        for key in range(first, first + width + 1):
            expected[key] = target
    for key in range(90):
        found = table.find(key)
        holder = found.target if found else None
        assert holder == expected.get(key)


def test_table_asks_for_what_it_missed() -> None:
    """A change that builds on an unknown version is not taken."""
    table = ShardTable()
    whole = ShardUpdate('s', 1, 0, 3, (piece(0, 9, 'a'),))
    assert table.on_update(whole)
    late = ShardUpdate('s', 1, 5, 6, (piece(0, 4, 'b'),))
    assert not table.on_update(late)
    assert table.number == 3
    old = ShardUpdate('s', 1, 0, 2, (piece(0, 9, 'c'),))
    assert table.on_update(old)
    found = table.find(0)
    assert found is not None
    assert found.target == 'a'
