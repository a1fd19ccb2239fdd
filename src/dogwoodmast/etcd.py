"""Platform client for the etcd v3 JSON gateway."""

from __future__ import annotations

import base64
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import orjson

from dogwoodmast.errors import (
    PlatformAnswerLost,
    PlatformRefused,
    PlatformUnavailable,
)
from dogwoodmast.json_calls import (
    LOST_ERRORS,
    UNSENT_ERRORS,
    JsonCalls,
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

    import httpcore


def _to_base64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _from_base64(text: str) -> bytes:
    return base64.b64decode(text)


def _prefix_end(prefix: str) -> bytes:
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
    """Client of one etcd v3 JSON gateway."""

    def __init__(self, endpoint: str) -> None:
        """Create a client; connections open when needed.

        :param endpoint: Base URL, such as ``http://127.0.0.1:2379``.
        """
        self._http = JsonCalls(endpoint)

    @property
    def calls(self) -> int:
        """Calls made so far, each watch counted as one."""
        return self._http.calls

    async def aclose(self) -> None:
        """Close every connection."""
        await self._http.aclose()

    async def read(self, key: str) -> Snapshot:
        """Read one key.

        :param key: Key.
        :return: At most one value.
        """
        return _snapshot(
            await self._call('/v3/kv/range', {'key': _to_base64(key)})
        )

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that begin with a prefix.

        :param prefix: Beginning of the keys.
        :return: The values.
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
        """Write if every expectation holds.

        :param expectations: Conditions.
        :param writes: Writes, made all or none.
        :return: Whether they were made.
        """
        body = {
            'compare': [_comparison(one) for one in expectations],
            'success': [_operation(one) for one in writes],
        }
        document = await self._call('/v3/kv/txn', body)
        return SwapResult(
            succeeded=bool(document.get('succeeded', False)),
            revision=int(document['header']['revision']),
        )

    async def grant_lease(self, ttl: int) -> int:
        """Create a lease.

        :param ttl: Time to live, in whole seconds.
        :return: Number of the lease.
        """
        document = await self._call('/v3/lease/grant', {'TTL': str(ttl)})
        return int(document['ID'])

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease.

        :param lease: Number of the lease.
        :return: ``False`` if it had lapsed.
        """
        document = await self._call('/v3/lease/keepalive', {'ID': str(lease)})
        return int(document.get('result', {}).get('TTL', 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and the values that depend on it.

        :param lease: Number of the lease.
        """
        await self._call('/v3/lease/revoke', {'ID': str(lease)})

    @asynccontextmanager
    async def watch_prefix(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[Change]]:
        """Watch all keys that begin with a prefix.

        :param prefix: Beginning of the keys.
        :param start_revision: First revision to be told of.
        """
        body = {
            'create_request': {
                'key': _to_base64(prefix),
                'range_end': _to_base64(_prefix_end(prefix)),
                'start_revision': str(start_revision),
            }
        }
        try:
            async with self._http.open_stream('/v3/watch', body) as response:
                self._check_status(response.status)
                yield _read_changes(response)
        except UNSENT_ERRORS:
            raise PlatformUnavailable(self._http.endpoint) from None
        except LOST_ERRORS:
            raise PlatformAnswerLost(self._http.endpoint) from None

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        status, content = await self._http.call('POST', path, body)
        self._check_status(status)
        document: dict[str, Any] = orjson.loads(content)
        return document

    def _check_status(self, status: int) -> None:
        if status != HTTPStatus.OK:
            raise PlatformRefused(self._http.endpoint, status)


async def _read_changes(response: httpcore.Response) -> AsyncIterator[Change]:
    rest = b''
    async for chunk in response.aiter_stream():
        *lines, rest = (rest + chunk).split(b'\n')
        for line in lines:
            document = orjson.loads(line).get('result', {})
            for event in document.get('events', ()):
                yield _change(event)
