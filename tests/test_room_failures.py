"""Shared room: silent targets, cancelled asks, and keepers that stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
import pytest

from dogwoodmast.clock import ManualClock
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.direct.room.keeper_order import rank_keepers
from dogwoodmast.direct.room.messages import (
    ReturnReason,
    RoomAsk,
    RoomReply,
    RoomReturn,
    Verdict,
)
from dogwoodmast.direct.room.refusals import RETURN_SHARE, Refusal, Refusals
from dogwoodmast.direct.room.room_book import RoomBook
from dogwoodmast.direct.room.room_keeper import SETTLING_TIME, RoomKeeper
from test_room_machine import make_return, make_target

if TYPE_CHECKING:
    from dogwoodmast.direct.catalog import Target

pytestmark = pytest.mark.anyio

GROUP = ('orders', 'a')
"""Service and zone of the targets."""


@pytest.fixture
def book() -> RoomBook:
    """Make a book of one target.

    :return: Book with free room.
    """
    made = RoomBook()
    made.update([make_target('t1')], 1, 0)
    return made


@pytest.fixture
def keeper() -> RoomKeeper:
    """Make the only VM, which keeps the room of one target.

    :return: Keeper with free room.
    """
    record = VmRecord('vm0', 'a', '', 'i0', keeps_room=True)
    targets: list[Target] = [make_target('t1')]
    made = RoomKeeper('vm0', ManualClock(), lambda: [record], lambda: targets)
    made.refresh()
    return made


def make_ask(number: int, vm: str = 'vm1', key: str = 't1') -> RoomAsk:
    """Make an ask for room at the target.

    :param number: Number of the ask.
    :param vm: Incarnation of the VM.
    :param key: Holder of the key.
    :return: Ask with two seconds left.
    """
    return RoomAsk(
        vm, number, *GROUP, key, int(bool(key)), time_left=2, objective=1
    )


def grant(book: RoomBook, ask: RoomAsk, now: float) -> RoomReply:
    """Ask for room that is free.

    :param book: Book with free room.
    :param ask: The ask.
    :param now: Monotonic time, in seconds.
    :return: Answer.
    """
    replies: list[RoomReply] = []
    book.ask(ask, now, replies.append)
    return replies[0]


def return_overdue(book: RoomBook, ask: RoomAsk, now: float) -> None:
    """Return the room of a request without a response in its time.

    :param book: Book that granted it.
    :param ask: Ask of the request.
    :param now: Monotonic time, in seconds.
    """
    book.give_back(make_return(ask, 't1', ReturnReason.OVERDUE, 2), now)


def test_silent_target_that_answers_others_is_not_down(book: RoomBook) -> None:
    """Requests that a full target does not answer do not make it count as down.

    They are counted, and the target is granted to others.
    """
    for number in range(6):
        ask = make_ask(number, f'vm{number}')
        grant(book, ask, number)
        other = make_ask(number + 10)
        grant(book, other, number + 1.5)
        served = make_return(other, 't1', ReturnReason.SERVED, 0.1)
        book.give_back(served, number + 1.6)
        return_overdue(book, ask, number + 2)
    grant(book, make_ask(20), 8)
    assert grant(book, make_ask(21), 8).verdict == Verdict.GRANTED
    assert book.silent_count == 6
    assert book.take_silent() == {'t1': 6}
    assert not book.take_silent()


def test_target_that_answers_nobody_is_down(book: RoomBook) -> None:
    """One request probes it, and the others are refused at once."""
    for number in range(3):
        ask = make_ask(number, f'vm{number}')
        grant(book, ask, 0)
        return_overdue(book, ask, 2)
    assert grant(book, make_ask(20), 2.1).verdict == Verdict.GRANTED
    assert grant(book, make_ask(21), 2.1).verdict == Verdict.REFUSED
    assert book.refusals.counts[Refusal.DOWN] == 1
    assert book.silent_count == 0


def test_single_vm_does_not_make_a_target_count_as_down(book: RoomBook) -> None:
    """The VM may be cut off from the target while others reach it."""
    for number in range(6):
        ask = make_ask(number)
        grant(book, ask, 0)
        book.give_back(make_return(ask, 't1', ReturnReason.NO_RESPONSE), 0)
    grant(book, make_ask(20, 'vm2'), 0)
    assert grant(book, make_ask(21, 'vm2'), 0).verdict == Verdict.GRANTED


def test_refused_callers_return_spread_over_their_time() -> None:
    """However many are refused, they do not return together or too late."""
    refusals = Refusals()
    waits = [
        refusals.refuse_in_turn(make_ask(one), Refusal.FULL, 0.1, 50, 0).wait
        for one in range(1000)
    ]
    assert max(waits) <= 2 * RETURN_SHARE
    most_at_once = max(waits.count(wait) for wait in waits)
    assert most_at_once <= 1000 / (2 * RETURN_SHARE * 50 / 2)


async def test_cancelled_ask_frees_its_room(keeper: RoomKeeper) -> None:
    """An ask whose handler is cancelled neither waits on nor holds room."""
    await keeper.ask(make_ask(0))
    with anyio.move_on_after(0.05) as scope:
        await keeper.ask(make_ask(3))
    assert scope.cancelled_caught
    assert (keeper.used, keeper.waiting) == (1, 0)


async def test_stopping_keeper_hands_over(keeper: RoomKeeper) -> None:
    """Asks that wait look for another keeper, and new ones are not decided."""
    replies: list[RoomReply] = []

    async def ask() -> None:
        replies.append(await keeper.ask(make_ask(1)))

    await keeper.ask(make_ask(0))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.wait_all_tasks_blocked()
        keeper.stop()
    await ask()
    assert [one.verdict for one in replies] == [Verdict.AGAIN, Verdict.UNKNOWN]
    keeper.give_back(RoomReturn('vm1', 0, *GROUP, 't1'))
    assert keeper.used == 0


async def test_room_of_a_replaced_vm_is_held_until_its_deadlines() -> None:
    """Its machine lost its power, so that no link is known to have ended."""
    own = VmRecord('vm0', 'a', '', 'i0', keeps_room=True)
    vms = [own, attrs.evolve(own, name='vm1', incarnation='i1')]
    clock = ManualClock()
    targets: list[Target] = [make_target('t1')]
    keeper = RoomKeeper('vm0', clock, lambda: vms, lambda: targets)
    keeper.refresh()
    clock.advance(SETTLING_TIME)
    keeper.refresh()
    lost = attrs.evolve(make_ask(0, 'i1'), time_left=12, objective=10)
    replies: list[RoomReply] = []
    book = keeper.find_book(GROUP)
    assert book is not None
    while not book.waiting:
        lost = attrs.evolve(lost, number=lost.number + 1)
        book.ask(lost, clock.monotonic(), replies.append)
    duration = book.rooms[0].mean_duration
    vms[1] = attrs.evolve(vms[1], incarnation='i2')
    keeper.refresh()
    assert replies[-1].verdict != Verdict.GRANTED
    clock.advance(duration)
    book.tick(clock.monotonic())
    assert (book.used, book.waiting) == (0, 0)


def test_vms_of_an_earlier_build_keep_no_room() -> None:
    """They would close the link on which they are asked."""
    earlier = VmRecord('vm0', 'a', '', 'i0', 10)
    newer = attrs.evolve(earlier, name='vm1', capacity=1, keeps_room=True)
    assert rank_keepers(GROUP, [earlier, newer]) == ['vm1']
    assert rank_keepers(GROUP, [earlier]) == []
