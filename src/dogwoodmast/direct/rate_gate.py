"""Permits of one entry VM for requests to targets that take only some."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.knowledge.cold_targets import ColdTargets
from dogwoodmast.direct.messages import RateReply, RateRequest
from dogwoodmast.direct.named_limits import NO_LIMIT, NamedLimit, NamedLimits
from dogwoodmast.direct.rate_keeper import (
    KEEPERS,
    PERMIT_LIFETIME,
    RateKeeper,
    rank_keepers,
)
from dogwoodmast.errors import LinkError

if TYPE_CHECKING:
    from dogwoodmast.direct.catalog import TargetKey

KEEPER_TIMEOUT = 0.15
"""Time limit for a keeper's reply, in seconds; several round trips between
availability zones."""
SUSPECT_PERIOD = 1.0
"""Time for which a VM that did not reply is not asked again, in seconds."""
NO_KEEPER_DELAY = 0.3
"""``Retry-After`` when no keeper can be asked, in seconds; callers return to
other VMs, which may reach one."""


@attrs.frozen
class Permit:
    """A request may be sent."""

    expires_at: float | None = None
    """Monotonic time from which it must not be sent any more, in seconds;
    ``None`` for no limit."""

    def is_expired(self, now: float) -> bool:
        """Tell whether it is too late to send the request.

        :param now: Monotonic time, in seconds.
        :return: Whether another permit is needed.
        """
        return self.expires_at is not None and now >= self.expires_at


@attrs.frozen
class RateDenied:
    """A request must not be sent now."""

    wait: float
    """Time after which its caller may return, in seconds."""
    pause: float
    """Time for which the VM should send the target no request of this
    priority, in seconds."""


VmNames = Callable[[], list[str]]
"""Callable that returns the names of the entry VMs that are up."""
AskPeer = Callable[[str, RateRequest], Awaitable[object]]
"""Callable that sends a request to the VM of a name and returns its reply; it
raises ``LinkError`` if there is none."""


@attrs.define(eq=False)
class RateGate:
    """Asks the keepers of targets for permits."""

    _vm: str
    _limits: NamedLimits
    _keeper: RateKeeper
    _list_vms: VmNames
    _ask_peer: AskPeer
    _clock: Clock
    _cold: ColdTargets = attrs.field(factory=ColdTargets)
    _suspects: dict[str, float] = attrs.field(factory=dict)

    @property
    def limits(self) -> NamedLimits:
        """Rate limits that targets name."""
        return self._limits

    async def obtain(
        self, target: TargetKey, priority: int
    ) -> Permit | RateDenied:
        """Ask for permission to send a request.

        :param target: Target incarnation.
        :param priority: Priority of the request; 0 is the highest.
        :return: Permit, or when to try again.
        """
        is_cold = self._cold.rate(target) < NO_LIMIT
        if self._limits.rate(target) == NO_LIMIT and not is_cold:
            return Permit()
        asked_at = self._clock.monotonic()
        reply = await self._ask_keepers(target, priority)
        if reply is None:
            return RateDenied(NO_KEEPER_DELAY, NO_KEEPER_DELAY)
        if not reply.is_permitted:
            return RateDenied(
                reply.wait or NO_KEEPER_DELAY, reply.pause or NO_KEEPER_DELAY
            )
        if reply.rate == NO_LIMIT and not is_cold:
            return Permit()
        return Permit(asked_at + PERMIT_LIFETIME)

    async def _ask_keepers(
        self, target: TargetKey, priority: int
    ) -> RateReply | None:
        now = self._clock.monotonic()
        for vm in rank_keepers(target, self._list_vms())[:KEEPERS]:
            if now < self._suspects.get(vm, now):
                continue
            reply = await self._ask(vm, target, priority)
            if reply is not None:
                return reply
            self._suspects[vm] = self._clock.monotonic() + SUSPECT_PERIOD
        return None

    async def _ask(
        self, vm: str, target: TargetKey, priority: int
    ) -> RateReply | None:
        now = self._clock.monotonic()
        request = attrs.evolve(
            make_rate_request(target, priority, self._limits, now),
            warmup_rate=self._cold.own_rate(target),
        )
        if vm == self._vm:
            return self._keeper.on_request(request)
        reply: object = None
        try:
            with anyio.move_on_after(KEEPER_TIMEOUT):
                reply = await self._ask_peer(vm, request)
        except LinkError:
            return None
        if not isinstance(reply, RateReply):
            return None
        now = self._clock.monotonic()
        stated = NamedLimit(
            reply.rate, now - reply.oldest_age, now - reply.newest_age
        )
        self._limits.on_stated(target, stated)
        return reply


def make_rate_request(
    target: TargetKey, priority: int, limits: NamedLimits, now: float
) -> RateRequest:
    """Build a request for a permit, with what is known of the limit.

    :param target: Target incarnation.
    :param priority: Priority of the request; 0 is the highest.
    :param limits: Limits that this VM knows.
    :param now: Monotonic time, in seconds.
    :return: Message to a keeper.
    """
    known = limits.get(target)
    return RateRequest(
        target[0],
        target[1],
        priority,
        known.rate,
        now - known.since,
        now - known.until,
    )
