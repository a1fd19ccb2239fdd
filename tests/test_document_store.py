"""Versions of replicated documents and their exchange between peers."""

from __future__ import annotations

from contextlib import AsyncExitStack

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodmast.document_exchange import DocumentExchange
from dogwoodmast.document_store import Document, DocumentStore, DocumentVersion
from dogwoodmast.frames import PROTOCOL_VERSION, Hello
from dogwoodmast.link_pool import LinkPool, serve_links
from dogwoodmast.message_handlers import MessageHandlers
from fleet import free_addresses

versions = st.builds(
    DocumentVersion,
    term=st.integers(0, 2),
    rank=st.integers(-2, 0),
    number=st.integers(0, 3),
)
documents = st.builds(
    Document,
    name=st.sampled_from(('configuration', 'zones/pikine', 'holders/pikine')),
    version=versions,
    content=st.binary(max_size=2),
)


def make_document(name: str, number: int) -> Document:
    """Make a document whose content is its version number."""
    version = DocumentVersion(0, 0, number)
    return Document(name, version, str(number).encode())


@given(st.lists(documents))
def test_versions_only_increase(received: list[Document]) -> None:
    """A document store never replaces a version by an older one.

    Guards against an outdated document that arrives late, or after a newer
    one, and takes effect.
    """
    store = DocumentStore()
    for document in received:
        before = store.versions()
        is_merged = store.merge(document)
        after = store.versions()
        assert is_merged == (before.get(document.name) != document.version) or (
            not is_merged
        )
        assert all(after[name] >= version for name, version in before.items())
        assert after[document.name] >= document.version


@given(st.lists(documents), st.lists(documents))
def test_newer_than_makes_stores_equal(
    first_documents: list[Document], second_documents: list[Document]
) -> None:
    """Two stores are equal after each has sent its newer documents.

    Guards against a document that is never transferred, so that two peers
    keep different versions, and against equal stores whose digests differ.
    """
    first, second = DocumentStore(), DocumentStore()
    for document in first_documents:
        first.merge(document)
    for document in second_documents:
        second.merge(document)
    for document in first.newer_than(second.versions()):
        second.merge(document)
    for document in second.newer_than(first.versions()):
        first.merge(document)
    assert first.versions() == second.versions()
    assert first.digest == second.digest


@pytest.mark.anyio
async def test_pull_transfers_documents_both_ways() -> None:
    """One pull transfers the newer documents in both directions.

    Guards against a pull that only fetches, so that the peer keeps its older
    documents, against missed notifications of subscribers, and against a
    pull from an unreachable peer that is reported as successful.
    """
    address = free_addresses(1)[0]
    hello = Hello('pikine-1', 'pikine', 'incarnation', PROTOCOL_VERSION)
    handlers = MessageHandlers()
    async with AsyncExitStack() as stack:
        pool = await stack.enter_async_context(LinkPool(hello, handlers))
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        server = DocumentExchange(DocumentStore(), pool)
        server.register(handlers)
        await tasks.start(serve_links, address, handlers)
        client = DocumentExchange(DocumentStore(), pool)
        notifications: list[int] = []
        client.subscribe(lambda: notifications.append(1))
        server.merge([make_document('configuration', 5)])
        client.merge([make_document('configuration', 4)])
        client.merge([make_document('zones/pikine', 2)])
        assert await client.pull(address)
        assert client.store.versions() == server.store.versions()
        assert client.store.find('configuration') == make_document(
            'configuration', 5
        )
        assert len(notifications) == 3
        assert not await client.pull(free_addresses(1)[0])
