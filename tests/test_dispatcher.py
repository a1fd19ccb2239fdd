"""Decisions of one dispatcher: limits, fairness, retries."""

from __future__ import annotations

import pytest

from dispatch_model import (
    CHECK,
    EPOCH,
    LEASE,
    NOT_RUN,
    PAY,
    TARGET,
    Running,
    World,
    make_request_id,
)
from dogwoodmast.dispatch_messages import FailureCause
from dogwoodmast.dispatch_right import Right
from dogwoodmast.fair_queue import FairQueue
from dogwoodmast.retry_budget import INITIAL_RETRY_TOKENS
from dogwoodmast.slot_table import OVERRUN_ALLOWANCE


@pytest.fixture
def world() -> World:
    """Give the first entry VM a lease for long, and a warm target."""
    made = World()
    rights = made.vms['a'].rights
    rights.answer = Right.GRANTED
    rights.expiry = 1000 * LEASE
    made.perform('a', made.vms['a'].dispatcher.on_rights_changed(made.now))
    made.advance(1)
    for _ in range(TARGET.slots):
        number = check(made)
        made.advance(0.1)
        made.answer(running(made, number))
    return made


def check(world: World, timeout: float = 2.0, customer: str = '') -> int:
    """Submit an idempotent request."""
    body = len(world.tickets).to_bytes(2, 'big')
    return world.submit('a', CHECK, timeout, '', body, customer)


def pay(world: World, request_id: str) -> int:
    """Submit a non-idempotent request."""
    return world.submit('a', PAY, 2.0, request_id, b'1')


def running(world: World, ticket: int) -> Running:
    """Find the exchange of a submission."""
    return next(
        one for one in world.running if one.start.submission.ticket == ticket
    )


def started(world: World) -> list[int]:
    """List the tickets whose exchanges run."""
    return [one.start.submission.ticket for one in world.running]


def test_queue_refuses_at_once_what_cannot_finish(world: World) -> None:
    """A request that would wait past its deadline is refused unrun."""
    for _ in range(4):
        check(world)
    late = check(world, timeout=0.15)
    assert world.tickets[late].refused
    assert not world.tickets[check(world, timeout=1.0)].replied


def test_aborted_request_keeps_its_slot(world: World) -> None:
    """A slot whose request may still run is not used until it cannot."""
    first, second = check(world), check(world)
    waiting = check(world)
    world.cancel(first)
    world.fail(running(world, first), FailureCause.ABORTED, ended=False)
    assert started(world) == [second]
    world.answer(running(world, second))
    assert started(world) == [waiting]
    world.advance(1.0)
    world.answer(running(world, waiting))
    assert not world.running
    assert world.vms['a'].dispatcher.unsettled(world.now)
    world.advance(1.0 + OVERRUN_ALLOWANCE)
    assert not world.vms['a'].dispatcher.unsettled(world.now)


def test_confirmed_cancellation_frees_the_slot(world: World) -> None:
    """A slot is free as soon as the target says that it runs no more."""
    first, second = check(world), check(world)
    waiting = check(world)
    world.cancel(first)
    world.fail(running(world, first), FailureCause.ABORTED, ended=True)
    assert set(started(world)) == {second, waiting}


def test_departed_callers_free_their_slots_with_the_answer(
    world: World,
) -> None:
    """A target that knows no cancellation is not held by gone callers."""
    first, second = check(world), check(world)
    waiting = check(world)
    for gone in (first, second):
        world.cancel(gone)
    assert not any(one.aborted for one in world.running)
    world.answer(running(world, first))
    assert set(started(world)) == {second, waiting}


def test_lapse_aborts_what_runs(world: World) -> None:
    """Nothing runs on, and nothing starts, after the lease has lapsed."""
    numbers = [check(world), pay(world, make_request_id(EPOCH + 11.5, 1))]
    world.vms['a'].rights.expiry = world.now
    world.advance(0.01)
    assert all(one.aborted for one in world.running)
    assert all(world.tickets[number].replied for number in numbers)


def test_flood_does_not_starve_others(world: World) -> None:
    """A customer with one request is served before a flood's rest."""
    flood = [check(world, customer='flood') for _ in range(6)]
    quiet = check(world, customer='quiet')
    world.answer(running(world, flood[0]))
    world.answer(running(world, flood[1]))
    assert quiet in started(world)
    for _ in range(6):
        check(world, customer='flood')
    late = check(world, customer='third')
    assert not world.tickets[late].replied


def test_queue_charges_by_cost() -> None:
    """Customers get equal service, not equal numbers of requests."""
    queue: FairQueue[str] = FairQueue()
    for _ in range(12):
        queue.push('slow', 'slow', 3)
        queue.push('fast', 'fast', 1)
    served = [queue.pop() for _ in range(8)]
    assert served.count('fast') == 3 * served.count('slow')


def test_retries_stay_within_the_budget(world: World) -> None:
    """Failing attempts are retried at most as often as budgeted."""
    attempts = 0
    requests = 60
    for _ in range(requests):
        number = check(world, timeout=0.5)
        for _ in range(CHECK.attempts):
            if number in started(world):
                attempts += 1
                one = running(world, number)
                world.fail(one, FailureCause.CLOSED, ended=False)
            world.advance(0.05)
        world.advance(1.5)
    assert requests < attempts
    assert attempts <= requests * 1.1 + INITIAL_RETRY_TOKENS


@pytest.mark.parametrize('cause', [None, FailureCause.CONNECT])
def test_unrun_payment_is_tried_again(
    world: World, cause: FailureCause | None
) -> None:
    """A payment that surely did not run gets another attempt."""
    number = pay(world, make_request_id(EPOCH + 11.5, 1))
    one = running(world, number)
    if cause is None:
        world.end(one, NOT_RUN)
    else:
        world.fail(one, cause, ended=False)
    world.advance(0.05)
    world.answer(running(world, number))
    assert world.tickets[number].replied


def test_lost_payment_is_not_tried_again(world: World) -> None:
    """A payment whose exchange broke is answered, and never repeated."""
    request_id = make_request_id(EPOCH + 11.5, 1)
    number = pay(world, request_id)
    world.fail(running(world, number), FailureCause.CLOSED, ended=False)
    assert world.tickets[number].replied
    assert not world.tickets[number].refused
    assert world.tickets[pay(world, request_id)].replied
    assert not world.running


def test_pending_waits_and_moves(world: World) -> None:
    """Without the right a request waits, and goes on or is routed anew."""
    rights = world.vms['a'].rights
    dispatcher = world.vms['a'].dispatcher
    rights.answer = Right.PENDING
    first = check(world)
    assert not world.running
    rights.answer = Right.GRANTED
    world.perform('a', dispatcher.on_rights_changed(world.now))
    world.answer(running(world, first))
    rights.answer = Right.PENDING
    second = check(world)
    rights.answer = Right.DENIED
    world.perform('a', dispatcher.on_rights_changed(world.now))
    assert world.tickets[second].refused
