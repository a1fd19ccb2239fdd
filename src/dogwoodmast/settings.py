"""Settings of an entry VM process, read from a TOML file.

The tables of the VM and of the log, and the checks, are shared with
:mod:`dogwoodmast.direct.settings`.
"""

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
    """Log levels, in order of increasing severity."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@attrs.frozen
class VmSettings:
    """Identity of the entry VM that the process runs on."""

    name: str
    """Name of the entry VM in the platform's VM list."""
    zone: str
    """Name of the VM's availability zone."""


@attrs.frozen
class ListenSettings:
    """Addresses that the process listens on."""

    http: Address
    """Address for requests of callers and operators (HTTP)."""
    links: Address
    """Address for links from other entry VMs."""
    advertised_links: Address | None = None
    """Address that other entry VMs connect to, or ``None`` if it is the
    address in ``links``."""


@attrs.frozen
class EndpointSettings:
    """Location of a service of the platform."""

    endpoint: str
    """Base URL, such as ``http://10.1.0.2:2379``."""


@attrs.frozen
class StatsdSettings:
    """Destination of the metrics."""

    address: Address
    """Address of the statsd server."""
    prefix: str = 'dogwoodmast'
    """Prefix of all metric names, without the dot after it."""


@attrs.frozen
class LogSettings:
    """Settings of the log."""

    level: str = LogLevel.INFO
    """Lowest level to write, a value of :class:`LogLevel`."""


@attrs.frozen
class Settings:
    """Settings of one entry VM process."""

    vm: VmSettings
    """Identity of the entry VM that the process runs on."""
    listen: ListenSettings
    """Addresses that the process listens on."""
    platform: EndpointSettings
    """Location of the platform's key-value service."""
    vm_list: EndpointSettings
    """Location of the platform's VM list."""
    statsd: StatsdSettings | None = None
    """Destination of the metrics, or ``None`` to send none."""
    log: LogSettings = LogSettings()
    """Settings of the log."""


def load_settings(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    :param path: Path of the TOML file.
    :return: Validated settings.
    :raises InvalidInput: With all mistakes found in the file.
    """
    return parse_settings(read_settings_text(path), str(path))


def read_settings_text(path: pathlib.Path) -> str:
    """Read a settings file without parsing it.

    :param path: Path of the file.
    :return: Content of the file.
    :raises InvalidInput: If the file cannot be read or is not UTF-8.
    """
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInput(str(path), [UnreadableFile(str(error))]) from error


def parse_settings(text: str, name: str) -> Settings:
    """Parse and validate the content of a settings file.

    :param text: TOML text.
    :param name: File name, for messages.
    :return: Validated settings.
    :raises InvalidInput: With all mistakes found in the text.
    """
    return parse_toml_settings(text, name, _read_settings)


def parse_toml_settings(
    text: str, name: str, read: Callable[[TableReader], _Settings]
) -> _Settings:
    """Parse TOML text and convert it to a settings class.

    :param text: TOML text.
    :param name: File name, for messages.
    :param read: Function that reads the settings from the root table; the
        reader collects the mistakes that it finds.
    :return: Result of the function.
    :raises InvalidInput: With all mistakes found, including unknown keys.
    """
    try:
        source = TomlSource(text)
    except InvalidToml as mistake:
        raise InvalidInput(name, [mistake]) from None
    mistakes = MistakeLog(source.document, source)
    root = TableReader(mistakes, (), source.document)
    settings = read(root)
    root.finish()
    mistakes.raise_if_any(name)
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
    """Read the mandatory table ``vm``.

    :param root: Reader of the document's root table.
    :return: Settings; the reader collects the mistakes it finds.
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
    """Read the optional table ``log``.

    :param root: Reader of the document's root table.
    :return: Settings, or their defaults if the table is absent.
    """
    if not root.has('log'):
        root.allow('log')
        return LogSettings()
    reader = root.read_table('log', 'level')
    level = reader.read('level', Choice(LogLevel), LogLevel.INFO)
    reader.finish()
    return LogSettings(level)
