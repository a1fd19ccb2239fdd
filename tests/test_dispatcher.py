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
    DispatchModel,
    Running,
    make_request_id,
)
from dogwoodmast.dispatch_messages import FailureCause
from dogwoodmast.dispatch_right import Right
from dogwoodmast.fair_queue import FairQueue
from dogwoodmast.retry_budget import INITIAL_RETRY_TOKENS
from dogwoodmast.slot_table import OVERRUN_ALLOWANCE


@pytest.fixture
def model() -> DispatchModel:
    """Give the first entry VM a lease for long, and a warm target."""
    made = DispatchModel()
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


def check(
    model: DispatchModel, timeout: float = 2.0, customer: str = ''
) -> int:
    """Submit an idempotent request."""
    body = len(model.tickets).to_bytes(2, 'big')
    return model.submit('a', CHECK, timeout, '', body, customer)


def pay(model: DispatchModel, request_id: str) -> int:
    """Submit a non-idempotent request."""
    return model.submit('a', PAY, 2.0, request_id, b'1')


def running(model: DispatchModel, ticket: int) -> Running:
    """Find the exchange of a submission."""
    return next(
        one for one in model.running if one.start.submission.ticket == ticket
    )


def started(model: DispatchModel) -> list[int]:
    """List the tickets whose exchanges run."""
    return [one.start.submission.ticket for one in model.running]


def test_queue_refuses_at_once_what_cannot_finish(model: DispatchModel) -> None:
    """A request that would wait past its deadline is refused unrun."""
    for _ in range(4):
        check(model)
    late = check(model, timeout=0.15)
    assert model.tickets[late].refused
    assert not model.tickets[check(model, timeout=1.0)].replied


def test_aborted_request_keeps_its_slot(model: DispatchModel) -> None:
    """A slot whose request may still run is not used until it cannot."""
    first, second = check(model), check(model)
    waiting = check(model)
    model.cancel(first)
    model.fail(running(model, first), FailureCause.ABORTED, ended=False)
    assert started(model) == [second]
    model.answer(running(model, second))
    assert started(model) == [waiting]
    model.advance(1.0)
    model.answer(running(model, waiting))
    assert not model.running
    assert model.vms['a'].dispatcher.unsettled(model.now)
    model.advance(1.0 + OVERRUN_ALLOWANCE)
    assert not model.vms['a'].dispatcher.unsettled(model.now)


def test_confirmed_cancellation_frees_the_slot(model: DispatchModel) -> None:
    """A slot is free as soon as the target says that it runs no more."""
    first, second = check(model), check(model)
    waiting = check(model)
    model.cancel(first)
    model.fail(running(model, first), FailureCause.ABORTED, ended=True)
    assert set(started(model)) == {second, waiting}


def test_departed_callers_free_their_slots_with_the_answer(
    model: DispatchModel,
) -> None:
    """A target that knows no cancellation is not held by gone callers."""
    first, second = check(model), check(model)
    waiting = check(model)
    for gone in (first, second):
        model.cancel(gone)
    assert not any(one.aborted for one in model.running)
    model.answer(running(model, first))
    assert set(started(model)) == {second, waiting}


def test_lapse_aborts_what_runs(model: DispatchModel) -> None:
    """Nothing runs on, and nothing starts, after the lease has lapsed."""
    numbers = [check(model), pay(model, make_request_id(EPOCH + 11.5, 1))]
    model.vms['a'].rights.expiry = model.now
    model.advance(0.01)
    assert all(one.aborted for one in model.running)
    assert all(model.tickets[number].replied for number in numbers)


def test_flood_does_not_starve_others(model: DispatchModel) -> None:
    """A customer with one request is served before a flood's rest."""
    flood = [check(model, customer='flood') for _ in range(6)]
    quiet = check(model, customer='quiet')
    model.answer(running(model, flood[0]))
    model.answer(running(model, flood[1]))
    assert quiet in started(model)
    for _ in range(6):
        check(model, customer='flood')
    late = check(model, customer='third')
    assert not model.tickets[late].replied


def test_queue_charges_by_cost() -> None:
    """Customers get equal service, not equal numbers of requests."""
    queue: FairQueue[str] = FairQueue()
    for _ in range(12):
        queue.push('slow', 'slow', 3)
        queue.push('fast', 'fast', 1)
    served = [queue.pop() for _ in range(8)]
    assert served.count('fast') == 3 * served.count('slow')


def test_retries_stay_within_the_budget(model: DispatchModel) -> None:
    """Failing attempts are retried at most as often as budgeted."""
    attempts = 0
    requests = 60
    for _ in range(requests):
        number = check(model, timeout=0.5)
        for _ in range(CHECK.attempts):
            if number in started(model):
                attempts += 1
                one = running(model, number)
                model.fail(one, FailureCause.CLOSED, ended=False)
            model.advance(0.05)
        model.advance(1.5)
    assert requests < attempts
    assert attempts <= requests * 1.1 + INITIAL_RETRY_TOKENS


@pytest.mark.parametrize('cause', [None, FailureCause.CONNECT])
def test_unrun_payment_is_tried_again(
    model: DispatchModel, cause: FailureCause | None
) -> None:
    """A payment that surely did not run gets another attempt."""
    number = pay(model, make_request_id(EPOCH + 11.5, 1))
    one = running(model, number)
    if cause is None:
        model.end(one, NOT_RUN)
    else:
        model.fail(one, cause, ended=False)
    model.advance(0.05)
    model.answer(running(model, number))
    assert model.tickets[number].replied


def test_lost_payment_is_not_tried_again(model: DispatchModel) -> None:
    """A payment whose exchange broke is answered, and never repeated."""
    request_id = make_request_id(EPOCH + 11.5, 1)
    number = pay(model, request_id)
    model.fail(running(model, number), FailureCause.CLOSED, ended=False)
    assert model.tickets[number].replied
    assert not model.tickets[number].refused
    assert model.tickets[pay(model, request_id)].replied
    assert not model.running


def test_pending_waits_and_moves(model: DispatchModel) -> None:
    """Without the right a request waits, and goes on or is routed anew."""
    rights = model.vms['a'].rights
    dispatcher = model.vms['a'].dispatcher
    rights.answer = Right.PENDING
    first = check(model)
    assert not model.running
    rights.answer = Right.GRANTED
    model.perform('a', dispatcher.on_rights_changed(model.now))
    model.answer(running(model, first))
    rights.answer = Right.PENDING
    second = check(model)
    rights.answer = Right.DENIED
    model.perform('a', dispatcher.on_rights_changed(model.now))
    assert model.tickets[second].refused
