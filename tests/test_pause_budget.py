"""Requests that targets get in the pauses that they have asked VMs for."""

from __future__ import annotations

import random

import pytest

from dogwoodmast.direct.admission_queue import RETRY_JITTER
from dogwoodmast.direct.call import Rejected
from dogwoodmast.problem import ProblemType
from pause_simulation import (
    CALLER_TIMEOUT,
    LONGEST_DELAY,
    LONGEST_HOLD_UP,
    SERVICES,
    Ended,
    PauseFleet,
    PausingTarget,
    Refusal,
    make_target,
)
from simulated_time import run_simulated

PAUSE_SLACK = 0.5
"""Time after the answer from which on the platform counts, in seconds."""
MOST_IN_A_PAUSE = 2
"""Requests that a target may get from a VM in a pause."""
ROUNDING = 1e-9
"""Error of a computed time, in seconds."""
SECONDS = 9.0
"""Duration of a run, in seconds."""
LEAST_SHARE = 0.66
"""Part of the delay that callers honour which they are told at least during a
pause that lasts longer."""


def play(
    seed: int, refusals: tuple[Refusal, ...], *, faults: bool = True
) -> PauseFleet:
    """Play targets that shed at times, VMs that are cut off, lost listings.

    :param seed: Seed of all random numbers.
    :param refusals: Forms of the answers that ask for pauses.
    :param faults: Whether listings lapse and VMs are cut off.
    :return: Fleet after the run.
    """
    rng = random.Random(seed)
    vms = rng.choice((1, 3, 6))
    targets = []
    for number in range(8):
        start = rng.uniform(0.5, 4)
        again = start + rng.uniform(0.5, 4)
        targets.append(
            PausingTarget(
                make_target(number, SERVICES[number % 2]),
                rng,
                refusals,
                ((start, start + 0.3), (again, again + rng.uniform(0.2, 2))),
                rng.choice((0, LONGEST_HOLD_UP)),
            )
        )
    starts = [rng.uniform(0.5, 6) for _ in range(6)]
    lapses = tuple(
        (rng.randrange(8), start, start + rng.uniform(0.2, 2))
        for start in starts[:4]
    )
    cuts = tuple(
        (rng.randrange(vms), start, start + rng.uniform(0.5, 3))
        for start in starts[4:]
    )

    async def scenario() -> PauseFleet:
        fleet = PauseFleet(
            tuple(targets),
            rng,
            180 / vms,
            lapses if faults else (),
            cuts if faults else (),
        )
        await fleet.play(vms, SECONDS)
        return fleet

    return run_simulated(scenario)


def excesses(fleet: PauseFleet) -> list[str]:
    """Return the pauses in which a VM sent more than it may."""
    return [
        f'{target.listing.name}: {count} in {pause}'
        for target in fleet.targets
        for pause, count in target.excesses(PAUSE_SLACK)
        if count > MOST_IN_A_PAUSE
    ]


def requests_for_paused_keys(fleet: PauseFleet) -> list[tuple[Ended, float]]:
    """Return the requests whose key's holder had asked their VM for a pause.

    :param fleet: Fleet after the run.
    :return: Request, and rest of the pause when it came, in seconds.
    """
    rests = [
        (
            one,
            one.paused_until.get(fleet.holder(one.call.shard_key), 0)
            - one.call.arrived_at,
        )
        for one in fleet.ended
        if one.call.shard_key is not None
    ]
    return [(one, rest) for one, rest in rests if rest > 0]


def needless_refusals(fleet: PauseFleet) -> list[Ended]:
    """Return the requests without a key that a willing target could have run.

    :param fleet: Fleet after the run.
    :return: Requests that were rejected for a pause although a listed target
        without one had not got them.
    """
    reached = {
        (target.listing.name, one.attempt_id)
        for target in fleet.targets
        for one in target.arrivals
    }
    plain = [
        one.listing.name
        for one in fleet.targets
        if one.listing.service == SERVICES[1]
    ]
    return [
        one
        for one in fleet.ended
        if one.call.shard_key is None
        and isinstance(one.result, Rejected)
        and one.result.problem.type is ProblemType.TARGET_PAUSED
        and any(
            name in one.willing and (name, one.call.attempt_id) not in reached
            for name in plain
        )
    ]


@pytest.fixture(scope='module')
def calm_fleet() -> PauseFleet:
    """Play without lost listings and cuts; tests only read the fleet."""
    return play(0, (Refusal.REFUSED,), faults=False)


@pytest.mark.parametrize('refusal', Refusal)
def test_paused_target_gets_more_than_two_requests(refusal: Refusal) -> None:
    """The form of the answer does not matter."""
    fleet = play(0, (refusal,))
    assert sum(len(one.pauses) for one in fleet.targets) > 10
    assert not excesses(fleet)


@pytest.mark.parametrize('seed', [101, 103, 105])
def test_answers_of_all_forms_lead_to_requests_in_pauses(seed: int) -> None:
    """Targets answer in one form, then in another."""
    assert not excesses(play(seed, tuple(Refusal)))


@pytest.mark.parametrize('refusal', [Refusal.REFUSED, Refusal.TRUNCATED])
@pytest.mark.parametrize('faults', [False, True])
def test_request_for_a_paused_key_is_not_rejected_at_once(
    refusal: Refusal, *, faults: bool
) -> None:
    """No other target may run it, and no other VM either."""
    fleet = play(0, (refusal,), faults=faults)
    found = [one for one, _ in requests_for_paused_keys(fleet)]
    assert len(found) > 100
    assert {one.seconds for one in found} == {0}
    kinds = {
        one.result.problem.type
        for one in found
        if isinstance(one.result, Rejected)
    }
    assert kinds == {ProblemType.TARGET_PAUSED}


def test_callers_of_paused_keys_return_too_early_or_together(
    calm_fleet: PauseFleet,
) -> None:
    """Those that came at once return at times of their own."""
    returns: dict[float, list[float]] = {}
    for one, rest in requests_for_paused_keys(calm_fleet):
        assert isinstance(one.result, Rejected)
        delay = one.result.problem.retry_after or 0
        honoured = CALLER_TIMEOUT / 3
        assert min(rest, honoured * LEAST_SHARE) <= delay
        assert delay <= honoured + ROUNDING
        assert delay <= (rest + LONGEST_DELAY) * (1 + RETRY_JITTER)
        returns.setdefault(one.call.arrived_at, []).append(delay)
    bursts = [delays for delays in returns.values() if len(delays) > 1]
    assert len(bursts) > 10
    assert all(len(set(delays)) == len(delays) for delays in bursts)


def test_request_without_a_key_is_refused_beside_a_willing_target(
    calm_fleet: PauseFleet,
) -> None:
    """A pause of one target leaves the others of its service."""
    assert not needless_refusals(calm_fleet)


@pytest.mark.parametrize('seed', [204, 205])
def test_vm_that_is_cut_off_refuses_for_a_pause_without_relaying(
    seed: int,
) -> None:
    """All targets that it reaches are paused; other VMs reach willing ones."""
    fleet = play(seed, (Refusal.REFUSED,))
    assert len(fleet.vms) > 1
    found = [one for one in needless_refusals(fleet) if not one.seconds]
    assert not found, len(found)
