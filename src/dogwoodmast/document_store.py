"""Versioned documents that entry VMs pass on to each other.

Each document has a version that only grows.  A base takes in a document
only if its version is greater than the one that it has, so that knowledge
never reverts, whatever order it arrives in and whoever it comes from.
"""

from __future__ import annotations

import attrs
import xxhash

CONFIGURATION_NAME = 'configuration'
"""Name of the document of the configuration in force."""


@attrs.frozen(order=True)
class DocumentVersion:
    """Version of a document, compared field by field."""

    term: int
    """Term of the writer; zero where the platform orders the versions."""
    rank: int
    """Rank of the coordinator's authority; a higher one prevails."""
    number: int
    """Number within term and rank."""


NO_VERSION = DocumentVersion(-1, 0, 0)
"""Version of a document that is not known."""


@attrs.frozen
class Document:
    """A versioned document."""

    name: str
    """Name, such as ``configuration`` or ``zones/pikine``."""
    version: DocumentVersion
    """Version."""
    content: bytes
    """Content as a JSON document."""


@attrs.define
class DocumentStore:
    """All documents that one entry VM knows."""

    _documents: dict[str, Document] = attrs.field(factory=dict)
    _digest: int | None = None

    @property
    def digest(self) -> int:
        """Hash over the names and versions of all documents."""
        if self._digest is None:
            state = repr(sorted(self.versions().items()))
            self._digest = xxhash.xxh3_64_intdigest(state.encode()) >> 1
        return self._digest

    def versions(self) -> dict[str, DocumentVersion]:
        """List the version of each document.

        :return: Version per name.
        """
        return {
            name: document.version for name, document in self._documents.items()
        }

    def find(self, name: str) -> Document | None:
        """Find a document.

        :param name: Name of the document.
        :return: The document, or ``None`` if it is not known.
        """
        return self._documents.get(name)

    def with_prefix(self, prefix: str) -> tuple[Document, ...]:
        """Select the documents whose names begin with a prefix.

        :param prefix: Beginning of the names.
        :return: The documents.
        """
        return tuple(
            document
            for name, document in self._documents.items()
            if name.startswith(prefix)
        )

    def is_newer(self, name: str, version: DocumentVersion) -> bool:
        """Tell whether a version is newer than what is known.

        :param name: Name of the document.
        :param version: Version to compare.
        :return: ``True`` if it is newer, or the document is not known.
        """
        known = self._documents.get(name)
        return known is None or version > known.version

    def merge(self, document: Document) -> bool:
        """Take in a document if it is newer than what is known.

        :param document: The document.
        :return: Whether it was newer.
        """
        if not self.is_newer(document.name, document.version):
            return False
        self._documents[document.name] = document
        self._digest = None
        return True

    def newer_than(
        self, versions: dict[str, DocumentVersion]
    ) -> tuple[Document, ...]:
        """Select what a peer does not know yet.

        :param versions: Version per name that the peer knows.
        :return: Documents that are newer.
        """
        return tuple(
            document
            for name, document in self._documents.items()
            if document.version > versions.get(name, NO_VERSION)
        )
