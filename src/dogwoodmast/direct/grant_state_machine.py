"""Grants of a service's keys, so that no two targets hold one.

The machine is free of I/O and clocks.  It rests on these rules:

- A target is written to the store before it is granted keys, so that a
  successor knows everyone who may hold them.
- Keys leave a target by its answer to a release, or after the longest time
  for which any grant to it may last.
- A release counts only if no earlier grant can be applied after it.  Where
  one might, a grant with a higher fence is acknowledged first: the target
  refuses lower fences from then on.
"""

from __future__ import annotations

import enum
import itertools
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.catalog import Target
from dogwoodmast.direct.shard import DISTANT_PAST, NO_TARGET, Phase, Shard

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dogwoodmast.direct.messages import ShardRecord

KEY_COUNT = 65_536
"""Keys of a service."""
FENCES_PER_EPOCH = 1_048_576
"""Fencing tokens that one reign can give out; the reign's own number is a
store revision, so that a token stays below 2**53 for 2**33 revisions."""
CLOCK_DRIFT = 0.02
"""Part by which a target's clock may run slow; a bound of the platform."""
ARRIVAL_MARGIN = 0.3
"""Time by which a grant may arrive after its connection was reset, in
seconds; the platform's allowance for packets held up on the way."""
RENEWALS_PER_HOLD = 4
"""Renewals within a hold; what is left of it when a coordinator has lost the
store carries the keys through an outage of twice its lease."""
PROBE_TIMEOUT = 0.6
"""Time allowed for an answer to such a question, in seconds; it must not hold
the keys back once the target's hold has run out."""
PROBE_INTERVAL = 1.0
"""Pause between questions to a target that did not answer, in seconds; its
address may go to another one two seconds after its end."""
AVOIDANCE = 4.0
"""Time for which a target that did not answer is given no further keys, in
seconds; the contact bound of the platform and a heartbeat."""
REBIRTH_DELAY = 2.0
"""Time to wait after a broken call until the target's listing would show a
new life, in seconds; two heartbeats and the lag of the copy."""


class GrantAnswer(enum.Enum):
    """How a call to a target ended."""

    ACCEPTED = 'accepted'
    """The target did what it was asked."""
    STALE_FENCE = 'outdated'
    """The target has seen a higher fence."""
    WRONG_TARGET = 'another'
    """Another target has the address, so the one that was meant has ended."""
    UNSENT = 'unsent'
    """No connection could be made, so nothing was sent."""
    UNKNOWN = 'unknown'
    """No answer came; the call may yet take effect."""


@attrs.frozen
class GrantCall:
    """Order to grant or renew keys."""

    shard: Shard
    """Range of keys."""
    target: Target
    """Target to call."""
    fence: int
    """Fencing token."""
    hold: float
    """Time for which the keys are granted, in seconds."""
    handover: str
    """State token of the last holder, empty if there is none."""


@attrs.frozen
class ReleaseCall:
    """Order to take keys back."""

    shard: Shard
    """Range of keys."""
    target: Target
    """Target to call."""
    fence: int
    """Fencing token."""
    is_probe: bool = False
    """Whether the target did not answer before."""


TargetCall = GrantCall | ReleaseCall


def divide_keys(count: int) -> list[Shard]:
    """Cut the key space into equal free ranges.

    :param count: Number of ranges.
    :return: The ranges in the order of their keys.
    """
    bounds = [KEY_COUNT * step // count for step in range(count + 1)]
    return [
        Shard(first, following - 1)
        for first, following in itertools.pairwise(bounds)
    ]


@attrs.define(eq=False)
class GrantStateMachine:
    """Machine that follows who holds the keys of one service."""

    service: str
    """Name of the service."""
    epoch: int
    """Number of the reign."""
    hold: float
    """Time for which keys are granted, in seconds."""
    shards: list[Shard] = attrs.field(factory=list)
    """Ranges in the order of their keys."""
    _targets: dict[str, Target] = attrs.field(factory=dict)
    _last_known: dict[tuple[str, int], Target] = attrs.field(factory=dict)
    _avoided: dict[str, float] = attrs.field(factory=dict)
    _fences: int = 0
    _changed: list[Shard] = attrs.field(factory=list)

    @property
    def max_hold_time(self) -> float:
        """Time after a grant's arrival when it has surely run out."""
        return self.hold * (1 + CLOCK_DRIFT) + ARRIVAL_MARGIN

    @property
    def targets(self) -> Mapping[str, Target]:
        """Targets that are listed, by name."""
        return self._targets

    def usable_targets(self, now: float) -> list[Target]:
        """Find the targets that may be granted keys.

        :param now: Steady time in seconds.
        :return: Targets that are listed, not leaving and answer calls.
        """
        return [
            target
            for target in self._targets.values()
            if not target.leaving and now >= self._avoided.get(target.name, 0)
        ]

    def restore(
        self, record: ShardRecord, now: float, grant_window: float
    ) -> None:
        """Take over what an earlier reign wrote.

        :param record: Record of the store.
        :param now: Steady time in seconds.
        :param grant_window: Time for which grants of earlier reigns may go on
            arriving, in seconds.
        """
        until = now + grant_window + self.max_hold_time
        for one in record.assignments:
            shard = Shard(one.first, one.last, one.target, one.born, one.fence)
            if one.target:
                shard.phase = Phase.OWNED
                shard.held_until = until
                shard.delayed_grant_until = until
                shard.is_open = True
            self.shards.append(shard)

    def on_targets(
        self, targets: Iterable[Target], gone: Iterable[Target] = ()
    ) -> None:
        """Learn which targets are listed.

        :param targets: Targets of the service.
        :param gone: Targets that were listed earlier; they may yet hold
            keys, and may answer.
        """
        self._targets = {target.name: target for target in targets}
        for target in (*gone, *self._targets.values()):
            self._last_known[target.name, target.born] = target

    def tick(self, now: float) -> list[TargetCall]:
        """Find what has to be done now.

        :param now: Steady time in seconds.
        :return: Calls to make.
        """
        calls: list[TargetCall] = []
        for shard in self.shards:
            call = self._next_call(shard, now)
            if call is not None:
                shard.in_call = True
                calls.append(call)
        return calls

    def take_changed(self) -> list[Shard]:
        """Take the ranges that entry VMs have to be told of.

        :return: Ranges whose holder or state changed.
        """
        changed = self._changed
        self._changed = []
        return changed

    def assign(self, shard: Shard, target: Target) -> None:
        """Choose the next target of a free range, to be recorded first.

        :param shard: Free range.
        :param target: Target that is to hold it.
        """
        assert shard.phase is Phase.FREE
        shard.phase = Phase.RECORDING
        shard.target = target.name
        shard.born = target.born
        shard.fence = self._next_fence()
        shard.destination = NO_TARGET

    def on_recorded(self, shards: Iterable[Shard], now: float) -> None:
        """Note that assignments lie in the store.

        :param shards: Ranges that were written.
        :param now: Steady time in seconds.
        """
        for shard in shards:
            shard.phase = Phase.OWNED
            shard.next_call_at = now
            self._changed.append(shard)

    def on_grant(
        self, call: GrantCall, answer: GrantAnswer, sent: float, now: float
    ) -> None:
        """Learn how a grant ended.

        :param call: The call.
        :param answer: How it ended.
        :param sent: Steady time at which it was sent, in seconds.
        :param now: Steady time in seconds.
        """
        shard = call.shard
        shard.in_call = False
        if answer is not GrantAnswer.UNSENT:
            shard.held_until = max(shard.held_until, now + self.max_hold_time)
        match answer:
            case GrantAnswer.ACCEPTED:
                self._on_accepted(shard, call, sent)
            case GrantAnswer.STALE_FENCE:
                shard.fence = self._next_fence()
                shard.next_call_at = now
            case GrantAnswer.WRONG_TARGET:
                self._avoided[shard.target] = now + AVOIDANCE
                self._free(shard)
            case _:
                self._on_unanswered(shard, answer, now)

    def on_release(
        self,
        call: ReleaseCall,
        answer: GrantAnswer,
        handover: str,
        now: float,
    ) -> None:
        """Learn how a release ended.

        :param call: The call.
        :param answer: How it ended.
        :param handover: State token that the target gave.
        :param now: Steady time in seconds.
        """
        shard = call.shard
        shard.in_call = False
        match answer:
            case GrantAnswer.WRONG_TARGET:
                self._free(shard)
            case GrantAnswer.ACCEPTED if now >= shard.delayed_grant_until:
                self._free(shard)
                shard.handover = handover
            case _:
                shard.phase = Phase.EXPIRING
                shard.next_call_at = now + PROBE_INTERVAL

    def split(self, shard: Shard, at: int) -> Shard:
        """Cut a range that no call is under way for.

        :param shard: Range.
        :param at: First key of the upper part.
        :return: The upper part.
        """
        assert not shard.in_call
        upper = shard.split(at)
        self.shards.insert(self.shards.index(shard) + 1, upper)
        return upper

    def _next_fence(self) -> int:
        self._fences += 1
        return self.epoch * FENCES_PER_EPOCH + self._fences

    def _next_call(self, shard: Shard, now: float) -> TargetCall | None:
        if shard.in_call:
            return None
        match shard.phase:
            case Phase.OWNED:
                return self._serve_owned(shard, now)
            case Phase.FENCING:
                return self._grant(shard)
            case Phase.RELEASING:
                target = self._last_known[shard.target, shard.born]
                return ReleaseCall(shard, target, shard.fence)
            case Phase.EXPIRING:
                return self._serve_expiring(shard, now)
        return None

    def _serve_expiring(self, shard: Shard, now: float) -> TargetCall | None:
        """Ask now and then whether another target has the address."""
        if now >= shard.held_until:
            self._free(shard)
            return None
        target = self._last_known.get((shard.target, shard.born))
        is_late = now + PROBE_TIMEOUT > shard.held_until
        if target is None or now < shard.next_call_at or is_late:
            return None
        shard.next_call_at = now + PROBE_INTERVAL
        return ReleaseCall(shard, target, shard.fence, is_probe=True)

    def _serve_owned(self, shard: Shard, now: float) -> TargetCall | None:
        listed = self._targets.get(shard.target)
        if listed is not None and listed.born != shard.born:
            # The life that held the keys has ended; its hold ended with it.
            self._free(shard)
            shard.destination = shard.destination or listed.name
            return None
        if listed is None or listed.leaving or shard.destination:
            return self._start_move(shard, now)
        if now < shard.next_call_at:
            return None
        if DISTANT_PAST < shard.held_until <= now:
            self._free(shard)
            return None
        return self._grant(shard)

    def _start_move(self, shard: Shard, now: float) -> TargetCall | None:
        if (shard.target, shard.born) not in self._last_known:
            shard.phase = Phase.EXPIRING
            self._set_open(shard, is_open=False)
            return None
        self._set_open(shard, is_open=False)
        if now < shard.delayed_grant_until:
            shard.phase = Phase.FENCING
            shard.fence = self._next_fence()
            return self._grant(shard)
        shard.phase = Phase.RELEASING
        target = self._last_known[shard.target, shard.born]
        return ReleaseCall(shard, target, shard.fence)

    def _grant(self, shard: Shard) -> GrantCall:
        target = self._last_known[shard.target, shard.born]
        return GrantCall(shard, target, shard.fence, self.hold, shard.handover)

    def _on_accepted(self, shard: Shard, call: GrantCall, sent: float) -> None:
        shard.next_call_at = sent + self.hold / RENEWALS_PER_HOLD
        self._avoided.pop(shard.target, None)
        if shard.phase is Phase.FENCING:
            shard.delayed_grant_until = DISTANT_PAST
            shard.phase = Phase.RELEASING
        else:
            self._set_open(shard, is_open=True)

    def _on_unanswered(
        self, shard: Shard, answer: GrantAnswer, now: float
    ) -> None:
        if answer is GrantAnswer.UNKNOWN:
            shard.delayed_grant_until = max(
                shard.delayed_grant_until, now + self.max_hold_time
            )
        self._avoided[shard.target] = now + AVOIDANCE
        if shard.phase is Phase.FENCING:
            shard.phase = Phase.EXPIRING
            shard.next_call_at = now + PROBE_INTERVAL
        elif shard.held_until > DISTANT_PAST:
            shard.next_call_at = now + REBIRTH_DELAY
        else:
            # No grant was ever sent, so the target cannot hold the keys.
            self._free(shard)

    def _free(self, shard: Shard) -> None:
        shard.phase = Phase.FREE
        shard.held_until = DISTANT_PAST
        shard.delayed_grant_until = DISTANT_PAST
        shard.handover = ''
        self._set_open(shard, is_open=False)

    def _set_open(self, shard: Shard, *, is_open: bool) -> None:
        if shard.is_open is not is_open:
            shard.is_open = is_open
            self._changed.append(shard)
