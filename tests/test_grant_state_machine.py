"""Keys are held by one target at a time, whatever fails."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dogwoodmast.direct.grant_state_machine import (
    PROBE_TIMEOUT,
    GrantAnswer,
    GrantCall,
    GrantStateMachine,
    ReleaseCall,
)
from dogwoodmast.direct.shard import DISTANT_PAST, Phase
from grant_simulation import HOLD, GrantWorld, Pending, Stray

NAMES = ('t1', 't2', 't3')
STEPS = settings(max_examples=200, stateful_step_count=50, deadline=None)
DRAWN = st.integers(0, 1_000_000)


class GrantMachine(RuleBasedStateMachine):
    """Schedules of coordinators, targets and calls."""

    keeper_class: Any = GrantStateMachine

    def __init__(self) -> None:
        """Start with two targets and a coordinator."""
        super().__init__()
        self.world = GrantWorld(self.keeper_class)
        for name in NAMES[:2]:
            self.world.start_target(name)
        self.world.start_reign()

    @rule(seconds=st.sampled_from((0.05, 0.5, 2.0, 3.5)))
    def advance(self, seconds: float) -> None:
        """Let time pass; held-up calls do not outlive their connection."""
        self.world.now += seconds
        for one in tuple(self.world.pending):
            if self.world.now > one.sent + HOLD / 10:
                self.world.lose(one)

    @rule(choice=DRAWN)
    def step(self, choice: int) -> None:
        """Let the coordinators act."""
        self.world.step(lambda usable: usable[choice % len(usable)])

    @precondition(lambda self: self.world.pending)
    @rule(choice=DRAWN)
    def answer(self, choice: int) -> None:
        """Answer a call."""
        self.world.answer(self.drawn_call(choice))

    @precondition(lambda self: self.world.pending)
    @rule()
    def answer_all(self) -> None:
        """Answer all calls."""
        for one in tuple(self.world.pending):
            self.world.answer(one)

    @precondition(lambda self: self.world.pending)
    @rule(choice=DRAWN)
    def lose(self, choice: int) -> None:
        """Lose the answer to a call; a grant is applied later."""
        self.world.lose(self.drawn_call(choice))

    @precondition(lambda self: self.world.strays)
    @rule(choice=DRAWN)
    def apply_stray(self, choice: int) -> None:
        """Apply a grant late."""
        strays: list[Stray] = self.world.strays
        self.world.apply_stray(strays[choice % len(strays)])

    @rule(name=st.sampled_from(NAMES))
    def start_target(self, name: str) -> None:
        """Start a target, or start it again."""
        self.world.start_target(name)

    @rule(name=st.sampled_from(NAMES), choice=DRAWN)
    def end_target(self, name: str, choice: int) -> None:
        """Let a target leave, crash or lose its listing."""
        if name in self.world.listed:
            world = self.world
            (world.leave, world.crash, world.hide)[choice % 3](name)

    @rule(choice=DRAWN)
    def move(self, choice: int) -> None:
        """Send a range elsewhere."""
        keeper = self.world.reign.keeper
        shard = keeper.shards[choice % len(keeper.shards)]
        usable = keeper.usable_targets(self.world.now)
        if shard.phase is Phase.OWNED and usable:
            shard.destination = usable[choice % len(usable)].name

    @rule()
    def take_over(self) -> None:
        """Let another coordinator take over."""
        self.world.start_reign()

    @invariant()
    def one_holder(self) -> None:
        """No two targets hold a key."""
        self.world.check_holders()

    def drawn_call(self, choice: int) -> Pending:
        """Choose a call that is under way."""
        pending: list[Pending] = self.world.pending
        return pending[choice % len(pending)]


def test_one_holder() -> None:
    """The rules hold on every schedule."""
    run_state_machine_as_test(GrantMachine, settings=STEPS)


class ImpatientKeeper(GrantStateMachine):
    """Does not wait for a silent target's hold to run out."""

    def on_grant(self, call: GrantCall, *rest: Any) -> None:
        """Forget how long the target may hold the keys."""
        super().on_grant(call, *rest)
        call.shard.held_until = DISTANT_PAST

    def restore(self, *rest: Any) -> None:
        """Forget how long targets may hold keys of earlier reigns."""
        super().restore(*rest)
        for shard in self.shards:
            shard.held_until = DISTANT_PAST


class CarelessKeeper(GrantStateMachine):
    """Releases keys while an earlier grant may yet be applied."""

    def on_grant(self, call: GrantCall, *rest: Any) -> None:
        """Forget that a grant may be applied later."""
        super().on_grant(call, *rest)
        call.shard.delayed_grant_until = DISTANT_PAST

    def restore(self, *rest: Any) -> None:
        """Forget that earlier grants may be applied later."""
        super().restore(*rest)
        for shard in self.shards:
            shard.delayed_grant_until = DISTANT_PAST


class ForgetfulKeeper(GrantStateMachine):
    """Does not count the time in which an earlier reign may act on."""

    def restore(self, record: Any, now: float, grant_window: float) -> None:
        """Take the earlier reign for ended, with its grants."""
        super().restore(record, now, -self.max_hold_time)


@pytest.mark.parametrize(
    'broken', [ImpatientKeeper, CarelessKeeper, ForgetfulKeeper]
)
def test_broken_rule_is_found(broken: type[GrantStateMachine]) -> None:
    """Each waiting rule is needed: without it a key has two holders."""
    machine = type('BrokenMachine', (GrantMachine,), {'keeper_class': broken})
    search = settings(
        max_examples=3000,
        stateful_step_count=50,
        deadline=None,
        report_multiple_bugs=False,
        print_blob=False,
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=search)


def started_world() -> GrantWorld:
    """Make a world whose keys are held by one target."""
    world = GrantWorld()
    world.start_target('t1')
    world.start_reign()
    world.step(lambda usable: usable[0])
    for one in tuple(world.pending):
        world.answer(one)
    return world


def test_keys_of_a_leaving_target_move_at_once() -> None:
    """A target that answers gives its keys back without any wait."""
    world = started_world()
    world.start_target('t2')
    world.leave('t1')
    for _ in range(3):
        world.step(lambda usable: usable[0])
        for one in tuple(world.pending):
            world.answer(one)
    holders = {shard.target for shard in world.reign.keeper.shards}
    assert holders == {'t2'}
    assert all(shard.is_open for shard in world.reign.keeper.shards)


def test_successor_moves_keys_without_waiting() -> None:
    """A new coordinator fences earlier grants off instead of waiting."""
    world = started_world()
    world.start_target('t2')
    world.start_reign()
    world.leave('t1')
    for _ in range(4):
        world.step(lambda usable: usable[0])
        for one in tuple(world.pending):
            world.answer(one)
    assert {shard.target for shard in world.reign.keeper.shards} == {'t2'}


def test_silent_target_keeps_its_keys_for_its_hold() -> None:
    """Keys of a target that does not answer move once its hold has ended."""
    world = started_world()
    world.start_target('t2')
    world.hide('t1')
    world.step(lambda usable: usable[-1])
    for one in tuple(world.pending):
        assert isinstance(one.call, ReleaseCall)
        world.lose(one)
    world.now += HOLD - PROBE_TIMEOUT
    world.step(lambda usable: usable[-1])
    for one in tuple(world.pending):
        world.lose(one)
    world.now += PROBE_TIMEOUT
    world.step(lambda usable: usable[-1])
    assert not world.pending
    assert {one.phase for one in world.reign.keeper.shards} == {Phase.EXPIRING}
    world.now += HOLD / 10
    world.step(lambda usable: usable[-1])
    world.step(lambda usable: usable[-1])
    assert {one.target for one in world.reign.keeper.shards} == {'t2'}


def test_reused_address_frees_keys_at_once() -> None:
    """Another target at the address proves that the holder has ended."""
    world = started_world()
    world.start_target('t2')
    world.hide('t1')
    world.step(lambda usable: usable[-1])
    for one in tuple(world.pending):
        world.lose(one)
    world.now += 1.0
    world.step(lambda usable: usable[-1])
    assert world.pending
    for one in tuple(world.pending):
        assert isinstance(one.call, ReleaseCall)
        world.pending.remove(one)
        one.reign.keeper.on_release(
            one.call, GrantAnswer.WRONG_TARGET, '', world.now
        )
    world.step(lambda usable: usable[-1])
    assert {one.target for one in world.reign.keeper.shards} == {'t2'}


def test_unreachable_target_loses_its_keys() -> None:
    """A listed target whose grants fail is given up with its hold."""
    world = started_world()
    world.start_target('t2')
    for _ in range(6):
        world.now += 2.0
        world.step(lambda usable: usable[-1])
        for one in tuple(world.pending):
            keeper = one.reign.keeper
            if one.call.target.name == 't1':
                world.pending.remove(one)
                assert isinstance(one.call, GrantCall)
                keeper.on_grant(
                    one.call, GrantAnswer.UNSENT, one.sent, world.now
                )
            else:
                world.answer(one)
    assert {one.target for one in world.reign.keeper.shards} == {'t2'}


@pytest.mark.parametrize(
    'answer', [GrantAnswer.UNSENT, GrantAnswer.WRONG_TARGET]
)
def test_target_that_cannot_be_granted_keys_is_passed_over(
    answer: GrantAnswer,
) -> None:
    """Keys go to another target at once, and not back for a while."""
    world = GrantWorld()
    world.start_target('t1')
    world.start_target('t2')
    world.start_reign()
    world.step(lambda usable: usable[0])
    keeper = world.reign.keeper
    for one in tuple(world.pending):
        world.pending.remove(one)
        assert isinstance(one.call, GrantCall)
        keeper.on_grant(one.call, answer, one.sent, world.now)
    world.step(lambda usable: usable[0])
    assert {one.call.target.name for one in world.pending} == {'t2'}
    assert [one.name for one in keeper.usable_targets(world.now)] == ['t2']
