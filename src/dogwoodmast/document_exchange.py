"""Replication of versioned documents between entry VMs over links.

A pull compares the digests of two stores.  If they differ, the puller sends
its versions, receives the documents that are newer at the peer, and sends
those that are newer here.
"""

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
"""Time-out of one pull, including all of its messages, in seconds."""

ChangeListener = Callable[[], None]
"""Callback that runs after newer documents were stored."""


@attrs.define(eq=False)
class DocumentExchange:
    """Exchanges documents with peers until both have the newest versions."""

    _store: DocumentStore
    _links: LinkPool
    _listeners: list[ChangeListener] = attrs.field(factory=list)

    @property
    def store(self) -> DocumentStore:
        """Document store of this entry VM."""
        return self._store

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handlers of peers' messages.

        :param handlers: Registry of message handlers.
        """
        handlers.register(CompareDigest, self.on_compare_digest)
        handlers.register(PullDocuments, self.on_pull_documents)
        handlers.register(OfferDocuments, self.on_offer_documents)

    def subscribe(self, listener: ChangeListener) -> None:
        """Call a listener whenever newer documents were stored.

        :param listener: Callback; listeners run in the order in which they
            were subscribed.
        """
        self._listeners.append(listener)

    def merge(self, documents: Iterable[Document]) -> int:
        """Store the newer ones of some documents and notify the listeners.

        :param documents: Documents from a peer, from the platform or from
            this entry VM.
        :return: Number of documents that were newer than the stored ones.
        """
        stored = sum(self._store.merge(document) for document in documents)
        if stored:
            for listener in self._listeners:
                listener()
        return stored

    async def pull(self, address: Address) -> bool:
        """Exchange documents with a peer, in both directions.

        :param address: Link address of the peer.
        :return: ``False`` if the exchange failed or timed out.
        """
        try:
            with anyio.fail_after(PULL_TIMEOUT):
                await self._synchronize(address)
        except (LinkError, TimeoutError) as error:
            log_event(Event.PULL_FAILED, peer=str(address), reason=str(error))
            return False
        return True

    async def on_compare_digest(
        self, _link: Link, message: CompareDigest
    ) -> DigestAnswer:
        """Compare the digest of a peer's store with the own one.

        :param message: Digest of the peer's store.
        :return: Answer that tells whether the digests are equal.
        """
        return DigestAnswer(message.digest == self._store.digest)

    async def on_pull_documents(
        self, _link: Link, message: PullDocuments
    ) -> PulledDocuments:
        """Select the documents to exchange with a peer that pulls.

        :param message: Versions of the documents in the peer's store.
        :return: Documents that are newer here, and the names of those that
            are newer at the peer.
        """
        versions = {entry.name: entry.version for entry in message.versions}
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
        """Store the newer ones of the documents that a peer sends.

        :param message: Documents that this store was found to lack.
        :return: Number of documents that were stored.
        """
        return OfferAccepted(
            self.merge(copy.document for copy in message.documents)
        )

    async def _synchronize(self, address: Address) -> None:
        answer = await self._links.call(
            address, CompareDigest(self._store.digest)
        )
        if isinstance(answer, DigestAnswer) and answer.same:
            return
        versions = pack_versions(self._store.versions())
        pulled = await self._links.call(address, PullDocuments(versions))
        if not isinstance(pulled, PulledDocuments):
            raise MalformedFrame('unexpected answer to PullDocuments')
        self.merge(copy.document for copy in pulled.documents)
        await self._send_wanted(address, pulled.wanted)

    async def _send_wanted(
        self, address: Address, wanted: tuple[str, ...]
    ) -> None:
        candidates = [self._store.find(name) for name in wanted]
        documents = [
            document for document in candidates if document is not None
        ]
        if documents:
            offer = OfferDocuments(pack_documents(documents))
            await self._links.call(address, offer)
