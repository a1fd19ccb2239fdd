"""One attempt to run a request through another entry VM."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.attempt import (
    acquire_for,
    buffer_body,
    forwarded_headers,
)
from dogwoodmast.direct.call import (
    Broken,
    Call,
    Deliver,
    Delivered,
    Refused,
    Response,
    ResponseTruncated,
)
from dogwoodmast.direct.connection_pool import ConnectionPool
from dogwoodmast.direct.own_response import find_flaw
from dogwoodmast.direct.relay_protocol import (
    RelayedRequest,
    RelayProblem,
    parse_attempt,
    parse_problem,
    parse_target,
    tells_stop,
)
from dogwoodmast.direct.statement_book import StatementBook
from dogwoodmast.direct.target_connection import (
    OutgoingRequest,
    ResponseHead,
    TargetConnection,
)
from dogwoodmast.errors import ConnectFailed, ExchangeAborted
from dogwoodmast.platform.headers import (
    parse_response_headers,
    remaining_time_header,
)

if TYPE_CHECKING:
    from dogwoodmast.direct.target_statement import TargetStatement

RelayOutcome = Refused | Broken | RelayProblem | Delivered


@attrs.define(eq=False)
class RelayExchange:
    """Exchange of one relayed request and its response."""

    call: Call
    """Request of the caller."""
    _request: RelayedRequest
    _pool: ConnectionPool
    _clock: Clock
    _deliver: Deliver
    _statements: StatementBook
    is_peer_stopping: bool = False
    """Whether the other VM has told that it stops."""

    async def run(self) -> RelayOutcome:
        """Send the request and forward the response to the caller.

        :return: Outcome; a complete response of a target is ``Delivered``,
            also if its status is an error, since the other VM has made the
            retries.
        :raises ResponseTruncated: If the response broke off after its start
            was forwarded.
        """
        try:
            connection = await acquire_for(self.call, self._pool)
        except ConnectFailed as error:
            return Refused(error.message, was_sent=False)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._pool.release, connection)
            try:
                return await self._exchange(connection)
            except ExchangeAborted as error:
                return Broken(error.cause)

    async def _exchange(self, connection: TargetConnection) -> RelayOutcome:
        sent_at = self._clock.monotonic()
        is_first = connection.is_new
        self.call.carriers.append(connection)
        head = await connection.send_request(self._build_request())
        self.is_peer_stopping = tells_stop(head.headers)
        body, rest = await buffer_body(connection.read_body(), self.call.held)
        if not self._is_own(head, is_first=is_first):
            return Broken('response does not carry the attempt ID')
        problem = parse_problem(head.status, head.headers)
        if problem is not None:
            return problem
        response = Response(head.status, forwarded_headers(head), body, rest)
        return await self._forward(head, response, sent_at)

    def _is_own(self, head: ResponseHead, *, is_first: bool) -> bool:
        """Tell whether a response belongs to this request.

        VMs of earlier versions send problems without an ID.
        """
        is_problem = parse_problem(head.status, head.headers) is not None
        if is_problem:
            told = parse_attempt(head.headers)
        else:
            fields = parse_response_headers(head.status, head.headers)
            told = fields.attempt_id or b''
        if told:
            return told == self.call.attempt_id
        return is_first and (is_problem or not self.call.attempt_id)

    async def _forward(
        self, head: ResponseHead, response: Response, sent_at: float
    ) -> RelayOutcome:
        """Forward the response of a target."""
        fields = parse_response_headers(head.status, head.headers)
        flaw = find_flaw(head, fields, None if response.rest else response.body)
        if flaw is not None:
            return Broken(flaw)
        self._record_statement(head, fields.statement, sent_at)
        try:
            await self._deliver(response)
        except ExchangeAborted as error:
            raise ResponseTruncated(error.message) from error
        return Delivered(response.status, len(response.body))

    def _record_statement(
        self, head: ResponseHead, statement: TargetStatement, sent_at: float
    ) -> None:
        target = parse_target(head.headers)
        if target is not None:
            now = self._clock.monotonic()
            self._statements.on_response(target, statement, sent_at, now)

    def _build_request(self) -> OutgoingRequest:
        time_left = self.call.deadline - self._clock.monotonic()
        headers = [
            *self.call.headers,
            *self._request.headers(),
            remaining_time_header(time_left),
        ]
        return OutgoingRequest(
            self.call.method, self.call.path, headers, self.call.body
        )
