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
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.limit_statement import (
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


@attrs.define(eq=False)
class NamedLimits:
    """Rate limits of all targets."""

    _known: dict[TargetKey, NamedLimit] = attrs.field(factory=dict)
    _unreadable: set[TargetKey] = attrs.field(factory=set)
    _sent: Counter[TargetKey] = attrs.field(factory=Counter)

    @property
    def rates(self) -> dict[TargetKey, float]:
        """Rates of the targets that have a limit, in requests per second."""
        return {
            target: known.rate
            for target, known in self._known.items()
            if known.rate < NO_LIMIT
        }

    def get(self, target: TargetKey) -> NamedLimit | None:
        """Return the statement in force for a target.

        :param target: Target incarnation.
        :return: Statement, or ``None`` if the target never named a limit.
        """
        return self._known.get(target)

    def rate(self, target: TargetKey) -> float:
        """Return a target's limit.

        :param target: Target incarnation.
        :return: Requests per second from all VMs together, or ``NO_LIMIT``.
        """
        known = self._known.get(target)
        return NO_LIMIT if known is None else known.rate

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
    ) -> bool:
        """Record what a response to a request of this VM says.

        :param target: Target incarnation.
        :param statement: Statement of the response.
        :param sent_at: Monotonic time at which the request was sent, in
            seconds.
        :param now: Monotonic time, in seconds.
        :return: Whether the target's limit has begun or ended.
        """
        match statement:
            case RateLimit(rate):
                return self.on_stated(target, NamedLimit(rate, sent_at, now))
            case UnreadableLimit():
                self._on_unreadable(target)
                return False
            case Unlimited():
                known = self._known.get(target)
                if known is None or now < known.until + LAPSE_TIME:
                    return False
                ended = NamedLimit(NO_LIMIT, sent_at, now)
                return self.on_stated(target, ended)

    def on_stated(self, target: TargetKey, stated: NamedLimit) -> bool:
        """Record a statement that this VM or another one has seen.

        :param target: Target incarnation.
        :param stated: Statement, with times on this VM's clock.
        :return: Whether the target's limit has begun or ended.
        """
        known = self._known.get(target)
        if known is None:
            known = NamedLimit(NO_LIMIT, -math.inf, -math.inf)
        if not stated.supersedes(known):
            return False
        self._known[target] = stated
        was_limited = known.rate < NO_LIMIT
        is_limited = stated.rate < NO_LIMIT
        if is_limited and not was_limited:
            log_event(
                Event.TARGET_LIMIT_NAMED, target=target[0], rate=stated.rate
            )
        if was_limited and not is_limited:
            log_event(Event.TARGET_LIMIT_ENDED, target=target[0])
        return was_limited != is_limited

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
