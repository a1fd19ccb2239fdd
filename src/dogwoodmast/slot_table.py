"""Slots and connections of one target, counted exactly."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.backend import Grant
from dogwoodmast.configuration import Target
from dogwoodmast.job import Job

if TYPE_CHECKING:
    from collections.abc import Iterator


CONTROL_CONNECTIONS = 1
"""Connections kept free for health, cancellation and grants."""
LOST_CONNECTION_LIFETIME = 30.0
"""Time for which an abandoned connection counts as open at the target,
in seconds."""
OVERRUN_ALLOWANCE = 0.5
"""Time after its deadline for which an abandoned request counts as
running, in seconds."""
MAX_IDLE_TIME = 4.0
"""Idle time after which a connection is replaced before use, in seconds."""


class SlotState(enum.Enum):
    """What a slot is doing."""

    FREE = 'free'
    """It can take a request."""
    RUNNING = 'running'
    """An exchange runs."""
    ABORTING = 'aborting'
    """Its exchange was aborted and has not ended yet."""
    HELD = 'held'
    """An abandoned request may still run at the target."""


@attrs.define(eq=False)
class Slot:
    """One slot."""

    number: int
    """Number of the slot."""
    state: SlotState = SlotState.FREE
    """What it is doing."""
    job: Job | None = None
    """What it runs."""
    started: float = 0
    """Monotonic start of the exchange, in seconds."""
    connected: bool = False
    """Whether it has a connection."""
    last_used: float = -math.inf
    """Monotonic time at which the connection last worked, in seconds."""


@attrs.frozen
class _AbandonedExchange:
    slot: Slot
    holds_slot: bool
    grant: Grant
    until: float


@attrs.define(eq=False)
class SlotTable:
    """All slots of one target."""

    _target: Target
    _slots: list[Slot] = attrs.field(init=False)
    _abandoned: list[_AbandonedExchange] = attrs.field(factory=list)
    _lost_connections: list[float] = attrs.field(factory=list)
    _invalid_before: float = -math.inf
    _busy: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the slots."""
        self._slots = [Slot(number) for number in range(self._target.slots)]

    @property
    def busy(self) -> int:
        """Number of slots that are not free."""
        return self._busy

    @property
    def open_connections(self) -> int:
        """Connections that the target may count as open."""
        connected = sum(slot.connected for slot in self._slots)
        return connected + len(self._lost_connections) + CONTROL_CONNECTIONS

    def slot(self, number: int) -> Slot:
        """Find a slot.

        :param number: Number of the slot.
        :return: The slot.
        """
        return self._slots[number]

    def active(self) -> Iterator[Slot]:
        """List the slots whose exchange has not ended.

        :return: Slots.
        """
        return (slot for slot in self._slots if slot.job is not None)

    def running(self) -> list[Slot]:
        """List the slots that run a job that still counts.

        :return: Slots.
        """
        return [slot for slot in self._slots if slot.state is SlotState.RUNNING]

    def find_free(self, limit: int) -> Slot | None:
        """Find a slot for the next exchange.

        :param limit: Slots that may be in use.
        :return: The slot, or ``None`` if none may be used.
        """
        if self._busy >= limit:
            return None
        unconnected = None
        for slot in self._slots:
            if slot.state is SlotState.FREE:
                if slot.connected:
                    return slot
                unconnected = slot
        if self.open_connections < self._target.connections:
            return unconnected
        return None

    def start(self, slot: Slot, job: Job, now: float) -> bool:
        """Occupy a slot.

        :param slot: Free slot.
        :param job: What it will run.
        :param now: Monotonic time in seconds.
        :return: Whether it must open a new connection.
        """
        new_connection = slot.last_used < max(
            self._invalid_before, now - MAX_IDLE_TIME
        )
        slot.state = SlotState.RUNNING
        slot.job = job
        slot.started = now
        slot.connected = True
        self._busy += 1
        return new_connection

    def on_response(self, slot: Slot, now: float) -> None:
        """Free a slot whose connection can be used again.

        :param slot: The slot.
        :param now: Monotonic time in seconds.
        """
        slot.last_used = now
        self._free(slot)

    def on_closed(self, slot: Slot, *, connected: bool, now: float) -> None:
        """Free a slot whose connection the target's side has ended.

        :param slot: The slot.
        :param connected: Whether there had been a connection, so that its
            request may still run.
        :param now: Monotonic time in seconds.
        """
        if connected and slot.job is not None:
            self._abandon(slot, slot.job, now, holds_slot=False)
        slot.connected = False
        self._free(slot)

    def on_aborted(self, slot: Slot, *, ended: bool, now: float) -> None:
        """Take in that this side has closed the connection of a slot.

        The slot stays occupied until the request can run no more.

        :param slot: The slot.
        :param ended: Whether the target confirmed that it runs no more.
        :param now: Monotonic time in seconds.
        """
        slot.connected = False
        self._lost_connections.append(now + LOST_CONNECTION_LIFETIME)
        if ended or slot.job is None:
            self._free(slot)
            return
        self._abandon(slot, slot.job, now, holds_slot=True)
        slot.job = None
        slot.state = SlotState.HELD

    def invalidate_connections(self, now: float) -> None:
        """Replace every connection that has not worked since.

        :param now: Monotonic time in seconds.
        """
        self._invalid_before = now

    def on_tick(self, now: float) -> None:
        """Free what has been held long enough.

        :param now: Monotonic time in seconds.
        """
        self._lost_connections = [
            until for until in self._lost_connections if until > now
        ]
        past = [entry for entry in self._abandoned if entry.until <= now]
        if not past:
            return
        self._abandoned = [
            entry for entry in self._abandoned if entry.until > now
        ]
        for entry in past:
            if entry.holds_slot:
                self._free(entry.slot)

    def unsettled(self) -> frozenset[Grant]:
        """List the grants under which something runs or may run.

        :return: Grants.
        """
        running = {slot.job.grant for slot in self._slots if slot.job}
        return frozenset(running | {entry.grant for entry in self._abandoned})

    def next_wake(self) -> float:
        """Tell when something is held no longer.

        :return: Monotonic time in seconds; infinite if nothing is held.
        """
        times = [entry.until for entry in self._abandoned]
        return min((*times, *self._lost_connections), default=math.inf)

    def _abandon(
        self, slot: Slot, job: Job, now: float, *, holds_slot: bool
    ) -> None:
        until = max(job.deadline, now) + OVERRUN_ALLOWANCE
        self._abandoned.append(
            _AbandonedExchange(slot, holds_slot, job.grant, until)
        )

    def _free(self, slot: Slot) -> None:
        slot.state = SlotState.FREE
        slot.job = None
        self._busy -= 1
