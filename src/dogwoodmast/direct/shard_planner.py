"""Which target is to hold which keys.

The load that this answers: a few keys are far busier than the rest, they lie
next to each other, and which ones they are changes within seconds.  Equal
ranges leave the busiest target with more than twice the mean, so ranges are
interleaved at first and then cut and moved by measured load.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.shard_piece import Phase, Piece

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dogwoodmast.direct.catalog import Target
    from dogwoodmast.direct.shard_keeper import ShardKeeper

PIECES_PER_TARGET = 8
"""Ranges that a target gets at first; each costs a call a renewal."""
MAX_PIECES_PER_TARGET = 20
"""Ranges a target up to which they are cut further."""
MOVES_AT_ONCE = 6
"""Ranges that may move at the same time; their keys wait meanwhile."""
UNEVENNESS = 1.25
"""Use of a target over the mean at which its keys move; lower than the room
that is left when targets are used to 75%."""
MIN_EXCESS = 2.0
"""Requests a second over the mean below which nothing moves; what the noise
of a second's count comes to."""
MAX_CUT = 1.2
"""Size of a moved range over the excess that it is to take away."""


@attrs.frozen
class Move:
    """Range that is to go to another target."""

    piece: Piece
    """Range that it is taken from."""
    first: int
    """First key to move."""
    last: int
    """Last key to move."""
    goal: str
    """Name of the target."""


@attrs.define
class KeyLoads:
    """Requests a second by key, forgotten exponentially."""

    half_life: float
    """Time after which a count is worth half, in seconds."""
    _rates: dict[int, float] = attrs.field(factory=dict)
    _seen_at: float = 0.0

    def add(self, counts: Iterable[tuple[int, float]]) -> None:
        """Count requests.

        :param counts: Keys with their requests.
        """
        factor = math.log(2) / self.half_life
        for key, count in counts:
            self._rates[key] = self._rates.get(key, 0.0) + count * factor

    def decay(self, now: float) -> None:
        """Let what was counted fade.

        :param now: Steady time in seconds.
        """
        passed = now - self._seen_at
        self._seen_at = now
        keep = 0.5 ** (passed / self.half_life)
        self._rates = {
            key: rate * keep
            for key, rate in self._rates.items()
            if rate * keep > _FORGOTTEN
        }

    def by_piece(self, pieces: Iterable[Piece]) -> dict[int, float]:
        """Sum up rates by range.

        :param pieces: Ranges in the order of their keys.
        :return: Requests a second by the first key of the range.
        """
        sums: dict[int, float] = {}
        keys = iter(sorted(self._rates.items()))
        key, rate = next(keys, (math.inf, 0.0))
        for piece in pieces:
            total = 0.0
            while key <= piece.last:
                total += rate
                key, rate = next(keys, (math.inf, 0.0))
            sums[piece.first] = total
        return sums

    def cut(self, piece: Piece, amount: float) -> int | None:
        """Find where a range is to be cut.

        :param piece: Range.
        :param amount: Requests a second that the lower part is to have.
        :return: First key of the upper part, or ``None`` if one key has all.
        """
        total = 0.0
        for key in range(piece.first, piece.last):
            total += self._rates.get(key, 0.0)
            if total >= amount:
                return key + 1
        return None


_FORGOTTEN = 0.01
"""Requests a second below which a key is no longer followed."""


@attrs.define
class ShardPlanner:
    """Chooses targets for free ranges, and ranges to move."""

    loads: KeyLoads
    """Requests a second by key."""

    def place_free(
        self, keeper: ShardKeeper, capacities: Mapping[str, float], now: float
    ) -> list[Piece]:
        """Assign the free ranges to targets.

        :param keeper: Machine that follows the ranges.
        :param capacities: Requests a second that each target can run.
        :param now: Steady time in seconds.
        :return: Ranges that are to be recorded.
        """
        usable = {one.name: one for one in keeper.usable_targets(now)}
        free = [one for one in keeper.pieces if one.phase is Phase.FREE]
        if not usable or not free:
            return []
        rates = self.loads.by_piece(keeper.pieces)
        usage = _usage(keeper, rates, capacities)
        for piece in sorted(free, key=lambda one: -rates[one.first]):
            goal = usable.get(piece.goal) or _least_used(usable, usage)
            keeper.assign(piece, goal)
            usage[goal.name] = _added(
                usage[goal.name],
                rates[piece.first] / capacities[goal.name],
            )
        return free

    def plan_moves(
        self, keeper: ShardKeeper, capacities: Mapping[str, float], now: float
    ) -> list[Move]:
        """Choose ranges to move away from the most used targets.

        :param keeper: Machine that follows the ranges.
        :param capacities: Requests a second that each target can run.
        :param now: Steady time in seconds.
        :return: At most one move a target, none while enough are under way.
        """
        room = MOVES_AT_ONCE - sum(one.is_moving for one in keeper.pieces)
        usable = {one.name for one in keeper.usable_targets(now)}
        if room <= 0 or len(usable) < 2:
            return []
        rates = self.loads.by_piece(keeper.pieces)
        usage = _usage(keeper, rates, capacities)
        mean = sum(rates.values()) / sum(capacities[one] for one in usable)
        order = sorted(usable, key=lambda one: usage[one].share)
        pairs = zip(order, reversed(order), strict=False)
        moves: list[Move] = []
        for goal, source in list(pairs)[: min(room, len(order) // 2)]:
            excess = min(
                (usage[source].share - mean) * capacities[source],
                (mean - usage[goal].share) * capacities[goal],
            )
            if usage[source].share < mean * UNEVENNESS or excess < MIN_EXCESS:
                break
            held = _held_by(keeper, source)
            move = self._choose(held, rates, excess, goal)
            if move is not None:
                moves.append(move)
        return moves

    def _choose(
        self,
        held: list[Piece],
        rates: Mapping[int, float],
        excess: float,
        goal: str,
    ) -> Move | None:
        fitting = [
            one
            for one in held
            if excess / 3 <= rates[one.first] <= excess * MAX_CUT
        ]
        if fitting:
            best = max(fitting, key=lambda one: rates[one.first])
            return Move(best, best.first, best.last, goal)
        larger = [one for one in held if rates[one.first] > excess]
        if not larger or len(held) >= MAX_PIECES_PER_TARGET:
            small = [one for one in held if 0 < rates[one.first] < excess]
            if not small:
                return None
            best = max(small, key=lambda one: rates[one.first])
            return Move(best, best.first, best.last, goal)
        piece = max(larger, key=lambda one: rates[one.first])
        return self._cut(piece, rates[piece.first], excess, goal)

    def _cut(
        self, piece: Piece, rate: float, excess: float, goal: str
    ) -> Move | None:
        lower = self.loads.cut(piece, excess)
        upper = self.loads.cut(piece, rate - excess)
        if lower is not None and lower <= piece.last:
            return Move(piece, piece.first, lower - 1, goal)
        if upper is not None and upper <= piece.last:
            return Move(piece, upper, piece.last, goal)
        return None


@attrs.frozen
class _Usage:
    share: float
    pieces: int


def _usage(
    keeper: ShardKeeper,
    rates: Mapping[int, float],
    capacities: Mapping[str, float],
) -> dict[str, _Usage]:
    usage = {name: _Usage(0.0, 0) for name in keeper.targets}
    for piece in keeper.pieces:
        name = piece.goal or piece.target
        if name in usage and piece.phase is not Phase.FREE:
            added = rates[piece.first] / capacities[name]
            usage[name] = _added(usage[name], added)
    return usage


def _added(usage: _Usage, share: float) -> _Usage:
    return _Usage(usage.share + share, usage.pieces + 1)


def _least_used(
    usable: Mapping[str, Target], usage: Mapping[str, _Usage]
) -> Target:
    name = min(
        usable, key=lambda one: (usage[one].share, usage[one].pieces, one)
    )
    return usable[name]


def _held_by(keeper: ShardKeeper, name: str) -> list[Piece]:
    return [
        piece
        for piece in keeper.pieces
        if piece.target == name
        and piece.phase is Phase.OWNED
        and not piece.goal
        and not piece.in_call
    ]
