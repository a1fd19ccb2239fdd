"""One exchange with a target on behalf of a caller."""

from __future__ import annotations

import contextlib
from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.call import (
    AnswerCut,
    Attempt,
    Broken,
    Call,
    Deliver,
    Delivered,
    Failed,
    Refused,
    Reply,
)
from dogwoodmast.direct.connection_pool import ConnectionPool
from dogwoodmast.direct.target_connection import (
    AnswerHead,
    OutgoingRequest,
    TargetConnection,
)
from dogwoodmast.direct.target_limiter import TargetLimiter
from dogwoodmast.errors import ConnectFailed, ExchangeAborted
from dogwoodmast.platform.headers import (
    ResponseFields,
    expected_target_header,
    parse_response_headers,
    remaining_time_header,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


WHOLE_SIZE = 1_048_576
"""Bytes of an answer that are gathered before any is passed on: an answer
that breaks off earlier can still be replaced.  Twice the largest document of
the contract."""
CRASH_CHECK_TIMEOUT = 0.2
"""Time to find out whether a target that broke off still takes connections,
in seconds; a round trip between zones with a margin."""
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
"""Headers that concern one connection only."""


@attrs.define(eq=False)
class Exchange:
    """One attempt of a call at one target."""

    call: Call
    """What the caller asked for."""
    limiter: TargetLimiter
    """Target that is asked."""
    _pool: ConnectionPool
    _clock: Clock
    _deliver: Deliver

    async def run(self) -> Attempt:
        """Send the request and pass the answer on.

        :return: How it ended; a failure of the target is not passed on yet.
        :raises AnswerCut: If the answer broke off after its beginning.
        """
        try:
            connection = await self._pool.acquire()
        except ConnectFailed as error:
            return Refused(error.message, was_sent=False)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._pool.release, connection)
            try:
                return await self._exchange(connection)
            except ExchangeAborted as error:
                return Broken(error.cause)

    async def _exchange(self, connection: TargetConnection) -> Attempt:
        try:
            head = await connection.send_request(self._outgoing())
        except ExchangeAborted as error:
            return Broken(error.cause, await self._has_crashed())
        fields = parse_response_headers(head.headers)
        misfit = self._misfit(fields)
        if misfit is not None:
            return misfit
        pieces = connection.read_body()
        body, rest = await _gather(pieces)
        if fields.not_run or head.status == HTTPStatus.MISDIRECTED_REQUEST:
            return Refused(f'status {head.status}', was_sent=True)
        reply = Reply(head.status, _passed_headers(head), body, rest)
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR and rest is None:
            return Failed(reply)
        try:
            await self._deliver(reply)
        except ExchangeAborted as error:
            raise AnswerCut(error.message) from error
        return Delivered(head.status, len(body))

    async def _has_crashed(self) -> bool:
        """Tell whether the target's process has ended."""
        try:
            with anyio.fail_after(CRASH_CHECK_TIMEOUT):
                connection = await self._pool.acquire()
        except ConnectFailed as error:
            return error.is_absent
        except TimeoutError:
            return False
        await self._pool.release(connection)
        return False

    def _misfit(self, fields: ResponseFields) -> Attempt | None:
        """Recognize an answer that belongs to another request."""
        if fields.attempt_id == self.call.attempt_id:
            return None
        if fields.attempt_id is None and fields.not_run:
            return None
        return Broken('the answer belongs to another request')

    def _outgoing(self) -> OutgoingRequest:
        left = self.call.deadline - self._clock.monotonic()
        headers = [
            *self.call.headers,
            remaining_time_header(left),
            expected_target_header(self.limiter.target.name),
        ]
        return OutgoingRequest(
            self.call.method, self.call.path, headers, self.call.body
        )


async def _gather(
    pieces: AsyncIterator[bytes],
) -> tuple[bytes, AsyncIterator[bytes] | None]:
    """Read an answer whole, or its beginning if it is large."""
    gathered = bytearray()
    async for piece in pieces:
        gathered += piece
        if len(gathered) >= WHOLE_SIZE:
            return bytes(gathered), pieces
    return bytes(gathered), None


def _passed_headers(head: AnswerHead) -> list[tuple[bytes, bytes]]:
    named = {
        token.strip().lower()
        for name, field in head.headers
        if name == b'connection'
        for token in field.split(b',')
    }
    return [
        (name, field)
        for name, field in head.headers
        if name not in CONNECTION_HEADERS and name not in named
    ]
