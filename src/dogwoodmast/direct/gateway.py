"""HTTP endpoint for callers: routing, limits, and forwarding of responses."""

from __future__ import annotations

import asyncio
import contextlib
import random
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import anyio
import attrs

from dogwoodmast._asgi import Send, send_response
from dogwoodmast.clock import Clock
from dogwoodmast.direct.attempt import HOP_BY_HOP_HEADERS
from dogwoodmast.direct.call import Call, Delivered, Rejected, Response
from dogwoodmast.direct.caller_names import CallerNames
from dogwoodmast.direct.catalog import Route, RouteTable, pick_service
from dogwoodmast.direct.copy_freshness import CopyFreshness
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.dispatcher import Dispatcher
from dogwoodmast.direct.held.byte_account import ByteAccount, HeldBytes
from dogwoodmast.direct.metrics import Metrics
from dogwoodmast.direct.rejections import STOP_RETRY_DELAY
from dogwoodmast.direct.relay_protocol import RELAY_HEADERS, RelayedRequest
from dogwoodmast.direct.trace import RequestLog, Trace
from dogwoodmast.edge.message_meter import announced_length
from dogwoodmast.platform.headers import (
    REPLACED_HEADERS,
    RequestFields,
    parse_request_headers,
)
from dogwoodmast.problem import Problem, ProblemType
from dogwoodmast.problem_response import problem_response
from dogwoodmast.request_id import hash_parts

if TYPE_CHECKING:
    from collections.abc import Iterator, MutableMapping

    from dogwoodmast._asgi import RawHeaders, Receive, Scope
    from dogwoodmast.direct.catalog import CallerLimits
    from dogwoodmast.direct.stopping import OpenRequest

UNAVAILABLE_RETRY_DELAY = 0.5
"""``Retry-After`` while the VM has no configuration yet or holds too many
request bodies, in seconds; as long as two reads of the store."""
HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header line besides name and value: colon, space, CR and LF."""
UNDRAINED_BYTES = 65_536
"""Size of responses up to which they are left to the connection, in bytes; it
buffers as many before it makes the sender wait."""

_NEVER_FORWARDED = (
    HOP_BY_HOP_HEADERS | REPLACED_HEADERS | RELAY_HEADERS | {b'expect'}
)
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
_BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class CallerDisconnected(Exception):
    """The caller disconnected before its request was complete."""


@attrs.define
class RequestRejected(Exception):
    """The request was rejected before dispatch."""

    problem: Problem
    """Problem that is sent to the caller."""


@attrs.frozen
class _SelectedRoute:
    """Route of a request, and the version of the table that it is from."""

    table: RouteTable
    route: Route


@attrs.define(eq=False)
class DirectGateway:
    """ASGI application that serves callers' requests."""

    _directory: Directory
    _dispatcher: Dispatcher
    _clock: Clock
    _metrics: Metrics
    _freshness: CopyFreshness
    _bytes: ByteAccount = attrs.field(factory=ByteAccount)
    draining: bool = False
    """Whether the VM is stopping; responses then carry ``connection: close``,
    so that callers move to other VMs."""
    _log: RequestLog = attrs.field(factory=RequestLog)
    _random: random.Random = attrs.field(factory=random.Random)
    _callers: CallerNames = attrs.field(factory=CallerNames)
    _running: int = 0
    _idle: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def parts(
        self,
    ) -> tuple[Directory, Dispatcher, Clock, Metrics, CopyFreshness]:
        """Parts of the VM that another gateway of it is made of."""
        return (
            self._directory,
            self._dispatcher,
            self._clock,
            self._metrics,
            self._freshness,
        )

    @property
    def held_bytes(self) -> ByteAccount:
        """Account of the bytes of bodies that this VM holds."""
        return self._bytes

    @property
    def running(self) -> int:
        """Number of requests that are being served."""
        return self._running

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request; other kinds of scope are ignored.

        :param scope: ASGI scope.
        :param receive: ASGI receive callable.
        :param send: ASGI send callable.
        """
        if scope['type'] != 'http':
            return
        self._running += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()

    async def await_idle(self) -> None:
        """Wait until no request is being served."""
        while self._running:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        stopping = self._dispatcher.stopping
        with stopping.open() as reading:
            await self._read_and_run(scope, receive, send, reading)
            return
        rejected = Problem(ProblemType.STOPPING, retry_after=STOP_RETRY_DELAY)
        stopping.rejected += 1
        await self._send_problem(send, rejected, _attempt_id(scope))

    async def _read_and_run(
        self, scope: Scope, receive: Receive, send: Send, reading: OpenRequest
    ) -> None:
        arrived_at = self._clock.monotonic()
        await self._freshness.wait_checked()
        table = self._directory.route_table
        try:
            selected = self._select_route(table, scope)
        except RequestRejected as rejected:
            await self._send_problem(send, rejected.problem, _attempt_id(scope))
            return
        with self._bytes.open(selected.route.priority) as held:
            try:
                with _limited_read(scope, selected.route):
                    body = await _read_body(
                        scope, receive, selected.table.limits, held
                    )
                call = self._callers.with_number(
                    self._make_call(scope, selected, body, arrived_at), scope
                )
                reading.is_settled = True
                await self._run(
                    attrs.evolve(call, held=held), selected.table, receive, send
                )
            except CallerDisconnected:
                return
            except RequestRejected as rejected:
                await self._send_problem(
                    send, rejected.problem, _attempt_id(scope)
                )

    def _select_route(
        self, table: RouteTable | None, scope: Scope
    ) -> _SelectedRoute:
        if table is None:
            problem = Problem(
                ProblemType.STARTING, retry_after=UNAVAILABLE_RETRY_DELAY
            )
            raise RequestRejected(problem)
        _check_header_size(table.limits, scope)
        path = scope['raw_path'].decode('latin-1')
        route = table.select(_host(scope), path)
        if route is None:
            raise RequestRejected(self._unknown_route())
        return _SelectedRoute(table, route)

    def _unknown_route(self) -> Problem:
        """Return the problem of a request that matches no route.

        Callers do not retry after ``UNKNOWN_SERVICE``, so it takes a copy that
        includes every configuration that must be in force.
        """
        if self._freshness.is_outdated(self._clock.monotonic()):
            return Problem(
                ProblemType.CONFIGURATION_OUTDATED,
                retry_after=UNAVAILABLE_RETRY_DELAY,
            )
        return Problem(ProblemType.UNKNOWN_SERVICE)

    def _make_call(
        self,
        scope: Scope,
        selected: _SelectedRoute,
        body: bytes,
        arrived_at: float,
    ) -> Call:
        route = selected.route
        fields = parse_request_headers(scope['headers'])
        relayed = self._relayed_request(scope)
        service = self._choose_service(route, relayed)
        is_sharded = selected.table.is_sharded(service)
        method = scope['method'].encode('latin-1')
        path = _path(scope)
        named = (_host(scope).encode(), method, path)
        return Call(
            attempt_id=fields.attempt_id or b'',
            route=route,
            service=service,
            shard_key=fields.shard_key if is_sharded else None,
            method=method,
            path=path,
            headers=_forwarded_headers(scope['headers']),
            body=body,
            arrived_at=arrived_at,
            deadline=arrived_at + _request_timeout(fields, route),
            fingerprint=hash_parts(named, body),
            relayed=relayed,
        )

    def _relayed_request(self, _scope: Scope) -> RelayedRequest | None:
        """Return what another VM tells of a request that it relays."""

    def _choose_service(
        self, route: Route, _relayed: RelayedRequest | None
    ) -> str:
        return pick_service(route.weighted_services, self._random.random())

    def _problem_headers(
        self, _problem: Problem, _service: str, _attempt_id: bytes
    ) -> RawHeaders:
        """Return headers of a problem response that only some peers need."""
        return []

    def _response_headers(self, _response: Response) -> RawHeaders:
        """Return headers of a target's response that only some peers need."""
        return []

    async def _run(
        self, call: Call, table: RouteTable, receive: Receive, send: Send
    ) -> None:
        trace = Trace(table.version, self._directory.age(call.arrived_at))
        result: Rejected | Delivered | None = None
        delivery = _Delivery(self, call, send)
        try:
            with _cancelled_on_disconnect(receive):
                result = await self._dispatcher.run(call, delivery, trace)
            if isinstance(result, Rejected) and not delivery.has_started:
                await self._send_problem(
                    send, result.problem, call.attempt_id, call.service
                )
        finally:
            self._record_end(call, trace, result)
        if delivery.is_undrained:
            await self._drain(call, send)

    async def _drain(self, call: Call, send: Send) -> None:
        """Wait until a response has left the buffer of the connection.

        The response is complete for the caller, so that neither the target nor
        its slot waits.  After the deadline nobody is expected to read it.
        """
        with anyio.move_on_after(call.deadline - self._clock.monotonic()):
            await send({'type': 'http.response.body', 'body': b''})

    def _record_end(
        self, call: Call, trace: Trace, result: Rejected | Delivered | None
    ) -> None:
        trace.on_end(result)
        seconds = self._clock.monotonic() - call.arrived_at
        self._metrics.on_end(call, result, seconds)
        if isinstance(result, Delivered) and trace.target_zone:
            self._metrics.on_served(
                call, trace.target_zone, trace.crossing, result.size
            )
        self._log.write(trace, call, seconds)

    async def forward_response(
        self, send: Send, call: Call, response: Response
    ) -> bool:
        """Forward a target's response to the caller.

        Chunks of a body that is not buffered are forwarded as they arrive.

        :param send: ASGI send callable.
        :param call: Request of the caller.
        :param response: Response of the target.
        :return: Whether the end of the response has still to be sent, once
            the connection's buffer has room.
        """
        headers = list(response.headers)
        is_bodiless = (
            call.method == b'HEAD' or response.status in _BODILESS_STATUSES
        )
        if response.rest is None and not is_bodiless:
            headers.append(
                (b'content-length', str(len(response.body)).encode())
            )
        headers.extend(self._response_headers(response))
        headers.extend(self._closing_headers())
        if response.rest is None:
            is_large = len(response.body) > UNDRAINED_BYTES
            await send_response(
                send, response.status, headers, response.body, is_large
            )
            return is_large
        await send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': headers,
            }
        )
        await _send_chunk(send, response.body)
        async for chunk in response.rest:
            await _send_chunk(send, chunk)
        await send({'type': 'http.response.body', 'body': b''})
        return False

    async def _send_problem(
        self,
        send: Send,
        problem: Problem,
        attempt_id: bytes,
        service: str = '',
    ) -> None:
        rendered = problem_response(problem)
        headers = [
            (header.name.encode(), header.value.encode())
            for header in rendered.headers
            if header.name != 'retry-after'
        ]
        headers.append((b'content-length', str(len(rendered.body)).encode()))
        if problem.retry_after is not None:
            # Callers accept fractions; whole seconds would delay retries.
            seconds = f'{problem.retry_after:.3f}'
            headers.append((b'retry-after', seconds.encode()))
        headers.extend(self._problem_headers(problem, service, attempt_id))
        headers.extend(self._closing_headers())
        await send_response(send, rendered.status, headers, rendered.body)

    def _closing_headers(self) -> RawHeaders:
        return [(b'connection', b'close')] if self.draining else []


@attrs.define(eq=False)
class _Delivery:
    """Callable that forwards a response, and records that it has started.

    No problem may be sent once the response has started.
    """

    _gateway: DirectGateway
    _call: Call
    _send: Send
    has_started: bool = False
    is_undrained: bool = False
    """Whether the end of the response has still to be sent."""

    async def __call__(self, response: Response) -> None:
        self.has_started = True
        self.is_undrained = await self._gateway.forward_response(
            self._send, self._call, response
        )


def _check_header_size(limits: CallerLimits, scope: Scope) -> None:
    size = sum(
        len(name) + len(field) + HEADER_OVERHEAD_BYTES
        for name, field in scope['headers']
    )
    if size > limits.header_bytes:
        raise RequestRejected(Problem(ProblemType.HEADER_TOO_LARGE))


@contextlib.contextmanager
def _limited_read(scope: Scope, route: Route) -> Iterator[None]:
    """Reject a request whose body arrives too late for it to be run.

    A request without a body has arrived whole, and needs no time limit.
    """
    headers = scope['headers']
    if not any(name in _FRAMING_HEADERS for name, _ in headers):
        yield
        return
    timeout = _request_timeout(parse_request_headers(headers), route)
    try:
        with anyio.fail_after(timeout):
            yield
    except TimeoutError as error:
        late = Problem(ProblemType.REQUEST_TIMEOUT)
        raise RequestRejected(late) from error


async def _read_body(
    scope: Scope, receive: Receive, limits: CallerLimits, held: HeldBytes
) -> bytes:
    _check_announced(scope, limits, held)
    body = bytearray()
    has_more = True
    while has_more:
        message = await receive()
        body += _body_chunk(message)
        _check_size(len(body), limits, held)
        has_more = message.get('more_body', False)
    return bytes(body)


def _check_announced(
    scope: Scope, limits: CallerLimits, held: HeldBytes
) -> None:
    """Reject a request whose announced body is too large, before reading."""
    length = announced_length(scope['headers'])
    if length:
        _check_size(length, limits, held)


def _check_size(size: int, limits: CallerLimits, held: HeldBytes) -> None:
    if size > limits.body_bytes:
        raise RequestRejected(Problem(ProblemType.BODY_TOO_LARGE))
    if not held.try_grow_to(size):
        problem = Problem(
            ProblemType.OVERLOADED, retry_after=UNAVAILABLE_RETRY_DELAY
        )
        raise RequestRejected(problem)


def _body_chunk(message: MutableMapping[str, Any]) -> bytes:
    if message['type'] == 'http.disconnect':
        raise CallerDisconnected
    chunk: bytes = message.get('body', b'')
    return chunk


async def _send_chunk(send: Send, chunk: bytes) -> None:
    await send({'type': 'http.response.body', 'body': chunk, 'more_body': True})


@contextlib.contextmanager
def _cancelled_on_disconnect(receive: Receive) -> Iterator[None]:
    """Cancel the block if the caller disconnects.

    The block takes less CPU time than a task group, whose end is awaited.
    """
    with anyio.CancelScope() as scope:
        watcher = asyncio.create_task(_cancel_on_disconnect(receive, scope))
        try:
            yield
        finally:
            watcher.cancel()


async def _cancel_on_disconnect(
    receive: Receive, scope: anyio.CancelScope
) -> None:
    message = await receive()
    if message['type'] == 'http.disconnect':
        scope.cancel()


def _host(scope: Scope) -> str:
    for name, field in scope['headers']:
        if name == b'host':
            return str(field.decode('latin-1'))
    return ''


def _attempt_id(scope: Scope) -> bytes:
    return parse_request_headers(scope['headers']).attempt_id or b''


def _path(scope: Scope) -> bytes:
    path: bytes = scope['raw_path']
    if scope['query_string']:
        return b'?'.join((path, scope['query_string']))
    return path


def _request_timeout(fields: RequestFields, route: Route) -> float:
    if fields.caller_timeout is None:
        return route.timeout
    return min(fields.caller_timeout, route.timeout)


def _forwarded_headers(headers: RawHeaders) -> RawHeaders:
    named = {
        token.strip().lower()
        for name, field in headers
        if name == b'connection'
        for token in field.split(b',')
    }
    dropped = _NEVER_FORWARDED | named
    return [one for one in headers if one[0] not in dropped]
