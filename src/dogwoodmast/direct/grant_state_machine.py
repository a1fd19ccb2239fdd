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
from dogwoodmast.direct.shard_piece import LONG_AGO, NOBODY, Phase, Piece

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
    OUTDATED = 'outdated'
    """The target has seen a higher fence."""
    ANOTHER = 'another'
    """Another target has the address, so the one that was meant has ended."""
    UNSENT = 'unsent'
    """No connection could be made, so nothing was sent."""
    UNKNOWN = 'unknown'
    """No answer came; the call may yet take effect."""


@attrs.frozen
class GrantCall:
    """Order to grant or renew keys."""

    piece: Piece
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

    piece: Piece
    """Range of keys."""
    target: Target
    """Target to call."""
    fence: int
    """Fencing token."""
    is_probe: bool = False
    """Whether the target did not answer before."""


TargetCall = GrantCall | ReleaseCall


def divide_keys(count: int) -> list[Piece]:
    """Cut the key space into equal free ranges.

    :param count: Number of ranges.
    :return: The ranges in the order of their keys.
    """
    bounds = [KEY_COUNT * step // count for step in range(count + 1)]
    return [
        Piece(first, following - 1)
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
    pieces: list[Piece] = attrs.field(factory=list)
    """Ranges in the order of their keys."""
    _targets: dict[str, Target] = attrs.field(factory=dict)
    _last_known: dict[tuple[str, int], Target] = attrs.field(factory=dict)
    _avoided: dict[str, float] = attrs.field(factory=dict)
    _fences: int = 0
    _changed: list[Piece] = attrs.field(factory=list)

    @property
    def longest_hold(self) -> float:
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

    def inherit(self, record: ShardRecord, now: float, horizon: float) -> None:
        """Take over what an earlier reign wrote.

        :param record: Record of the store.
        :param now: Steady time in seconds.
        :param horizon: Time for which grants of earlier reigns may go on
            arriving, in seconds.
        """
        until = now + horizon + self.longest_hold
        for one in record.assignments:
            piece = Piece(one.first, one.last, one.target, one.born, one.fence)
            if one.target:
                piece.phase = Phase.OWNED
                piece.held_until = until
                piece.stray_until = until
                piece.is_open = True
            self.pieces.append(piece)

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
        for piece in self.pieces:
            call = self._next_call(piece, now)
            if call is not None:
                piece.in_call = True
                calls.append(call)
        return calls

    def take_changed(self) -> list[Piece]:
        """Take the ranges that entry VMs have to be told of.

        :return: Ranges whose holder or state changed.
        """
        changed = self._changed
        self._changed = []
        return changed

    def assign(self, piece: Piece, target: Target) -> None:
        """Choose the next target of a free range, to be recorded first.

        :param piece: Free range.
        :param target: Target that is to hold it.
        """
        assert piece.phase is Phase.FREE
        piece.phase = Phase.RECORDING
        piece.target = target.name
        piece.born = target.born
        piece.fence = self._next_fence()
        piece.goal = NOBODY

    def on_recorded(self, pieces: Iterable[Piece], now: float) -> None:
        """Note that assignments lie in the store.

        :param pieces: Ranges that were written.
        :param now: Steady time in seconds.
        """
        for piece in pieces:
            piece.phase = Phase.OWNED
            piece.due = now
            self._changed.append(piece)

    def on_grant(
        self, call: GrantCall, answer: GrantAnswer, sent: float, now: float
    ) -> None:
        """Learn how a grant ended.

        :param call: The call.
        :param answer: How it ended.
        :param sent: Steady time at which it was sent, in seconds.
        :param now: Steady time in seconds.
        """
        piece = call.piece
        piece.in_call = False
        if answer is not GrantAnswer.UNSENT:
            piece.held_until = max(piece.held_until, now + self.longest_hold)
        match answer:
            case GrantAnswer.ACCEPTED:
                self._on_accepted(piece, call, sent)
            case GrantAnswer.OUTDATED:
                piece.fence = self._next_fence()
                piece.due = now
            case GrantAnswer.ANOTHER:
                self._avoided[piece.target] = now + AVOIDANCE
                self._free(piece)
            case _:
                self._on_unanswered(piece, answer, now)

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
        piece = call.piece
        piece.in_call = False
        match answer:
            case GrantAnswer.ANOTHER:
                self._free(piece)
            case GrantAnswer.ACCEPTED if now >= piece.stray_until:
                self._free(piece)
                piece.handover = handover
            case _:
                piece.phase = Phase.EXPIRING
                piece.due = now + PROBE_INTERVAL

    def split(self, piece: Piece, at: int) -> Piece:
        """Cut a range that no call is under way for.

        :param piece: Range.
        :param at: First key of the upper part.
        :return: The upper part.
        """
        assert not piece.in_call
        upper = piece.split(at)
        self.pieces.insert(self.pieces.index(piece) + 1, upper)
        return upper

    def _next_fence(self) -> int:
        self._fences += 1
        return self.epoch * FENCES_PER_EPOCH + self._fences

    def _next_call(self, piece: Piece, now: float) -> TargetCall | None:
        if piece.in_call:
            return None
        match piece.phase:
            case Phase.OWNED:
                return self._serve_owned(piece, now)
            case Phase.FENCING:
                return self._grant(piece)
            case Phase.RELEASING:
                target = self._last_known[piece.target, piece.born]
                return ReleaseCall(piece, target, piece.fence)
            case Phase.EXPIRING:
                return self._serve_expiring(piece, now)
        return None

    def _serve_expiring(self, piece: Piece, now: float) -> TargetCall | None:
        """Ask now and then whether another target has the address."""
        if now >= piece.held_until:
            self._free(piece)
            return None
        target = self._last_known.get((piece.target, piece.born))
        is_late = now + PROBE_TIMEOUT > piece.held_until
        if target is None or now < piece.due or is_late:
            return None
        piece.due = now + PROBE_INTERVAL
        return ReleaseCall(piece, target, piece.fence, is_probe=True)

    def _serve_owned(self, piece: Piece, now: float) -> TargetCall | None:
        listed = self._targets.get(piece.target)
        if listed is not None and listed.born != piece.born:
            # The life that held the keys has ended; its hold ended with it.
            self._free(piece)
            piece.goal = piece.goal or listed.name
            return None
        if listed is None or listed.leaving or piece.goal:
            return self._start_move(piece, now)
        if now < piece.due:
            return None
        if LONG_AGO < piece.held_until <= now:
            self._free(piece)
            return None
        return self._grant(piece)

    def _start_move(self, piece: Piece, now: float) -> TargetCall | None:
        if (piece.target, piece.born) not in self._last_known:
            piece.phase = Phase.EXPIRING
            self._set_open(piece, is_open=False)
            return None
        self._set_open(piece, is_open=False)
        if now < piece.stray_until:
            piece.phase = Phase.FENCING
            piece.fence = self._next_fence()
            return self._grant(piece)
        piece.phase = Phase.RELEASING
        target = self._last_known[piece.target, piece.born]
        return ReleaseCall(piece, target, piece.fence)

    def _grant(self, piece: Piece) -> GrantCall:
        target = self._last_known[piece.target, piece.born]
        return GrantCall(piece, target, piece.fence, self.hold, piece.handover)

    def _on_accepted(self, piece: Piece, call: GrantCall, sent: float) -> None:
        piece.due = sent + self.hold / RENEWALS_PER_HOLD
        self._avoided.pop(piece.target, None)
        if piece.phase is Phase.FENCING:
            piece.stray_until = LONG_AGO
            piece.phase = Phase.RELEASING
        else:
            self._set_open(piece, is_open=True)

    def _on_unanswered(
        self, piece: Piece, answer: GrantAnswer, now: float
    ) -> None:
        if answer is GrantAnswer.UNKNOWN:
            piece.stray_until = max(piece.stray_until, now + self.longest_hold)
        self._avoided[piece.target] = now + AVOIDANCE
        if piece.phase is Phase.FENCING:
            piece.phase = Phase.EXPIRING
            piece.due = now + PROBE_INTERVAL
        elif piece.held_until > LONG_AGO:
            piece.due = now + REBIRTH_DELAY
        else:
            # No grant was ever sent, so the target cannot hold the keys.
            self._free(piece)

    def _free(self, piece: Piece) -> None:
        piece.phase = Phase.FREE
        piece.held_until = LONG_AGO
        piece.stray_until = LONG_AGO
        piece.handover = ''
        self._set_open(piece, is_open=False)

    def _set_open(self, piece: Piece, *, is_open: bool) -> None:
        if piece.is_open is not is_open:
            piece.is_open = is_open
            self._changed.append(piece)
