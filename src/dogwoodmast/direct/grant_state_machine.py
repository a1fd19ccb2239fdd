"""State machine of key grants: no two targets hold a key at the same time.

A grant lets a target hold the keys of a shard exclusively for a limited time,
the hold, which renewals extend.  The machine does no I/O and reads no clock.
Its safety rests on these rules:

- An assignment is written to the store before the target is granted keys, so
  that a later coordinator knows every target that may hold them.  After a
  restore of the store it does not, and waits for the end of all grants.
- Keys for which a grant was sent are free only after the target has
  acknowledged a release, after the maximum time for which any grant to it can
  last, or when the target's process is known to have ended.
- Each grant call has a higher fencing token than all before it.  A process that
  started again under its name and address may take a renewal that was meant for
  the process before; with a token of its own that is a new grant.
- A release counts only if no delayed grant can be applied after it.  If one
  might be, another grant is acknowledged first; from then on the target rejects
  lower tokens.  One might be unless the answer to the latest grant is proven to
  be its own.
- A release that had no answer may have been executed.  The target need not wait
  for running requests before it answers another one, which therefore counts
  only after a further grant, whose release waits for them.
- A listing says that a holder has ended only if it shows a later start.  The
  process that it shows may hold the keys instead, and has to release them.  If
  it listens elsewhere, so may a still later one at the holder's address, unless
  that refuses a connection.  If the holder's address is not known, another
  target at that of the later process does not free the keys.

A listing that is older than the term tells nothing of a holder that it lacks:
the holder may have been listed since, and keeps its keys.
"""

from __future__ import annotations

import enum
import itertools
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.catalog import Target
from dogwoodmast.direct.fence_counter import FenceCounter
from dogwoodmast.direct.freed_keys import FreedBecause, FreedKeysLog
from dogwoodmast.direct.shard import DISTANT_PAST, NO_TARGET, Phase, Shard

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dogwoodmast.direct.messages import ShardRecord

KEY_COUNT = 65_536
"""Number of keys in the key space of a service."""
CLOCK_DRIFT = 0.02
"""Maximum fraction by which a target's clock may run slow; the platform
guarantees it."""
ARRIVAL_MARGIN = 0.3
"""Time after the reset of a connection within which a grant sent on it may
still arrive, in seconds; the platform's limit for delayed packets."""
RENEWALS_PER_HOLD = 4
"""Number of renewals within a hold.  When a coordinator loses the store, the
rest of the hold carries the keys through an outage that lasts twice as long
as the coordinator's lease."""
RELEASE_TIMEOUT = 3.0
"""Time limit for the answer to a release, in seconds, unless requests may run
for longer or the hold expires before.  A target answers after the requests for
the keys have ended."""
PROBE_TIMEOUT = 0.6
"""Time limit for the answer to a probe, in seconds.  It is short, since a
probe must not delay the keys once the target's hold has expired."""
PROBE_INTERVAL = 1.0
"""Pause between probes of a target that did not answer, in seconds; the
target's address may be reused two seconds after its end."""
AVOIDANCE_PERIOD = 4.0
"""Time for which a target is assigned no further keys after a grant to it
failed, in seconds; the time within which the platform guarantees contact, plus
one heartbeat."""
CONFIRMATION_RETRY_INTERVAL = 0.2
"""Pause before the retry of a call that was withheld, since the store did not
confirm the coordinator's term, in seconds."""
RESTART_DETECTION_DELAY = 2.0
"""Pause after a failed grant, in seconds, within which a restart of the target
would show in its listing; two heartbeats and the lag of the copy of the
store."""


class GrantAnswer(enum.Enum):
    """Outcome of a grant or release call to a target."""

    ACCEPTED = 'accepted'
    """The target accepted the grant, or released the keys."""
    STALE_FENCE = 'outdated'
    """The target rejected the call, as it has seen a higher fencing token."""
    WRONG_TARGET = 'another'
    """Another target has the address, so the process that was called has
    ended."""
    UNSENT = 'unsent'
    """No connection could be established, so nothing was sent."""
    ABSENT = 'absent'
    """No process listens at the target's address, so nothing was sent."""
    WITHHELD = 'withheld'
    """The store did not confirm the coordinator's term, so nothing was sent."""
    UNKNOWN = 'unknown'
    """No valid answer was received; the call may still take effect."""


@attrs.frozen
class GrantCall:
    """Call that grants a shard's keys or renews the grant."""

    shard: Shard
    """Shard to grant."""
    target: Target
    """Target to call."""
    fence: int
    """Fencing token of the grant."""
    hold: float
    """Time from its arrival for which the grant lasts, in seconds."""
    handover: str
    """State token of the previous holder, empty if there is none."""
    is_fencing: bool = False
    """Whether the call is made so that delayed grants are rejected after it."""


@attrs.frozen
class ReleaseCall:
    """Call that asks a target to release a shard's keys."""

    shard: Shard
    """Shard to release."""
    target: Target
    """Target to call."""
    fence: int
    """Fencing token of the latest grant."""
    is_probe: bool = False
    """Whether the call only probes a target that did not answer before."""
    timeout: float = RELEASE_TIMEOUT
    """Time limit for the answer, in seconds."""


TargetCall = GrantCall | ReleaseCall

_NOT_SENT = frozenset((GrantAnswer.UNSENT, GrantAnswer.ABSENT))
"""Outcomes of a call that did not reach its target."""
_CERTAIN_OUTCOMES = frozenset((GrantAnswer.ACCEPTED, *_NOT_SENT))
"""Outcomes of a release that leave no doubt whether it was executed."""


def max_hold_time(hold: float) -> float:
    """Return the upper bound of a grant's duration on the local clock.

    :param hold: Time for which the target is granted keys, in seconds.
    :return: Time from the end of the call that sent the grant, in seconds.
    """
    return hold * (1 + CLOCK_DRIFT) + ARRIVAL_MARGIN


def divide_keys(count: int) -> list[Shard]:
    """Divide the key space into free shards of equal size.

    :param count: Number of shards.
    :return: The shards, ordered by key.
    """
    bounds = [KEY_COUNT * step // count for step in range(count + 1)]
    return [
        Shard(first, following - 1)
        for first, following in itertools.pairwise(bounds)
    ]


@attrs.define(eq=False)
class GrantStateMachine:
    """State machine that tracks which target holds each key of a service.

    It returns the calls to make, and its owner reports their outcomes.
    """

    service: str
    """Name of the service."""
    epoch: int
    """Epoch of the coordinator's term."""
    hold: float
    """Time for which each grant lasts, in seconds."""
    shards: list[Shard] = attrs.field(factory=list)
    """Shards, ordered by key; together they cover the key space."""
    longest_hold: float = attrs.field(
        default=attrs.Factory(lambda self: self.hold, takes_self=True)
    )
    """Longest hold that the platform permits, in seconds; other coordinators
    may grant keys for longer than this one."""
    fences: FenceCounter = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: FenceCounter(self.epoch), takes_self=True
        ),
    )
    """Source of fencing tokens."""
    longest_work: float = 0
    """Longest time for which a request may run at a target, in seconds."""
    freed: FreedKeysLog = attrs.field(factory=FreedKeysLog)
    """Keys that became free, for the log."""
    _targets: dict[str, Target] = attrs.field(factory=dict)
    _last_known: dict[tuple[str, int], Target] = attrs.field(factory=dict)
    _avoided_until: dict[str, float] = attrs.field(factory=dict)
    _changed: list[Shard] = attrs.field(factory=list)
    _is_listing_current: bool = True

    @property
    def max_hold_time(self) -> float:
        """Upper bound of a grant's duration on the local clock, in seconds.

        It counts from the end of the call that sent the grant, and allows for
        a slow clock of the target and for late arrival.
        """
        return max_hold_time(self.hold)

    @property
    def targets(self) -> Mapping[str, Target]:
        """Listed targets of the service by name."""
        return self._targets

    def usable_targets(self, now: float) -> list[Target]:
        """Return the targets that shards may be assigned to.

        :param now: Monotonic time in seconds.
        :return: Listed targets that are not draining and are not avoided
            because of a failed grant.
        """
        return [
            target
            for target in self._targets.values()
            if not target.leaving
            and now >= self._avoided_until.get(target.name, 0)
        ]

    def restore(
        self, record: ShardRecord, now: float, grant_window: float
    ) -> None:
        """Restore the shards that a coordinator of an earlier term stored.

        :param record: Record that was read from the store.
        :param now: Monotonic time in seconds.
        :param grant_window: Time from now for which grant calls of earlier
            terms may still be in progress, in seconds.
        """
        # Terms that a restore has undone, or of builds that store no hold, are
        # taken to have granted for as long as this one.
        earlier_hold = max(record.hold or self.longest_hold, self.hold)
        until = now + grant_window + max_hold_time(earlier_hold)
        for one in record.assignments:
            shard = Shard(one.first, one.last, one.target, one.born, one.fence)
            if one.target:
                shard.phase = Phase.OWNED
                shard.held_until = until
                shard.delayed_grant_until = until
                shard.is_open = True
            self.shards.append(shard)

    def on_targets(
        self,
        targets: Iterable[Target],
        gone: Iterable[Target] = (),
        *,
        is_current: bool = True,
    ) -> None:
        """Update the targets of the service.

        :param targets: Targets that are listed.
        :param gone: Targets that were listed at some time; they may still
            hold keys and answer calls.
        :param is_current: Whether the listing is no older than the term.
        """
        self._is_listing_current = is_current
        self._targets = {target.name: target for target in targets}
        for target in (*gone, *self._targets.values()):
            self._last_known[target.name, target.born] = target

    def tick(self, now: float) -> list[TargetCall]:
        """Advance all shards and return the calls that are due.

        :param now: Monotonic time in seconds.
        :return: Calls to make, at most one for each shard.  The outcome of
            each must be reported by ``on_grant`` or ``on_release``.
        """
        calls: list[TargetCall] = []
        for shard in self.shards:
            call = self._next_call(shard, now)
            if call is not None:
                shard.call_in_flight = True
                calls.append(call)
        return calls

    def drain_changed(self) -> list[Shard]:
        """Return and clear the changes that entry VMs have to be sent.

        :return: Shards that were assigned, or whose ``is_open`` has changed,
            since the previous call; a shard may occur several times.
        """
        changed = self._changed
        self._changed = []
        return changed

    def assign(self, shard: Shard, target: Target) -> None:
        """Assign a free shard to a target.

        Calls start after ``on_recorded`` has confirmed that the assignment
        is stored.

        :param shard: Free shard.
        :param target: Target that is to hold it.
        """
        assert shard.phase is Phase.FREE
        shard.phase = Phase.RECORDING
        shard.target = target.name
        shard.born = target.born
        shard.fence = self.fences.take()
        shard.destination = NO_TARGET

    def on_recorded(self, shards: Iterable[Shard], now: float) -> None:
        """Record that assignments have been written to the store.

        :param shards: Shards whose assignments were written.
        :param now: Monotonic time in seconds.
        """
        for shard in shards:
            shard.phase = Phase.OWNED
            shard.next_call_at = now
            self._changed.append(shard)

    def on_grant(
        self,
        call: GrantCall,
        answer: GrantAnswer,
        sent: float,
        now: float,
        is_proven: bool = True,
    ) -> None:
        """Process the outcome of a grant call.

        :param call: Call that ended.
        :param answer: Outcome of the call.
        :param sent: Monotonic time in seconds at which it was sent.
        :param now: Monotonic time in seconds.
        :param is_proven: Whether the answer cannot be that to another call.
            Only then are earlier grants known to be rejected from now on, and
            this one to have been applied.
        """
        shard = call.shard
        shard.call_in_flight = False
        if answer is GrantAnswer.WITHHELD:
            shard.next_call_at = now + CONFIRMATION_RETRY_INTERVAL
            return
        if answer not in _NOT_SENT:
            shard.held_until = max(shard.held_until, now + self.max_hold_time)
        match answer:
            case GrantAnswer.ACCEPTED:
                # If the answer was that to another call, this one may yet be
                # applied.
                shard.delayed_grant_until = (
                    DISTANT_PAST if is_proven else now + self.max_hold_time
                )
                if is_proven:
                    shard.is_granted_again |= shard.may_finish_work
                    shard.may_finish_work = False
                self._on_accepted(shard, sent)
            case GrantAnswer.STALE_FENCE:
                # A coordinator of a later epoch has granted the keys.
                shard.next_call_at = now + self.hold / RENEWALS_PER_HOLD
            case GrantAnswer.WRONG_TARGET if not shard.holder_born:
                self._avoided_until[shard.target] = now + AVOIDANCE_PERIOD
                self._free(shard, FreedBecause.ADDRESS_REUSED)
            case GrantAnswer.ABSENT if shard.is_holder_replaced:
                self._free(shard, FreedBecause.RESTARTED)
            case _:
                self._on_unanswered(shard, answer, now)

    def on_release(
        self,
        call: ReleaseCall,
        answer: GrantAnswer,
        handover: str,
        now: float,
    ) -> None:
        """Process the outcome of a release call.

        :param call: Call that ended.
        :param answer: Outcome of the call.
        :param handover: State token that the target returned.
        :param now: Monotonic time in seconds.
        """
        shard = call.shard
        shard.call_in_flight = False
        match answer:
            case GrantAnswer.WITHHELD:
                shard.next_call_at = now + CONFIRMATION_RETRY_INTERVAL
            case GrantAnswer.WRONG_TARGET if not shard.holder_born:
                self._free(shard, FreedBecause.ADDRESS_REUSED)
            case GrantAnswer.ABSENT if shard.is_holder_replaced:
                self._free(shard, FreedBecause.RESTARTED)
            case GrantAnswer.ACCEPTED if shard.is_release_final(now):
                self._free(
                    shard,
                    FreedBecause.PROBED
                    if call.is_probe
                    else FreedBecause.RELEASED,
                )
                shard.handover = handover
            case GrantAnswer.ACCEPTED if call.is_probe and _is_worth_granting(
                shard, self.hold, now
            ):
                # The target answers again: a higher fencing token makes it
                # reject delayed grants, so that they need not be waited for,
                # and the next release is answered when its work has ended.
                shard.phase = Phase.FENCING
                shard.next_call_at = now
            case _:
                shard.may_finish_work |= answer not in _CERTAIN_OUTCOMES
                shard.phase = Phase.EXPIRING
                shard.next_call_at = now + PROBE_INTERVAL

    def split(self, shard: Shard, at: int) -> Shard:
        """Split a shard that has no call in flight.

        :param shard: Shard to split; it keeps the lower keys.
        :param at: First key of the upper shard.
        :return: The upper shard.
        """
        assert not shard.call_in_flight
        upper = shard.split(at)
        self.shards.insert(self.shards.index(shard) + 1, upper)
        return upper

    def _next_call(self, shard: Shard, now: float) -> TargetCall | None:
        if shard.call_in_flight:
            return None
        match shard.phase:
            case Phase.OWNED:
                return self._advance_owned(shard, now)
            case Phase.FENCING | Phase.RELEASING if now >= shard.held_until:
                # The calls have been withheld for as long.
                self._free(shard, FreedBecause.HOLD_EXPIRED)
            case Phase.FENCING if now >= shard.next_call_at:
                return self._grant(shard)
            case Phase.RELEASING if now >= shard.next_call_at:
                target = self._last_known[shard.target, shard.born]
                return _make_release(shard, target, self.longest_work, now)
            case Phase.EXPIRING:
                return self._advance_expiring(shard, now)
        return None

    def _advance_expiring(self, shard: Shard, now: float) -> TargetCall | None:
        """Free the shard after its hold; until then probe the target.

        If another target has taken over the address, the probe shows that
        the holder has ended before its hold expires.
        """
        if now >= shard.held_until:
            self._free(shard, FreedBecause.HOLD_EXPIRED)
            return None
        target = self._last_known.get((shard.target, shard.born))
        would_delay_release = now + PROBE_TIMEOUT > shard.held_until
        if target is None or now < shard.next_call_at or would_delay_release:
            return None
        shard.next_call_at = now + PROBE_INTERVAL
        return ReleaseCall(
            shard, target, shard.fence, is_probe=True, timeout=PROBE_TIMEOUT
        )

    def _advance_owned(self, shard: Shard, now: float) -> TargetCall | None:
        listed = self._targets.get(shard.target)
        if listed is not None and listed.born > shard.born:
            return self._advance_restarted(shard, listed, now)
        is_outdated = (
            not self._is_listing_current
            if listed is None
            else listed.born < shard.born
        )
        is_holder_wanted = (
            listed is not None and not listed.leaving and not shard.destination
        )
        was_granted = shard.held_until > DISTANT_PAST
        is_kept = was_granted if is_outdated else is_holder_wanted
        if not is_kept:
            return self._start_move(shard, now)
        if was_granted and shard.held_until <= now:
            self._free(shard, FreedBecause.HOLD_EXPIRED)
            return None
        # A listing from before the holder does not tell where it is.
        if is_outdated or now < shard.next_call_at:
            return None
        return self._grant(shard)

    def _advance_restarted(
        self, shard: Shard, successor: Target, now: float
    ) -> TargetCall | None:
        """Move the keys of a process that has ended.

        Calls that were meant for it may have reached a later process at its
        address, which has to release them.
        """
        ended = self._last_known.get((shard.target, shard.born))
        shard.destination = shard.destination or successor.name
        if ended is not None and ended.address != successor.address:
            shard.is_holder_replaced = True
        else:
            if ended is None:
                shard.holder_born = shard.born
            shard.born = successor.born
        return self._start_move(shard, now)

    def _start_move(self, shard: Shard, now: float) -> TargetCall | None:
        if shard.held_until == DISTANT_PAST:
            # No grant has been sent, so the state of the previous holder is
            # still to be handed over.
            handover = shard.handover
            self._free(shard, FreedBecause.NEVER_GRANTED)
            shard.handover = handover
            return None
        if (shard.target, shard.born) not in self._last_known:
            shard.phase = Phase.EXPIRING
            self._set_open(shard, is_open=False)
            return None
        self._set_open(shard, is_open=False)
        if now < shard.delayed_grant_until:
            shard.phase = Phase.FENCING
            return self._grant(shard)
        shard.phase = Phase.RELEASING
        target = self._last_known[shard.target, shard.born]
        return _make_release(shard, target, self.longest_work, now)

    def _grant(self, shard: Shard) -> GrantCall:
        shard.fence = self.fences.take()
        target = self._last_known[shard.target, shard.born]
        return GrantCall(
            shard,
            target,
            shard.fence,
            self.hold,
            shard.handover,
            is_fencing=shard.phase is Phase.FENCING,
        )

    def _on_accepted(self, shard: Shard, sent: float) -> None:
        shard.next_call_at = sent + self.hold / RENEWALS_PER_HOLD
        self._avoided_until.pop(shard.target, None)
        if shard.phase is Phase.FENCING:
            shard.phase = Phase.RELEASING
            shard.next_call_at = sent
        else:
            self._set_open(shard, is_open=True)

    def _on_unanswered(
        self, shard: Shard, answer: GrantAnswer, now: float
    ) -> None:
        if answer is GrantAnswer.UNKNOWN:
            shard.delayed_grant_until = max(
                shard.delayed_grant_until, now + self.max_hold_time
            )
        self._avoided_until[shard.target] = now + AVOIDANCE_PERIOD
        if shard.phase is Phase.FENCING:
            shard.phase = Phase.EXPIRING
            shard.next_call_at = now + PROBE_INTERVAL
        elif shard.held_until > DISTANT_PAST:
            shard.next_call_at = now + RESTART_DETECTION_DELAY
        else:
            # No grant has been sent, so the target cannot hold the keys.
            self._free(shard, FreedBecause.NEVER_GRANTED)

    def _free(self, shard: Shard, reason: FreedBecause) -> None:
        self.freed.add(shard, reason)
        shard.phase = Phase.FREE
        shard.held_until = DISTANT_PAST
        shard.delayed_grant_until = DISTANT_PAST
        shard.may_finish_work = False
        shard.is_granted_again = False
        shard.is_holder_replaced = False
        shard.holder_born = 0
        shard.handover = ''
        self._set_open(shard, is_open=False)

    def _set_open(self, shard: Shard, *, is_open: bool) -> None:
        if shard.is_open is not is_open:
            shard.is_open = is_open
            self._changed.append(shard)


def _make_release(
    shard: Shard, target: Target, longest_work: float, now: float
) -> ReleaseCall:
    """Make a release that is awaited until requests or the hold must end."""
    work_limit = max(RELEASE_TIMEOUT, longest_work + ARRIVAL_MARGIN)
    timeout = min(work_limit, max(PROBE_TIMEOUT, shard.held_until - now))
    return ReleaseCall(shard, target, shard.fence, timeout=timeout)


def _is_worth_granting(shard: Shard, hold: float, now: float) -> bool:
    """Tell whether another grant may free keys before their hold expires.

    It extends the hold, which is waited out if little is left of it, or if the
    release after such a grant had no answer either.
    """
    is_hold_long = shard.held_until - now > hold / 2
    is_first = not shard.is_granted_again
    return (is_first and is_hold_long) or now < shard.delayed_grant_until
