"""Exchange of versioned documents with peers over links."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.document_messages import (
    CompareDigest,
    DigestAnswer,
    OfferAccepted,
    OfferDocuments,
    PullDocuments,
    PulledDocuments,
    pack_documents,
    pack_versions,
)
from dogwoodmast.document_store import Document, DocumentStore
from dogwoodmast.errors import LinkError, MalformedFrame
from dogwoodmast.events import Event, log_event
from dogwoodmast.link_pool import LinkPool

if TYPE_CHECKING:
    from dogwoodmast.address import Address
    from dogwoodmast.link import Link
    from dogwoodmast.message_handlers import MessageHandlers

PULL_TIMEOUT = 2.0
"""Time allowed for one comparison with a peer, in seconds."""

ChangeListener = Callable[[], None]
"""Called after new documents were learned."""


@attrs.define(eq=False)
class DocumentExchange:
    """Keeps a knowledge base level with those of peers."""

    _store: DocumentStore
    _links: LinkPool
    _listeners: list[ChangeListener] = attrs.field(factory=list)

    @property
    def store(self) -> DocumentStore:
        """What this entry VM knows."""
        return self._store

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handlers of peers' messages.

        :param handlers: Collection to add them to.
        """
        handlers.register(CompareDigest, self.on_compare_digest)
        handlers.register(PullDocuments, self.on_pull_documents)
        handlers.register(OfferDocuments, self.on_offer_documents)

    def subscribe(self, listener: ChangeListener) -> None:
        """Have a listener called after each change.

        :param listener: The listener.
        """
        self._listeners.append(listener)

    def merge(self, documents: Iterable[Document]) -> int:
        """Take in documents that are newer than what is known.

        :param documents: The documents.
        :return: Number of documents that were news.
        """
        learned = sum(self._store.merge(document) for document in documents)
        if learned:
            for listener in self._listeners:
                listener()
        return learned

    async def pull(self, address: Address) -> bool:
        """Compare with a peer and pass on what either lacks.

        :param address: Link address of the peer.
        :return: Whether the peer answered.
        """
        try:
            with anyio.fail_after(PULL_TIMEOUT):
                await self._compare(address)
        except (LinkError, TimeoutError) as error:
            log_event(Event.PULL_FAILED, peer=str(address), reason=str(error))
            return False
        return True

    async def on_compare_digest(
        self, _link: Link, message: CompareDigest
    ) -> DigestAnswer:
        """Compare a peer's digest.

        :param message: The peer's digest.
        :return: Whether it is the same here.
        """
        return DigestAnswer(message.digest == self._store.digest)

    async def on_pull_documents(
        self, _link: Link, message: PullDocuments
    ) -> PulledDocuments:
        """Answer a peer's pull.

        :param message: Versions that the peer knows.
        :return: What it lacks, and the names of what is lacked here.
        """
        versions = {known.name: known.version for known in message.versions}
        wanted = tuple(
            name
            for name, version in versions.items()
            if self._store.is_newer(name, version)
        )
        newer = self._store.newer_than(versions)
        return PulledDocuments(pack_documents(newer), wanted)

    async def on_offer_documents(
        self, _link: Link, message: OfferDocuments
    ) -> OfferAccepted:
        """Take in what a peer offers.

        :param message: The documents.
        :return: Number of documents that were news.
        """
        return OfferAccepted(
            self.merge(copy.document for copy in message.documents)
        )

    async def _compare(self, address: Address) -> None:
        answer = await self._links.call(
            address, CompareDigest(self._store.digest)
        )
        if isinstance(answer, DigestAnswer) and answer.same:
            return
        versions = pack_versions(self._store.versions())
        pulled = await self._links.call(address, PullDocuments(versions))
        if not isinstance(pulled, PulledDocuments):
            raise MalformedFrame('unexpected answer to a pull')
        self.merge(copy.document for copy in pulled.documents)
        await self._offer(address, pulled.wanted)

    async def _offer(self, address: Address, wanted: tuple[str, ...]) -> None:
        found = [self._store.find(name) for name in wanted]
        documents = [document for document in found if document is not None]
        if documents:
            offer = OfferDocuments(pack_documents(documents))
            await self._links.call(address, offer)
