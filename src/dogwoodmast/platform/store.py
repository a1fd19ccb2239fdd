"""Client of the platform's metadata store.

The store may be restored from a copy that is some seconds old, and tells so by
its era.  All revisions are positions here, which combine era and revision, and
leases are qualified by their era too.  What belongs to an earlier era is void:
its leases have ended, its expectations do not hold, and its changes cannot be
followed any more.
"""

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
    MISSING_REVISION,
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
from dogwoodmast.platform.store_era import EraTracker
from dogwoodmast.store_position import (
    REVISION_BITS,
    era_of,
    make_position,
    revision_of,
)

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

FIRST_ERA_KEY = 'dogwoodmast/first-era'
"""Key of the number that the store named in its first era."""

_GREATEST_REVISION = 2**REVISION_BITS - 1
_LEASE_BITS = 64
"""Bits of a qualified lease that hold the store's identifier of it."""

_Parsed = TypeVar('_Parsed')


@attrs.frozen
class _Answer:
    """Response of the store with an accepted status."""

    endpoint: str
    status: int
    era: int
    content: bytes = attrs.field(repr=False)

    def parse(self, read: Callable[[JsonFields, int], _Parsed]) -> _Parsed:
        """Read the body, or fail as if there had been no response.

        :param read: Reader of the document, which is passed the era as well.
        :return: Result of the reader.
        :raises PlatformAnswerUnreadable: If the body has another form.
        """
        try:
            return read(JsonFields.parse(self.content), self.era)
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
        self._eras = EraTracker()

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
        reading the changes after it misses none.  If the store is restored
        meanwhile, reading begins again.

        :param prefix: Prefix of the keys; empty for all keys.
        :return: Snapshot of the values, ordered by key.
        """
        pages = [await self._read_range(prefix, '')]
        while pages[-1].has_more and pages[-1].values:
            page = await self._read_range(prefix, pages[-1].values[-1].key)
            pages.append(page)
            if era_of(page.revision) > era_of(pages[0].revision):
                pages = [await self._read_range(prefix, '')]
        values = tuple(one for page in pages for one in page.values)
        return Snapshot(pages[0].revision, values)

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
            revision any more, also because it was restored.
        """
        if era_of(after) < self._eras.latest:
            raise HistoryLost(after)
        query = urlencode(
            {
                'prefix': prefix,
                'after': revision_of(after),
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
        is_restored = answer.era > era_of(after)
        if answer.status == HTTPStatus.GONE or is_restored:
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
        :raises PlatformAnswerLost: If there was no response, or the store was
            restored meanwhile, so that revisions and leases may be taken for
            others that have been given out again.
        """
        puts = [one for one in writes if isinstance(one, Put)]
        eras = {era_of(one.revision) for one in expectations if one.revision}
        eras.update(_era_of_lease(one.lease) for one in puts if one.lease)
        if eras and min(eras) < self._eras.latest:
            return SwapResult(succeeded=False, revision=0)
        body = {
            'expect': [
                {'key': one.key, 'revision': revision_of(one.revision)}
                for one in expectations
            ],
            'puts': [_put(one) for one in puts],
            'deletes': [one.key for one in writes if isinstance(one, Delete)],
        }
        answer = await self._call('POST', '/api/kv-txn', body, _OK_OR_CONFLICT)
        if answer.status != HTTPStatus.OK:
            return SwapResult(succeeded=False, revision=0)
        if eras and min(eras) < answer.era:
            raise PlatformAnswerLost(answer.endpoint)
        return answer.parse(_success)

    async def agree_on_eras(self) -> None:
        """Count the eras of the store as all other entry VMs do.

        The lowest number that any of them has seen in a first response is
        stored, since one that starts after a restore can't tell whether the
        store had counted from 0.

        :raises PlatformAnswerLost: If another entry VM writes it at the same
            time.
        """
        found = (await self.read(FIRST_ERA_KEY)).first
        own = self._eras.first_number
        if found is not None and found.value.isdigit():
            self._eras.count_from(int(found.value))
            if int(found.value) <= own:
                return
        revision = MISSING_REVISION if found is None else found.revision
        swap = await self.swap(
            (Expectation(FIRST_ERA_KEY, revision),),
            (Put(FIRST_ERA_KEY, str(own).encode()),),
        )
        if not swap.succeeded:
            raise PlatformAnswerLost(str(self._http.address))

    async def grant_lease(self, ttl: int) -> int:
        """Create a lease.

        :param ttl: Time to live without renewals, in seconds.
        :return: Identifier of the lease, qualified by its era.
        """
        answer = await self._call(
            'POST', '/api/kv-lease', {'ttl_s_time': ttl}, _OK
        )
        return answer.parse(_lease)

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease.

        :param lease: Identifier of the lease.
        :return: Whether it was renewed; ``False`` if it had expired, or was
            granted before the store was restored.
        """
        era = _era_of_lease(lease)
        if era < self._eras.latest:
            return False
        answer = await self._call(
            'POST', f'/api/kv-keep/{_stored_lease(lease)}', None, _OK_OR_MISSING
        )
        return answer.status == HTTPStatus.OK and answer.era == era

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, and so remove the keys that are bound to it.

        One of an earlier era has ended; its identifier may be another one's.

        :param lease: Identifier of the lease.
        """
        if _era_of_lease(lease) < self._eras.latest:
            return
        path = quote(f'/api/kv-lease-end/{_stored_lease(lease)}')
        await self._call('DELETE', path, None, _OK_OR_MISSING)

    async def _call(
        self,
        method: str,
        path: str,
        body: object,
        accepted: frozenset[HTTPStatus],
        timeout: float = CALL_TIMEOUT,
    ) -> _Answer:
        response = await self._http.call(method, path, body, timeout)
        endpoint, status = str(self._http.address), response.status
        if status in _NOT_EXECUTED:
            raise PlatformDeclined(endpoint, status)
        if status not in accepted:
            raise PlatformRefused(endpoint, status)
        era = self._eras.read(endpoint, response.headers)
        return _Answer(endpoint, status, era, response.content)

    async def _read_range(self, prefix: str, after: str) -> _RangePage:
        query = urlencode({'prefix': prefix, 'after': after})
        answer = await self._call('GET', f'/api/kv-range?{query}', None, _OK)
        return answer.parse(_range_page)


def _missing(document: JsonFields, era: int) -> Snapshot:
    return Snapshot(_position(document, 'as_of', era, default=0), ())


def _single(document: JsonFields, era: int) -> Snapshot:
    _decode_value(document)
    value = _stored_value(document, era)
    return Snapshot(_position(document, 'as_of', era), (value,))


def _range_page(document: JsonFields, era: int) -> _RangePage:
    items = document.read_objects('items')
    return _RangePage(
        _position(document, 'as_of', era),
        tuple(_stored_value(one, era) for one in items),
        bool(document.read('has_more')),
    )


def _change_page(document: JsonFields, era: int) -> ChangePage:
    events = document.read_objects('events')
    changes = tuple(_change(one, era) for one in events)
    return ChangePage(_position(document, 'as_of', era), changes)


def _success(document: JsonFields, era: int) -> SwapResult:
    revision = _position(document, 'revision', era, least=1)
    return SwapResult(succeeded=True, revision=revision)


def _lease(document: JsonFields, era: int) -> int:
    return _qualified_lease(document.integer('lease', 1), era)


def _stored_value(document: JsonFields, era: int) -> StoredValue:
    lease = document.integer('lease', default=NO_LEASE)
    return StoredValue(
        key=document.text('key'),
        value=_value(document),
        revision=_position(document, 'revision', era),
        lease=_qualified_lease(lease, era) if lease else NO_LEASE,
    )


def _change(event: JsonFields, era: int) -> Change:
    return Change(
        key=event.text('key'),
        value=None if event.has('deleted') else _value(event),
        revision=_position(event, 'revision', era),
    )


def _position(document: JsonFields, name: str, era: int, **options: int) -> int:
    """Read a revision, and combine it with the era of the response."""
    revision = document.integer(name, greatest=_GREATEST_REVISION, **options)
    return make_position(era, revision)


def _qualified_lease(lease: int, era: int) -> int:
    return (era << _LEASE_BITS) | lease


def _era_of_lease(lease: int) -> int:
    return lease >> _LEASE_BITS


def _stored_lease(lease: int) -> int:
    """Return the store's identifier of a qualified lease."""
    return lease & ((1 << _LEASE_BITS) - 1)


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
        'lease': _stored_lease(write.lease),
    }
