"""Stand-in of the platform's metadata store.

Several servers may share one content, each with faults of its own, so that
some entry VMs are turned away while others are served.
"""

from __future__ import annotations

import base64
import enum
import time
import types
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote

import anyio
import attrs
import orjson

from dogwoodmast._asgi import send_json
from dogwoodmast.standins._http import read_body

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodmast._asgi import Receive, Scope, Send

PAGE_SIZE = 50


class StoreFault(enum.Enum):
    """How a server of the store misbehaves."""

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    SILENT = 'silent'
    LOST = 'lost'
    """Calls are done, and their connections closed without an answer."""
    LATE = 'late'
    """Writes are done half a second after their connection was closed."""


_REFUSALS = types.MappingProxyType({StoreFault.BUSY: 503, StoreFault.MANY: 429})


@attrs.define(eq=False)
class StoredItem:
    """One key."""

    key: str
    content: str
    revision: int
    created: int
    lease: int

    def document(self) -> dict[str, Any]:
        """Write it as the store does."""
        return {
            'key': self.key,
            'value': self.content,
            'revision': self.revision,
            'created_rev': self.created,
            'lease': self.lease,
        }


@attrs.define(eq=False)
class StoreContent:
    """Keys, leases and history."""

    revision: int = 10
    items: dict[str, StoredItem] = attrs.field(factory=dict)
    events: list[dict[str, Any]] = attrs.field(factory=list)
    leases: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    forgotten: int = 0
    """Revision up to which history is gone."""
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    def expire(self) -> None:
        """End the leases whose time is up."""
        now = time.monotonic()
        for lease, (_, until) in tuple(self.leases.items()):
            if until <= now:
                self.end_lease(lease)

    def pause_leases(self, seconds: float) -> None:
        """Let leases run on later, as some outages of the platform do."""
        self.leases = {
            lease: (ttl, until + seconds)
            for lease, (ttl, until) in self.leases.items()
        }

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        keys = [one.key for one in self.items.values() if one.lease == lease]
        if keys:
            self.write([], keys)

    def write(self, puts: list[dict[str, Any]], deletes: list[str]) -> int:
        """Change keys in one revision."""
        self.revision += 1
        for put in puts:
            known = self.items.get(put['key'])
            created = known.created if known else self.revision
            item = StoredItem(
                put['key'],
                put['value'],
                self.revision,
                created,
                put.get('lease', 0),
            )
            self.items[item.key] = item
            self.events.append(item.document())
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append(
                    {'key': key, 'revision': self.revision, 'deleted': True}
                )
        changed = self.changed
        self.changed = anyio.Event()
        changed.set()
        return self.revision

    def put_document(self, key: str, document: object) -> int:
        """Write a document as an operator or a target does."""
        return self.put_bytes(key, orjson.dumps(document))

    def put_bytes(self, key: str, content: bytes) -> int:
        """Write bytes."""
        text = base64.b64encode(content).decode()
        return self.write([{'key': key, 'value': text}], [])

    def forget(self) -> None:
        """Drop the history."""
        self.forgotten = self.revision
        self.events.clear()


@attrs.define(eq=False)
class StoreServer:
    """ASGI application of one server of the store."""

    content: StoreContent
    fault: StoreFault = StoreFault.NONE
    delay: float = 0
    address: Any = None
    """Where it is served, for fleets with several servers."""
    calls: list[str] = attrs.field(factory=list)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one call."""
        if scope['type'] != 'http':
            return
        body = await read_body(receive)
        self.calls.append(f'{scope["method"]} {scope["path"]}')
        refusal = _REFUSALS.get(self.fault)
        if refusal is not None:
            await send_json(send, {}, refusal)
            return
        match self.fault:
            case StoreFault.SILENT:
                await anyio.sleep_forever()
            case StoreFault.LATE if scope['method'] == 'POST':
                await anyio.sleep(0.5)
                self.content.expire()
                await self._answer(scope, body)
                raise ConnectionAbortedError
        await anyio.sleep(self.delay)
        self.content.expire()
        status, document = await self._answer(scope, body)
        if self.fault is StoreFault.LOST:
            raise ConnectionAbortedError
        await send_json(send, document, status)

    async def _answer(
        self, scope: Scope, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        query = {
            name: found[0]
            for name, found in parse_qs(
                scope['query_string'].decode(), keep_blank_values=True
            ).items()
        }
        path = scope['path']
        call = path.removeprefix('/api/').partition('/')[0]
        if call == 'kv-watch':
            return await self._watch(query)
        last = unquote(path.rpartition('/')[2])
        calls = {
            'kv-key': lambda: self._key(query['key']),
            'kv-range': lambda: self._range(query),
            'kv-txn': lambda: self._txn(orjson.loads(body)),
            'kv-lease': lambda: self._lease(orjson.loads(body)),
            'kv-keep': lambda: self._keep(int(last)),
            'kv-lease-end': lambda: self._end(int(last)),
        }
        return calls[call]()

    def _end(self, lease: int) -> tuple[int, dict[str, Any]]:
        self.content.end_lease(lease)
        return 200, {}

    def _key(self, key: str) -> tuple[int, dict[str, Any]]:
        item = self.content.items.get(key)
        if item is None:
            return 404, {'as_of': self.content.revision}
        return 200, {**item.document(), 'as_of': self.content.revision}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query['prefix'], query.get('after', '')
        keys = sorted(
            key
            for key in self.content.items
            if key.startswith(prefix) and key > after
        )
        return 200, {
            'items': [
                self.content.items[key].document() for key in keys[:PAGE_SIZE]
            ],
            'has_more': len(keys) > PAGE_SIZE,
            'as_of': self.content.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query['after'])
        with anyio.move_on_after(int(query['wait_ms']) / 1000):
            while not self._events(query['prefix'], after):
                if after < self.content.forgotten:
                    return 410, {}
                await self.content.changed.wait()
        if after < self.content.forgotten:
            return 410, {}
        return 200, {
            'events': self._events(query['prefix'], after),
            'as_of': self.content.revision,
        }

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self.content.events
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        items = self.content.items
        found = {
            one['key']: items[one['key']].revision if one['key'] in items else 0
            for one in body['expect']
        }
        if any(found[one['key']] != one['revision'] for one in body['expect']):
            return 412, {'items': []}
        for put in body['puts']:
            if put.get('lease') and put['lease'] not in self.content.leases:
                return 404, {}
        return 200, {
            'revision': self.content.write(body['puts'], body['deletes'])
        }

    def _lease(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.content.revision += 1
        lease = self.content.revision
        ttl = float(body['ttl_s_time'])
        self.content.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {'lease': lease, 'ttl_s_time': ttl}

    def _keep(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self.content.leases:
            return 404, {}
        ttl, _ = self.content.leases[lease]
        self.content.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {'ttl_s_time': ttl}


@asynccontextmanager
async def serving(*apps: tuple[Any, Any]) -> AsyncIterator[None]:
    """Serve applications at their addresses."""
    from dogwoodmast.http_server import make_http_server

    servers = [make_http_server(app, address, 60) for app, address in apps]
    async with anyio.create_task_group() as tasks:
        for server in servers:
            server.config.timeout_graceful_shutdown = 1
            tasks.start_soon(server.serve)
        while not all(one.started for one in servers):
            await anyio.sleep(0.01)
        try:
            yield
        finally:
            tasks.cancel_scope.cancel()
