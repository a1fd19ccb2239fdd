"""Grant and release calls to targets whose answers are repeated."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import anyio
import attrs
import pytest

from direct_fleet import free_address
from dogwoodmast.clock import SystemClock
from dogwoodmast.direct.catalog import Target
from dogwoodmast.direct.grant_state_machine import (
    GrantAnswer,
    GrantCall,
    ReleaseCall,
    TargetCall,
)
from dogwoodmast.direct.shard import Shard
from dogwoodmast.direct.statement_book import StatementBook
from dogwoodmast.direct.target_control import ControlResult, TargetControl

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodmast.address import Address

RELEASE_TIME = 0.3
"""Time for which the target works on released keys, in seconds."""
HOLD = 6.0
"""Duration of each grant, in seconds."""


@attrs.define(eq=False)
class RepeatingTarget:
    """Target that answers a call once more when the next one is read."""

    answers: list[int]
    """Statuses of the answers to grants, in turn."""
    applied: int = 0
    """Number of grants that were read."""
    released_at: float = float('inf')
    """Monotonic time at which a release was complete, in seconds."""
    open_connections: int = 0
    """Number of connections that are not closed yet."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection.

        :param reader: Stream of calls.
        :param writer: Stream of answers.
        """
        self.open_connections += 1
        earlier = b''
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                path = await _read_call(reader)
                writer.write(earlier)
                await writer.drain()
                earlier = await self._answer(path)
                writer.write(earlier)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        self.open_connections -= 1

    async def _answer(self, path: bytes) -> bytes:
        status = 200
        if path.endswith(b'release'):
            await asyncio.sleep(RELEASE_TIME)
            self.released_at = time.monotonic()
        else:
            status = self.answers[self.applied]
            self.applied += 1
        return b'HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n' % status


async def _read_call(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b'\r\n\r\n')
    length = next(
        int(line.partition(b':')[2])
        for line in head.splitlines()
        if line.startswith(b'content-length')
    )
    await reader.readexactly(length)
    return head.split()[1]


@contextlib.asynccontextmanager
async def controlled(
    target: RepeatingTarget, address: Address | None = None
) -> AsyncIterator[Address]:
    """Run a target.

    :param target: Target to run.
    :param address: Its address, by default a free one.
    :return: Its address.
    """
    address = address or free_address()
    async with await asyncio.start_server(
        target.serve, address.host, address.port
    ):
        yield address
        while target.open_connections:
            await asyncio.sleep(0.01)


async def make_calls(
    address: Address, *make: type[GrantCall | ReleaseCall]
) -> list[ControlResult]:
    """Make calls one after another.

    :param address: Address of the target.
    :param make: Kind of each call.
    :return: Their results.
    """
    listed = Target('t1', 'solde', address, 'a', 4, False, 1)
    control = TargetControl(listed, SystemClock(), StatementBook())
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(control.aclose)
        return [
            await control.call(make_call(kind, listed), lambda: True)
            for kind in make
        ]


def make_call(
    kind: type[GrantCall | ReleaseCall], target: Target
) -> TargetCall:
    """Make a call for a shard of the target.

    :param kind: Kind of the call.
    :param target: Target to call.
    :return: The call.
    """
    if kind is GrantCall:
        return GrantCall(Shard(0, 9), target, 2, HOLD, '')
    return ReleaseCall(Shard(0, 9), target, 2)


def test_repeated_answer_of_a_grant_is_not_that_of_a_release() -> None:
    """A release ends when the target has released, not before."""

    async def run() -> None:
        target = RepeatingTarget([200])
        async with controlled(target) as address:
            results = await make_calls(address, GrantCall, ReleaseCall)
            assert time.monotonic() >= target.released_at
        assert [one.answer for one in results] == [
            GrantAnswer.ACCEPTED,
            GrantAnswer.ACCEPTED,
        ]
        assert results[-1].is_proven

    anyio.run(run)


@pytest.mark.parametrize('refusal', [409, 421])
def test_repeated_refusal_does_not_free_keys_that_were_granted(
    refusal: int,
) -> None:
    """A refusal on a kept connection counts only if it is told again."""

    async def run() -> None:
        target = RepeatingTarget([refusal, 200, 200])
        async with controlled(target) as address:
            results = await make_calls(address, GrantCall, GrantCall)
        assert results[0].answer is not GrantAnswer.ACCEPTED
        assert results[1].answer is GrantAnswer.ACCEPTED

    anyio.run(run)


def test_accepted_grant_on_a_kept_connection_is_not_proven() -> None:
    """The state machine is told that the answer may be an earlier one."""

    async def run() -> None:
        target = RepeatingTarget([200, 200])
        async with controlled(target) as address:
            results = await make_calls(address, GrantCall, GrantCall)
        assert [one.is_proven for one in results] == [True, False]

    anyio.run(run)


def test_call_is_not_sent_after_the_term_has_ended() -> None:
    """The term is looked at once more when the connection is open."""

    async def run() -> None:
        target = RepeatingTarget([200])
        async with controlled(target) as address:
            listed = Target('t1', 'solde', address, 'a', 4, False, 1)
            control = TargetControl(listed, SystemClock(), StatementBook())
            result = await control.call(make_call(GrantCall, listed), bool)
            await control.aclose()
        assert result.answer is GrantAnswer.UNSENT
        assert not target.applied

    anyio.run(run)


def test_term_that_is_not_confirmed_grants_no_keys_to_a_new_process() -> None:
    """A kept connection goes on; a process that has started gets no call."""

    async def run() -> None:
        confirmations = [True]

        async def confirm(_since: float) -> bool:
            return bool(confirmations and confirmations.pop())

        first, second = RepeatingTarget([200, 200]), RepeatingTarget([200])
        answers = []
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(controlled(first))
            listed = Target('t1', 'solde', address, 'a', 4, False, 1)
            control = TargetControl(listed, SystemClock(), StatementBook())
            call = make_call(GrantCall, listed)
            answers.extend(
                [
                    await control.call(call, lambda: True, confirm)
                    for _ in range(2)
                ]
            )
            await control.aclose()
        async with controlled(second, address):
            for kind in (GrantCall, ReleaseCall):
                call = make_call(kind, listed)
                answers.append(await control.call(call, lambda: True, confirm))
            await control.aclose()
        assert [one.answer for one in answers] == [
            GrantAnswer.ACCEPTED,
            GrantAnswer.ACCEPTED,
            GrantAnswer.WITHHELD,
            GrantAnswer.WITHHELD,
        ]
        assert (first.applied, second.applied) == (2, 0)

    anyio.run(run)


def test_withheld_release_uses_up_the_connections_of_a_target() -> None:
    """The next try is made on the connection that has carried no call."""

    async def run() -> None:
        confirmations = [True, False, False, False]

        async def confirm(_since: float) -> bool:
            return confirmations.pop()

        target = RepeatingTarget([])
        opened: list[bool] = []
        async with controlled(target) as address:
            listed = Target('t1', 'solde', address, 'a', 4, False, 1)
            control = TargetControl(
                listed, SystemClock(), StatementBook(), opened.append
            )
            call = make_call(ReleaseCall, listed)
            results = [
                await control.call(call, lambda: True, confirm)
                for _ in range(4)
            ]
            await control.aclose()
        assert len(opened) == 1
        assert results[-1].answer is GrantAnswer.ACCEPTED
        assert results[-1].is_proven

    anyio.run(run)


def test_term_is_confirmed_later_than_the_connection_was_opened() -> None:
    """A confirmation from before may be older than the process."""

    async def run() -> None:
        opened: list[float] = []
        asked: list[float] = []

        async def confirm(since: float) -> bool:
            asked.append(since)
            return True

        async with controlled(RepeatingTarget([200])) as address:
            listed = Target('t1', 'solde', address, 'a', 4, False, 1)
            control = TargetControl(
                listed,
                SystemClock(),
                StatementBook(),
                lambda _is_open: opened.append(time.monotonic()),
            )
            call = make_call(GrantCall, listed)
            await control.call(call, lambda: True, confirm)
            await control.aclose()
        assert len(asked) == len(opened) == 1
        assert asked[0] >= opened[0]

    anyio.run(run)


def test_grant_that_was_sent_twice_may_yet_be_applied() -> None:
    """The first of two equal grants may be applied after a release."""

    async def run() -> None:
        target = RepeatingTarget([409, 200, 200])
        async with controlled(target) as address:
            results = await make_calls(address, GrantCall, GrantCall)
        assert results[1] == ControlResult(
            GrantAnswer.ACCEPTED, is_proven=False
        )

    anyio.run(run)


def test_grant_is_not_repeated_after_the_term_has_ended() -> None:
    """The term is looked at before each write of a call."""

    async def run() -> None:
        target = RepeatingTarget([409, 200, 200])
        permissions = iter((True, True, False))
        async with controlled(target) as address:
            listed = Target('t1', 'solde', address, 'a', 4, False, 1)
            control = TargetControl(listed, SystemClock(), StatementBook())
            call = make_call(GrantCall, listed)
            await control.call(call, permissions.__next__)
            result = await control.call(call, permissions.__next__)
            await control.aclose()
        assert result.answer is GrantAnswer.UNKNOWN
        assert target.applied == 2

    anyio.run(run)
