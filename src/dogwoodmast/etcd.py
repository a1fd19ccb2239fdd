"""Client of an etcd v3 JSON gateway.

The gateway encodes keys and values as base64 and integers as decimal
strings.
"""

from __future__ import annotations

import base64
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import httpcore
import orjson

from dogwoodmast.errors import (
    PlatformAnswerLost,
    PlatformRefused,
    PlatformUnavailable,
)
from dogwoodmast.key_value import (
    Change,
    Delete,
    Expectation,
    Put,
    Snapshot,
    StoredValue,
    SwapResult,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CONNECT_TIMEOUT = 0.5
"""Time-out for opening a connection, in seconds."""
CALL_TIMEOUT = 2.0
"""Time-out of each read, each write and the wait for a free connection, in
seconds; watches have no time-out except :data:`CONNECT_TIMEOUT`."""
MAX_CONNECTIONS = 8
"""Maximum number of connections to the gateway, watches included."""

_JSON_HEADERS = ((b'content-type', b'application/json'),)
_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def _to_base64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _from_base64(text: str) -> bytes:
    return base64.b64decode(text)


def _prefix_end(prefix: str) -> bytes:
    """Return the end of the key range that contains the keys with a prefix."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


def _stored_value(document: dict[str, Any]) -> StoredValue:
    return StoredValue(
        key=_from_base64(document['key']).decode(),
        value=_from_base64(document.get('value', '')),
        revision=int(document['mod_revision']),
    )


def _snapshot(document: dict[str, Any]) -> Snapshot:
    return Snapshot(
        revision=int(document['header']['revision']),
        values=tuple(_stored_value(entry) for entry in document.get('kvs', ())),
    )


def _comparison(expectation: Expectation) -> dict[str, Any]:
    return {
        'key': _to_base64(expectation.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(expectation.revision),
    }


def _operation(write: Put | Delete) -> dict[str, Any]:
    match write:
        case Put(key, value, lease):
            put: dict[str, Any] = {
                'key': _to_base64(key),
                'value': _to_base64(value),
            }
            if lease:
                put['lease'] = str(lease)
            return {'request_put': put}
        case Delete(key):
            return {'request_delete_range': {'key': _to_base64(key)}}


def _change(event: dict[str, Any]) -> Change:
    entry = event['kv']
    removed = event.get('type') == 'DELETE'
    return Change(
        key=_from_base64(entry['key']).decode(),
        value=None if removed else _from_base64(entry.get('value', '')),
        revision=int(entry['mod_revision']),
    )


class EtcdPlatform:
    """Client of a platform whose key-value service is an etcd v3 gateway."""

    def __init__(self, endpoint: str) -> None:
        """Create a client; connections are opened on demand.

        :param endpoint: Base URL, such as ``http://127.0.0.1:2379``.
        """
        self._endpoint = endpoint.rstrip('/')
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS
        )
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls made so far; each watch counts as one call."""
        return self._calls

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def read(self, key: str) -> Snapshot:
        """Read one key.

        :param key: Key to read.
        :return: Snapshot with the value, or with no value if the key does
            not exist.
        """
        return _snapshot(
            await self._call('/v3/kv/range', {'key': _to_base64(key)})
        )

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that begin with a prefix.

        :param prefix: Prefix of the keys; not empty.
        :return: Snapshot of the matching keys and their values.
        """
        body = {
            'key': _to_base64(prefix),
            'range_end': _to_base64(_prefix_end(prefix)),
        }
        return _snapshot(await self._call('/v3/kv/range', body))

    async def swap(
        self,
        expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write atomically if every expectation holds.

        :param expectations: Revisions that keys must have.
        :param writes: Writes, of which either all or none take effect.
        :return: Result that tells whether the writes took effect.
        """
        body = {
            'compare': [
                _comparison(expectation) for expectation in expectations
            ],
            'success': [_operation(write) for write in writes],
        }
        document = await self._call('/v3/kv/txn', body)
        return SwapResult(
            succeeded=bool(document.get('succeeded', False)),
            revision=int(document['header']['revision']),
        )

    async def grant_lease(self, ttl: int) -> int:
        """Create a lease.

        :param ttl: Time to live, in whole seconds.
        :return: Identifier of the lease.
        """
        document = await self._call('/v3/lease/grant', {'TTL': str(ttl)})
        return int(document['ID'])

    async def renew_lease(self, lease: int) -> bool:
        """Restart the time to live of a lease.

        :param lease: Identifier of the lease.
        :return: ``False`` if the lease had expired.
        """
        document = await self._call('/v3/lease/keepalive', {'ID': str(lease)})
        return int(document.get('result', {}).get('TTL', 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete the keys that are attached to it.

        :param lease: Identifier of the lease.
        """
        await self._call('/v3/lease/revoke', {'ID': str(lease)})

    @asynccontextmanager
    async def watch_prefix(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[Change]]:
        """Watch all keys that begin with a prefix.

        :param prefix: Prefix of the keys; not empty.
        :param start_revision: Store revision of the first change to report.
        """
        self._calls += 1
        body = {
            'create_request': {
                'key': _to_base64(prefix),
                'range_end': _to_base64(_prefix_end(prefix)),
                'start_revision': str(start_revision),
            }
        }
        try:
            async with self._pool.stream(
                'POST',
                f'{self._endpoint}/v3/watch',
                headers=_JSON_HEADERS,
                content=orjson.dumps(body),
                extensions={'timeout': {'connect': CONNECT_TIMEOUT}},
            ) as response:
                self._check_status(response.status)
                yield _read_changes(response)
        except _CONNECT_ERRORS:
            raise PlatformUnavailable(self._endpoint) from None
        except _EXCHANGE_ERRORS:
            raise PlatformAnswerLost(self._endpoint) from None

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        self._calls += 1
        try:
            response = await self._pool.request(
                'POST',
                f'{self._endpoint}{path}',
                headers=_JSON_HEADERS,
                content=orjson.dumps(body),
                extensions={
                    'timeout': {
                        'connect': CONNECT_TIMEOUT,
                        'read': CALL_TIMEOUT,
                        'write': CALL_TIMEOUT,
                        'pool': CALL_TIMEOUT,
                    }
                },
            )
        except _CONNECT_ERRORS:
            raise PlatformUnavailable(self._endpoint) from None
        except _EXCHANGE_ERRORS:
            raise PlatformAnswerLost(self._endpoint) from None
        self._check_status(response.status)
        document: dict[str, Any] = orjson.loads(response.content)
        return document

    def _check_status(self, status: int) -> None:
        if status != HTTPStatus.OK:
            raise PlatformRefused(self._endpoint, status)


async def _read_changes(response: httpcore.Response) -> AsyncIterator[Change]:
    """Parse the stream of a watch, which has one JSON document per line."""
    incomplete_line = b''
    async for chunk in response.aiter_stream():
        *lines, incomplete_line = (incomplete_line + chunk).split(b'\n')
        for line in lines:
            document = orjson.loads(line).get('result', {})
            for event in document.get('events', ()):
                yield _change(event)
