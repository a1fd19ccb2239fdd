"""Parsing and checking of questionnaires.

A questionnaire is a TOML file that a configuration is generated from.  It has
the structure of the configuration, but values with a default may be left out.
Configuration documents are therefore checked by the same code.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast._documents import converter
from dogwoodmast.configuration import Configuration, Service, Target, Zone
from dogwoodmast.input_errors import (
    Duplicate,
    InvalidInput,
    InvalidToml,
    UnreadableFile,
)
from dogwoodmast.input_rules import Name, Text
from dogwoodmast.questionnaire_mistakes import Caution
from dogwoodmast.questionnaire_service import read_service
from dogwoodmast.table_reader import MistakeLog, TableReader
from dogwoodmast.toml_source import KeyPath, TomlSource

if TYPE_CHECKING:
    import pathlib

FirstUses = dict[tuple[str, str], KeyPath]
"""Key path of the first use of each name, by its kind (such as ``target``)
and the name."""

_STORED_ONLY_FIELDS = frozenset(('version', 'change_id'))
"""Fields of a stored configuration that a questionnaire does not have."""


@attrs.frozen
class Questionnaire:
    """Result of reading a valid questionnaire."""

    configuration: Configuration
    """Configuration generated from the answers; its version is zero until it
    is accepted."""
    cautions: tuple[Caution, ...]
    """Warnings about answers that are valid but probably not intended."""


def load_questionnaire(path: pathlib.Path) -> Questionnaire:
    """Read and check a questionnaire file.

    :param path: Path of the TOML file.
    :return: The generated configuration and its cautions.
    :raises InvalidInput: With all mistakes, if there are any.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInput(str(path), [UnreadableFile(str(error))]) from error
    return parse_questionnaire(text, str(path))


def parse_questionnaire(text: str, name: str) -> Questionnaire:
    """Parse and check the text of a questionnaire.

    :param text: TOML text.
    :param name: Name of the file, for error messages.
    :return: The generated configuration and its cautions.
    :raises InvalidInput: With all mistakes, if there are any.
    """
    try:
        source = TomlSource(text)
    except InvalidToml as mistake:
        raise InvalidInput(name, [mistake]) from None
    return _read_questionnaire(MistakeLog(source.document, source), name)


def check_configuration(configuration: Configuration, name: str) -> None:
    """Check a configuration by the rules of a questionnaire.

    :param configuration: The configuration.
    :param name: Name of the file, for error messages.
    :raises InvalidInput: With all mistakes, if there are any.
    """
    document = converter.unstructure(configuration)
    answers = {
        key: answer
        for key, answer in document.items()
        if key not in _STORED_ONLY_FIELDS
    }
    _read_questionnaire(MistakeLog(answers), name)


def _read_questionnaire(log: MistakeLog, name: str) -> Questionnaire:
    cautions = MistakeLog(log.document, log.source)
    root = TableReader(log, (), log.document)
    zones = _read_zones(root)
    zone_names = tuple(zone.name for zone in zones)
    readers = root.read_tables('services', 'service')
    services = [
        read_service(reader, zone_names, cautions) for reader in readers
    ]
    root.finish()
    _check_unique_names(log, services)
    log.raise_if_any(name)
    configuration = Configuration(
        version=0,
        zones=zones,
        services=tuple(services),
    )
    found = tuple(one for one in cautions.mistakes if isinstance(one, Caution))
    return Questionnaire(configuration, found)


def _read_zones(root: TableReader) -> tuple[Zone, ...]:
    zones = []
    seen: FirstUses = {}
    for reader in root.read_tables('zones', 'zone'):
        zone = Zone(
            name=reader.read('name', Name()),
            region=reader.read('region', Text(), Zone('').region),
        )
        reader.finish()
        _check_duplicate(
            root.log, seen, ('zone', zone.name), reader.path_of('name')
        )
        zones.append(zone)
    return tuple(zones)


def _check_unique_names(log: MistakeLog, services: list[Service]) -> None:
    seen: FirstUses = {}
    for position, service in enumerate(services):
        path: KeyPath = ('services', position)
        _check_duplicate(log, seen, ('service', service.name), (*path, 'name'))
        for number, target in enumerate(service.targets):
            _check_unique_target(log, seen, target, (*path, 'targets', number))


def _check_unique_target(
    log: MistakeLog, seen: FirstUses, target: Target, path: KeyPath
) -> None:
    name = ('target', target.name)
    _check_duplicate(log, seen, name, (*path, 'name'))
    if target.address is not None:
        address = ('address', str(target.address))
        _check_duplicate(log, seen, address, (*path, 'address'))


def _check_duplicate(
    log: MistakeLog,
    seen: FirstUses,
    kind_and_name: tuple[str, str],
    path: KeyPath,
) -> None:
    first = seen.setdefault(kind_and_name, path)
    if first != path and kind_and_name[1] is not None:
        log.add(Duplicate(*kind_and_name, log.place(first)), path)
