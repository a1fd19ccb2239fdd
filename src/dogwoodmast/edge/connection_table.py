"""Open connections of one process, bounded in number and in memory."""

from __future__ import annotations

import asyncio
import math
import resource
from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING, Protocol

import attrs

from dogwoodmast.edge.connection_phase import EndReason
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Mapping

BYTES_PER_MEGABYTE = 1_000_000
MEMORY_FRACTION = 1 / 8
"""Fraction of the memory that connections may hold besides the bodies of the
requests that are served."""
DEFAULT_BYTE_LIMIT = 67_108_864
"""Bytes that connections may hold if the memory is not known."""
UNCOUNTED_BYTES = 8192
"""Bytes that each connection may hold without being counted."""
DEFAULT_SHARE = 0.5
"""Fraction of the descriptors that connections may take."""
MAX_DESCRIPTORS = 1_000_000
"""Descriptors that are counted on where no limit is set."""
ACCEPT_FRACTION = 0.25
"""Connections that wait to be accepted, as a fraction of those that may be
open."""
MAX_ACCEPTED = 2048
"""Largest number of connections that wait to be accepted."""
MAX_CANDIDATES = 32
"""Number of waiting connections that are looked at for a new one."""
CHECK_INTERVAL = 1.0
"""Time between two checks of the connections' time limits, in seconds."""


class Connection(Protocol):
    """Connection, as the table needs it."""

    @property
    def has_unsent(self) -> bool:
        """Whether the client has yet to take bytes of a response."""

    def end(self, reason: EndReason) -> None:
        """End the connection.

        :param reason: Why it is ended.
        """

    def check_time(self, now: float) -> None:
        """End the connection if it has exceeded a time limit.

        :param now: Monotonic time of the event loop, in seconds.
        """


@attrs.define(eq=False)
class ConnectionTable:
    """Open connections, with what they hold."""

    connection_limit: int
    """Largest number of open connections."""
    byte_limit: int = DEFAULT_BYTE_LIMIT
    """Largest number of bytes that they hold together."""
    held: int = 0
    """Bytes that they hold together."""
    ended: Counter[EndReason] = attrs.field(factory=Counter)
    """Number of connections that were ended so far, by reason."""
    _open: dict[Connection, None] = attrs.field(factory=dict)
    _waiting: dict[Connection, None] = attrs.field(factory=dict)
    _holdings: dict[Connection, int] = attrs.field(factory=dict)
    _logged: Counter[EndReason] = attrs.field(factory=Counter)
    _timer: asyncio.TimerHandle | None = attrs.field(init=False, default=None)

    @property
    def accept_limit(self) -> int:
        """Number of connections that may be accepted at a time.

        All that wait are accepted before the first of them is added.
        """
        share = int(self.connection_limit * ACCEPT_FRACTION)
        return min(MAX_ACCEPTED, max(1, share))

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def limit_by_memory(self, megabytes: float) -> None:
        """Set the limit on bytes to a fraction of the memory.

        :param megabytes: Memory in megabytes; 0 if it is not known.
        """
        if megabytes:
            self.byte_limit = int(
                megabytes * BYTES_PER_MEGABYTE * MEMORY_FRACTION
            )

    def add(self, connection: Connection) -> None:
        """Add a connection that has been opened.

        If there are too many, the one that has waited longest for a request is
        ended, or the new one if all others are served.  The first
        few that wait are passed over while they have a response left to send.

        :param connection: New connection, which waits for a request.
        """
        if len(self._open) >= self.connection_limit:
            oldest = self._longest_waiting() or connection
            self._end(oldest, EndReason.CONNECTIONS)
            if oldest is connection:
                return
        self._open[connection] = None
        self._waiting[connection] = None
        self._watch()

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended.

        :param connection: Connection; it may have been removed before.
        """
        self._open.pop(connection, None)
        self._waiting.pop(connection, None)
        self.held -= self._holdings.pop(connection, 0)

    def on_served(self, connection: Connection) -> None:
        """Record that a connection has a request that is served.

        :param connection: Connection.
        """
        self._waiting.pop(connection, None)

    def on_waiting(self, connection: Connection) -> None:
        """Record that a connection waits for its next request.

        :param connection: Connection.
        """
        if connection in self._open:
            self._waiting[connection] = None

    def hold(self, connection: Connection, count: int) -> None:
        """Record how many bytes a connection holds.

        If all hold too many, those that hold most are ended.

        :param connection: Connection.
        :param count: Number of bytes.
        """
        counted = count if count > UNCOUNTED_BYTES else 0
        known = self._holdings.get(connection, 0)
        if counted == known or connection not in self._open:
            return
        if counted:
            self._holdings[connection] = counted
        else:
            self._holdings.pop(connection)
        self.held += counted - known
        while self.held > self.byte_limit and self._holdings:
            largest = max(self._holdings, key=self._holdings.__getitem__)
            self._end(largest, EndReason.MEMORY)

    def count(self, reason: EndReason) -> None:
        """Count a connection that has ended itself, or refused a request.

        :param reason: Why.
        """
        self.ended[reason] += 1

    def check(self, now: float) -> None:
        """End connections that have exceeded a time limit, and log the ends.

        :param now: Monotonic time of the event loop, in seconds.
        """
        for connection in tuple(self._open):
            connection.check_time(now)
        self._log()

    def _longest_waiting(self) -> Connection | None:
        oldest = next(iter(self._waiting), None)
        candidates = islice(self._waiting, MAX_CANDIDATES)
        quiet = (one for one in candidates if not one.has_unsent)
        return next(quiet, oldest)

    def _end(self, connection: Connection, reason: EndReason) -> None:
        self.remove(connection)
        self.count(reason)
        connection.end(reason)

    def _watch(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL, self._on_timer, loop)

    def _on_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        self.check(loop.time())
        if self._open:
            self._watch()

    def _log(self) -> None:
        added: Mapping[EndReason, int] = self.ended - self._logged
        self._logged = Counter(self.ended)
        told = {
            reason.value: number
            for reason, number in added.items()
            if reason is not EndReason.IDLE_TIME
        }
        if told:
            log_event(
                Event.CONNECTIONS_ENDED,
                open=len(self._open),
                held=self.held,
                reasons=told,
            )


def make_connection_table(
    share: float = DEFAULT_SHARE, memory: float = 0, descriptors: float = 0
) -> ConnectionTable:
    """Make a table that leaves descriptors and memory for other uses.

    :param share: Fraction of the descriptors that connections may take.
    :param memory: Memory of the VM in megabytes; 0 if it is not known.
    :param descriptors: Descriptors that a process may have, besides the
        operating system's limit; 0 if it is not known.
    :return: Table without connections.
    """
    own_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = {descriptors or math.inf, own_limit}
    limits.discard(resource.RLIM_INFINITY)
    allowed = min(min(limits), MAX_DESCRIPTORS)
    table = ConnectionTable(max(1, int(allowed * share)))
    table.limit_by_memory(memory)
    return table
