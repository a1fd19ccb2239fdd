"""Decisions on requests while their entry VM stops."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from dogwoodmast.direct.stop_window import ACCEPT_TIME, make_stop_window
from dogwoodmast.direct.work_times import MAX_PAIRS, WorkTime, WorkTimes

BEGAN_AT = 100.0
seconds = st.floats(0, 30)
works = st.builds(WorkTime, seconds, seconds)


@given(st.floats(0, 60))
def test_stop_outlasts_its_time(stop_time: float) -> None:
    """The process would be killed then."""
    window = make_stop_window(BEGAN_AT, stop_time)
    assert BEGAN_AT <= window.accepts_until <= BEGAN_AT + ACCEPT_TIME
    assert window.accepts_until <= window.closes_at <= BEGAN_AT + stop_time
    assert window.response_due < window.answers_at <= window.closes_at


@given(st.floats(3, 60))
def test_target_is_given_up_before_the_last_sixth_of_the_stop(
    stop_time: float,
) -> None:
    """A caller may expect its response until then."""
    window = make_stop_window(BEGAN_AT, stop_time)
    assert window.answers_at >= BEGAN_AT + stop_time * 5 / 6 - 1e-9


@given(works, st.floats(-1, 30), st.booleans())
def test_request_is_sent_that_outlasts_the_stop(
    work: WorkTime, time_left: float, retryable: bool
) -> None:
    """It fits if it ends in time, or if its caller leaves before anyway."""
    window = make_stop_window(BEGAN_AT, 6)
    deadline = BEGAN_AT + time_left
    latest = window.latest_send(deadline, work, retryable=retryable)
    if deadline <= window.response_due:
        assert latest == math.inf
    else:
        is_early = latest <= window.accepts_until
        needed = work.typical if retryable and is_early else work.cautious
        assert latest + needed <= window.response_due + 1e-9
        assert latest >= window.response_due - work.cautious - 1e-9


@given(seconds)
def test_request_of_unknown_work_is_sent_after_the_last_connections(
    time_left: float,
) -> None:
    """A cut is excused only for requests that are sent until then."""
    window = make_stop_window(BEGAN_AT, 6)
    deadline = window.response_due + 0.001 + time_left
    latest = window.latest_send(deadline, None, retryable=False)
    assert latest == BEGAN_AT + ACCEPT_TIME


@given(st.lists(st.floats(0.001, 10), min_size=1))
def test_cautious_estimate_is_below_the_typical_one(
    samples: list[float],
) -> None:
    """Requests that must not be repeated would be sent more readily."""
    times = WorkTimes()
    for sample in samples:
        times.add('r', 't', sample)
    work = times.of('r', 't')
    assert work is not None
    low, high = min(samples) - 1e-9, max(samples) + 1e-9
    assert low <= work.typical <= high
    assert work.cautious >= work.typical
    assert times.of('r', 'another') == times.of('r')


def test_constant_work_is_never_known_for_certain() -> None:
    """Requests that fit would be turned away for ever."""
    times = WorkTimes()
    for _ in range(20):
        times.add('r', 't', 2.0)
    work = times.of('r', 't')
    assert work is not None
    assert math.isclose(work.cautious, 2.0, rel_tol=0.01)


def test_estimates_of_many_targets_fill_the_memory() -> None:
    """The estimate of the route outlives those of its targets."""
    times = WorkTimes()
    for number in range(MAX_PAIRS + 5):
        times.add('r', f't{number}', 1.0)
    assert times.of('r') is not None
    assert len(times) == MAX_PAIRS
