"""Room of one target: requests that all entry VMs together have sent it."""

from __future__ import annotations

import math

import attrs

from dogwoodmast.direct.catalog import Target, TargetKey
from dogwoodmast.direct.knowledge.target_speeds import TargetSpeeds
from dogwoodmast.direct.room.foreign_load import ForeignLoad
from dogwoodmast.direct.room.messages import ReturnReason, RoomReturn

ROOM_PER_SLOT = 1.25
"""Requests that may be sent to a target at a time, as a multiple of its slots,
rounded up; its own queue covers the time in which a free slot is granted
anew."""
CROWDING_SMOOTHING = 0.15
"""Weight of a new sample in the moving average of the crowding."""
DOWN_THRESHOLD = 3
"""Exchanges without a response in a row, of all VMs, after which a target
counts as down."""
INITIAL_PENALTY = 0.25
"""Penalty period after the first refusal or failure, in seconds; it doubles
with each further one until a request is served."""
MAX_PENALTY = 2.0
"""Longest penalty period, in seconds."""
MIN_WITNESSES = 2
"""Number of VMs that must have missed a response for a target to count as down;
a single one may itself be cut off."""
LAPSE_MARGIN = 0.3
"""Time after a caller's deadline at which its room lapses, in seconds; before
that the notice of the entry VM arrives, unless it is lost."""

GrantId = tuple[str, int]
"""Incarnation of the entry VM and number of its ask."""


@attrs.define(eq=False)
class TargetRoom:
    """Grants of one target incarnation, and how it has responded lately."""

    target: Target
    """Target that the room is of."""
    fraction: float = 1.0
    """Fraction of the room that this keeper may grant."""
    speeds: TargetSpeeds = attrs.field(factory=TargetSpeeds)
    """Durations at the targets of the service."""
    _grants: dict[GrantId, float] = attrs.field(factory=dict)
    _missing: int = 0
    _witnesses: set[str] = attrs.field(factory=set)
    _responded_at: float = float('-inf')
    _failures: int = 0
    _penalized_until: float = float('-inf')
    _crowding: float = 1.0
    _foreign: ForeignLoad = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: ForeignLoad(self.key, self.speeds.loads),
            takes_self=True,
        ),
    )

    @property
    def key(self) -> TargetKey:
        """Incarnation of the target."""
        return self.target.key

    @property
    def size(self) -> int:
        """Number of requests that may be sent at a time."""
        full = math.ceil(self.target.slots * ROOM_PER_SLOT)
        return max(1, int(full * self.fraction))

    @property
    def used(self) -> int:
        """Number of grants that have not been given back."""
        return len(self._grants)

    @property
    def free_slots(self) -> int:
        """Number of slots for which there is no grant."""
        return max(0, self.target.slots - self.used)

    @property
    def mean_duration(self) -> float:
        """Mean time from send to response at the usual pace, in seconds."""
        return self.speeds.usual_duration(self.key)

    @property
    def throughput(self) -> float:
        """Requests per second, without the time in the target's own queue.

        Estimates of a wait use the lower :attr:`rate`, so that what is let
        wait is served.
        """
        return self.target.slots / self.mean_duration * self._crowding

    def rate(self, now: float) -> float:
        """Compute how many requests the target runs when its slots are full.

        :param now: Monotonic time, in seconds.
        :return: Requests per second at its pace now.
        """
        return self.target.slots / self.speeds.mean_duration(self.key, now)

    def duration(self, route: str, now: float) -> float:
        """Estimate the duration of a request that runs at once.

        :param route: Name of its route.
        :param now: Monotonic time, in seconds.
        :return: Time from the send to the response, in seconds.
        """
        return self.speeds.duration(self.key, route, now)

    def cost(self, route: str, now: float) -> float:
        """Estimate the duration of one more request.

        :param route: Name of its route.
        :param now: Monotonic time, in seconds.
        :return: Time from the send to the response, in seconds.
        """
        held = self.used + self._foreign.count(now)
        return self.duration(route, now) * (1 + held / self.target.slots / 2)

    def accepts(self, now: float) -> bool:
        """Tell whether one more request may be sent.

        :param now: Monotonic time, in seconds.
        :return: Whether there is room, and the target is not down.
        """
        held = self.used + self._foreign.count(now)
        return held < self.size and not self.is_down(now)

    def has_responded_since(self, at: float) -> bool:
        """Tell whether the target has responded to any entry VM lately.

        :param at: Monotonic time, in seconds.
        :return: Whether a response is known that was returned after it.
        """
        return self._responded_at > at

    def is_penalized(self, now: float) -> bool:
        """Tell whether the penalty period of a refusal or failure lasts.

        :param now: Monotonic time, in seconds.
        :return: Whether other targets are to be preferred.
        """
        return now < self._penalized_until

    def is_down(self, now: float) -> bool:
        """Tell whether requests should be refused rather than sent.

        One request at a time is sent all the same, to see whether the target
        is back.

        :param now: Monotonic time, in seconds.
        :return: Whether the target did not respond lately.
        """
        return (
            self._missing >= DOWN_THRESHOLD
            and len(self._witnesses) >= MIN_WITNESSES
            and bool(self._grants)
            and self.is_penalized(now)
        )

    def grant(self, grant_id: GrantId, expires_at: float) -> None:
        """Occupy room.

        :param grant_id: VM and number of its ask.
        :param expires_at: Deadline of the caller as monotonic time, in
            seconds; the target stops work on the request then.
        """
        self._grants[grant_id] = expires_at + LAPSE_MARGIN

    def give_back(self, grant_id: GrantId) -> bool:
        """Free the room of one grant.

        :param grant_id: VM and number of its ask.
        :return: Whether there was such a grant.
        """
        return self._grants.pop(grant_id, None) is not None

    def lapse(self, now: float) -> bool:
        """Free the room of grants whose requests have ended at the latest.

        :param now: Monotonic time, in seconds.
        :return: Whether there were any.
        """
        ended = [one for one, at in self._grants.items() if at <= now]
        for grant_id in ended:
            self._grants.pop(grant_id)
        return bool(ended)

    def limit_grants(self, vm: str, ends_at: float) -> None:
        """Let the grants of an entry VM lapse early, since it may have ended.

        :param vm: Incarnation of the entry VM.
        :param ends_at: Monotonic time at which they lapse at the latest, in
            seconds.
        """
        for grant_id, at in self._grants.items():
            if grant_id[0] == vm:
                self._grants[grant_id] = min(at, ends_at)

    def on_result(self, returned: RoomReturn, now: float) -> None:
        """Record how a request at the target ended.

        :param returned: Notice of the entry VM that sent it.
        :param now: Monotonic time, in seconds.
        """
        # The target may count the request that it responds to.
        counted_free = self.target.slots - self.used - 1
        told_at = now - max(0, returned.age)
        self._foreign.on_statement(returned.load, counted_free, told_at, now)
        reason = ReturnReason.read(returned.result)
        seconds = max(0, returned.seconds)
        match reason:
            case ReturnReason.UNUSED:
                return
            case ReturnReason.SERVED:
                self._on_served(returned.route, seconds, now)
            case ReturnReason.NO_RESPONSE:
                self._on_missing(returned, now)
            case ReturnReason.OVERDUE:
                if not self.has_responded_since(now - seconds):
                    self._on_missing(returned, now)
            case ReturnReason.REFUSED | ReturnReason.FAILED:
                self._on_response(now)
                self._penalize(now)

    def _on_response(self, now: float) -> None:
        self._responded_at = now
        self._missing = 0
        self._witnesses.clear()

    def _on_missing(self, returned: RoomReturn, now: float) -> None:
        self._missing += 1
        self._witnesses.add(returned.vm)
        self.speeds.on_missing(self.key, returned.route, returned.seconds, now)
        self._penalize(now)

    def _on_served(self, route: str, seconds: float, now: float) -> None:
        self._on_response(now)
        self._failures = 0
        self._penalized_until = float('-inf')
        self.speeds.on_served(self.key, route, seconds, now)
        crowding = max(1, (self.used + 1) / self.target.slots)
        self._crowding += (crowding - self._crowding) * CROWDING_SMOOTHING

    def _penalize(self, now: float) -> None:
        penalty = INITIAL_PENALTY * 2**self._failures
        self._penalized_until = now + min(MAX_PENALTY, penalty)
        if penalty < MAX_PENALTY:
            self._failures += 1
