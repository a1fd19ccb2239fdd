"""Health of one target, derived from requests and health polls."""

from __future__ import annotations

import math

import attrs

from dogwoodmast.load_report import TargetHealth

DRAINING_POLLS = 2
"""Number of consecutive polls that must contradict the current draining state
to change it."""
REQUEST_PRECEDENCE_TIME = 1.0
"""Time after a response or a failed connection for which a health poll that
contradicts it does not change whether the target is reachable, in seconds."""


@attrs.frozen
class Poll:
    """Result of a health poll on a new connection."""

    connected: bool
    """Whether the target accepted the connection."""
    draining: bool | None = None
    """Whether the target reports that it is draining; ``None`` if there was
    no valid response."""


@attrs.define
class HealthTracker:
    """Tracks whether a target is reachable and whether it is draining.

    Requests take precedence over health polls: while requests fail, a
    successful poll does not make the target reachable, and while they
    succeed, a failed poll does not make it unreachable.
    """

    _target: str
    _failing_since: float | None = None
    _last_failure: float = -math.inf
    _last_response: float = -math.inf
    _draining: bool = False
    _disagreeing_polls: int = 0

    @property
    def draining(self) -> bool:
        """Whether the target is draining, by its last accepted report."""
        return self._draining

    def unreachable_for(self, now: float) -> float:
        """Return for how long the target has been unreachable.

        :param now: Monotonic time in seconds.
        :return: Time since the first failed connection, in seconds; zero
            if the target is reachable.
        """
        if self._failing_since is None:
            return 0
        return max(now - self._failing_since, 0)

    def report(self, now: float) -> TargetHealth:
        """Create the target's entry of the load report.

        :param now: Monotonic time in seconds.
        :return: Time without contact, and whether the target is draining.
        """
        return TargetHealth(
            self._target, self.unreachable_for(now), self._draining
        )

    def on_alive(self, now: float) -> None:
        """Record that the target responded to a request.

        :param now: Monotonic time in seconds.
        """
        self._last_response = now
        self._failing_since = None

    def on_failed(self, now: float) -> None:
        """Record that the target did not accept a connection.

        The connection was for a request or for a health poll.

        :param now: Monotonic time in seconds.
        """
        self._last_failure = now
        if self._failing_since is None:
            self._failing_since = now

    def on_draining_header(self) -> None:
        """Record that a response to a request had the draining header."""
        self._draining = True

    def on_poll(self, poll: Poll, now: float) -> None:
        """Record the result of a health poll.

        A result that contradicts recent requests does not change whether
        the target counts as reachable.

        :param poll: Result of the poll.
        :param now: Monotonic time in seconds.
        """
        if not poll.connected:
            if now - self._last_response > REQUEST_PRECEDENCE_TIME:
                self.on_failed(now)
            return
        if now - self._last_failure > REQUEST_PRECEDENCE_TIME:
            self._failing_since = None
        if poll.draining is not None:
            self._on_draining_report(draining=poll.draining)

    def _on_draining_report(self, *, draining: bool) -> None:
        if draining == self._draining:
            self._disagreeing_polls = 0
            return
        self._disagreeing_polls += 1
        if self._disagreeing_polls >= DRAINING_POLLS:
            self._draining = draining
            self._disagreeing_polls = 0
