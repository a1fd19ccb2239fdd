"""Responses of the store that cannot be read."""

from __future__ import annotations

import base64
import json
import types
from typing import Any

import pytest

from dogwoodmast.address import Address
from dogwoodmast.clock import SystemClock
from dogwoodmast.direct.json_client import JsonClient, JsonResponse
from dogwoodmast.errors import HistoryLost, PlatformAnswerLost
from dogwoodmast.platform.store import MetadataStore

pytestmark = pytest.mark.anyio
HUGE = 18_446_744_073_709_551_615
"""Greatest whole number that the JSON parser keeps."""
GOOD = base64.b64encode(b'good').decode()
"""Value of a sound item."""

CALLS: types.MappingProxyType[str, Any] = types.MappingProxyType(
    {
        'read': lambda store: store.read('k'),
        'prefix': lambda store: store.read_prefix(''),
        'changes': lambda store: store.read_changes('', 1, 0, 1),
        'swap': lambda store: store.swap((), ()),
        'lease': lambda store: store.grant_lease(3),
    }
)
"""Calls of the client by name."""


def make_store(
    monkeypatch: pytest.MonkeyPatch, status: int, body: object
) -> MetadataStore:
    """Make a client of a store that gives one response to all calls.

    :param monkeypatch: Fixture that replaces the HTTP client.
    :param status: HTTP status.
    :param body: Bytes, or a document.
    :return: The client.
    """
    content = body if isinstance(body, bytes) else json.dumps(body).encode()

    async def call(*_args: object) -> JsonResponse:
        return JsonResponse(status, [], content)

    monkeypatch.setattr(JsonClient, 'call', call)
    return MetadataStore(Address('127.0.0.1', 1), SystemClock())


def make_item(key: str, value: object, revision: object = 3) -> dict[str, Any]:
    """Make an item of a response.

    :param key: Key.
    :param value: Value, as the store sends it.
    :param revision: Revision of its last change.
    :return: Part of the document.
    """
    return {'key': key, 'value': value, 'revision': revision, 'lease': 0}


@pytest.mark.parametrize('call', CALLS)
@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'<html>',
        b'\xff',
        b'[]',
        b'7',
        b'[' * 3000,
        {},
        {'as_of': None, 'items': [], 'events': [], 'has_more': False},
        {'as_of': HUGE, 'items': [], 'events': [], 'has_more': False},
        {'as_of': 'x', 'revision': HUGE, 'lease': 'x'},
        {'as_of': 1, 'items': 5, 'events': {}, 'has_more': False},
        {'as_of': 1, 'items': [5], 'events': [None], 'has_more': False},
        {'as_of': 1, 'items': [{}], 'events': [{}], 'has_more': False},
        {
            **make_item('k', '%'),
            'as_of': 1,
            'items': [make_item('k', GOOD, -1)],
            'events': [make_item('k', GOOD, HUGE)],
            'revision': 0,
            'has_more': False,
        },
    ],
)
async def test_unreadable_response_counts_as_lost(
    monkeypatch: pytest.MonkeyPatch, call: str, body: object
) -> None:
    """It raised ``KeyError`` and the like out of the task that reads."""
    with pytest.raises(PlatformAnswerLost):
        await CALLS[call](make_store(monkeypatch, 200, body))


@pytest.mark.parametrize('odd', ['%', 'Zg', 'é', 5, None, ['Zg==']])
async def test_item_that_is_not_base64_does_not_hide_the_others(
    monkeypatch: pytest.MonkeyPatch, odd: object
) -> None:
    """The rest of the list goes on being followed."""
    found = [make_item('a', odd), make_item('b', GOOD)]
    body = {'as_of': 4, 'items': found, 'events': found, 'has_more': False}
    store = make_store(monkeypatch, 200, body)
    snapshot = await store.read_prefix('')
    page = await store.read_changes('', 1, 0, 1)
    assert [one.value for one in snapshot.values] == [b'', b'good']
    assert [one.value for one in page.changes] == [b'', b'good']
    assert (snapshot.revision, page.revision) == (4, 4)


@pytest.mark.parametrize('body', [b'', b'<html>'])
async def test_status_alone_tells_what_needs_no_body(
    monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    """A refusal without a document is a refusal all the same."""
    assert not await make_store(monkeypatch, 404, body).renew_lease(5)
    assert not (await make_store(monkeypatch, 412, body).swap((), ())).succeeded
    with pytest.raises(HistoryLost):
        await make_store(monkeypatch, 410, body).read_changes('', 1, 0, 1)
