"""Validating readers for the tables of input files.

A mistake does not stop the reading: it is collected, and ``None`` or an
empty table stands in for the invalid value, so that all mistakes of a file
are reported at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast.input_checks import check_value, describe_type
from dogwoodmast.input_errors import (
    EmptyList,
    InvalidInput,
    MissingTable,
    MissingValue,
    Mistake,
    Place,
    UnknownKey,
    WrongType,
)
from dogwoodmast.toml_source import KeyPath, TomlSource, format_path

if TYPE_CHECKING:
    from dogwoodmast.input_rules import Rule


class _Required:
    """Type of the sentinel :data:`REQUIRED`."""


REQUIRED = _Required()
"""Sentinel passed as default of a value that must be present."""


@attrs.define
class MistakeLog:
    """Collector of the mistakes found in one input document."""

    document: dict[str, Any]
    """Root table of the parsed document."""
    source: TomlSource | None = None
    """TOML text of the document, or ``None`` if it has no lines."""
    _mistakes: list[Mistake] = attrs.field(factory=list)

    @property
    def mistakes(self) -> tuple[Mistake, ...]:
        """Collected mistakes, sorted by line number."""
        ordered = sorted(self._mistakes, key=lambda mistake: mistake.place.line)
        return tuple(ordered)

    def place(self, path: KeyPath) -> Place:
        """Locate a value in the input document.

        :param path: Key path of the value.
        :return: Place of the value; the line is zero without a TOML text.
        """
        if self.source is None:
            return Place(format_path(path, self.document), 0)
        return self.source.place(path)

    def add(self, mistake: Mistake, path: KeyPath) -> None:
        """Record a mistake and set its place.

        :param mistake: Mistake whose place is not set yet.
        :param path: Key path of the invalid value.
        """
        mistake.place = self.place(path)
        self._mistakes.append(mistake)

    def raise_if_any(self, name: str) -> None:
        """Raise the recorded mistakes as a group, if there are any.

        :param name: File name, used as the message of the group.
        :raises InvalidInput: If at least one mistake was recorded.
        """
        if self._mistakes:
            raise InvalidInput(name, self.mistakes)


@attrs.define
class TableReader:
    """Validating reader of one table.

    It records which keys are read; :meth:`finish` reports all others as
    unknown.
    """

    log: MistakeLog
    """Collector of the mistakes found in the table."""
    path: KeyPath
    """Key path of the table."""
    _table: dict[str, Any]
    _known: list[str] = attrs.field(factory=list)

    @property
    def keys(self) -> tuple[str, ...]:
        """Keys of the table, in its order."""
        return tuple(self._table)

    def path_of(self, key: str) -> KeyPath:
        """Return the key path of a value in this table.

        :param key: Key of the value.
        :return: Key path from the root of the document.
        """
        return (*self.path, key)

    def read(self, key: str, rule: Rule, default: Any = REQUIRED) -> Any:
        """Read and check a value.

        :param key: Key of the value.
        :param rule: Rule that the value must follow.
        :param default: Result if the key is absent; a key without default is
            mandatory.
        :return: Converted value, or ``None`` if a mistake was recorded.
        """
        self._known.append(key)
        if key not in self._table:
            if default is not REQUIRED:
                return default
            self.report(MissingValue(key, rule.expected))
            return None
        return self._check(rule, self._table[key], self.path_of(key))

    def read_list(self, key: str, rule: Rule, entry: str) -> tuple[Any, ...]:
        """Read and check a mandatory, non-empty list of values.

        :param key: Key of the list.
        :param rule: Rule that each entry must follow.
        :param entry: Noun for an entry, for messages.
        :return: Converted entries, with ``None`` for each invalid one.
        """
        expected = f'a list whose entries are each {rule.expected}'
        return tuple(
            self._check(rule, found, (*self.path_of(key), position))
            for position, found in enumerate(
                self._read_entries(key, expected, entry)
            )
        )

    def read_table(self, key: str, expected: str) -> TableReader:
        """Read a mandatory table.

        :param key: Key of the table.
        :param expected: Keys that the table must have, for messages.
        :return: Reader of the table.  After a mistake it reads an empty table
            and discards the mistakes that follow from it.
        """
        self._known.append(key)
        path = self.path_of(key)
        if key not in self._table:
            self.report(MissingTable(key, expected))
            return TableReader(_discarding_log(self.log), path, {})
        return self._make_reader(self._table[key], path, expected)

    def read_tables(self, key: str, expected: str) -> tuple[TableReader, ...]:
        """Read a mandatory, non-empty list of tables.

        :param key: Key of the list.
        :param expected: Noun for what a table describes, for messages.
        :return: One reader per entry.  For an entry that is not a table it
            reads an empty table and discards the mistakes that follow.
        """
        shape = f'a list of tables, one per {expected}'
        return tuple(
            self._make_reader(found, (*self.path_of(key), position), expected)
            for position, found in enumerate(
                self._read_entries(key, shape, expected)
            )
        )

    def allow(self, key: str) -> None:
        """Accept a key without reading it, so that it is not unknown.

        :param key: Optional key.
        """
        self._known.append(key)

    def has(self, key: str) -> bool:
        """Tell whether the table contains a key.

        :param key: Key to look for.
        :return: ``True`` if the key is present, even with an invalid value.
        """
        return key in self._table

    def report(self, mistake: Mistake, key: str | None = None) -> None:
        """Record a mistake in this table.

        :param mistake: Mistake whose place is not set yet.
        :param key: Key of the invalid value, or ``None`` if the mistake
            concerns the table as a whole.
        """
        path = self.path if key is None else self.path_of(key)
        self.log.add(mistake, path)

    def finish(self) -> None:
        """Record an unknown-key mistake for each key that was not read.

        Call it after the last key has been read or allowed.
        """
        for key in self._table:
            if key not in self._known:
                self.report(UnknownKey(key, tuple(self._known)), key)

    def _check(self, rule: Rule, found: Any, path: KeyPath) -> Any:
        try:
            return check_value(rule, found)
        except Mistake as mistake:
            self.log.add(mistake, path)
            return None

    def _read_entries(
        self, key: str, expected: str, entry: str
    ) -> tuple[Any, ...]:
        self._known.append(key)
        match self._table.get(key):
            case None:
                self.report(MissingValue(key, expected))
            case []:
                self.report(EmptyList(entry), key)
            case [*entries]:
                return tuple(entries)
            case found:
                self.report(WrongType(describe_type(found), expected), key)
        return ()

    def _make_reader(
        self, found: Any, path: KeyPath, expected: str
    ) -> TableReader:
        if isinstance(found, dict):
            return TableReader(self.log, path, found)
        self.log.add(
            WrongType(describe_type(found), f'a table ({expected})'), path
        )
        return TableReader(_discarding_log(self.log), path, {})


def _discarding_log(log: MistakeLog) -> MistakeLog:
    return MistakeLog(log.document)
