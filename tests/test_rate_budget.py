"""Requests that a target with a rate limit gets from all entry VMs together."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from dogwoodmast.direct.call import Delivered
from dogwoodmast.problem import Outcome, ProblemType
from rate_simulation import Arrival, LimitedTarget, RateFault, RateFleet
from simulated_time import run_simulated

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW = 4.0
"""Length of the windows in which the platform counts, in seconds."""
CONTACT_TIME = 3.0
"""Time after the first statement from which the bound holds, in seconds."""
LIMIT_FROM = 5.0
"""Simulated time at which targets name a limit first, in seconds."""
KNOWN_AFTER = 1.0
"""Time within which the VMs act on a lower rate, in seconds: a response, and
half a second that the platform allows."""
STEP = 0.05
"""Resolution of the integral of the limit, in seconds."""
REJECTION_TIME = 0.35
"""Longest time until a request beyond the limit is rejected, in seconds: two
keepers that do not answer."""


def constant(rate: float) -> Callable[[float], str]:
    """Name the same limit from ``LIMIT_FROM`` on.

    :param rate: Limit in requests per second.
    :return: Function from time to the header's value.
    """
    return lambda now: f'{rate}' if now >= LIMIT_FROM else ''


def play(
    name_limit: Callable[[float], str],
    vms: int,
    demand: float,
    *,
    seed: int = 1,
    **options: object,
) -> RateFleet:
    """Play a target with a limit.

    :param name_limit: Function from time to the header's value.
    :param vms: Number of entry VMs.
    :param demand: Requests per second of all callers together.
    :param seed: Seed of all random numbers.
    :param options: ``faults``, ``seconds`` and ``priorities``.
    :return: Fleet after the run.
    """

    async def scenario() -> RateFleet:
        rng = random.Random(seed)
        priorities = options.get('priorities', (1,))
        assert isinstance(priorities, tuple)
        fleet = RateFleet(LimitedTarget(name_limit, rng), rng, priorities)
        fleet.add_vms(vms, demand)
        faults = options.get('faults', [])
        seconds = options.get('seconds', 25.0)
        assert isinstance(faults, list)
        assert isinstance(seconds, (int, float))
        await fleet.play(faults, seconds)
        return fleet

    return run_simulated(scenario)


def allowance(
    name_limit: Callable[[float], str], start: float, slack: float
) -> float:
    """Compute how many requests a window may have.

    :param name_limit: Function from time to the header's value.
    :param start: Start of the window, in seconds.
    :param slack: Time for which an earlier, higher limit still counts, in
        seconds.
    :return: One and a half times what the limit allows, and 5 more.
    """
    total: float = 0
    for step in range(int(WINDOW / STEP)):
        at = start + step * STEP
        rates = [
            float(name_limit(at - lag * 0.1) or 'inf')
            for lag in range(int(slack / 0.1) + 1)
        ]
        total += max(rates) * STEP
    return 1.5 * total + 5


def broken_windows(
    fleet: RateFleet, name_limit: Callable[[float], str]
) -> list[tuple[float, int, float]]:
    """Find the windows with more requests than the platform allows.

    :param fleet: Fleet after the run.
    :param name_limit: Function from time to the header's value.
    :return: Start, requests and allowance of each window.
    """
    counted = [
        one.at
        for one in fleet.target.arrivals
        if one.was_told and one.at >= LIMIT_FROM + CONTACT_TIME - WINDOW
    ]
    broken = []
    for start in counted:
        if start + WINDOW < LIMIT_FROM + CONTACT_TIME:
            continue
        requests = sum(start <= at < start + WINDOW for at in counted)
        allowed = allowance(name_limit, start, KNOWN_AFTER)
        if requests > allowed:
            broken.append((start, requests, allowed))
    return broken


def rate_between(arrivals: list[Arrival], start: float, end: float) -> float:
    """Compute the rate at which requests arrived.

    :param arrivals: Requests that arrived.
    :param start: Start of the time span, in seconds.
    :param end: End of the time span, in seconds.
    :return: Requests per second.
    """
    return sum(start <= one.at < end for one in arrivals) / (end - start)


@pytest.mark.parametrize('vms', [1, 2, 3, 12, 40, 120])
@pytest.mark.parametrize('rate', [0.3, 4.9, 40.0])
def test_limit_is_exceeded_or_left_unused_by_any_number_of_vms(
    vms: int, rate: float
) -> None:
    """A limit divided by VMs is wasted; one kept by each VM is exceeded."""
    name_limit = constant(rate)
    end = 10 + max(15, 30 / rate)
    fleet = play(name_limit, vms, rate * 3, seconds=end)
    assert not broken_windows(fleet, name_limit)
    assert rate_between(fleet.target.arrivals, 10, end) >= 0.8 * rate


@pytest.mark.parametrize('seed', range(40))
def test_faults_of_vms_lead_to_more_requests_than_the_limit(seed: int) -> None:
    """VMs stop, are paused and lose each other, among them the keeper."""
    draw = random.Random(seed)
    vms = draw.choice((2, 3, 8, 12, 40))
    name_limit = constant(draw.choice((0.5, 5.0, 20.0)))
    faults = [
        (
            draw.uniform(0, 20),
            draw.randrange(vms),
            draw.choice(tuple(RateFault)),
            draw.uniform(0.2, 16),
        )
        for _ in range(draw.randint(1, vms))
    ]
    demand = float(name_limit(LIMIT_FROM)) * draw.choice((0.8, 2, 6))
    fleet = play(
        name_limit, vms, demand, seed=seed, faults=faults, seconds=35.0
    )
    assert not broken_windows(fleet, name_limit)


def falling(now: float) -> str:
    """Name a limit that falls to a tenth."""
    return constant(20.0 if now < 12 else 2.0)(now)


def flickering(now: float) -> str:
    """Name a limit that changes with each response, or leave it out."""
    if now < LIMIT_FROM:
        return ''
    return random.Random(int(now * 50)).choice(('4', '5', '6', '', 'soon'))


@pytest.mark.parametrize('seed', range(5))
def test_limit_that_falls_is_exceeded_for_long(seed: int) -> None:
    """All VMs have to act on the lower rate within ``KNOWN_AFTER``."""
    fleet = play(falling, 12, 60, seed=seed)
    assert not broken_windows(fleet, falling)


@pytest.mark.parametrize('seed', range(5))
def test_limit_that_is_left_out_now_and_then_is_forgotten(seed: int) -> None:
    """It may be missing, unreadable or another one in any response."""
    fleet = play(flickering, 12, 15, seed=seed)
    assert not broken_windows(fleet, constant(6))


def test_limit_that_has_ended_still_holds_requests_back() -> None:
    """Soon after the end, all that callers send reaches the target."""
    fleet = play(
        lambda now: '4' if LIMIT_FROM <= now < 12 else '', 12, 16, seconds=25.0
    )
    assert rate_between(fleet.target.arrivals, 8, 12) < 8
    assert rate_between(fleet.target.arrivals, 15, 25) > 14


@pytest.mark.parametrize(
    ('limit', 'least_share'),
    [
        # Urgent requests are offered at two thirds of the limit.
        (9, 0.95),
        # They are offered at the limit.
        (6, 0.75),
    ],
)
def test_less_urgent_requests_take_the_place_of_urgent_ones(
    limit: float, least_share: float
) -> None:
    """Three priorities share a limit that is below the sum of all."""
    fleet = play(constant(limit), 12, 18, priorities=(0, 1, 3), seconds=60.0)
    served = [
        sum(
            began > 10 and found == priority and isinstance(result, Delivered)
            for began, found, result in fleet.results
        )
        for priority in (0, 1, 3)
    ]
    offered = sum(
        began > 10 and priority == 0 for began, priority, _ in fleet.results
    )
    assert served[0] > least_share * offered
    assert served == sorted(served, reverse=True)
    assert rate_between(fleet.target.arrivals, 10, 60) >= 0.8 * limit


def test_request_beyond_the_limit_is_held_or_not_told_when_to_return() -> None:
    """It is rejected at once, has not run, and callers return spread."""
    fleet = play(constant(4.9), 12, 15)
    found = [one for vm in fleet.vms for one in vm.rejections]
    assert len(found) > 50
    problems = [rejected.problem for _, rejected in found]
    assert {one.type for one in problems} == {ProblemType.TARGET_LIMITED}
    assert {one.outcome for one in problems} == {Outcome.NOT_RUN}
    assert max(seconds for seconds, _ in found) <= REJECTION_TIME
    delays = {round(one.retry_after or 0, 2) for one in problems}
    assert min(delays) > 0
    assert len(delays) > 10
