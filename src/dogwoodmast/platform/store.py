"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote, urlencode

import attrs

from dogwoodmast.direct.json_client import CALL_TIMEOUT, JsonClient
from dogwoodmast.errors import (
    HistoryLost,
    PlatformAnswerLost,
    PlatformAnswerUnreadable,
    PlatformDeclined,
    PlatformRefused,
)
from dogwoodmast.key_value import (
    NO_LEASE,
    Change,
    ChangePage,
    Delete,
    Expectation,
    Put,
    Snapshot,
    StoredValue,
    SwapResult,
)
from dogwoodmast.platform.json_fields import InvalidDocument, JsonFields

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodmast.address import Address
    from dogwoodmast.clock import Clock

_MS_PER_SECOND = 1000
_OK = frozenset((HTTPStatus.OK,))
_OK_OR_MISSING = frozenset((HTTPStatus.OK, HTTPStatus.NOT_FOUND))
_OK_OR_CONFLICT = frozenset((HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED))
_NOT_EXECUTED = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)
_OK_OR_GONE = frozenset((HTTPStatus.OK, HTTPStatus.GONE))

_Parsed = TypeVar('_Parsed')


@attrs.frozen
class _Answer:
    """Response of the store with an accepted status."""

    endpoint: str
    status: int
    content: bytes = attrs.field(repr=False)

    def parse(self, read: Callable[[JsonFields], _Parsed]) -> _Parsed:
        """Read the body, or fail as if there had been no response.

        :param read: Reader of the document.
        :return: Result of the reader.
        :raises PlatformAnswerUnreadable: If the body has another form.
        """
        try:
            return read(JsonFields.parse(self.content))
        except InvalidDocument as error:
            raise PlatformAnswerUnreadable(
                self.endpoint, error.reason
            ) from None


@attrs.frozen
class _RangePage:
    """Page of a range read."""

    revision: int
    values: tuple[StoredValue, ...]
    has_more: bool


class MetadataStore:
    """HTTP client of the metadata store; it implements ``PolledStore``."""

    def __init__(self, address: Address, clock: Clock) -> None:
        """Create a client; connections are opened on demand.

        :param address: Address of the store.
        :param clock: Monotonic clock that also advances while the machine is
            suspended.
        """
        self._http = JsonClient(address, clock)

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self._http.calls

    @property
    def is_arriving(self) -> bool:
        """Whether a response is arriving: begun, not complete, nor stalled."""
        return self._http.is_arriving

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self._http.aclose()

    async def read(self, key: str) -> Snapshot:
        """Read one key.

        :param key: Key to read.
        :return: Snapshot with the value, or without values if it is missing.
        """
        query = urlencode({'key': key})
        answer = await self._call(
            'GET', f'/api/kv-key?{query}', None, _OK_OR_MISSING
        )
        snapshot = answer.parse(
            _missing if answer.status == HTTPStatus.NOT_FOUND else _single
        )
        if any(one.key != key for one in snapshot.values):
            raise PlatformAnswerLost(answer.endpoint)
        return snapshot

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that begin with a prefix.

        The pages are read one after another, so later ones may contain later
        values.  The snapshot has the revision of the first page, so that
        reading the changes after it misses none.

        :param prefix: Prefix of the keys; empty for all keys.
        :return: Snapshot of the values, ordered by key.
        """
        values: list[StoredValue] = []
        revision = 0
        last = ''
        more = True
        while more:
            query = urlencode({'prefix': prefix, 'after': last})
            answer = await self._call(
                'GET', f'/api/kv-range?{query}', None, _OK
            )
            page = answer.parse(_range_page)
            revision = revision or page.revision
            values.extend(page.values)
            more = page.has_more and bool(page.values)
            last = page.values[-1].key if page.values else ''
        return Snapshot(revision, tuple(values))

    async def read_changes(
        self, prefix: str, after: int, wait: float, timeout: float
    ) -> ChangePage:
        """Read the changes after a revision, and wait for one if needed.

        :param prefix: Prefix of the keys; empty for all keys.
        :param after: Revision after which changes are read.
        :param wait: Maximum time to wait for a change, in seconds.
        :param timeout: Time limit for the answer beyond that, in seconds.
        :return: Changes, none if the time passed without one.
        :raises HistoryLost: If the store does not have the changes since that
            revision any more.
        """
        query = urlencode(
            {
                'prefix': prefix,
                'after': after,
                'wait_ms': int(wait * _MS_PER_SECOND),
            }
        )
        answer = await self._call(
            'GET',
            f'/api/kv-watch?{query}',
            None,
            _OK_OR_GONE,
            wait + timeout,
        )
        if answer.status == HTTPStatus.GONE:
            raise HistoryLost(after)
        return answer.parse(_change_page)

    async def swap(
        self,
        expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write keys in one transaction if every expectation holds.

        :param expectations: Revisions that keys must have.
        :param writes: Writes, of which either all or none take effect.
        :return: Whether they took effect, with the store's revision.
        """
        body = {
            'expect': [
                {'key': one.key, 'revision': one.revision}
                for one in expectations
            ],
            'puts': [_put(one) for one in writes if isinstance(one, Put)],
            'deletes': [one.key for one in writes if isinstance(one, Delete)],
        }
        answer = await self._call('POST', '/api/kv-txn', body, _OK_OR_CONFLICT)
        if answer.status != HTTPStatus.OK:
            return SwapResult(succeeded=False, revision=0)
        return answer.parse(_success)

    async def grant_lease(self, ttl: int) -> int:
        """Create a lease.

        :param ttl: Time to live without renewals, in seconds.
        :return: Identifier of the lease.
        """
        answer = await self._call(
            'POST', '/api/kv-lease', {'ttl_s_time': ttl}, _OK
        )
        return answer.parse(_lease)

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease.

        :param lease: Identifier of the lease.
        :return: Whether it was renewed; ``False`` if it had expired.
        """
        answer = await self._call(
            'POST', f'/api/kv-keep/{lease}', None, _OK_OR_MISSING
        )
        return answer.status == HTTPStatus.OK

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, and so remove the keys that are bound to it.

        :param lease: Identifier of the lease.
        """
        path = quote(f'/api/kv-lease-end/{lease}')
        await self._call('DELETE', path, None, _OK_OR_MISSING)

    async def _call(
        self,
        method: str,
        path: str,
        body: object,
        accepted: frozenset[HTTPStatus],
        timeout: float = CALL_TIMEOUT,
    ) -> _Answer:
        status, content = await self._http.call(method, path, body, timeout)
        if status in _NOT_EXECUTED:
            raise PlatformDeclined(str(self._http.address), status)
        if status not in accepted:
            raise PlatformRefused(str(self._http.address), status)
        return _Answer(str(self._http.address), status, content)


def _missing(document: JsonFields) -> Snapshot:
    return Snapshot(document.integer('as_of', default=0), ())


def _single(document: JsonFields) -> Snapshot:
    _decode_value(document)
    return Snapshot(document.integer('as_of'), (_stored_value(document),))


def _range_page(document: JsonFields) -> _RangePage:
    return _RangePage(
        document.integer('as_of'),
        tuple(_stored_value(one) for one in document.read_objects('items')),
        bool(document.read('has_more')),
    )


def _change_page(document: JsonFields) -> ChangePage:
    changes = tuple(_change(one) for one in document.read_objects('events'))
    return ChangePage(document.integer('as_of'), changes)


def _success(document: JsonFields) -> SwapResult:
    return SwapResult(succeeded=True, revision=document.integer('revision', 1))


def _lease(document: JsonFields) -> int:
    return document.integer('lease', 1)


def _stored_value(document: JsonFields) -> StoredValue:
    return StoredValue(
        key=document.text('key'),
        value=_value(document),
        revision=document.integer('revision'),
        lease=document.integer('lease', default=NO_LEASE),
    )


def _change(event: JsonFields) -> Change:
    return Change(
        key=event.text('key'),
        value=None if event.has('deleted') else _value(event),
        revision=event.integer('revision'),
    )


def _value(item: JsonFields) -> bytes:
    """Decode the value of one item of several.

    One that cannot be decoded counts as empty, which no document is, so that
    the other items are followed.
    """
    try:
        return _decode_value(item)
    except InvalidDocument:
        return b''


def _decode_value(item: JsonFields) -> bytes:
    try:
        return base64.b64decode(item.text('value'), validate=True)
    except (binascii.Error, ValueError):
        raise InvalidDocument(f'{item.path("value")}: not Base64') from None


def _put(write: Put) -> dict[str, Any]:
    return {
        'key': write.key,
        'value': base64.b64encode(write.value).decode(),
        'lease': write.lease,
    }
