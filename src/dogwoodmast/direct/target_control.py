"""Client for the grant and release calls of the coordinator to a target.

Nothing in an answer tells which call it belongs to, and a faulty target may
answer a call once more when the next one on the connection is read.  Only the
answer to the first call on a connection is certain.  Calls on whose answer the
keys of a holder become free are therefore made on a new connection, which may
be one that was opened for a call that was withheld.

A new connection may reach a process that has started since another VM became
the coordinator, and that does not know the higher fencing tokens of that VM.
The first call on each connection is therefore made only after the store has
confirmed the caller's term anew.  On a connection that is kept, the process
still is the one that answered when the term was confirmed.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.direct.connection_pool import ConnectionPool
from dogwoodmast.direct.grant_state_machine import (
    GrantAnswer,
    GrantCall,
    ReleaseCall,
)
from dogwoodmast.direct.target_connection import (
    OutgoingRequest,
    TargetConnection,
)
from dogwoodmast.errors import BackendError, ConnectFailed, ExchangeAborted
from dogwoodmast.events import Event, log_event
from dogwoodmast.platform.grants import encode_grant, encode_release
from dogwoodmast.platform.headers import (
    expected_target_header,
    parse_response_headers,
)

if TYPE_CHECKING:
    from dogwoodmast.clock import Clock
    from dogwoodmast.direct.catalog import Target
    from dogwoodmast.direct.grant_state_machine import TargetCall
    from dogwoodmast.direct.statement_book import StatementBook

GRANT_TIMEOUT = 0.6
"""Time limit for the answer to a grant, in seconds; less than half of the usual
pause between renewals (1.5 s), so that a lost one can be repeated in time."""
CONFIRMATION_TIMEOUT = 1.0
"""Time limit for the store's confirmation of a term before the first call on a
connection, in seconds; a slow store takes up to 0.4 s for an answer, and
another confirmation may be under way."""

_NOT_SENT = frozenset((GrantAnswer.UNSENT, GrantAnswer.WITHHELD))


@attrs.frozen
class ControlResult:
    """Result of a grant or release call."""

    answer: GrantAnswer
    """Outcome of the call."""
    handover: str = ''
    """State token that the target returned for released keys."""
    is_proven: bool = True
    """Whether the answer cannot be that to an earlier call."""


@attrs.frozen
class _Permission:
    """Permission to make a call on behalf of a term."""

    may_send: Callable[[], bool]
    confirm: Callable[[float], Awaitable[bool]]


async def _confirm_always(_since: float) -> bool:
    return True


class TargetControl:
    """Client for grant and release calls to one target incarnation."""

    def __init__(
        self,
        target: Target,
        clock: Clock,
        statements: StatementBook,
        on_connect: Callable[[bool], None] | None = None,
    ) -> None:
        """Create the client; connections are opened on demand.

        :param target: Target to call.
        :param clock: Monotonic clock that also advances while the machine is
            suspended.
        :param statements: Records what the answers say of the target.
        :param on_connect: Called after each attempt to open a connection, with
            whether it succeeded.
        """
        self._target = target
        self._clock = clock
        self._statements = statements
        self._pool = ConnectionPool(
            target.name, target.address, clock, on_connect
        )

    async def call(
        self,
        request: TargetCall,
        may_send: Callable[[], bool],
        confirm: Callable[[float], Awaitable[bool]] = _confirm_always,
    ) -> ControlResult:
        """Make a call and wait for its answer.

        :param request: Grant or release call to make.
        :param may_send: Tells right before the call is written whether it may
            still be made.
        :param confirm: Tells whether the caller's term went on at some time
            after the given monotonic time, in seconds.
        :return: Result of the call; failures of the connection and time-outs
            are results too.
        """
        http_request, timeout = _build_request(request)
        permission = _Permission(may_send, confirm)
        try:
            return await self._call(request, http_request, timeout, permission)
        except ConnectFailed as error:
            is_absent = error.is_absent
            return ControlResult(
                GrantAnswer.ABSENT if is_absent else GrantAnswer.UNSENT
            )
        except (BackendError, TimeoutError):
            return ControlResult(GrantAnswer.UNKNOWN)

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self._pool.aclose()

    async def _call(
        self,
        request: TargetCall,
        http_request: OutgoingRequest,
        timeout: float,
        permission: _Permission,
    ) -> ControlResult:
        if isinstance(request, ReleaseCall) or request.is_fencing:
            connection = await self._pool.acquire_new()
            return await self._send(
                connection, http_request, timeout, permission
            )
        connection = await self._pool.acquire()
        result = await self._send(connection, http_request, timeout, permission)
        if result.is_proven or result.answer is GrantAnswer.ACCEPTED:
            return result
        log_event(
            Event.GRANT_REPEATED,
            target=self._target.name,
            answer=result.answer.value,
        )
        try:
            connection = await self._pool.connect()
        except ConnectFailed as error:
            # The call was sent before.
            raise ExchangeAborted(self._target.name, error.message) from error
        repeated = await self._send(
            connection, http_request, timeout, permission
        )
        if repeated.answer in _NOT_SENT:
            # As above, the call was sent before.
            raise ExchangeAborted(self._target.name, 'not repeated')
        # The first call may yet be applied, with the same fencing token.
        return attrs.evolve(repeated, is_proven=False)

    async def _send(
        self,
        connection: TargetConnection,
        http_request: OutgoingRequest,
        timeout: float,
        permission: _Permission,
    ) -> ControlResult:
        try:
            if connection.is_new and not await self._is_confirmed(permission):
                return ControlResult(GrantAnswer.WITHHELD)
            if not permission.may_send():
                return ControlResult(GrantAnswer.UNSENT)
            with anyio.fail_after(timeout):
                return await self._exchange(connection, http_request)
        finally:
            # The pool resets a connection that has no complete response, so
            # that data still in transit is not delivered later.
            await self._pool.release(connection)

    async def _is_confirmed(self, permission: _Permission) -> bool:
        with anyio.move_on_after(CONFIRMATION_TIMEOUT):
            return await permission.confirm(self._clock.monotonic())
        return False

    async def _exchange(
        self, connection: TargetConnection, http_request: OutgoingRequest
    ) -> ControlResult:
        sent_at = self._clock.monotonic()
        is_proven = connection.is_new
        head = await connection.send_request(http_request)
        await connection.discard_body()
        fields = parse_response_headers(head.status, head.headers)
        self._statements.on_response(
            self._target.key,
            fields.statement,
            sent_at,
            self._clock.monotonic(),
        )
        match head.status:
            case HTTPStatus.OK:
                answer = GrantAnswer.ACCEPTED
            case HTTPStatus.CONFLICT:
                answer = GrantAnswer.STALE_FENCE
            case HTTPStatus.MISDIRECTED_REQUEST:
                answer = GrantAnswer.WRONG_TARGET
            case status:
                raise ExchangeAborted(self._target.name, f'status {status}')
        return ControlResult(answer, fields.handover, is_proven)


def _build_request(request: TargetCall) -> tuple[OutgoingRequest, float]:
    shard = request.shard
    match request:
        case GrantCall():
            path, body = encode_grant(
                shard.first,
                shard.last,
                request.fence,
                request.hold,
                request.handover,
            )
            timeout = GRANT_TIMEOUT
        case ReleaseCall():
            path, body = encode_release(shard.first, shard.last, request.fence)
            timeout = request.timeout
    target = request.target
    headers = [
        (b'host', str(target.address).encode()),
        (b'content-type', b'application/json'),
        expected_target_header(target.name),
    ]
    return OutgoingRequest(b'POST', path, headers, body), timeout
