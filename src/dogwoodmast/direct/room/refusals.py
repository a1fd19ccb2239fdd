"""Refusals of requests for room, free of I/O.

It answers the load of callers that are refused in numbers and return: they
return spread over their time, not together to be refused again.
"""

from __future__ import annotations

import enum
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.admission_queue import MIN_RETRY_DELAY
from dogwoodmast.direct.room.caller_fairness import CallerFairness
from dogwoodmast.direct.room.messages import RoomReply, Verdict

if TYPE_CHECKING:
    from dogwoodmast.direct.room.messages import RoomAsk

RETURN_SHARE = 0.22
"""Fraction of a caller's time left within which it is told to return.  Callers
honour a third; what is left is for the jitter that is added to each."""


class Refusal(enum.StrEnum):
    """Why an ask was refused; the names are parts of metrics' names."""

    FULL = 'full'
    """When it was asked, room was expected too late."""
    LATE = 'late'
    """It waited, and others were granted room before it."""
    DOWN = 'down'
    """The target does not respond."""


@attrs.define(eq=False)
class Refusals:
    """Counts refusals, and schedules when the refused callers return."""

    counts: Counter[Refusal] = attrs.field(factory=Counter)
    """Asks refused so far."""
    fairness: CallerFairness = attrs.field(factory=CallerFairness)
    """When each refused caller may return."""
    _next_return: dict[str, float] = attrs.field(factory=dict)

    def refuse(self, reason: Refusal, wait: float) -> RoomReply:
        """Refuse an ask.

        :param reason: Why it is refused.
        :param wait: Time after which the caller may return, in seconds.
        :return: The answer.
        """
        self.counts[reason] += 1
        return RoomReply(Verdict.REFUSED, wait=wait)

    def refuse_in_turn(
        self,
        ask: RoomAsk,
        reason: Refusal,
        wait: float,
        rate: float,
        now: float,
    ) -> RoomReply:
        """Refuse an ask; refused callers return apart by the drain's interval.

        Once there are more of them than can return apart within their time,
        the next one is told to return first again.  A caller that repeats its
        request too early is told the rest of its time.

        :param ask: Request of an entry VM.
        :param reason: Why it is refused.
        :param wait: Expected time until there is room, in seconds.
        :param rate: Requests per second that the targets run.
        :param now: Monotonic time, in seconds.
        :return: The answer.
        """
        if self.fairness.is_early(ask.caller, now):
            remaining = self.fairness.remaining(ask.caller, now)
            return self.refuse(reason, remaining)
        latest = ask.time_left * RETURN_SHARE
        earliest = min(wait, latest / 2)
        next_return = self._next_return.get(ask.target, now) + 1 / rate
        after = max(earliest, next_return - now)
        if after > latest:
            after = earliest
        self._next_return[ask.target] = now + after
        told = min(max(after, MIN_RETRY_DELAY), ask.time_left / 3)
        self.fairness.on_refused(ask.caller, told, now)
        return self.refuse(reason, after)

    def forget(self, target: str) -> None:
        """Forget who returns to a target that is gone.

        :param target: Name of the target; empty for asks without a key.
        """
        self._next_return.pop(target, None)
