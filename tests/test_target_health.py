"""Health of a target, as requests and polls show it."""

from __future__ import annotations

from dogwoodmast.assignment_planner import UNREACHABLE_TIMEOUT
from dogwoodmast.target_health import HealthTracker, Poll

SILENT = Poll(connected=True, silent=True)
ANSWERED = Poll(connected=True, draining=False)
LATER = UNREACHABLE_TIMEOUT + 1


def test_target_that_takes_connections_but_never_answers_is_lost() -> None:
    """A frozen process is found out by its polls, without any request."""
    health = HealthTracker('t')
    health.on_poll(SILENT, 0)
    assert health.unreachable_for(LATER) >= UNREACHABLE_TIMEOUT


def test_answered_poll_ends_the_silence() -> None:
    """One slow poll does not add up with a later one."""
    health = HealthTracker('t')
    health.on_poll(SILENT, 0)
    health.on_poll(ANSWERED, 0.5)
    assert not health.unreachable_for(LATER)
    health.on_poll(SILENT, LATER)
    assert health.unreachable_for(LATER + 0.5) < UNREACHABLE_TIMEOUT


def test_answered_request_goes_before_a_silent_poll() -> None:
    """A busy target that answers requests is not lost."""
    health = HealthTracker('t')
    health.on_poll(SILENT, 0)
    health.on_life(0.5)
    assert not health.unreachable_for(LATER)
