"""Accounting of the execution slots and connections of one target.

A target runs a limited number of requests and accepts a limited number of
connections. A request that lost its connection may still run until some time
after its deadline, unless the target confirms that it has ended. Until then
its grant is unsettled: the partition must not be handed over. If this entry VM
closed the connection, the request also keeps its slot until then, and the
target may count the connection as open for :data:`LOST_CONNECTION_LIFETIME`.
"""

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
"""Number of connections reserved for health polls, cancellation and
grants."""
LOST_CONNECTION_LIFETIME = 30.0
"""Time for which a connection closed by this entry VM counts as open at the
target, in seconds."""
OVERRUN_ALLOWANCE = 0.5
"""Time after its deadline for which a request that lost its connection counts
as running, in seconds."""
MAX_IDLE_TIME = 4.0
"""Idle time after which a connection is replaced before its next use, in
seconds."""


class SlotState(enum.Enum):
    """State of a slot."""

    FREE = 'free'
    """The slot can be used for a request."""
    RUNNING = 'running'
    """An exchange is running."""
    ABORTING = 'aborting'
    """The exchange is being aborted and its end has not been reported yet."""
    HELD = 'held'
    """The exchange was aborted, but its request may still be running at the
    target."""


@attrs.define(eq=False)
class Slot:
    """Capacity for one concurrent request, with its own connection."""

    number: int
    """Index within the target's slots, from zero."""
    state: SlotState = SlotState.FREE
    """Current state."""
    job: Job | None = None
    """Job of the exchange that has not ended; ``None`` otherwise."""
    started: float = 0
    """Monotonic time at which the last exchange was started, in seconds."""
    connected: bool = False
    """Whether the slot's connection counts as open."""
    last_used: float = -math.inf
    """Monotonic time of the last response on the connection, in seconds."""


@attrs.frozen
class _AbandonedExchange:
    slot: Slot
    holds_slot: bool
    grant: Grant
    expires_at: float


@attrs.define(eq=False)
class SlotTable:
    """All slots of one target, with its lost connections."""

    _target: Target
    _slots: list[Slot] = attrs.field(init=False)
    _abandoned: list[_AbandonedExchange] = attrs.field(factory=list)
    _lost_connections: list[float] = attrs.field(factory=list)
    _invalid_before: float = -math.inf
    _busy: int = 0

    def __attrs_post_init__(self) -> None:
        """Create as many free slots as the target's configuration has."""
        self._slots = [Slot(number) for number in range(self._target.slots)]

    @property
    def busy(self) -> int:
        """Number of slots in any state other than ``FREE``."""
        return self._busy

    @property
    def open_connections(self) -> int:
        """Upper bound of the connections that the target counts as open."""
        connected = sum(slot.connected for slot in self._slots)
        return connected + len(self._lost_connections) + CONTROL_CONNECTIONS

    def slot(self, number: int) -> Slot:
        """Return a slot by its number.

        :param number: Index of the slot, from zero.
        :return: Slot with this number.
        """
        return self._slots[number]

    def active(self) -> Iterator[Slot]:
        """Iterate over the slots whose exchange has not ended.

        :return: Slots that are running or aborting.
        """
        return (slot for slot in self._slots if slot.job is not None)

    def running(self) -> list[Slot]:
        """List the slots with a running exchange.

        :return: Slots in state ``RUNNING``; those aborting are left out.
        """
        return [slot for slot in self._slots if slot.state is SlotState.RUNNING]

    def find_free(self, limit: int) -> Slot | None:
        """Find a free slot for the next exchange.

        Slots with an open connection come first. A slot without one is
        returned only while the target's connection limit allows it.

        :param limit: Maximum number of slots that may be busy.
        :return: Free slot, or ``None`` if a limit has been reached.
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
        """Mark a slot as running a job.

        :param slot: Free slot.
        :param job: Job whose exchange is started.
        :param now: Monotonic time in seconds.
        :return: Whether the exchange must open a new connection.
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
        """Free a slot after a response and keep its connection.

        :param slot: Slot whose exchange has completed.
        :param now: Monotonic time in seconds.
        """
        slot.last_used = now
        self._free(slot)

    def on_closed(self, slot: Slot, *, connected: bool, now: float) -> None:
        """Free a slot whose connection failed or was closed by the target.

        :param slot: Slot whose exchange has failed.
        :param connected: Whether a connection had been made, in which case
            the request counts as running until :data:`OVERRUN_ALLOWANCE`
            after its deadline, or after ``now`` if that is later.
        :param now: Monotonic time in seconds.
        """
        if connected and slot.job is not None:
            self._abandon(slot, slot.job, now, holds_slot=False)
        slot.connected = False
        self._free(slot)

    def on_aborted(self, slot: Slot, *, ended: bool, now: float) -> None:
        """Release a slot after this entry VM has closed its connection.

        Unless the target confirmed that the request has ended, the slot
        stays busy until the request can no longer run.

        :param slot: Slot whose exchange was aborted.
        :param ended: Whether the target confirmed that the request is not
            running any more.
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
        """Replace connections last used before now at their next use.

        :param now: Monotonic time in seconds.
        """
        self._invalid_before = now

    def on_tick(self, now: float) -> None:
        """Free expired slots and discard expired lost connections.

        :param now: Monotonic time in seconds.
        """
        self._lost_connections = [
            expires_at
            for expires_at in self._lost_connections
            if expires_at > now
        ]
        past = [entry for entry in self._abandoned if entry.expires_at <= now]
        if not past:
            return
        self._abandoned = [
            entry for entry in self._abandoned if entry.expires_at > now
        ]
        for entry in past:
            if entry.holds_slot:
                self._free(entry.slot)

    def unsettled(self) -> frozenset[Grant]:
        """List grants with requests that run or may still run.

        :return: Grants of running, aborting and abandoned exchanges.
        """
        running = {slot.job.grant for slot in self._slots if slot.job}
        return frozenset(running | {entry.grant for entry in self._abandoned})

    def next_wake(self) -> float:
        """Return when the next abandoned exchange or connection expires.

        :return: Monotonic time in seconds; infinite if there is none.
        """
        times = [entry.expires_at for entry in self._abandoned]
        return min((*times, *self._lost_connections), default=math.inf)

    def _abandon(
        self, slot: Slot, job: Job, now: float, *, holds_slot: bool
    ) -> None:
        expires_at = max(job.deadline, now) + OVERRUN_ALLOWANCE
        self._abandoned.append(
            _AbandonedExchange(slot, holds_slot, job.grant, expires_at)
        )

    def _free(self, slot: Slot) -> None:
        slot.state = SlotState.FREE
        slot.job = None
        self._busy -= 1
