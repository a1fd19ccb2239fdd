"""Targets, a store and coordinators for tests of grants, without I/O.

Time is a number that the test advances.  A target holds keys as the platform
says: a grant lasts from its arrival, also when it is applied later; a grant
below a fence that was seen is refused; a release takes keys back.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from dogwoodmast.address import Address
from dogwoodmast.direct.catalog import Target
from dogwoodmast.direct.grant_state_machine import (
    CLOCK_DRIFT,
    GrantAnswer,
    GrantCall,
    GrantStateMachine,
    TargetCall,
)
from dogwoodmast.direct.leadership import LEASE_TTL
from dogwoodmast.direct.messages import ShardRecord
from dogwoodmast.direct.shard import Phase, Shard

SERVICE = 'balance'
HOLD = 6.0
KEYS = 4
"""Keys of the service; the last shard ends with them."""


@attrs.define
class Held:
    """Grant of one key at one life of a target."""

    fence: int
    until: float


@attrs.define(eq=False)
class Life:
    """One life of a target."""

    target: Target
    holds: dict[int, Held] = attrs.field(factory=dict)
    seen: dict[int, int] = attrs.field(factory=dict)
    up: bool = True

    def held_keys(self, now: float) -> set[int]:
        """Find the keys that it holds."""
        if not self.up:
            return set()
        return {key for key, held in self.holds.items() if now < held.until}

    def grant(self, call: GrantCall, keys: range, arrived: float) -> bool:
        """Apply a grant; tell whether it was accepted."""
        if any(self.seen.get(key, 0) > call.fence for key in keys):
            return False
        for key in keys:
            self.seen[key] = call.fence
            until = arrived + call.hold * (1 + CLOCK_DRIFT)
            known = self.holds.get(key)
            if known is not None and known.fence == call.fence:
                until = max(until, known.until)
            self.holds[key] = Held(call.fence, until)
        return True

    def release(self, keys: range) -> None:
        """Take keys back."""
        for key in keys:
            self.holds.pop(key, None)


@attrs.define(eq=False)
class Pending:
    """Call that a coordinator has made."""

    reign: Reign
    call: TargetCall
    keys: range
    sent: float


@attrs.define(eq=False)
class Stray:
    """Grant that arrived and is applied later."""

    life: Life
    call: GrantCall
    keys: range
    arrived: float


@attrs.define(eq=False)
class Reign:
    """A coordinator and the time until which it may act."""

    keeper: GrantStateMachine
    valid_until: float


@attrs.define(eq=False)
class GrantWorld:
    """Everything around the machine that grants keys."""

    make_keeper: Callable[[str, int, float], GrantStateMachine] = (
        GrantStateMachine
    )
    now: float = 100.0
    epoch: int = 0
    lives: dict[tuple[str, int], Life] = attrs.field(factory=dict)
    listed: dict[str, Target] = attrs.field(factory=dict)
    record: ShardRecord | None = None
    reigns: list[Reign] = attrs.field(factory=list)
    pending: list[Pending] = attrs.field(factory=list)
    strays: list[Stray] = attrs.field(factory=list)
    fences: dict[int, tuple[int, tuple[str, int]]] = attrs.field(factory=dict)

    @property
    def reign(self) -> Reign:
        """The coordinator that the store lists."""
        return self.reigns[-1]

    def start_target(self, name: str) -> None:
        """Start a target, or a new life of it."""
        old = self.listed.get(name)
        if old is not None:
            self.lives[old.name, old.born].up = False
        born = int(self.now * 1000) + len(self.lives)
        address = Address('10.0.0.1', 1000 + len(self.lives))
        target = Target(name, SERVICE, address, 'a', 4, False, born)
        self.listed[name] = target
        self.lives[name, born] = Life(target)

    def leave(self, name: str) -> None:
        """Let a target ask for no more requests."""
        self.listed[name] = attrs.evolve(self.listed[name], leaving=True)

    def crash(self, name: str) -> None:
        """End a target's life; its listing lapses."""
        target = self.listed.pop(name)
        self.lives[target.name, target.born].up = False

    def hide(self, name: str) -> None:
        """Let a target's listing lapse while it lives on."""
        self.listed.pop(name)

    def start_reign(self) -> None:
        """Let a coordinator take over; the earlier one may act on a while."""
        self.epoch += 1
        keeper = self.make_keeper(SERVICE, self.epoch, HOLD)
        if self.record is None:
            keeper.shards = [Shard(0, 1), Shard(2, KEYS - 1)]
        else:
            keeper.restore(self.record, self.now, LEASE_TTL)
        for one in self.reigns:
            one.valid_until = min(one.valid_until, self.now + LEASE_TTL)
        self.reigns.append(Reign(keeper, float('inf')))

    def step(self, choose: Callable[[list[Target]], Target]) -> None:
        """Let every coordinator that may act do what is due."""
        for reign in self.reigns:
            if self.now >= reign.valid_until:
                continue
            keeper = reign.keeper
            keeper.on_targets(
                self.listed.values(),
                [life.target for life in self.lives.values()],
            )
            if reign is self.reign:
                self._place(keeper, choose)
            for call in keeper.tick(self.now):
                shard = call.shard
                keys = range(shard.first, shard.last + 1)
                order = Pending(reign, call, keys, self.now)
                self.pending.append(order)

    def answer(self, pending: Pending) -> None:
        """Carry a call out and give its answer."""
        self.pending.remove(pending)
        life = self.life_of(pending.call)
        self._tell(pending, self._carry_out(pending, life))

    def _carry_out(self, pending: Pending, life: Life) -> GrantAnswer:
        if life.up and isinstance(pending.call, GrantCall):
            accepted = self.apply(life, pending.call, pending.keys, self.now)
            return GrantAnswer.ACCEPTED if accepted else GrantAnswer.STALE_FENCE
        if not life.up:
            has_successor = pending.call.target.name in self.listed
            return (
                GrantAnswer.WRONG_TARGET
                if has_successor
                else GrantAnswer.UNKNOWN
            )
        life.release(pending.keys)
        return GrantAnswer.ACCEPTED

    def lose(self, pending: Pending) -> None:
        """Give no answer; a grant arrives and is applied at some later time."""
        self.pending.remove(pending)
        life = self.life_of(pending.call)
        if isinstance(pending.call, GrantCall) and life.up:
            self.strays.append(
                Stray(life, pending.call, pending.keys, self.now)
            )
        self._tell(pending, GrantAnswer.UNKNOWN)

    def apply_stray(self, stray: Stray) -> None:
        """Apply a grant that arrived earlier."""
        self.strays.remove(stray)
        if stray.life.up:
            self.apply(stray.life, stray.call, stray.keys, stray.arrived)

    def apply(
        self, life: Life, call: GrantCall, keys: range, arrived: float
    ) -> bool:
        """Apply a grant, and check its fence against other targets'."""
        taken = set(keys) - life.held_keys(self.now)
        accepted = life.grant(call, keys, arrived)
        own = (life.target.name, life.target.born)
        for key in taken & life.held_keys(self.now) if accepted else ():
            fence, holder = self.fences.get(key, (0, own))
            assert holder == own or call.fence > fence, (
                f'{own} takes key {key} with fence {call.fence}, '
                f'{holder} had it with {fence}'
            )
            self.fences[key] = max((fence, holder), (call.fence, own))
        return accepted

    def life_of(self, call: TargetCall) -> Life:
        """Find the life of a target that a call goes to."""
        return self.lives[call.target.name, call.target.born]

    def check_holders(self) -> None:
        """Fail if two lives hold the same key."""
        holders: dict[int, str] = {}
        for life in self.lives.values():
            for key in life.held_keys(self.now):
                other = holders.setdefault(key, life.target.name)
                assert other == life.target.name, (
                    f'key {key} is held by {other} and {life.target.name}'
                )

    def _tell(self, pending: Pending, answer: GrantAnswer) -> None:
        if self.now >= pending.reign.valid_until:
            return
        keeper = pending.reign.keeper
        if isinstance(pending.call, GrantCall):
            keeper.on_grant(pending.call, answer, pending.sent, self.now)
        else:
            keeper.on_release(pending.call, answer, '', self.now)

    def _place(
        self,
        keeper: GrantStateMachine,
        choose: Callable[[list[Target]], Target],
    ) -> None:
        usable = keeper.usable_targets(self.now)
        free = [one for one in keeper.shards if one.phase is Phase.FREE]
        if not usable or not free:
            return
        for shard in free:
            keeper.assign(shard, choose(usable))
        self.record = ShardRecord(
            SERVICE,
            keeper.epoch,
            1,
            tuple(one.assignment for one in keeper.shards),
        )
        keeper.on_recorded(free, self.now)
