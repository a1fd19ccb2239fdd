"""Rate limits that targets name, as one entry VM knows them.

A target names its limit in its responses, for as long as it has one.  VMs
tell each other what they have seen, so that statements arrive late and out of
order.  Each statement was made between the sending of a request and the
arrival of its response.  A higher rate, or none, replaces a lower one only if
it was certainly stated later; a lower one, if it may have been.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.target_statement import (
    LimitStatement,
    RateLimit,
    Unlimited,
    UnreadableLimit,
)
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Collection

LAPSE_TIME = 1.0
"""Time since the last response that named a limit after which responses
without one end it, in seconds; a target may leave it out now and then."""
USAGE_LOG_INTERVAL = 1.0
"""Time between two log lines about the requests sent to a target with a limit,
in seconds."""
CONSIDERABLE_CHANGE = 0.25
"""Relative change of a rate from which on other VMs are told at once; smaller
ones travel with requests for permits."""
NO_LIMIT = math.inf
"""Rate of a target without a limit."""


@attrs.frozen
class NamedLimit:
    """Statement on a target's limit, with the time at which it was made."""

    rate: float
    """Requests per second from all VMs together, or ``NO_LIMIT``."""
    since: float
    """Earliest monotonic time of the statement, in seconds."""
    until: float
    """Latest monotonic time of the statement, in seconds."""

    def supersedes(self, known: NamedLimit) -> bool:
        """Tell whether this statement replaces an earlier known one.

        :param known: Statement that was known before.
        :return: Whether this one is newer, or may be and is stricter.
        """
        if self.rate < known.rate:
            return self.until >= known.since
        return self.since >= known.until


NEVER_NAMED = NamedLimit(NO_LIMIT, -math.inf, -math.inf)
"""Knowledge of a target that never named a limit."""


def has_changed_much(previous: float, rate: float) -> bool:
    """Tell whether a change of a limit is worth telling other VMs.

    :param previous: Rate that they know, in requests per second.
    :param rate: Rate now, in requests per second.
    :return: Whether a limit has begun or ended, or its rate has changed by
        ``CONSIDERABLE_CHANGE``.
    """
    if rate == previous:
        return False
    if NO_LIMIT in {rate, previous}:
        return True
    return abs(rate - previous) >= CONSIDERABLE_CHANGE * previous


@attrs.define(eq=False)
class NamedLimits:
    """Rate limits of all targets."""

    _known: dict[TargetKey, NamedLimit] = attrs.field(factory=dict)
    _unreadable: set[TargetKey] = attrs.field(factory=set)
    _sent: Counter[TargetKey] = attrs.field(factory=Counter)
    _listeners: list[Callable[[TargetKey], None]] = attrs.field(factory=list)

    @property
    def rates(self) -> dict[TargetKey, float]:
        """Rates of the targets that have a limit, in requests per second."""
        return {
            target: known.rate
            for target, known in self._known.items()
            if known.rate < NO_LIMIT
        }

    def get(self, target: TargetKey) -> NamedLimit:
        """Return the statement in force for a target.

        :param target: Target incarnation.
        :return: Statement, or ``NEVER_NAMED``.
        """
        return self._known.get(target, NEVER_NAMED)

    def rate(self, target: TargetKey) -> float:
        """Return a target's limit.

        :param target: Target incarnation.
        :return: Requests per second from all VMs together, or ``NO_LIMIT``.
        """
        return self.get(target).rate

    def subscribe(self, listener: Callable[[TargetKey], None]) -> None:
        """Register a callback for limits that this VM is the first to see.

        :param listener: Called with each target of which a response of its own
            shows that its limit has begun, ended or changed much.
        """
        self._listeners.append(listener)

    def on_sent(self, target: TargetKey) -> None:
        """Count a request that this VM sends.

        :param target: Target incarnation that it is sent to.
        """
        if self.rate(target) < NO_LIMIT:
            self._sent[target] += 1

    def on_response(
        self,
        target: TargetKey,
        statement: LimitStatement,
        sent_at: float,
        now: float,
    ) -> None:
        """Record what a response to a request of this VM says.

        :param target: Target incarnation.
        :param statement: Statement of the response.
        :param sent_at: Monotonic time at which the request was sent, in
            seconds.
        :param now: Monotonic time, in seconds.
        """
        match statement:
            case RateLimit(rate):
                stated = NamedLimit(rate, sent_at, now)
            case UnreadableLimit():
                self._on_unreadable(target)
                return
            case Unlimited():
                if now < self.get(target).until + LAPSE_TIME:
                    return
                stated = NamedLimit(NO_LIMIT, sent_at, now)
        if self.on_stated(target, stated):
            for listener in self._listeners:
                listener(target)

    def on_stated(self, target: TargetKey, stated: NamedLimit) -> bool:
        """Record a statement that this VM or another one has seen.

        :param target: Target incarnation.
        :param stated: Statement, with times on this VM's clock.
        :return: Whether other VMs have to be told: the limit has begun, ended
            or changed much.
        """
        known = self.get(target)
        if not stated.supersedes(known) or stated == NEVER_NAMED:
            return False
        self._known[target] = stated
        if known.rate == NO_LIMIT and stated.rate < NO_LIMIT:
            log_event(
                Event.TARGET_LIMIT_NAMED, target=target[0], rate=stated.rate
            )
        if known.rate < NO_LIMIT and stated.rate == NO_LIMIT:
            log_event(Event.TARGET_LIMIT_ENDED, target=target[0])
        return has_changed_much(known.rate, stated.rate)

    async def run(self) -> None:
        """Log the use of the limits once a second until cancelled."""
        while True:
            await anyio.sleep(USAGE_LOG_INTERVAL)
            sent = self._sent
            self._sent = Counter()
            for target, requests in sent.items():
                log_event(
                    Event.TARGET_LIMIT_USED,
                    target=target[0],
                    rate=self.rate(target),
                    sent=requests,
                )

    def retain(self, targets: Collection[TargetKey]) -> None:
        """Forget targets that are gone.

        :param targets: Target incarnations that are still listed.
        """
        for gone in self._known.keys() - set(targets):
            self._known.pop(gone)
        self._unreadable.intersection_update(targets)

    def _on_unreadable(self, target: TargetKey) -> None:
        if target not in self._unreadable:
            self._unreadable.add(target)
            log_event(Event.TARGET_LIMIT_UNREADABLE, target=target[0])
