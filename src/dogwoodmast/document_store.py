"""Versioned documents that entry VMs replicate among each other.

The documents hold the configuration, home records, zone records, holder
tables and operators' orders.  A store replaces a document only by a greater
version of it.  Replicas therefore never revert to older content, whatever
the order in which documents arrive and whichever peer sends them.
"""

from __future__ import annotations

import attrs
import xxhash

CONFIGURATION_NAME = 'configuration'
"""Name of the document of the configuration in force."""


@attrs.frozen(order=True)
class DocumentVersion:
    """Version of a document, ordered by term, then rank, then number.

    Versions of holder tables contain the epoch of the coordinator that
    published them.  All other documents come from the platform, which orders
    their versions: their term and rank are zero.
    """

    term: int
    """Term of the coordinator's epoch."""
    rank: int
    """Rank of the coordinator's epoch within the term."""
    number: int
    """Number of the version within its term and rank."""


NO_VERSION = DocumentVersion(-1, 0, 0)
"""Version that is smaller than that of any document."""


@attrs.frozen
class Document:
    """A version of a replicated document."""

    name: str
    """Name of the document, such as ``configuration`` or ``zones/pikine``."""
    version: DocumentVersion
    """Version of this content."""
    content: bytes
    """JSON document; empty for an order that was deleted."""


@attrs.define
class DocumentStore:
    """Latest version of each document that one entry VM has received."""

    _documents: dict[str, Document] = attrs.field(factory=dict)
    _digest: int | None = None

    @property
    def digest(self) -> int:
        """Hash of the names and versions of all documents, a 63-bit integer.

        Two stores with equal digests are taken to hold the same documents.
        """
        if self._digest is None:
            state = repr(sorted(self.versions().items()))
            self._digest = xxhash.xxh3_64_intdigest(state.encode()) >> 1
        return self._digest

    def versions(self) -> dict[str, DocumentVersion]:
        """Return the version of each document.

        :return: Version per document name.
        """
        return {
            name: document.version for name, document in self._documents.items()
        }

    def find(self, name: str) -> Document | None:
        """Find a document by its name.

        :param name: Name of the document.
        :return: Latest version of the document, or ``None`` if none has been
            received.
        """
        return self._documents.get(name)

    def with_prefix(self, prefix: str) -> tuple[Document, ...]:
        """Select the documents whose names begin with a prefix.

        :param prefix: Prefix of the names, such as ``zones/``.
        :return: Matching documents, in no particular order.
        """
        return tuple(
            document
            for name, document in self._documents.items()
            if name.startswith(prefix)
        )

    def is_newer(self, name: str, version: DocumentVersion) -> bool:
        """Tell whether a version is newer than the stored one.

        :param name: Name of the document.
        :param version: Version to compare.
        :return: ``True`` if it is newer or the document is not stored.
        """
        stored = self._documents.get(name)
        return stored is None or version > stored.version

    def merge(self, document: Document) -> bool:
        """Store a document unless the stored version is as new or newer.

        :param document: Document from a peer or from the platform.
        :return: ``True`` if the document was stored.
        """
        if not self.is_newer(document.name, document.version):
            return False
        self._documents[document.name] = document
        self._digest = None
        return True

    def newer_than(
        self, versions: dict[str, DocumentVersion]
    ) -> tuple[Document, ...]:
        """Select the documents that a peer lacks or has in older versions.

        :param versions: Version per document name that the peer has.
        :return: Documents with newer versions than the peer's.
        """
        return tuple(
            document
            for name, document in self._documents.items()
            if document.version > versions.get(name, NO_VERSION)
        )
