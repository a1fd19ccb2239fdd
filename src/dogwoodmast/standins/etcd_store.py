"""In-memory subset of etcd for the stand-in of the platform.

Requests and responses are the JSON objects of etcd's v3 gateway.
"""

from __future__ import annotations

import base64
import itertools
import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import anyio
import attrs
from anyio.streams.memory import MemoryObjectSendStream

if TYPE_CHECKING:
    from anyio.abc import ObjectReceiveStream

FIRST_LEASE_ID = 1000
"""ID of the first lease."""

Document = dict[str, Any]
"""JSON object of the gateway's protocol."""


@attrs.define
class _Entry:
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int
    """ID of the lease that the key is attached to; zero if it has none."""


@attrs.define
class _Lease:
    ttl: int
    """Time to live after a grant or renewal, in seconds."""
    expires_at: float
    """Time of expiry on the clock of the event loop, in seconds."""


@attrs.frozen
class _Watcher:
    first: bytes
    range_end: bytes
    sender: MemoryObjectSendStream[list[Document]]


@attrs.define
class EtcdStore:
    """Keys, leases and watches with the revision semantics of etcd."""

    _entries: dict[bytes, _Entry] = attrs.field(factory=dict)
    _leases: dict[int, _Lease] = attrs.field(factory=dict)
    _watchers: list[_Watcher] = attrs.field(factory=list)
    _events: list[Document] = attrs.field(factory=list)
    _lease_ids: Iterator[int] = attrs.field(factory=itertools.count)
    _revision: int = 1

    @property
    def header(self) -> dict[str, str]:
        """Header of every response, with the current revision."""
        return {'revision': str(self._revision)}

    def copy_entries(self) -> EtcdStore:
        """Copy the keys, for stale reads.

        :return: Store with the same keys and revision, but without leases,
            watches and past events.
        """
        entries = {
            key: attrs.evolve(entry) for key, entry in self._entries.items()
        }
        return EtcdStore(entries=entries, revision=self._revision)

    def range(self, body: Document) -> Document:
        """Read the keys of a range.

        :param body: Body of a range request.
        :return: Body of the response.
        """
        first, range_end = _range_bounds(body)
        documents = [
            self._document(key)
            for key in sorted(self._entries)
            if _in_range(key, first, range_end)
        ]
        return {
            'header': self.header,
            'kvs': documents,
            'count': str(len(documents)),
        }

    def txn(self, body: Document) -> Document:
        """Run a transaction: compare, then read and write.

        :param body: Body of a transaction request.
        :return: Body of the response.
        """
        succeeded = all(
            self._comparison_holds(comparison)
            for comparison in body.get('compare', ())
        )
        operations = body.get('success' if succeeded else 'failure', ())
        writes = [
            candidate
            for candidate in operations
            if 'request_range' not in candidate
        ]
        if writes:
            self._revision += 1
        events = []
        responses = []
        for operation in operations:
            match operation:
                case {'request_range': read}:
                    responses.append({'response_range': self.range(read)})
                case _:
                    events.extend(self._apply(operation))
        self._notify(events)
        return {
            'header': self.header,
            'succeeded': succeeded,
            'responses': responses,
        }

    def put(self, body: Document) -> Document:
        """Write one key.

        :param body: Body of a put request.
        :return: Body of the response.
        """
        self.txn({'success': [{'request_put': body}]})
        return {'header': self.header}

    def grant(self, body: Document) -> Document:
        """Create a lease.

        :param body: Body of a grant request.
        :return: Body of the response.
        """
        lease_id = FIRST_LEASE_ID + next(self._lease_ids)
        ttl = int(body['TTL'])
        self._leases[lease_id] = _Lease(ttl, anyio.current_time() + ttl)
        return {'header': self.header, 'ID': str(lease_id), 'TTL': str(ttl)}

    def keep_alive(self, body: Document) -> Document:
        """Renew a lease.

        :param body: Body of a keep-alive request.
        :return: Body of the response; its TTL is zero if the lease does not
            exist.
        """
        lease = self._leases.get(int(body['ID']))
        ttl = 0
        if lease is not None:
            ttl = lease.ttl
            lease.expires_at = anyio.current_time() + ttl
        response = {'header': self.header, 'ID': body['ID'], 'TTL': str(ttl)}
        return {'result': response}

    def revoke(self, body: Document) -> Document:
        """Revoke a lease and delete its keys.

        :param body: Body of a revoke request.
        :return: Body of the response.
        """
        self._delete_lease(int(body['ID']))
        return {'header': self.header}

    def expire_leases(self) -> None:
        """Remove the leases whose TTL has passed and delete their keys."""
        now = anyio.current_time()
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_at <= now
        ]
        for lease_id in expired:
            self._delete_lease(lease_id)

    @contextmanager
    def watch(
        self, body: Document
    ) -> Iterator[ObjectReceiveStream[list[Document]]]:
        """Watch the keys of a range.

        :param body: Body of a create request.
        :yield: Stream of batches of events, first the past ones from the
            start revision on.
        """
        first, range_end = _range_bounds(body)
        sender, receiver = anyio.create_memory_object_stream[list[Document]](
            math.inf
        )
        watcher = _Watcher(first, range_end, sender)
        start = int(body.get('start_revision', self._revision + 1))
        past_events = [
            event
            for event in self._events
            if int(event['kv']['mod_revision']) >= start
        ]
        self._send_events(watcher, past_events)
        self._watchers.append(watcher)
        try:
            yield receiver
        finally:
            self._watchers.remove(watcher)
            sender.close()
            receiver.close()

    def _document(self, key: bytes) -> Document:
        entry = self._entries[key]
        return {
            'key': _encode(key),
            'value': _encode(entry.value),
            'create_revision': str(entry.create_revision),
            'mod_revision': str(entry.mod_revision),
            'version': str(entry.version),
            'lease': str(entry.lease),
        }

    def _comparison_holds(self, comparison: Document) -> bool:
        entry = self._entries.get(_decode(comparison['key']))
        if comparison['target'] == 'VERSION':
            actual = 0 if entry is None else entry.version
            return actual == int(comparison.get('version', 0))
        actual = 0 if entry is None else entry.mod_revision
        return actual == int(comparison.get('mod_revision', 0))

    def _apply(self, operation: Document) -> list[Document]:
        put = operation.get('request_put')
        if put is not None:
            return [self._write(put)]
        first, range_end = _range_bounds(operation['request_delete_range'])
        deleted_keys = [
            key for key in self._entries if _in_range(key, first, range_end)
        ]
        return [self._remove(key) for key in deleted_keys]

    def _write(self, body: Document) -> Document:
        key = _decode(body['key'])
        entry = self._entries.get(key)
        self._entries[key] = _Entry(
            value=_decode(body.get('value', '')),
            create_revision=entry.create_revision if entry else self._revision,
            mod_revision=self._revision,
            version=entry.version + 1 if entry else 1,
            lease=int(body.get('lease', 0)),
        )
        return {'kv': self._document(key)}

    def _remove(self, key: bytes) -> Document:
        self._entries.pop(key)
        return {
            'type': 'DELETE',
            'kv': {'key': _encode(key), 'mod_revision': str(self._revision)},
        }

    def _delete_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        deleted_keys = [
            key
            for key, entry in self._entries.items()
            if entry.lease == lease_id
        ]
        if deleted_keys:
            self._revision += 1
            self._notify([self._remove(key) for key in deleted_keys])

    def _notify(self, events: list[Document]) -> None:
        self._events.extend(events)
        for watcher in self._watchers:
            self._send_events(watcher, events)

    def _send_events(self, watcher: _Watcher, events: list[Document]) -> None:
        matching = [
            event
            for event in events
            if _in_range(
                _decode(event['kv']['key']), watcher.first, watcher.range_end
            )
        ]
        if matching:
            watcher.sender.send_nowait(matching)


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _range_bounds(body: Document) -> tuple[bytes, bytes]:
    first = _decode(body['key'])
    return first, _decode(body.get('range_end', ''))


def _in_range(key: bytes, first: bytes, range_end: bytes) -> bool:
    # An empty range end stands for the single key, as in etcd.
    return first <= key < range_end if range_end else key == first
