"""Decisions of one dispatcher: slots, deadlines, fairness and retries."""

from __future__ import annotations

import pytest

from dispatch_model import (
    CHECK,
    LEASE_DURATION,
    NOT_RUN,
    PAY,
    START_TIME,
    TARGET,
    DispatchModel,
    RunningExchange,
    make_request_id,
)
from dogwoodmast.dispatch_messages import FailureCause
from dogwoodmast.dispatch_right import Right
from dogwoodmast.fair_queue import FairQueue
from dogwoodmast.retry_budget import INITIAL_RETRY_TOKENS
from dogwoodmast.slot_table import OVERRUN_ALLOWANCE


@pytest.fixture
def model() -> DispatchModel:
    """Grant entry VM ``a`` a long lease and run one request on each slot.

    The requests give the dispatcher service times to predict from.
    """
    warm_model = DispatchModel()
    rights = warm_model.vms['a'].rights
    rights.answer = Right.GRANTED
    rights.expiry = 1000 * LEASE_DURATION
    warm_model.perform(
        'a', warm_model.vms['a'].dispatcher.on_rights_changed(warm_model.now)
    )
    warm_model.advance(1)
    for _ in range(TARGET.slots):
        number = check(warm_model)
        warm_model.advance(0.1)
        warm_model.answer(running(warm_model, number))
    return warm_model


def check(
    model: DispatchModel, timeout: float = 2.0, customer: str = ''
) -> int:
    """Submit an idempotent request and return its ticket number."""
    body = len(model.tickets).to_bytes(2, 'big')
    return model.submit('a', CHECK, timeout, '', body, customer)


def pay(model: DispatchModel, request_id: str) -> int:
    """Submit a non-idempotent request and return its ticket number."""
    return model.submit('a', PAY, 2.0, request_id, b'1')


def running(model: DispatchModel, ticket: int) -> RunningExchange:
    """Return the running exchange of a submission."""
    return next(
        exchange
        for exchange in model.running
        if exchange.start.submission.ticket == ticket
    )


def started(model: DispatchModel) -> list[int]:
    """Return the ticket numbers of the running exchanges."""
    return [exchange.start.submission.ticket for exchange in model.running]


def test_request_that_cannot_meet_its_deadline_is_refused(
    model: DispatchModel,
) -> None:
    """A request is refused if its wait in the queue would exceed its deadline.

    It would otherwise time out after it had delayed others.
    """
    for _ in range(4):
        check(model)
    late = check(model, timeout=0.15)
    assert model.tickets[late].refused
    assert not model.tickets[check(model, timeout=1.0)].replied


def test_slot_is_held_while_an_aborted_request_may_run(
    model: DispatchModel,
) -> None:
    """A slot is not reused while its aborted request may still run.

    The target may start the request until its deadline, and would otherwise
    run more requests at once than it has slots.
    """
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
    """A slot is free once the target confirms the cancellation.

    Without that, each cancelled request would block its slot until its
    deadline.
    """
    first, second = check(model), check(model)
    waiting = check(model)
    model.cancel(first)
    model.fail(running(model, first), FailureCause.ABORTED, ended=True)
    assert set(started(model)) == {second, waiting}


def test_response_frees_the_slot_of_a_departed_caller(
    model: DispatchModel,
) -> None:
    """A response frees the slot of a request without callers.

    A target that does not support cancellation still runs the request, whose
    exchange must neither be aborted nor hold its slot after the response.
    """
    first, second = check(model), check(model)
    waiting = check(model)
    for departed in (first, second):
        model.cancel(departed)
    assert not any(exchange.aborted for exchange in model.running)
    model.answer(running(model, first))
    assert set(started(model)) == {second, waiting}


def test_lapsed_lease_aborts_exchanges(model: DispatchModel) -> None:
    """A lapsed lease aborts all exchanges and answers their callers.

    Another entry VM may hold the lease by then and send requests to the same
    target.
    """
    numbers = [check(model), pay(model, make_request_id(START_TIME + 11.5, 1))]
    model.vms['a'].rights.expiry = model.now
    model.advance(0.01)
    assert all(exchange.aborted for exchange in model.running)
    assert all(model.tickets[number].replied for number in numbers)


def test_flooding_customer_does_not_starve_others(model: DispatchModel) -> None:
    """A customer with one request is served before the backlog of another.

    When the queue is full, a request of a third customer evicts one of the
    customer that fills it instead of being refused.
    """
    flood = [check(model, customer='flood') for _ in range(6)]
    single = check(model, customer='quiet')
    model.answer(running(model, flood[0]))
    model.answer(running(model, flood[1]))
    assert single in started(model)
    for _ in range(6):
        check(model, customer='flood')
    late = check(model, customer='third')
    assert not model.tickets[late].replied


def test_queue_charges_by_cost() -> None:
    """The queue shares service time equally, not numbers of requests.

    Otherwise a customer with slow requests would get most of the capacity.
    """
    queue: FairQueue[str] = FairQueue()
    for _ in range(12):
        queue.push('slow', 'slow', 3)
        queue.push('fast', 'fast', 1)
    served = [queue.pop() for _ in range(8)]
    assert served.count('fast') == 3 * served.count('slow')


def test_retries_stay_within_the_budget(model: DispatchModel) -> None:
    """The retry budget limits the attempts on a target that always fails.

    Unlimited retries would multiply the load on a failing target.
    """
    attempts = 0
    requests = 60
    for _ in range(requests):
        number = check(model, timeout=0.5)
        for _ in range(CHECK.attempts):
            if number in started(model):
                attempts += 1
                exchange = running(model, number)
                model.fail(exchange, FailureCause.CLOSED, ended=False)
            model.advance(0.05)
        model.advance(1.5)
    assert requests < attempts
    assert attempts <= requests * 1.1 + INITIAL_RETRY_TOKENS


@pytest.mark.parametrize('cause', [None, FailureCause.CONNECT])
def test_payment_that_did_not_run_is_retried(
    model: DispatchModel, cause: FailureCause | None
) -> None:
    """A payment that is known not to have run is retried.

    The target refused it, or its connection could not be opened.
    """
    number = pay(model, make_request_id(START_TIME + 11.5, 1))
    exchange = running(model, number)
    if cause is None:
        model.end(exchange, NOT_RUN)
    else:
        model.fail(exchange, cause, ended=False)
    model.advance(0.05)
    model.answer(running(model, number))
    assert model.tickets[number].replied


def test_payment_that_may_have_run_is_not_retried(model: DispatchModel) -> None:
    """A payment whose connection closed is not retried, nor run when resent.

    It may have run, so another attempt might charge twice.
    """
    request_id = make_request_id(START_TIME + 11.5, 1)
    number = pay(model, request_id)
    model.fail(running(model, number), FailureCause.CLOSED, ended=False)
    assert model.tickets[number].replied
    assert not model.tickets[number].refused
    assert model.tickets[pay(model, request_id)].replied
    assert not model.running


def test_request_waits_while_its_right_is_pending(model: DispatchModel) -> None:
    """A request waits while the right is pending.

    It starts when the right is granted, and is returned to the router when
    the right is denied.
    """
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
