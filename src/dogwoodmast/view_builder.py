"""Parsing of replicated documents into records and routing views."""

from __future__ import annotations

from typing import TypeVar

import attrs

from dogwoodmast._documents import load_document
from dogwoodmast.configuration import Configuration
from dogwoodmast.document_store import (
    CONFIGURATION_NAME,
    Document,
    DocumentStore,
    DocumentVersion,
)
from dogwoodmast.ownership import HolderTable, HomeRecord, ZoneRecord
from dogwoodmast.routing import Leaseholder, RoutingView

HOME_DOCUMENT_PREFIX = 'homes/'
"""Prefix of the document names of home records."""
ZONE_DOCUMENT_PREFIX = 'zones/'
"""Prefix of the document names of zone records."""
HOLDER_DOCUMENT_PREFIX = 'holders/'
"""Prefix of the document names of holder tables."""

_Record = TypeVar('_Record')


@attrs.define
class ViewBuilder:
    """Parses documents and caches the result per document version."""

    _store: DocumentStore
    _parsed: dict[str, tuple[DocumentVersion, object]] = attrs.field(
        factory=dict
    )

    def configuration(self) -> Configuration | None:
        """Parse the configuration in force.

        :return: Configuration, or ``None`` if none has been received.
        """
        document = self._store.find(CONFIGURATION_NAME)
        if document is None:
            return None
        return self._parse(document, Configuration)

    def zone_record(self, zone: str) -> ZoneRecord | None:
        """Parse the record of a zone.

        :param zone: Name of the availability zone.
        :return: Zone record, or ``None`` if none has been received.
        """
        document = self._store.find(f'{ZONE_DOCUMENT_PREFIX}{zone}')
        if document is None:
            return None
        return self._parse(document, ZoneRecord)

    def holder_tables(self) -> dict[str, HolderTable]:
        """Parse the holder tables of all zones.

        :return: Holder table per zone name.
        """
        tables = self._parse_all(HOLDER_DOCUMENT_PREFIX, HolderTable)
        return {table.zone: table for table in tables}

    def build(self) -> RoutingView | None:
        """Combine all received documents into a routing view.

        :return: Routing view, or ``None`` if no configuration has been
            received.
        :raises ConfigurationError: If a document is not valid.
        """
        configuration = self.configuration()
        if configuration is None:
            return None
        homes = self._parse_all(HOME_DOCUMENT_PREFIX, HomeRecord)
        records = self._parse_all(ZONE_DOCUMENT_PREFIX, ZoneRecord)
        holders = {
            target: Leaseholder(member.vm, member.address)
            for table in self.holder_tables().values()
            for target, member in table.holders.items()
        }
        return RoutingView(
            configuration=configuration,
            homes={record.service: record for record in homes},
            zones={record.zone: record for record in records},
            holders=holders,
        )

    def _parse_all(
        self, prefix: str, cls: type[_Record]
    ) -> tuple[_Record, ...]:
        return tuple(
            self._parse(document, cls)
            for document in self._store.with_prefix(prefix)
        )

    def _parse(self, document: Document, cls: type[_Record]) -> _Record:
        cached = self._parsed.get(document.name)
        if cached is not None and cached[0] == document.version:
            parsed = cached[1]
        else:
            parsed = load_document(document.content, cls)
            self._parsed[document.name] = (document.version, parsed)
        assert isinstance(parsed, cls)
        return parsed
