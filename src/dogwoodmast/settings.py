"""Settings of one process, read from a TOML file."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, TypeVar

import attrs

from dogwoodmast.address import Address
from dogwoodmast.input_errors import (
    Duplicate,
    InvalidInput,
    InvalidToml,
    UnreadableFile,
)
from dogwoodmast.input_rules import AddressText, Choice, Endpoint, Name
from dogwoodmast.table_reader import MistakeLog, TableReader
from dogwoodmast.toml_source import TomlSource

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable

_Settings = TypeVar('_Settings')


class LogLevel(enum.StrEnum):
    """Levels of the log, lowest first."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@attrs.frozen
class VmSettings:
    """Who the process is."""

    name: str
    """Name of the entry VM, as the VM list shows it."""
    zone: str
    """Its availability zone."""


@attrs.frozen
class ListenSettings:
    """Where the process listens."""

    http: Address
    """Address for callers and operators."""
    links: Address
    """Address for other entry VMs."""
    advertised_links: Address | None = None
    """Address that others reach the links by, if it is another one."""


@attrs.frozen
class EndpointSettings:
    """Where an outside system is."""

    endpoint: str
    """Base URL."""


@attrs.frozen
class StatsdSettings:
    """Where metrics go."""

    address: Address
    """Address of the statsd server."""
    prefix: str = 'dogwoodmast'
    """Prefix of every name."""


@attrs.frozen
class LogSettings:
    """What is logged."""

    level: str = LogLevel.INFO
    """Lowest level that is written."""


@attrs.frozen
class Settings:
    """Settings of one entry VM process."""

    vm: VmSettings
    """Who the process is."""
    listen: ListenSettings
    """Where it listens."""
    platform: EndpointSettings
    """The platform's key-value service."""
    vm_list: EndpointSettings
    """The platform's VM list."""
    statsd: StatsdSettings | None = None
    """Where metrics go, or ``None``."""
    log: LogSettings = LogSettings()
    """What is logged."""


def load_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    :param path: Path of the file.
    :return: The settings.
    :raises InvalidInput: With every mistake that is found.
    """
    return parse_settings(read_settings_text(path), str(path))


def read_settings_text(path: pathlib.Path) -> str:
    """Read the text of a settings file.

    :param path: Path of the file.
    :return: Its text.
    :raises InvalidInput: If it cannot be read.
    """
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInput(str(path), [UnreadableFile(str(error))]) from error


def parse_settings(text: str, name: str) -> Settings:
    """Read and check the text of a settings file.

    :param text: TOML text.
    :param name: Name of the file, for messages.
    :return: The settings.
    :raises InvalidInput: With every mistake that is found.
    """
    return parse_toml_settings(text, name, _read_settings)


def parse_toml_settings(
    text: str, name: str, read: Callable[[TableReader], _Settings]
) -> _Settings:
    """Read the text of a settings file and check it whole.

    :param text: TOML text.
    :param name: Name of the file, for messages.
    :param read: Reader of the file's tables.
    :return: What was read.
    :raises InvalidInput: With every mistake that is found.
    """
    try:
        source = TomlSource(text)
    except InvalidToml as mistake:
        raise InvalidInput(name, [mistake]) from None
    log = MistakeLog(source.document, source)
    root = TableReader(log, (), source.document)
    settings = read(root)
    root.finish()
    log.raise_if_any(name)
    return settings


def _read_settings(root: TableReader) -> Settings:
    return Settings(
        vm=read_vm_settings(root),
        listen=_read_listen(root),
        platform=_read_endpoint(root, 'platform'),
        vm_list=_read_endpoint(root, 'vm_list'),
        statsd=_read_statsd(root),
        log=read_log_settings(root),
    )


def read_vm_settings(root: TableReader) -> VmSettings:
    """Read which VM the process runs.

    :param root: Whole file.
    :return: The settings.
    """
    reader = root.read_table('vm', 'name and zone')
    settings = VmSettings(
        name=reader.read('name', Name()), zone=reader.read('zone', Name())
    )
    reader.finish()
    return settings


def _read_listen(root: TableReader) -> ListenSettings:
    reader = root.read_table('listen', 'http and links')
    settings = ListenSettings(
        http=reader.read('http', AddressText()),
        links=reader.read('links', AddressText()),
        advertised_links=reader.read('advertised_links', AddressText(), None),
    )
    reader.finish()
    if settings.http is not None and settings.http == settings.links:
        first = reader.log.place(reader.path_of('http'))
        reader.report(Duplicate('address', str(settings.links), first), 'links')
    return settings


def _read_endpoint(root: TableReader, key: str) -> EndpointSettings:
    reader = root.read_table(key, 'endpoint')
    settings = EndpointSettings(reader.read('endpoint', Endpoint()))
    reader.finish()
    return settings


def _read_statsd(root: TableReader) -> StatsdSettings | None:
    if not root.has('statsd'):
        root.allow('statsd')
        return None
    reader = root.read_table('statsd', 'address')
    address = reader.read('address', AddressText())
    settings = StatsdSettings(
        address, reader.read('prefix', Name(), StatsdSettings(address).prefix)
    )
    reader.finish()
    return settings


def read_log_settings(root: TableReader) -> LogSettings:
    """Read the settings of the log.

    :param root: Whole file.
    :return: The settings.
    """
    if not root.has('log'):
        root.allow('log')
        return LogSettings()
    reader = root.read_table('log', 'level')
    level = reader.read('level', Choice(LogLevel), LogLevel.INFO)
    reader.finish()
    return LogSettings(level)
