"""Messages that compare and transfer versioned documents.

Their fields are those of the structs in ``idl/knowledge.thrift``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast._wire import wire_message
from dogwoodmast.document_store import Document, DocumentVersion

if TYPE_CHECKING:
    from collections.abc import Iterable


@wire_message('knowledge')
@attrs.frozen
class KnownVersion:
    """Version of one document in the sender's store."""

    name: str
    """Name of the document."""
    term: int
    """Term of the document's version."""
    rank: int
    """Rank of the document's version."""
    number: int
    """Number of the document's version."""

    @property
    def version(self) -> DocumentVersion:
        """Version composed of term, rank and number."""
        return DocumentVersion(self.term, self.rank, self.number)


@wire_message('knowledge')
@attrs.frozen
class DocumentCopy:
    """Document in the form in which it is sent to peers."""

    name: str
    """Name of the document."""
    term: int
    """Term of the document's version."""
    rank: int
    """Rank of the document's version."""
    number: int
    """Number of the document's version."""
    content: bytes
    """JSON document; empty for an order that was deleted."""

    @property
    def document(self) -> Document:
        """Document with the version composed of term, rank and number."""
        version = DocumentVersion(self.term, self.rank, self.number)
        return Document(self.name, version, self.content)


@wire_message('knowledge')
@attrs.frozen
class CompareDigest:
    """Request to compare the digests of two document stores."""

    digest: int
    """Digest of the sender's store."""


@wire_message('knowledge')
@attrs.frozen
class DigestAnswer:
    """Answer to :class:`CompareDigest`."""

    same: bool
    """Whether the digests are equal, so that nothing has to be exchanged."""


@wire_message('knowledge')
@attrs.frozen
class PullDocuments:
    """Request for documents that are newer than the sender's."""

    versions: tuple[KnownVersion, ...]
    """Versions of all documents in the sender's store."""


@wire_message('knowledge')
@attrs.frozen
class PulledDocuments:
    """Answer to :class:`PullDocuments`."""

    documents: tuple[DocumentCopy, ...]
    """Documents that are newer at the answering peer."""
    wanted: tuple[str, ...]
    """Names of documents that are newer at the pulling peer."""


@wire_message('knowledge')
@attrs.frozen
class OfferDocuments:
    """Transfer of documents that the receiver named as wanted."""

    documents: tuple[DocumentCopy, ...]
    """Documents that were newer at the sender."""


@wire_message('knowledge')
@attrs.frozen
class OfferAccepted:
    """Answer to :class:`OfferDocuments`."""

    learned: int
    """Number of documents that were newer than the receiver's."""


def pack_versions(
    versions: dict[str, DocumentVersion],
) -> tuple[KnownVersion, ...]:
    """Convert document versions to their wire form.

    :param versions: Version per document name.
    :return: One wire struct per document.
    """
    return tuple(
        KnownVersion(name, version.term, version.rank, version.number)
        for name, version in versions.items()
    )


def pack_documents(
    documents: Iterable[Document],
) -> tuple[DocumentCopy, ...]:
    """Convert documents to their wire form.

    :param documents: Documents to send to a peer.
    :return: One wire struct per document.
    """
    return tuple(
        DocumentCopy(
            document.name,
            document.version.term,
            document.version.rank,
            document.version.number,
            document.content,
        )
        for document in documents
    )
