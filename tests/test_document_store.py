"""Knowledge never reverts and spreads over links."""

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
    """Make a document whose content tells its version."""
    version = DocumentVersion(0, 0, number)
    return Document(name, version, str(number).encode())


@given(st.lists(documents))
def test_versions_only_grow(arrivals: list[Document]) -> None:
    """Whatever arrives in whatever order, no version goes back."""
    store = DocumentStore()
    for document in arrivals:
        before = store.versions()
        learned = store.merge(document)
        after = store.versions()
        assert learned == (before.get(document.name) != document.version) or (
            not learned
        )
        assert all(after[name] >= version for name, version in before.items())
        assert after[document.name] >= document.version


@given(st.lists(documents), st.lists(documents))
def test_newer_than_levels_two_bases(
    ours: list[Document], theirs: list[Document]
) -> None:
    """Passing on what is newer leaves both with the greatest versions."""
    first, second = DocumentStore(), DocumentStore()
    for document in ours:
        first.merge(document)
    for document in theirs:
        second.merge(document)
    for document in first.newer_than(second.versions()):
        second.merge(document)
    for document in second.newer_than(first.versions()):
        first.merge(document)
    assert first.versions() == second.versions()
    assert first.digest == second.digest


@pytest.mark.anyio
async def test_pull_levels_both_peers() -> None:
    """One pull passes news both ways."""
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
        news: list[int] = []
        client.subscribe(lambda: news.append(1))
        server.merge([make_document('configuration', 5)])
        client.merge([make_document('configuration', 4)])
        client.merge([make_document('zones/pikine', 2)])
        assert await client.pull(address)
        assert client.store.versions() == server.store.versions()
        assert client.store.find('configuration') == make_document(
            'configuration', 5
        )
        assert len(news) == 3
        assert not await client.pull(free_addresses(1)[0])
