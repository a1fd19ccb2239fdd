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
FORGOTTEN_RATE = 0.01
"""Requests a second below which a key is no longer followed."""
MAX_CUT = 1.2
"""Size of a moved range over the excess that it is to take away."""

_END = (math.inf, 0)


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
    _seen_at: float = 0

    def add(self, counts: Iterable[tuple[int, float]]) -> None:
        """Count requests.

        :param counts: Keys with their requests.
        """
        factor = math.log(2) / self.half_life
        for key, count in counts:
            self._rates[key] = self._rates.get(key, 0) + count * factor

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
            if rate * keep > FORGOTTEN_RATE
        }

    def by_piece(self, pieces: Iterable[Piece]) -> dict[int, float]:
        """Sum up rates by range.

        :param pieces: Ranges in the order of their keys.
        :return: Requests a second by the first key of the range.
        """
        sums: dict[int, float] = {}
        keys = iter(sorted(self._rates.items()))
        key, rate = next(keys, _END)
        for piece in pieces:
            total: float = 0
            while key <= piece.last:
                total += rate
                key, rate = next(keys, _END)
            sums[piece.first] = total
        return sums

    def cut(self, piece: Piece, amount: float) -> int | None:
        """Find where a range is to be cut.

        :param piece: Range.
        :param amount: Requests a second that the lower part is to have.
        :return: First key of the upper part, or ``None`` if one key has all.
        """
        total: float = 0
        for key in range(piece.first, piece.last):
            total += self._rates.get(key, 0)
            if total >= amount:
                return key + 1
        return None


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
        moves: list[Move] = []
        for goal, source in _pairs(usable, usage)[:room]:
            excess = min(
                (usage[source].share - mean) * capacities[source],
                (mean - usage[goal].share) * capacities[goal],
            )
            if usage[source].share >= mean * UNEVENNESS and excess > MIN_EXCESS:
                held = _held_by(keeper, source)
                moves.extend(self._choose(held, rates, excess, goal))
        return moves

    def _choose(
        self,
        held: list[Piece],
        rates: Mapping[int, float],
        excess: float,
        goal: str,
    ) -> list[Move]:
        """Choose the range whose load is nearest to the excess."""
        loaded = [(rates[one.first], one) for one in held if rates[one.first]]
        fitting = [
            pair for pair in loaded if excess / 3 <= pair[0] <= excess * MAX_CUT
        ]
        larger = [pair for pair in loaded if pair[0] > excess]
        if not fitting and larger and len(held) < MAX_PIECES_PER_TARGET:
            rate, piece = max(larger, key=_rate_of)
            return self._cut(piece, rate, excess, goal)
        smaller = [pair for pair in loaded if pair[0] <= excess * MAX_CUT]
        if not smaller:
            return []
        _, piece = max(smaller, key=_rate_of)
        return [Move(piece, piece.first, piece.last, goal)]

    def _cut(
        self, piece: Piece, rate: float, excess: float, goal: str
    ) -> list[Move]:
        lower = self.loads.cut(piece, excess)
        if lower is not None:
            return [Move(piece, piece.first, lower - 1, goal)]
        upper = self.loads.cut(piece, rate - excess)
        if upper is not None:
            return [Move(piece, upper, piece.last, goal)]
        return []


@attrs.frozen
class _Usage:
    share: float
    pieces: int


def _usage(
    keeper: ShardKeeper,
    rates: Mapping[int, float],
    capacities: Mapping[str, float],
) -> dict[str, _Usage]:
    usage = {name: _Usage(0, 0) for name in keeper.targets}
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


def _rate_of(pair: tuple[float, Piece]) -> float:
    return pair[0]


def _pairs(
    usable: Iterable[str], usage: Mapping[str, _Usage]
) -> list[tuple[str, str]]:
    """Pair the least used targets with the most used ones."""
    order = sorted(usable, key=lambda one: (usage[one].share, one))
    half = len(order) // 2
    return list(zip(order[:half], reversed(order[-half:]), strict=True))


def _held_by(keeper: ShardKeeper, name: str) -> list[Piece]:
    return [
        piece
        for piece in keeper.pieces
        if piece.target == name
        and piece.phase is Phase.OWNED
        and not piece.goal
        and not piece.in_call
    ]
