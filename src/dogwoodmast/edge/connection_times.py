"""Times of a connection, which tell what it waits for."""

from __future__ import annotations

import attrs

from dogwoodmast.edge.connection_phase import (
    Discarding,
    Idle,
    Opened,
    Phase,
    ReadingBody,
    ReadingHead,
    Serving,
    Unread,
)
from dogwoodmast.edge.message_meter import Stage


@attrs.define(eq=False)
class ConnectionTimes:
    """Monotonic times of a connection, in seconds."""

    waits_since: float
    """Time of the opening, or of the end of the latest response."""
    read_at: float = attrs.field(
        default=attrs.Factory(lambda self: self.waits_since, takes_self=True)
    )
    """Time of the latest read."""
    head_since: float | None = None
    """Time of the first byte of an unfinished head, if there is one."""
    has_responded: bool = False
    """Whether a response is complete."""
    _unread_since: float | None = None
    _taken_bytes: int = 0

    def on_head_bytes(self) -> None:
        """Record that bytes of a head, or empty lines, have been read."""
        if self.head_since is None:
            self.head_since = self.read_at

    def on_response(self, now: float) -> None:
        """Record the end of a response.

        :param now: Monotonic time in seconds.
        """
        self.waits_since = now
        self.has_responded = True

    def check_unread(self, now: float, written: int, waiting: int) -> None:
        """Note whether the client reads what is sent.

        :param now: Monotonic time in seconds.
        :param written: Number of bytes that were written so far.
        :param waiting: Number of these that the client has yet to take.
        """
        taken = written - waiting
        if not waiting or taken > self._taken_bytes:
            self._unread_since = None
        elif self._unread_since is None:
            self._unread_since = now
        self._taken_bytes = taken

    def phase(self, stage: Stage, *, is_served: bool, is_paused: bool) -> Phase:
        """Tell what the connection waits for.

        :param stage: Part of a request that is being read.
        :param is_served: Whether a request is served, or waits for that.
        :param is_paused: Whether no bytes are read now, or none are awaited.
        :return: Phase.
        """
        if self._unread_since is not None:
            return Unread(self._unread_since)
        if is_served:
            is_awaited = stage is Stage.BODY and not is_paused
            since = max(self.read_at, self.waits_since)
            return ReadingBody(since) if is_awaited else Serving()
        if stage is Stage.BODY:
            return Discarding(self.waits_since)
        if self.head_since is not None:
            return ReadingHead(self.head_since)
        if self.has_responded:
            return Idle(self.waits_since)
        return Opened(self.waits_since)
