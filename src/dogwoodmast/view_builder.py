"""Builder of routing views from versioned documents."""

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

HOME_NAMES = 'homes/'
"""Beginning of the names of home records."""
ZONE_NAMES = 'zones/'
"""Beginning of the names of zone records."""
HOLDER_NAMES = 'holders/'
"""Beginning of the names of holder tables."""

_Parsed = TypeVar('_Parsed')


@attrs.define
class ViewBuilder:
    """Builds routing views and reads each document only once."""

    _store: DocumentStore
    _parsed: dict[str, tuple[DocumentVersion, object]] = attrs.field(
        factory=dict
    )

    def configuration(self) -> Configuration | None:
        """Read the configuration in force.

        :return: The configuration, or ``None`` if none is known.
        """
        document = self._store.find(CONFIGURATION_NAME)
        if document is None:
            return None
        return self._parse(document, Configuration)

    def zone_record(self, zone: str) -> ZoneRecord | None:
        """Read the record of a zone.

        :param zone: Availability zone.
        :return: The record, or ``None`` if none is known.
        """
        document = self._store.find(f'{ZONE_NAMES}{zone}')
        if document is None:
            return None
        return self._parse(document, ZoneRecord)

    def holder_tables(self) -> dict[str, HolderTable]:
        """Read the holder tables.

        :return: Table per zone.
        """
        tables = self._parse_all(HOLDER_NAMES, HolderTable)
        return {table.zone: table for table in tables}

    def build(self) -> RoutingView | None:
        """Build a view of all that is known.

        :return: The view, or ``None`` before any configuration.
        """
        configuration = self.configuration()
        if configuration is None:
            return None
        homes = self._parse_all(HOME_NAMES, HomeRecord)
        records = self._parse_all(ZONE_NAMES, ZoneRecord)
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
        self, prefix: str, cls: type[_Parsed]
    ) -> tuple[_Parsed, ...]:
        return tuple(
            self._parse(document, cls)
            for document in self._store.with_prefix(prefix)
        )

    def _parse(self, document: Document, cls: type[_Parsed]) -> _Parsed:
        known = self._parsed.get(document.name)
        if known is not None and known[0] == document.version:
            parsed = known[1]
        else:
            parsed = load_document(document.content, cls)
            self._parsed[document.name] = (document.version, parsed)
        assert isinstance(parsed, cls)
        return parsed
