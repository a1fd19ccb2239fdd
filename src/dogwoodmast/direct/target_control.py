"""Calls by which a coordinator grants keys and takes them back."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.direct.connection_pool import ConnectionPool
from dogwoodmast.direct.grant_state_machine import (
    PROBE_TIMEOUT,
    GrantAnswer,
    GrantCall,
    ReleaseCall,
)
from dogwoodmast.direct.target_connection import (
    OutgoingRequest,
    TargetConnection,
)
from dogwoodmast.errors import BackendError, ConnectFailed, ExchangeAborted
from dogwoodmast.platform.grants import grant_call, release_call
from dogwoodmast.platform.headers import (
    expected_target_header,
    parse_response_headers,
)

if TYPE_CHECKING:
    from dogwoodmast.clock import Clock
    from dogwoodmast.direct.catalog import Target
from dogwoodmast.direct.grant_state_machine import TargetCall

GRANT_TIMEOUT = 0.6
"""Time allowed for the answer to a grant, in seconds; a third of the pause
between renewals, so that one that is lost is made up for."""
RELEASE_TIMEOUT = 3.0
"""Time allowed for the answer to a release, in seconds; targets answer when
the running work on the keys has ended, so it covers the longest deadlines."""


@attrs.frozen
class ControlResult:
    """How a call to a target ended."""

    answer: GrantAnswer
    """What the target answered."""
    handover: str = ''
    """State token of released keys."""


class TargetControl:
    """Connections to one life of a target, for grants and releases."""

    def __init__(self, target: Target, clock: Clock) -> None:
        """Create the caller; connections open when needed.

        :param target: Target that is called.
        :param clock: Clock that counts suspended time.
        """
        self._target = target
        self._pool = ConnectionPool(target.name, target.address, clock)

    async def call(self, order: TargetCall) -> ControlResult:
        """Make a call.

        :param order: What is asked of the target.
        :return: How it ended.
        """
        outgoing, timeout = _outgoing(order)
        try:
            with anyio.fail_after(timeout):
                return await self._call(outgoing)
        except ConnectFailed:
            return ControlResult(GrantAnswer.UNSENT)
        except (BackendError, TimeoutError):
            return ControlResult(GrantAnswer.UNKNOWN)

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self._pool.aclose()

    async def _call(self, outgoing: OutgoingRequest) -> ControlResult:
        connection = await self._pool.acquire()
        try:
            return await self._exchange(connection, outgoing)
        finally:
            # A connection whose answer did not come is reset, so that what
            # is still on its way is not delivered later.
            await self._pool.release(connection)

    async def _exchange(
        self, connection: TargetConnection, outgoing: OutgoingRequest
    ) -> ControlResult:
        head = await connection.send_request(outgoing)
        await connection.discard_body()
        match head.status:
            case HTTPStatus.OK:
                fields = parse_response_headers(head.headers)
                return ControlResult(GrantAnswer.ACCEPTED, fields.handover)
            case HTTPStatus.CONFLICT:
                return ControlResult(GrantAnswer.STALE_FENCE)
            case HTTPStatus.MISDIRECTED_REQUEST:
                return ControlResult(GrantAnswer.WRONG_TARGET)
            case status:
                raise ExchangeAborted(self._target.name, f'status {status}')


def _outgoing(order: TargetCall) -> tuple[OutgoingRequest, float]:
    shard = order.shard
    match order:
        case GrantCall():
            path, body = grant_call(
                shard.first, shard.last, order.fence, order.hold, order.handover
            )
            timeout = GRANT_TIMEOUT
        case ReleaseCall():
            path, body = release_call(shard.first, shard.last, order.fence)
            timeout = PROBE_TIMEOUT if order.is_probe else RELEASE_TIMEOUT
    target = order.target
    headers = [
        (b'host', str(target.address).encode()),
        (b'content-type', b'application/json'),
        expected_target_header(target.name),
    ]
    return OutgoingRequest(b'POST', path, headers, body), timeout
