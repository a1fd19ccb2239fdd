"""What targets saw of grants, and what follows for the rule OWNER."""

from __future__ import annotations

import itertools
import time

import attrs

MAX_SHARED_TIME = 0.5
"""Time for which two targets may hold the same keys, in seconds: OWNER."""


@attrs.frozen
class GrantSeen:
    """Grant that a target accepted."""

    at: float
    """Monotonic time of its arrival, in seconds."""
    target: str
    """Name of the target."""
    first: int
    """First key."""
    last: int
    """Last key, inclusive."""
    fence: int
    """Fencing token."""
    hold: float
    """Time for which it lasts, in seconds."""


@attrs.frozen
class ReleaseSeen:
    """Release that a target answered, or the end of its process."""

    at: float
    """Monotonic time from which the keys are not held, in seconds."""
    target: str
    """Name of the target."""
    first: int
    """First key."""
    last: int
    """Last key, inclusive."""


@attrs.frozen
class Shared:
    """Time for which two targets held the same keys."""

    first: int
    """First key."""
    last: int
    """Last key, inclusive."""
    targets: tuple[str, str]
    """Names of the targets."""
    begin: float
    """Monotonic time of the begin, in seconds."""
    end: float
    """Monotonic time of the end, in seconds."""

    @property
    def seconds(self) -> float:
        """Length of the time, in seconds."""
        return self.end - self.begin


@attrs.frozen
class LowFence:
    """Keys that a target took with a token that another had exceeded."""

    grant: GrantSeen
    """Grant that was accepted."""
    earlier: GrantSeen
    """Grant of another target with a token at least as high."""


@attrs.define(eq=False)
class HoldLog:
    """Grants and releases in the order in which targets saw them."""

    seen: list[GrantSeen | ReleaseSeen] = attrs.field(factory=list)
    """All of them."""

    def on_grant(self, target: str, call: dict[str, float]) -> None:
        """Record a grant that was accepted.

        :param target: Name of the target.
        :param call: Body of the call.
        """
        self.seen.append(
            GrantSeen(
                time.monotonic(),
                target,
                int(call['from']),
                int(call['target']),
                int(call['fence']),
                call['hold_s'],
            )
        )

    def on_release(self, target: str, call: dict[str, float]) -> None:
        """Record that keys are not held any more.

        :param target: Name of the target.
        :param call: Body of the call.
        """
        self.seen.append(
            ReleaseSeen(
                time.monotonic(), target, int(call['from']), int(call['target'])
            )
        )

    def shared(self, least: float = MAX_SHARED_TIME) -> list[Shared]:
        """Find the times for which two targets held the same keys.

        :param least: Length from which on a time is reported, in seconds.
        :return: The times, the longest first.
        """
        found = [
            one
            for first, last in self._ranges()
            for one in self._shared_in(first, last)
            if one.seconds > least
        ]
        return sorted(found, key=lambda one: -one.seconds)

    def low_fences(self) -> list[LowFence]:
        """Find grants whose token is not above all that others had."""
        found: list[LowFence] = []
        for first, _last in self._ranges():
            highest: GrantSeen | None = None
            for one in self._touching(first):
                if not isinstance(one, GrantSeen):
                    continue
                if (
                    highest is not None
                    and highest.target != one.target
                    and highest.fence >= one.fence
                ):
                    found.append(LowFence(one, highest))
                elif highest is None or one.fence > highest.fence:
                    highest = one
        return found

    def _ranges(self) -> list[tuple[int, int]]:
        """Divide the keys at each bound that any call names."""
        bounds = sorted(
            {one.first for one in self.seen}
            | {one.last + 1 for one in self.seen}
        )
        return [
            (bound, following - 1)
            for bound, following in itertools.pairwise(bounds)
        ]

    def _touching(self, key: int) -> list[GrantSeen | ReleaseSeen]:
        return [one for one in self.seen if one.first <= key <= one.last]

    def _shared_in(self, first: int, last: int) -> list[Shared]:
        found: list[Shared] = []
        spans = _spans(self._touching(first))
        for index, (target, begin, end) in enumerate(spans):
            for other, other_begin, other_end in spans[index + 1 :]:
                latest = max(begin, other_begin)
                earliest = min(end, other_end)
                if other != target and earliest > latest:
                    pair = (target, other)
                    found.append(Shared(first, last, pair, latest, earliest))
        return found


def _spans(
    seen: list[GrantSeen | ReleaseSeen],
) -> list[tuple[str, float, float]]:
    """Join the grants of a key to the times for which targets held it."""
    spans: list[tuple[str, float, float]] = []
    held: dict[str, tuple[float, float]] = {}
    for one in seen:
        begin, end = held.pop(one.target, (one.at, one.at))
        if isinstance(one, ReleaseSeen):
            spans.append((one.target, begin, min(end, one.at)))
        elif end < one.at:
            spans.append((one.target, begin, end))
            held[one.target] = (one.at, one.at + one.hold)
        else:
            held[one.target] = (begin, one.at + one.hold)
    spans.extend((target, *span) for target, span in held.items())
    return [one for one in spans if one[2] > one[1]]
