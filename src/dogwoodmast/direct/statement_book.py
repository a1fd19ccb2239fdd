"""What targets have said of themselves, and what may be sent to them.

In their responses, targets name the rate of requests that they take from all
entry VMs, ask a VM for a pause, or say that they leave.  Such a statement
belongs to one incarnation of a target.  It outlives the entry in the store, the
connection and the address at which it was made, and ends with the incarnation.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.knowledge.cold_targets import ColdTargets
from dogwoodmast.direct.knowledge.load_book import LoadBook
from dogwoodmast.direct.named_limits import NamedLimits
from dogwoodmast.direct.target_statement import (
    NoPause,
    PauseRequest,
    TargetStatement,
    UnreadablePause,
)
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Collection

    from dogwoodmast.direct.rate_gate import Permit
    from dogwoodmast.direct.target_statement import PauseStatement

RESUME_SPREAD = 0.25
"""Longest random time after a pause until requests are sent again, in seconds;
it keeps the VMs that were asked together from returning together."""
PRIORITY_DELAY = 0.05
"""Further time for each level of priority below the highest, in seconds, so
that urgent requests take the first free slots after a pause."""
MAX_DELAYED_LEVELS = 4
"""Number of levels from which on the delay grows no more."""
MAX_REMEMBERED = 4096
"""Number of targets whose statements are kept; those that are no longer listed
are forgotten first, the oldest before the others."""


@attrs.frozen
class Unrestricted:
    """Requests may be sent."""


@attrs.frozen
class Throttled:
    """The rate limit is used up."""

    until: float
    """Monotonic time until which no permits are expected, in seconds."""


@attrs.frozen
class Paused:
    """The target wants no requests from this VM for now."""

    until: float
    """Monotonic time from which requests may be sent again, in seconds."""


@attrs.frozen
class Leaving:
    """The target wants no requests until its end."""


Restriction = Unrestricted | Throttled | Paused | Leaving
"""Whether requests may be sent to a target."""


@attrs.define(eq=False)
class TargetStatements:
    """Statements of one incarnation of a target."""

    key: TargetKey
    """Incarnation of the target."""
    is_leaving: bool = False
    """Whether the target has said that it leaves."""
    _paused_until: float = float('-inf')
    _spread: float = 0
    _denied: dict[int, float] = attrs.field(factory=dict)
    _next_return: float = float('-inf')

    def is_unrestricted(self, now: float) -> bool:
        """Tell whether requests of every priority may be sent.

        :param now: Monotonic time, in seconds.
        :return: Whether it is known without a look at the priority.
        """
        longest = self._spread + MAX_DELAYED_LEVELS * PRIORITY_DELAY
        return not (
            self.is_leaving
            or self._denied
            or now < self._paused_until + longest
        )

    def restriction(self, priority: int, now: float) -> Restriction:
        """Tell whether a request may be sent, or may wait for a slot.

        :param priority: Priority of the request; 0 is the highest.
        :param now: Monotonic time, in seconds.
        :return: The strictest restriction in force.
        """
        if self.is_leaving:
            return Leaving()
        levels = min(priority, MAX_DELAYED_LEVELS)
        resumed_at = self._paused_until + self._spread + levels * PRIORITY_DELAY
        if now < resumed_at:
            return Paused(resumed_at)
        denied_until = max(
            (
                until
                for denied, until in self._denied.items()
                if denied <= priority
            ),
            default=float('-inf'),
        )
        if now < denied_until:
            return Throttled(denied_until)
        return Unrestricted()

    def find_objection(self, permit: Permit, now: float) -> str | None:
        """Tell why a request must not be sent after all, right before it is.

        :param permit: Permit of the request under the target's rate limit.
        :param now: Monotonic time, in seconds.
        :return: Reason, or ``None`` if the request may be sent.
        """
        if self.is_leaving:
            return 'target is leaving'
        if self.is_paused(now):
            return 'target has asked for a pause'
        if permit.is_expired(now):
            return 'permit of the rate limit expired while connecting'
        return None

    def is_paused(self, now: float) -> bool:
        """Tell whether the pause that the target asked for lasts.

        :param now: Monotonic time, in seconds.
        :return: Whether it does.
        """
        return now < self._paused_until

    def on_pause(self, until: float, spread: float) -> None:
        """Record that the target has asked for a pause.

        :param until: Monotonic time of the end of the pause, in seconds; an
            earlier end than that of a known pause does not shorten it.
        :param spread: Time after the end until requests are sent, in seconds.
        """
        if until > self._paused_until:
            self._paused_until = until
            self._spread = spread

    def on_denied(
        self, priority: int, until: float, next_return: float
    ) -> None:
        """Record that a request was refused a permit.

        :param priority: Priority of the request; 0 is the highest.
        :param until: Monotonic time until which no request of this priority
            should be sent, in seconds.
        :param next_return: Monotonic time at which a rejected request may
            return, in seconds.
        """
        self._denied[priority] = until
        self._next_return = max(self._next_return, next_return)

    def schedule_return(self, interval: float, now: float) -> float:
        """Choose when a request that is rejected for the rate may return.

        :param interval: Time between two permits, in seconds.
        :param now: Monotonic time, in seconds.
        :return: Time until then, in seconds; each call adds the interval, so
            that rejected requests do not return together.
        """
        returns_at = max(self._next_return, now)
        self._next_return = returns_at + interval
        return returns_at - now


@attrs.define(eq=False)
class StatementBook:
    """Statements of all targets that one entry VM knows of."""

    limits: NamedLimits = attrs.field(factory=NamedLimits)
    """Rate limits that targets name."""
    cold: ColdTargets = attrs.field(factory=ColdTargets)
    """Targets that warm up."""
    loads: LoadBook = attrs.field(factory=LoadBook)
    """Latest load figures of targets."""
    _random: random.Random = attrs.field(factory=random.Random)
    _statements: dict[TargetKey, TargetStatements] = attrs.field(factory=dict)
    _unreadable: set[TargetKey] = attrs.field(factory=set)
    _listeners: list[Callable[[TargetKey], None]] = attrs.field(factory=list)

    def of(self, target: TargetKey) -> TargetStatements:
        """Return the statements of a target.

        :param target: Target incarnation.
        :return: Its statements, also if it has not made any.
        """
        found = self._statements.get(target)
        if found is None:
            found = TargetStatements(target)
            self._statements[target] = found
        return found

    def rate(self, target: TargetKey) -> float:
        """Return the rate of requests that a target takes.

        :param target: Target incarnation.
        :return: Requests per second from all entry VMs together, the lower one
            of its limit and of what it tolerates while it warms up; infinite
            for neither.
        """
        return min(self.limits.rate(target), self.cold.rate(target))

    def on_sent(self, target: TargetKey) -> None:
        """Count a request that this VM sends.

        :param target: Target incarnation that it is sent to.
        """
        self.limits.on_sent(target)
        self.cold.on_sent(target)

    def is_leaving(self, target: TargetKey) -> bool:
        """Tell whether a target has said that it leaves.

        :param target: Target incarnation.
        :return: Whether it has.
        """
        found = self._statements.get(target)
        return found is not None and found.is_leaving

    def unwilling(self, now: float) -> list[str]:
        """Return the targets that want no requests from this VM now.

        :param now: Monotonic time, in seconds.
        :return: Names of those that leave or have asked for a pause.
        """
        return [
            known.key[0]
            for known in self._statements.values()
            if known.is_leaving or known.is_paused(now)
        ]

    def subscribe(self, listener: Callable[[TargetKey], None]) -> None:
        """Register a callback for targets that say that they leave.

        :param listener: Called once with each of them.
        """
        self._listeners.append(listener)

    def on_response(
        self,
        target: TargetKey,
        statement: TargetStatement,
        sent_at: float,
        now: float,
    ) -> None:
        """Record what a response to a request of this VM says.

        :param target: Target incarnation.
        :param statement: What the response says.
        :param sent_at: Monotonic time at which the request was sent, in
            seconds.
        :param now: Monotonic time, in seconds.
        """
        self.limits.on_response(target, statement.limit, sent_at, now)
        self.loads.on_statement(target, statement.load, now)
        self.on_pause(target, statement.pause, now)
        if statement.warmup is not None:
            self.cold.on_stated(target, statement.warmup, now)
        if statement.is_leaving:
            self.on_leaving(target)

    def on_pause(
        self, target: TargetKey, pause: PauseStatement, now: float
    ) -> None:
        """Record whether a response asks for a pause.

        A response that does not belong to its request tells this too: if it is
        late, the pause ends too late, but never too early.  What else it says
        would outlast a mistake.

        :param target: Target incarnation.
        :param pause: What the response says of a pause.
        :param now: Monotonic time, in seconds.
        """
        match pause:
            case PauseRequest(seconds):
                self._start_pause(target, seconds, now)
            case UnreadablePause():
                self._on_unreadable(target)
            case NoPause():
                pass

    def on_leaving(self, target: TargetKey) -> None:
        """Record that a target leaves, as it or another VM says.

        :param target: Target incarnation.
        """
        known = self.of(target)
        if known.is_leaving:
            return
        known.is_leaving = True
        log_event(Event.TARGET_SAYS_LEAVING, target=target[0])
        for listener in self._listeners:
            listener(target)

    def retain(self, listed: Collection[TargetKey]) -> None:
        """Forget targets that are no longer listed, if there are too many.

        Entries of the store may lapse and return while their targets live, so
        that a target that is not listed is not known to have ended.

        :param listed: Target incarnations that are listed.
        """
        self.limits.retain(listed)
        self.loads.retain(listed)
        surplus = len(self._statements) - MAX_REMEMBERED
        if surplus <= 0:
            return
        unlisted = [one for one in self._statements if one not in listed]
        for forgotten in unlisted[:surplus]:
            self._statements.pop(forgotten)
            self._unreadable.discard(forgotten)

    def _start_pause(
        self, target: TargetKey, seconds: float, now: float
    ) -> None:
        known = self.of(target)
        if not known.is_paused(now):
            log_event(Event.TARGET_PAUSED, target=target[0], seconds=seconds)
        spread = self._random.random() * RESUME_SPREAD
        known.on_pause(now + seconds, spread)

    def _on_unreadable(self, target: TargetKey) -> None:
        if target not in self._unreadable:
            self._unreadable.add(target)
            log_event(Event.TARGET_PAUSE_UNREADABLE, target=target[0])
