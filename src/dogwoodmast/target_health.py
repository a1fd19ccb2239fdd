"""Health of one target, as its requests show it."""

from __future__ import annotations

import math

import attrs

from dogwoodmast.load_report import TargetHealth

DRAINING_POLLS = 2
"""Polls in a row that must agree before the health endpoint is believed."""
REQUEST_PRECEDENCE_TIME = 1.0
"""Time without a failed request after which a poll counts as a sign of
life, in seconds."""


@attrs.frozen
class Poll:
    """Result of a health poll on a fresh connection."""

    connected: bool
    """Whether the target accepted the connection."""
    draining: bool | None = None
    """Whether it says that it is leaving; ``None`` if it said nothing."""


@attrs.define
class HealthTracker:
    """Signs of life and of leaving.

    What requests show goes before what the health endpoint says: while
    requests fail, the endpoint cannot make the target healthy, and while
    they succeed, it cannot make it unreachable.
    """

    _target: str
    _failing_since: float | None = None
    _last_failure: float = -math.inf
    _last_response: float = -math.inf
    _draining: bool = False
    _disagreeing_polls: int = 0

    @property
    def draining(self) -> bool:
        """Whether the target says that it is leaving."""
        return self._draining

    def unreachable_for(self, now: float) -> float:
        """Tell for how long every sign of life has been missing.

        :param now: Monotonic time in seconds.
        :return: Time in seconds; zero if the target answers.
        """
        if self._failing_since is None:
            return 0
        return max(now - self._failing_since, 0)

    def report(self, now: float) -> TargetHealth:
        """Report the health.

        :param now: Monotonic time in seconds.
        :return: The report.
        """
        return TargetHealth(
            self._target, self.unreachable_for(now), self._draining
        )

    def on_response(self, now: float) -> None:
        """Take in that the target answered a request.

        :param now: Monotonic time in seconds.
        """
        self._last_response = now
        self._failing_since = None

    def on_failed(self, now: float) -> None:
        """Take in that a request failed on a fresh connection.

        :param now: Monotonic time in seconds.
        """
        self._last_failure = now
        if self._failing_since is None:
            self._failing_since = now

    def on_draining_header(self) -> None:
        """Take in that an answer to a request says it is leaving."""
        self._draining = True

    def on_poll(self, poll: Poll, now: float) -> None:
        """Take in what a health poll showed.

        :param poll: Its result.
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
