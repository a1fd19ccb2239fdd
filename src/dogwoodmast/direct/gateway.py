"""HTTP endpoint for callers."""

from __future__ import annotations

import random
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import anyio
import attrs

from dogwoodmast._asgi import Send, send_response
from dogwoodmast.clock import Clock
from dogwoodmast.direct.attempt import CONNECTION_HEADERS
from dogwoodmast.direct.call import Call, Rejected, Reply
from dogwoodmast.direct.catalog import Route, RouteTable, pick_service
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.dispatcher import Dispatcher
from dogwoodmast.direct.metrics import Meters
from dogwoodmast.direct.trace import RequestLog, Trace
from dogwoodmast.platform.headers import (
    REPLACED_HEADERS,
    RequestFields,
    parse_request_headers,
)
from dogwoodmast.problem import Problem, ProblemType
from dogwoodmast.problem_response import problem_response
from dogwoodmast.request_id import hash_parts

if TYPE_CHECKING:
    from collections.abc import MutableMapping

    from dogwoodmast._asgi import RawHeaders, Receive, Scope
    from dogwoodmast.direct.call import Delivered
    from dogwoodmast.direct.catalog import CallerLimits

STARTING_RETURN = 0.5
"""Time after which a caller is told to return to a VM that has no
configuration yet, in seconds; two reads of the store."""
HEADER_FRAME = 4
"""Bytes of a header beside its name and value: colon, space, line end."""
BUFFER_SIZE = 33_554_432
"""Bytes of request bodies that a VM holds at a time; a sixth of the memory
of the smallest VM of the contract."""

_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class CallerLeft(Exception):
    """The caller closed its connection before its request was whole."""


@attrs.define
class CallerRefused(Exception):
    """The request is not taken."""

    problem: Problem
    """What the caller is told."""


@attrs.frozen
class _Selected:
    """Route of a request, with the configuration that it is part of."""

    table: RouteTable
    route: Route


@attrs.define(eq=False)
class DirectGateway:
    """ASGI application for callers."""

    _directory: Directory
    _dispatcher: Dispatcher
    _clock: Clock
    _meters: Meters
    leaving: bool = False
    """Whether callers are asked to open no more requests here."""
    _log: RequestLog = attrs.field(factory=RequestLog)
    _chance: random.Random = attrs.field(factory=random.Random)
    _buffered: int = 0
    _running: int = 0
    _idle: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def running(self) -> int:
        """Requests that are being served."""
        return self._running

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request.

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
        arrived = self._clock.monotonic()
        table = self._directory.route_table
        try:
            route = _select_route(table, scope)
            body = await self._read_body(receive, route.table.limits)
        except CallerLeft:
            return
        except CallerRefused as refused:
            await self._send_problem(send, refused.problem)
            return
        try:
            call = self._make_call(scope, route, body, arrived)
            await self._run(call, route.table, receive, send)
        finally:
            self._buffered -= len(body)

    def _make_call(
        self,
        scope: Scope,
        selected: _Selected,
        body: bytes,
        arrived: float,
    ) -> Call:
        route = selected.route
        fields = parse_request_headers(scope['headers'])
        service = pick_service(route.weighted_services, self._chance.random())
        known = selected.table.services.get(service)
        is_sharded = known is not None and known.sharded
        host = _host(scope)
        method = scope['method'].encode('latin-1')
        path = _path(scope)
        return Call(
            attempt_id=fields.attempt_id or b'',
            route=route,
            service=service,
            shard_key=fields.shard_key if is_sharded else None,
            method=method,
            path=path,
            headers=_passed_headers(scope['headers']),
            body=body,
            arrived=arrived,
            deadline=arrived + _patience(fields, route),
            fingerprint=hash_parts((host.encode(), method, path), body),
        )

    async def _run(
        self, call: Call, table: RouteTable, receive: Receive, send: Send
    ) -> None:
        trace = Trace(table.version, self._directory.age(call.arrived))
        end: Rejected | Delivered | None = None
        delivery = _Delivery(self, call, send)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_watch_caller, receive, tasks.cancel_scope)
                end = await self._dispatcher.run(call, delivery, trace)
                tasks.cancel_scope.cancel()
            if isinstance(end, Rejected) and not delivery.has_begun:
                await self._send_problem(send, end.problem)
        finally:
            self._on_end(call, trace, end)

    def _on_end(
        self, call: Call, trace: Trace, end: Rejected | Delivered | None
    ) -> None:
        trace.on_end(end)
        seconds = self._clock.monotonic() - call.arrived
        self._meters.on_end(call, end, seconds)
        self._log.write(trace, call, seconds)

    async def _read_body(self, receive: Receive, limits: CallerLimits) -> bytes:
        body = bytearray()
        has_more = True
        try:
            while has_more:
                message = await receive()
                piece = _body_piece(message)
                body += piece
                self._buffered += len(piece)
                self._check_size(len(body), limits.body_bytes)
                has_more = message.get('more_body', False)
        except BaseException:
            self._buffered -= len(body)
            raise
        return bytes(body)

    def _check_size(self, size: int, limit: int) -> None:
        if size > limit:
            raise CallerRefused(Problem(ProblemType.BODY_TOO_LARGE))
        if self._buffered > BUFFER_SIZE:
            problem = Problem(
                ProblemType.OVERLOADED, retry_after=STARTING_RETURN
            )
            raise CallerRefused(problem)

    async def send_reply(self, send: Send, call: Call, reply: Reply) -> None:
        """Pass a target's answer on.

        :param send: ASGI send callable.
        :param call: What the caller asked for.
        :param reply: The answer.
        """
        headers = list(reply.headers)
        is_bodiless = call.method == b'HEAD' or reply.status in _WITHOUT_BODY
        if reply.rest is None and not is_bodiless:
            headers.append((b'content-length', str(len(reply.body)).encode()))
        headers.extend(self._closing_headers())
        if reply.rest is None:
            await send_response(send, reply.status, headers, reply.body)
            return
        await send(
            {
                'type': 'http.response.start',
                'status': reply.status,
                'headers': headers,
            }
        )
        await _send_piece(send, reply.body)
        async for piece in reply.rest:
            await _send_piece(send, piece)
        await send({'type': 'http.response.body', 'body': b''})

    async def _send_problem(self, send: Send, problem: Problem) -> None:
        answer = problem_response(problem)
        headers = [
            (header.name.encode(), header.value.encode())
            for header in answer.headers
            if header.name != 'retry-after'
        ]
        headers.append((b'content-length', str(len(answer.body)).encode()))
        if problem.retry_after is not None:
            # Callers take fractions; whole seconds would waste their time.
            seconds = f'{problem.retry_after:.3f}'
            headers.append((b'retry-after', seconds.encode()))
        headers.extend(self._closing_headers())
        await send_response(send, answer.status, headers, answer.body)

    def _closing_headers(self) -> RawHeaders:
        return [(b'connection', b'close')] if self.leaving else []


@attrs.define(eq=False)
class _Delivery:
    """Way of a target's answer to the caller."""

    _gateway: DirectGateway
    _call: Call
    _send: Send
    has_begun: bool = False

    async def __call__(self, reply: Reply) -> None:
        self.has_begun = True
        await self._gateway.send_reply(self._send, self._call, reply)


def _select_route(table: RouteTable | None, scope: Scope) -> _Selected:
    if table is None:
        problem = Problem(ProblemType.STARTING, retry_after=STARTING_RETURN)
        raise CallerRefused(problem)
    size = sum(
        len(name) + len(field) + HEADER_FRAME
        for name, field in scope['headers']
    )
    if size > table.limits.header_bytes:
        raise CallerRefused(Problem(ProblemType.HEADER_TOO_LARGE))
    path = scope['raw_path'].decode('latin-1')
    route = table.select(_host(scope), path)
    if route is None:
        raise CallerRefused(Problem(ProblemType.UNKNOWN_SERVICE))
    return _Selected(table, route)


def _body_piece(message: MutableMapping[str, Any]) -> bytes:
    if message['type'] == 'http.disconnect':
        raise CallerLeft
    piece: bytes = message.get('body', b'')
    return piece


async def _send_piece(send: Send, piece: bytes) -> None:
    await send({'type': 'http.response.body', 'body': piece, 'more_body': True})


async def _watch_caller(receive: Receive, scope: anyio.CancelScope) -> None:
    message = await receive()
    if message['type'] == 'http.disconnect':
        scope.cancel()


def _host(scope: Scope) -> str:
    for name, field in scope['headers']:
        if name == b'host':
            return str(field.decode('latin-1'))
    return ''


def _path(scope: Scope) -> bytes:
    path: bytes = scope['raw_path']
    if scope['query_string']:
        return b'?'.join((path, scope['query_string']))
    return path


def _patience(fields: RequestFields, route: Route) -> float:
    if fields.caller_timeout is None:
        return route.timeout
    return min(fields.caller_timeout, route.timeout)


def _passed_headers(headers: RawHeaders) -> RawHeaders:
    named = {
        token.strip().lower()
        for name, field in headers
        if name == b'connection'
        for token in field.split(b',')
    }
    dropped = CONNECTION_HEADERS | REPLACED_HEADERS | named | {b'expect'}
    return [one for one in headers if one[0] not in dropped]
