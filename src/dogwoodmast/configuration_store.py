"""Storage of accepted configurations in the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast._documents import dump_document, load_document
from dogwoodmast.audit import AuditEntry, new_entry
from dogwoodmast.change_writer import RETRY_DELAY, ChangeWriter, PendingChange
from dogwoodmast.configuration import Configuration
from dogwoodmast.configuration_diff import (
    check_immutable_values,
    compare_configurations,
    summarize_differences,
)
from dogwoodmast.errors import (
    ChangeSuperseded,
    ConfigurationConflict,
    ConfigurationError,
)
from dogwoodmast.key_value import (
    MISSING_REVISION,
    Delete,
    Expectation,
    Platform,
    Put,
)

if TYPE_CHECKING:
    from dogwoodmast.key_value import StoredValue

CONFIGURATION_PREFIX = '/dogwoodmast/configuration/'
"""Prefix of the platform keys that hold configurations."""
CURRENT_KEY = f'{CONFIGURATION_PREFIX}current'
"""Platform key of the configuration in force."""
AUDIT_SUBJECT = 'configuration'
"""Subject of the audit entries of configuration changes."""
FIRST_VERSION = 1
"""Version number of the first accepted configuration."""
KEPT_VERSIONS = 1000
"""Number of versions that are kept; accepting one deletes the oldest."""
MAX_DOCUMENT_BYTES = 700_000
"""Maximum size of a configuration document, in bytes.  One call writes the
document twice, and etcd by default accepts calls of up to 1.5 MiB."""


@attrs.define
class ConfigurationTooLarge(ConfigurationError):
    """A configuration document is too large for one call to the platform."""

    size: int
    """Size of the document, in bytes."""

    @property
    def message(self) -> str:
        """One-sentence description of the failure."""
        return (
            f'the configuration document has {self.size} bytes; '
            f'at most {MAX_DOCUMENT_BYTES} are allowed'
        )


@attrs.define
class UnknownVersion(ConfigurationError):
    """A configuration version was never accepted or is no longer stored."""

    version: int
    """Version number that was requested."""

    @property
    def message(self) -> str:
        """One-sentence description of the failure."""
        return (
            f'version {self.version} is not stored; '
            f'the last {KEPT_VERSIONS} versions are'
        )


def version_key(version: int) -> str:
    """Return the platform key that stores one version.

    :param version: Version number.
    :return: Platform key; the number is padded, so that keys sort by it.
    """
    return f'{CONFIGURATION_PREFIX}versions/{version:08d}'


@attrs.frozen
class _StoredConfiguration:
    configuration: Configuration | None
    revision: int
    """Store revision of the last change of :data:`CURRENT_KEY`."""

    @property
    def version(self) -> int:
        """Version number in force; zero if none was accepted yet."""
        if self.configuration is None:
            return FIRST_VERSION - 1
        return self.configuration.version


@attrs.define
class ConfigurationStore:
    """Reader and writer of the configurations in the platform."""

    _platform: Platform
    _retry_delay: float = RETRY_DELAY

    async def current(self) -> Configuration | None:
        """Read the configuration in force.

        :return: Configuration, or ``None`` if none was accepted yet.
        """
        current = await self._current()
        return current.configuration

    async def version(self, version: int) -> Configuration:
        """Read one version of the configuration.

        :param version: Version number.
        :return: Configuration of that version.
        :raises UnknownVersion: If the version is not stored.
        """
        snapshot = await self._platform.read(version_key(version))
        if snapshot.first is None:
            raise UnknownVersion(version)
        return load_document(snapshot.first.value, Configuration)

    async def accept(
        self, configuration: Configuration, base: int, who: str
    ) -> Configuration:
        """Put a configuration in force, together with its audit entry.

        :param configuration: Proposed configuration; its version number is
            ignored.
        :param base: Version number that the change is based on; zero if none
            was accepted yet.
        :param who: Name of the operator who makes the change.
        :return: Configuration with the version number and change identifier
            that it was given.
        :raises ConfigurationConflict: If ``base`` is not in force any more.
        :raises ConfigurationTooLarge: If the document exceeds
            :data:`MAX_DOCUMENT_BYTES`.
        :raises ChangeUncertain: If it is unknown whether the change took
            effect, since the platform did not respond.
        """
        current = await self._current()
        if current.version != base:
            raise ConfigurationConflict(base, current.version)
        check_immutable_values(current.configuration, configuration)
        entry = _make_audit_entry(current, configuration, who)
        accepted = attrs.evolve(
            configuration, version=base + 1, change_id=entry.change_id
        )
        change = PendingChange(
            (Expectation(CURRENT_KEY, current.revision),),
            _make_writes(accepted),
            entry,
        )
        try:
            await ChangeWriter(self._platform, self._retry_delay).write(change)
        except ChangeSuperseded:
            latest = await self._current()
            raise ConfigurationConflict(base, latest.version) from None
        return accepted

    async def _current(self) -> _StoredConfiguration:
        snapshot = await self._platform.read(CURRENT_KEY)
        return _load_current(snapshot.first)


def _load_current(stored: StoredValue | None) -> _StoredConfiguration:
    if stored is None:
        return _StoredConfiguration(None, MISSING_REVISION)
    configuration = load_document(stored.value, Configuration)
    return _StoredConfiguration(configuration, stored.revision)


def _make_audit_entry(
    current: _StoredConfiguration, configuration: Configuration, who: str
) -> AuditEntry:
    differences = compare_configurations(current.configuration, configuration)
    return new_entry(
        who,
        AUDIT_SUBJECT,
        f'version {current.version}',
        f'version {current.version + 1} ({summarize_differences(differences)})',
    )


def _make_writes(accepted: Configuration) -> tuple[Put | Delete, ...]:
    document = dump_document(accepted)
    if len(document) > MAX_DOCUMENT_BYTES:
        raise ConfigurationTooLarge(len(document))
    writes = (
        Put(CURRENT_KEY, document),
        Put(version_key(accepted.version), document),
    )
    outdated = accepted.version - KEPT_VERSIONS
    if outdated < FIRST_VERSION:
        return writes
    return (*writes, Delete(version_key(outdated)))
