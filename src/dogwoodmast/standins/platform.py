"""Stand-in for the platform: an in-memory etcd v3 JSON gateway.

``PUT /-/fault`` injects a fault: ``none``, ``down`` (every call gets status
503 and has no effect, and watches end), ``lose_answers`` (calls other
than watches take effect, but get no response), ``stale`` (range reads return
the keys as they were when the fault was set) or ``slow`` (each call is delayed
by ``delay`` seconds).
"""

from __future__ import annotations

import enum
from http import HTTPStatus
from typing import Any

import anyio
import orjson

from dogwoodmast.errors import DogwoodmastError
from dogwoodmast.standins._http import (
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
)
from dogwoodmast.standins.etcd_store import EtcdStore

_LEASE_CHECK_INTERVAL = 0.1
"""Interval between checks for expired leases, in seconds."""


class Fault(enum.StrEnum):
    """Fault that the stand-in simulates."""

    NONE = 'none'
    """Calls are served normally."""
    DOWN = 'down'
    """Every call gets status 503 and has no effect, and watches end."""
    LOSE_ANSWERS = 'lose_answers'
    """Calls other than watches take effect, but get no response."""
    STALE = 'stale'
    """Range reads return the keys as they were when the fault was set."""
    SLOW = 'slow'
    """Each call is delayed."""


class UnknownPath(DogwoodmastError):
    """The stand-in does not serve this path of the etcd gateway."""


class PlatformStandIn:
    """ASGI application that serves an :class:`EtcdStore`."""

    def __init__(self) -> None:
        """Create a platform without keys."""
        self._store = EtcdStore()
        self._stale_snapshot = self._store
        self._fault = Fault.NONE
        self._delay: float = 0
        self._call_counts: dict[str, int] = {}
        self._open_watches = 0
        self._outage_started = anyio.Event()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request.

        :param scope: ASGI scope.
        :param receive: ASGI receive callable.
        :param send: ASGI send callable.
        """
        body = await read_body(receive)
        document = orjson.loads(body) if body else {}
        path = scope['path']
        match path:
            case '/-/fault':
                self._set_fault(document)
                await send_json(send, {'fault': self._fault})
            case '/-/counters':
                counters = {
                    'calls': self._call_counts,
                    'watches': self._open_watches,
                }
                await send_json(send, counters)
            case _:
                await self._serve_store(path, document, receive, send)

    async def expire_leases(self) -> None:
        """Remove expired leases periodically until cancelled."""
        while True:
            await anyio.sleep(_LEASE_CHECK_INTERVAL)
            self._store.expire_leases()

    def _set_fault(self, document: dict[str, Any]) -> None:
        self._fault = Fault(document['fault'])
        self._delay = float(document.get('delay', 0))
        if self._fault is Fault.DOWN:
            self._outage_started.set()
        else:
            self._outage_started = anyio.Event()
        if self._fault is Fault.STALE:
            self._stale_snapshot = self._store.copy_entries()

    async def _serve_store(
        self, path: str, body: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        if self._fault is Fault.DOWN:
            await send_json(send, {}, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        if self._fault is Fault.SLOW:
            await anyio.sleep(self._delay)
        self._call_counts[path] = self._call_counts.get(path, 0) + 1
        if path == '/v3/watch':
            await self._serve_watch(body['create_request'], receive, send)
            return
        try:
            response = self._call_store(path, body)
        except UnknownPath:
            await send_json(send, {}, HTTPStatus.NOT_FOUND)
            return
        if self._fault is Fault.LOSE_ANSWERS:
            await _wait_for_disconnect(receive)
        await send_json(send, response)

    def _call_store(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        match path:
            case '/v3/kv/range':
                is_stale = self._fault is Fault.STALE
                return (
                    self._stale_snapshot if is_stale else self._store
                ).range(body)
            case '/v3/kv/txn':
                return self._store.txn(body)
            case '/v3/kv/put':
                return self._store.put(body)
            case '/v3/lease/grant':
                return self._store.grant(body)
            case '/v3/lease/keepalive':
                return self._store.keep_alive(body)
            case '/v3/lease/revoke':
                return self._store.revoke(body)
            case _:
                raise UnknownPath

    async def _serve_watch(
        self, body: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-type', b'application/json')],
            }
        )
        await _send_line(send, {'header': self._store.header, 'created': True})
        self._open_watches += 1
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(
                    _cancel_on_disconnect, receive, task_group
                )
                task_group.start_soon(self._cancel_on_fault, task_group)
                await self._send_changes(body, send)
        finally:
            self._open_watches -= 1

    async def _send_changes(self, body: dict[str, Any], send: Send) -> None:
        with self._store.watch(body) as events:
            async for batch in events:
                response = {
                    'header': self._store.header,
                    'events': batch,
                }
                await _send_line(send, response)

    async def _cancel_on_fault(self, task_group: anyio.abc.TaskGroup) -> None:
        await self._outage_started.wait()
        task_group.cancel_scope.cancel()


async def _cancel_on_disconnect(
    receive: Receive, task_group: anyio.abc.TaskGroup
) -> None:
    await _wait_for_disconnect(receive)
    task_group.cancel_scope.cancel()


async def _wait_for_disconnect(receive: Receive) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


async def _send_line(send: Send, document: dict[str, Any]) -> None:
    await send(
        {
            'type': 'http.response.body',
            'body': b'%b\n' % orjson.dumps({'result': document}),
            'more_body': True,
        }
    )
