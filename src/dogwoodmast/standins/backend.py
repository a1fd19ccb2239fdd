"""Stand-in for a back-end server.

It stores one number per key.  ``GET`` reads it; any other method adds the
number in the request body, or one if the body is empty.  Each response
identifies its request, and each execution is recorded so that tests can check
the history.
"""

from __future__ import annotations

import time
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import orjson

from dogwoodmast.backend import (
    DEADLINE_HEADER,
    EXCHANGE_HEADER,
    FENCE_HEADER,
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    PARTITION_HEADER,
    REASON_HEADER,
)
from dogwoodmast.standins._http import (
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
)

if TYPE_CHECKING:
    import pathlib

_NO_FENCE = 0
"""Fence of a partition without a grant and of a request without a fence."""
MAX_CANCELLED = 1000
"""Number of cancelled exchanges that a stand-in remembers; the oldest are
evicted first."""


@attrs.frozen
class Execution:
    """Record of one execution of a request."""

    target: str
    """Name of the target that executed the request."""
    key: str
    """Key of the request."""
    method: str
    """HTTP method."""
    request_id: str
    """Idempotency-Key of the request; empty if it has none."""
    partition: str
    """Partition that the router sent with the request; empty if it sent
    none."""
    fence: int
    """Fence that the router sent with the request."""
    began: float
    """Monotonic time of the start, in seconds; computed from the end and the
    service time."""
    ended: float
    """Monotonic time of the end, in seconds."""


@attrs.define
class BackendState:
    """State of one stand-in."""

    values: dict[str, int] = attrs.field(factory=dict)
    """Stored number per key."""
    history: list[Execution] = attrs.field(factory=list)
    """Executions in the order in which they ended."""
    fences: dict[str, int] = attrs.field(factory=dict)
    """Highest fence per partition, from grants and, if fences are checked,
    from requests."""
    running: int = 0
    """Number of requests that are running."""
    most_running: int = 0
    """Highest number of requests that ran concurrently."""
    draining: bool = False
    """Whether the stand-in has been told to drain."""
    scopes: dict[str, anyio.CancelScope] = attrs.field(factory=dict)
    """Cancel scope of each running exchange, by the name of the exchange."""
    cancelled: deque[str] = attrs.field(
        factory=lambda: deque(maxlen=MAX_CANCELLED)
    )
    """Names of cancelled exchanges, which are rejected if they arrive
    later."""

    def cancel(self, exchange: str) -> None:
        """Cancel an exchange that is running or has not yet arrived.

        :param exchange: Name of the exchange.
        """
        self.cancelled.append(exchange)
        scope = self.scopes.get(exchange)
        if scope is not None:
            scope.cancel()


class BackendStandIn:
    """ASGI application of one back-end server."""

    def __init__(
        self,
        name: str,
        slots: int,
        service_time: float = 0,
        checks_fences: bool = False,
        journal: pathlib.Path | None = None,
    ) -> None:
        """Create a server without stored numbers.

        :param name: Name of the target.
        :param slots: Upper limit of concurrent requests; further ones are
            rejected.
        :param service_time: Time that each request takes, in seconds.
        :param checks_fences: Whether to reject a request whose fence is lower
            than the highest one of its partition.
        :param journal: File to which each execution is appended as a line of
            JSON, or ``None``.
        """
        self._name = name
        self._slots = slots
        self._service_time = service_time
        self._checks_fences = checks_fences
        self._journal = journal
        self._state = BackendState()

    @property
    def state(self) -> BackendState:
        """State of the server."""
        return self._state

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request.

        :param scope: ASGI scope.
        :param receive: ASGI receive callable.
        :param send: ASGI send callable.
        """
        body = await read_body(receive)
        path = scope['path']
        if path.startswith('/-/'):
            await self._serve_control(path, body, send)
        else:
            await self._serve_request(scope, body, send)

    async def _serve_control(self, path: str, body: bytes, send: Send) -> None:
        state = self._state
        document = orjson.loads(body) if body else {}
        match path:
            case '/-/history':
                rows = [attrs.asdict(entry) for entry in state.history]
                await send_json(send, rows)
            case '/-/health':
                await send_json(send, {'draining': state.draining})
            case '/-/load':
                load = {
                    'running': state.running,
                    'most_running': state.most_running,
                    'slots': self._slots,
                    'executed': len(state.history),
                }
                await send_json(send, load)
            case '/-/grant':
                self._update_fence(document['partition'], document['fence'])
                await send_json(send, {})
            case '/-/cancel':
                state.cancel(document['exchange'])
                await send_json(send, {'ended': True})
            case '/-/drain':
                state.draining = True
                await send_json(send, {})
            case _:
                await send_json(send, {}, HTTPStatus.NOT_FOUND)

    async def _serve_request(
        self, scope: Scope, body: bytes, send: Send
    ) -> None:
        headers = {
            name.decode(): value.decode() for name, value in scope['headers']
        }
        reason = self._rejection_reason(headers)
        if reason is not None:
            await _send_rejection(send, reason)
            return
        exchange = headers.get(EXCHANGE_HEADER, '')
        cancel_scope = anyio.CancelScope()
        self._state.scopes[exchange] = cancel_scope
        with cancel_scope:
            try:
                await self._occupy_slot()
            finally:
                self._state.scopes.pop(exchange, None)
        if cancel_scope.cancelled_caught:
            await _send_rejection(send, 'cancelled')
            return
        await send_json(send, self._execute(scope, headers, body))

    def _rejection_reason(self, headers: dict[str, str]) -> str | None:
        state = self._state
        partition = headers.get(PARTITION_HEADER, '')
        fence = int(headers.get(FENCE_HEADER, _NO_FENCE))
        if self._checks_fences:
            if fence < state.fences.get(partition, _NO_FENCE):
                return 'fence'
            self._update_fence(partition, fence)
        if float(headers.get(DEADLINE_HEADER, 'inf')) < time.time():
            return 'deadline'
        if headers.get(EXCHANGE_HEADER) in state.cancelled:
            return 'cancelled'
        if state.running >= self._slots:
            return 'slots'
        return None

    async def _occupy_slot(self) -> None:
        state = self._state
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        try:
            if self._service_time:
                await anyio.sleep(self._service_time)
        finally:
            state.running -= 1

    def _execute(
        self, scope: Scope, headers: dict[str, str], body: bytes
    ) -> dict[str, Any]:
        state = self._state
        ended = time.monotonic()
        _, _, key_and_path = scope['path'].partition('/')
        key = key_and_path.partition('/')[0]
        if scope['method'] != 'GET':
            amount = int(body or b'1')
            state.values[key] = state.values.get(key, 0) + amount
        request_id = headers.get(IDEMPOTENCY_HEADER, '')
        execution = Execution(
            target=self._name,
            key=key,
            method=scope['method'],
            request_id=request_id,
            partition=headers.get(PARTITION_HEADER, ''),
            fence=int(headers.get(FENCE_HEADER, _NO_FENCE)),
            began=ended - self._service_time,
            ended=ended,
        )
        self._record_execution(execution)
        return {
            'key': key,
            'value': state.values.get(key, 0),
            'target': self._name,
            'request_id': request_id,
            'echo': headers.get('echo', ''),
        }

    def _record_execution(self, execution: Execution) -> None:
        self._state.history.append(execution)
        if self._journal is not None:
            with self._journal.open('ab') as journal:
                row = orjson.dumps(attrs.asdict(execution))
                journal.write(b'%b\n' % row)

    def _update_fence(self, partition: str, fence: int) -> None:
        fences = self._state.fences
        fences[partition] = max(fences.get(partition, _NO_FENCE), fence)


async def _send_rejection(send: Send, reason: str) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': int(HTTPStatus.SERVICE_UNAVAILABLE),
            'headers': [
                (OUTCOME_HEADER.encode(), b'not_run'),
                (REASON_HEADER.encode(), reason.encode()),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': b''})
