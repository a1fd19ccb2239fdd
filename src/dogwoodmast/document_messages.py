"""Messages that compare and transfer versioned documents."""

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
    """Version of one document that the sender knows."""

    name: str
    """Name of the document."""
    term: int
    """Term of its version."""
    rank: int
    """Rank of its version."""
    number: int
    """Number of its version."""

    @property
    def version(self) -> DocumentVersion:
        """The version."""
        return DocumentVersion(self.term, self.rank, self.number)


@wire_message('knowledge')
@attrs.frozen
class DocumentCopy:
    """One document."""

    name: str
    """Name of the document."""
    term: int
    """Term of its version."""
    rank: int
    """Rank of its version."""
    number: int
    """Number of its version."""
    content: bytes
    """Content."""

    @property
    def document(self) -> Document:
        """The document."""
        version = DocumentVersion(self.term, self.rank, self.number)
        return Document(self.name, version, self.content)


@wire_message('knowledge')
@attrs.frozen
class CompareDigest:
    """Ask whether a peer knows the same."""

    digest: int
    """Digest of what the sender knows."""


@wire_message('knowledge')
@attrs.frozen
class DigestAnswer:
    """Answer to a comparison."""

    same: bool
    """Whether the digests are equal."""


@wire_message('knowledge')
@attrs.frozen
class PullDocuments:
    """Ask for what is newer than the sender's knowledge."""

    versions: tuple[KnownVersion, ...]
    """Every version that the sender knows."""


@wire_message('knowledge')
@attrs.frozen
class PulledDocuments:
    """Answer to a pull."""

    documents: tuple[DocumentCopy, ...]
    """Documents that are newer than what the asker knows."""
    wanted: tuple[str, ...]
    """Names of documents of which the asker knows newer versions."""


@wire_message('knowledge')
@attrs.frozen
class OfferDocuments:
    """Give documents to a peer that wants them."""

    documents: tuple[DocumentCopy, ...]
    """The documents."""


@wire_message('knowledge')
@attrs.frozen
class OfferAccepted:
    """Answer to an offer."""

    learned: int
    """Number of documents that were news."""


def pack_versions(
    versions: dict[str, DocumentVersion],
) -> tuple[KnownVersion, ...]:
    """Wrap versions for a peer.

    :param versions: Version per name.
    :return: The messages.
    """
    return tuple(
        KnownVersion(name, version.term, version.rank, version.number)
        for name, version in versions.items()
    )


def pack_documents(
    documents: Iterable[Document],
) -> tuple[DocumentCopy, ...]:
    """Wrap documents for a peer.

    :param documents: The documents.
    :return: The messages.
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
