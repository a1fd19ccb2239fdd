"""Stand-in for the platform's metadata store.

Several servers may share one content and have faults of their own, so that some
entry VMs lose the store while others keep it.
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
"""Maximum number of items in the response to a range read."""


class StoreFault(enum.Enum):
    """Fault of one server of the store."""

    NONE = 'none'
    BUSY = 'busy'
    """Calls are refused with status 503."""
    MANY = 'many'
    """Calls are refused with status 429."""
    SILENT = 'silent'
    """Calls are never answered."""
    LOST = 'lost'
    """Calls are executed, and their connections are closed without a
    response."""
    LATE = 'late'
    """POST calls (writes, grants and renewals of leases) are executed half a
    second after they arrive, and their connections are then closed without a
    response."""


_REFUSALS = types.MappingProxyType({StoreFault.BUSY: 503, StoreFault.MANY: 429})
"""Status with which each of these faults refuses a call."""


@attrs.define(eq=False)
class StoredItem:
    """Key with its value."""

    key: str
    """Name of the key."""
    content: str
    """Value, encoded in Base64."""
    revision: int
    """Revision of the latest write."""
    created: int
    """Revision at which the key was created."""
    lease: int
    """Lease that the key is bound to, or 0."""

    def document(self) -> dict[str, Any]:
        """Encode the item as the store's API does.

        :return: JSON document.
        """
        return {
            'key': self.key,
            'value': self.content,
            'revision': self.revision,
            'created_rev': self.created,
            'lease': self.lease,
        }


@attrs.define(eq=False)
class StoreContent:
    """Keys, leases and change history of the store."""

    revision: int = 10
    """Revision of the latest write or grant of a lease."""
    items: dict[str, StoredItem] = attrs.field(factory=dict)
    """Present keys by name."""
    events: list[dict[str, Any]] = attrs.field(factory=list)
    """Changes in the order of their revisions, as JSON documents."""
    leases: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    """Time to live in seconds and monotonic time of expiry, by lease."""
    compacted_revision: int = 0
    """Revision up to which the history has been dropped."""
    changed: anyio.Event = attrs.field(factory=anyio.Event)
    """Event that the next write sets."""

    def expire_leases(self) -> None:
        """Revoke the leases that have expired."""
        now = time.monotonic()
        for lease, (_, until) in tuple(self.leases.items()):
            if until <= now:
                self.revoke_lease(lease)

    def extend_leases(self, seconds: float) -> None:
        """Extend all leases, as some outages of the platform do.

        :param seconds: Time to add, in seconds.
        """
        self.leases = {
            lease: (ttl, until + seconds)
            for lease, (ttl, until) in self.leases.items()
        }

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete the keys bound to it.

        :param lease: Lease to revoke.
        """
        self.leases.pop(lease, None)
        keys = [one.key for one in self.items.values() if one.lease == lease]
        if keys:
            self.write([], keys)

    def write(self, puts: list[dict[str, Any]], deletes: list[str]) -> int:
        """Put and delete keys in one revision.

        :param puts: Keys and values, with an optional lease.
        :param deletes: Keys to delete; unknown ones are ignored.
        :return: Revision of the write.
        """
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
        """Write a JSON document, as operators and targets do.

        :param key: Key to write.
        :param document: Document to encode as JSON.
        :return: Revision of the write.
        """
        return self.put_bytes(key, orjson.dumps(document))

    def put_bytes(self, key: str, content: bytes) -> int:
        """Write a value.

        :param key: Key to write.
        :param content: Value, before its encoding in Base64.
        :return: Revision of the write.
        """
        text = base64.b64encode(content).decode()
        return self.write([{'key': key, 'value': text}], [])

    def compact(self) -> None:
        """Drop the change history, so that older watches get status 410."""
        self.compacted_revision = self.revision
        self.events.clear()


@attrs.define(eq=False)
class StoreServer:
    """ASGI application of one server of the store."""

    content: StoreContent
    """Content, which servers may share."""
    fault: StoreFault = StoreFault.NONE
    """Fault of this server."""
    delay: float = 0
    """Time before a call is executed, in seconds."""
    address: Any = None
    """Address of the server in fleets with several servers."""
    calls: list[str] = attrs.field(factory=list)
    """Method and path of each call that arrived."""
    target_addresses: dict[str, str] = attrs.field(factory=dict)
    """Addresses under which this server lists targets, by the key of their
    entries, in place of those that were written."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Execute one call, subject to the fault.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        :raises ConnectionAbortedError: If the connection is to be closed
            without a response.
        """
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
                self.content.expire_leases()
                await self._answer(scope, body)
                raise ConnectionAbortedError
        await anyio.sleep(self.delay)
        self.content.expire_leases()
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
            'kv-key': lambda: self._read_key(query['key']),
            'kv-range': lambda: self._read_range(query),
            'kv-txn': lambda: self._transaction(orjson.loads(body)),
            'kv-lease': lambda: self._grant_lease(orjson.loads(body)),
            'kv-keep': lambda: self._renew_lease(int(last)),
            'kv-lease-end': lambda: self._revoke_lease(int(last)),
        }
        return calls[call]()

    def _revoke_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        self.content.revoke_lease(lease)
        return 200, {}

    def _read_key(self, key: str) -> tuple[int, dict[str, Any]]:
        item = self.content.items.get(key)
        if item is None:
            return 404, {'as_of': self.content.revision}
        document = self._view(item.document())
        return 200, {**document, 'as_of': self.content.revision}

    def _read_range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query['prefix'], query.get('after', '')
        keys = sorted(
            key
            for key in self.content.items
            if key.startswith(prefix) and key > after
        )
        return 200, {
            'items': [
                self._view(self.content.items[key].document())
                for key in keys[:PAGE_SIZE]
            ],
            'has_more': len(keys) > PAGE_SIZE,
            'as_of': self.content.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query['after'])
        with anyio.move_on_after(int(query['wait_ms']) / 1000):
            while not self._events(query['prefix'], after):
                if after < self.content.compacted_revision:
                    return 410, {}
                await self.content.changed.wait()
        if after < self.content.compacted_revision:
            return 410, {}
        return 200, {
            'events': self._events(query['prefix'], after),
            'as_of': self.content.revision,
        }

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            self._view(event)
            for event in self.content.events
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    def _view(self, document: dict[str, Any]) -> dict[str, Any]:
        """Replace the address of a target's entry."""
        address = self.target_addresses.get(document['key'])
        if address is None or 'value' not in document:
            return document
        entry = orjson.loads(base64.b64decode(document['value']))
        content = orjson.dumps({**entry, 'address': address})
        return {**document, 'value': base64.b64encode(content).decode()}

    def _transaction(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
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

    def _grant_lease(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.content.revision += 1
        lease = self.content.revision
        ttl = float(body['ttl_s_time'])
        self.content.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {'lease': lease, 'ttl_s_time': ttl}

    def _renew_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self.content.leases:
            return 404, {}
        ttl, _ = self.content.leases[lease]
        self.content.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {'ttl_s_time': ttl}


@asynccontextmanager
async def serving(*apps: tuple[Any, Any]) -> AsyncIterator[None]:
    """Serve ASGI applications until the block ends.

    :param apps: Applications with their addresses.
    """
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
