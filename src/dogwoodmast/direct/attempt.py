"""One attempt to run a caller's request at one target."""

from __future__ import annotations

import contextlib
from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.call import (
    AttemptOutcome,
    Broken,
    Call,
    Deliver,
    Delivered,
    Failed,
    Refused,
    Response,
    ResponseTruncated,
    Withheld,
)
from dogwoodmast.direct.connection_pool import ConnectionPool
from dogwoodmast.direct.own_response import (
    REPORT_MARGIN,
    RETRYABLE_PATIENCE,
    Origin,
    find_flaw,
    find_origin,
    is_refusal,
)
from dogwoodmast.direct.rate_gate import Permit
from dogwoodmast.direct.relay_protocol import RELAY_RESPONSE_HEADERS
from dogwoodmast.direct.send_guard import SendGuard
from dogwoodmast.direct.statement_book import StatementBook
from dogwoodmast.direct.target_connection import (
    OutgoingRequest,
    ResponseHead,
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

    from dogwoodmast.direct.held.byte_account import HeldBytes

_OwnHead = tuple[ResponseHead, ResponseFields]
"""Head of a response, and what its platform headers say."""

RESPONSE_BUFFER_BYTES = 1_048_576
"""Bytes of a response that are buffered before any are forwarded.  A response
that breaks off earlier can be replaced by that of a retry.  The size is twice
that of the largest document in the platform contract."""
HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that apply to a single connection, or are rewritten for each, and
are never forwarded."""


@attrs.define(eq=False)
class Exchange:
    """Exchange of one request and response with one target."""

    call: Call
    """Request of the caller."""
    limiter: TargetLimiter
    """Limiter of the target, in which the request occupies a slot."""
    _pool: ConnectionPool
    _clock: Clock
    _deliver: Deliver
    _statements: StatementBook
    _permit: Permit
    _guard: SendGuard

    async def run(self) -> AttemptOutcome:
        """Send the request and forward the response to the caller.

        :return: Outcome; a complete response with status 5xx is returned in
            ``Failed`` and not forwarded, since a retry may replace it.
        :raises ResponseTruncated: If the response broke off after its start
            was forwarded.
        """
        try:
            connection = await acquire_for(self.call, self._pool)
        except ConnectFailed as error:
            return Refused(error.message, was_sent=False)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._pool.release, connection)
            objection = await self._guard.find_objection(
                self.limiter, self._permit
            )
            if objection is not None:
                return Withheld(objection)
            try:
                return await self._exchange(connection)
            except ExchangeAborted as error:
                return Broken(error.cause)

    async def _exchange(self, connection: TargetConnection) -> AttemptOutcome:
        sent_at = self._clock.monotonic()
        self._statements.on_sent(self.limiter.target.key)
        try:
            found = await self._request_head(connection)
        except ExchangeAborted as error:
            return Broken(error.cause, await self._has_crashed())
        if found is None:
            return Broken('response does not carry the attempt ID')
        head, fields = found
        self._statements.on_response(
            self.limiter.target.key,
            fields.statement,
            sent_at,
            self._clock.monotonic(),
        )
        body, rest = await buffer_body(connection.read_body(), self.call.held)
        if is_refusal(head.status, fields):
            return _make_refusal(head.status)
        flaw = find_flaw(head, fields, None if rest else body)
        if flaw is not None:
            return Broken(flaw)
        response = Response(
            head.status,
            forwarded_headers(head),
            body,
            rest,
            self.limiter.target.key,
        )
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR and rest is None:
            return Failed(response)
        try:
            await self._deliver(response)
        except ExchangeAborted as error:
            raise ResponseTruncated(error.message) from error
        return Delivered(head.status, len(body))

    async def _request_head(
        self, connection: TargetConnection
    ) -> _OwnHead | None:
        """Send the request and wait for the head of its own response.

        :return: Head and its fields, or ``None`` if there was none in time.
        :raises ExchangeAborted: If the connection broke first.
        """
        is_first = connection.is_new
        self.call.carriers.append(connection)
        head = await connection.send_request(self._build_request())
        fields = parse_response_headers(head.status, head.headers)
        match find_origin(
            head.status, fields, self.call.attempt_id, is_first=is_first
        ):
            case Origin.OWN:
                return head, fields
            case Origin.SPOILED:
                self._record_pause(fields)
                return None
            case Origin.OTHER:
                return await self._read_on(connection, fields)

    async def _read_on(
        self, connection: TargetConnection, fields: ResponseFields
    ) -> _OwnHead | None:
        """Discard responses to other requests until that to this one."""
        with anyio.move_on_after(self._patience()):
            while True:
                self._record_pause(fields)
                head = await connection.receive_another()
                fields = parse_response_headers(head.status, head.headers)
                origin = find_origin(
                    head.status, fields, self.call.attempt_id, is_first=False
                )
                if origin is Origin.OWN:
                    return head, fields
        return None

    def _record_pause(self, fields: ResponseFields) -> None:
        self._statements.on_pause(
            self.limiter.target.key,
            fields.statement.pause,
            self._clock.monotonic(),
        )

    def _patience(self) -> float:
        time_left = self.call.deadline - self._clock.monotonic()
        if self.call.route.retryable:
            return time_left * RETRYABLE_PATIENCE
        return time_left - REPORT_MARGIN

    async def _has_crashed(self) -> bool:
        """Tell whether the target's host refuses connections.

        That means that the target's process has ended; a connection that
        cannot be opened for other reasons does not, and an idle one may not
        have been reset yet.
        """
        try:
            connection = await self._pool.connect()
        except ConnectFailed as error:
            return error.is_absent
        await self._pool.release(connection)
        return False

    def _build_request(self) -> OutgoingRequest:
        time_left = self.call.deadline - self._clock.monotonic()
        headers = [
            *self.call.headers,
            remaining_time_header(time_left),
            expected_target_header(self.limiter.target.name),
        ]
        return OutgoingRequest(
            self.call.method, self.call.path, headers, self.call.body
        )


async def acquire_for(call: Call, pool: ConnectionPool) -> TargetConnection:
    """Choose a connection on which the response can be told from others.

    :param call: Request to send.
    :param pool: Connections to the target.
    :return: Connection that has not carried this attempt, and no request at all
        if the attempt has no ID.
    :raises ConnectFailed: If a new connection cannot be opened.
    """
    if not call.attempt_id:
        return await pool.connect()
    return await pool.acquire(call.carriers)


def _make_refusal(status: int) -> Refused:
    is_misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
    return Refused(
        f'status {status}', was_sent=True, is_misdirected=is_misdirected
    )


async def buffer_body(
    chunks: AsyncIterator[bytes], held: HeldBytes | None = None
) -> tuple[bytes, AsyncIterator[bytes] | None]:
    """Read a complete body, or its start if it exceeds the buffer size.

    :param chunks: Chunks of the body.
    :param held: Account of the request's bytes; what it has no room for is
        not buffered.
    :return: The part that was read, and the remaining chunks or ``None``.
    """
    buffered = bytearray()
    held_before = 0 if held is None else held.size
    try:
        async for chunk in chunks:
            buffered += chunk
            may_hold = held is None or held.try_grow_to(
                held_before + len(buffered)
            )
            if not may_hold or len(buffered) >= RESPONSE_BUFFER_BYTES:
                return bytes(buffered), chunks
    except ExchangeAborted:
        if held is not None:
            held.shrink_to(held_before)
        raise
    return bytes(buffered), None


def forwarded_headers(head: ResponseHead) -> list[tuple[bytes, bytes]]:
    """Select the headers of a response that are forwarded to the caller.

    :param head: Status and headers of the response.
    :return: Headers that do not apply to a single connection only.
    """
    named = {
        token.strip().lower()
        for name, field in head.headers
        if name == b'connection'
        for token in field.split(b',')
    }
    dropped = HOP_BY_HOP_HEADERS | RELAY_RESPONSE_HEADERS | named
    return [one for one in head.headers if one[0] not in dropped]
