"""Accepted configurations in the platform."""

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
    summarize,
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
"""Prefix of the platform keys of configurations."""
CURRENT_KEY = f'{CONFIGURATION_PREFIX}current'
"""Platform key of the version in force."""
AUDIT_SUBJECT = 'configuration'
"""What audit entries of configurations are about."""
FIRST_VERSION = 1
KEPT_VERSIONS = 1000
"""Versions that are kept."""
MAX_DOCUMENT_BYTES = 700_000
"""Largest document of a configuration; one call writes it twice."""


@attrs.define
class ConfigurationTooLarge(ConfigurationError):
    """A configuration is too large for one call to the platform."""

    size: int
    """Size of its document, in bytes."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return (
            f'the configuration takes {self.size} bytes; '
            f'at most {MAX_DOCUMENT_BYTES} can be written at once'
        )


@attrs.define
class UnknownVersion(ConfigurationError):
    """A version is not kept."""

    version: int
    """Number of the version."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return (
            f'version {self.version} is not kept; '
            f'the last {KEPT_VERSIONS} versions are'
        )


def version_key(version: int) -> str:
    """Name the platform key of one version.

    :param version: Number of the version.
    :return: Platform key.
    """
    return f'{CONFIGURATION_PREFIX}versions/{version:08d}'


@attrs.frozen
class _Current:
    configuration: Configuration | None
    revision: int

    @property
    def version(self) -> int:
        """Version in force; zero before the first."""
        if self.configuration is None:
            return FIRST_VERSION - 1
        return self.configuration.version


@attrs.define
class ConfigurationStore:
    """Reads and accepts configurations."""

    _platform: Platform
    _retry_delay: float = RETRY_DELAY

    async def current(self) -> Configuration | None:
        """Read the version in force.

        :return: The configuration, or ``None`` before the first.
        """
        current = await self._current()
        return current.configuration

    async def version(self, version: int) -> Configuration:
        """Read one version.

        :param version: Number of the version.
        :return: The configuration.
        :raises UnknownVersion: If it is not kept.
        """
        snapshot = await self._platform.read(version_key(version))
        if snapshot.first is None:
            raise UnknownVersion(version)
        return load_document(snapshot.first.value, Configuration)

    async def accept(
        self, configuration: Configuration, base: int, who: str
    ) -> Configuration:
        """Put a new version in force.

        :param configuration: What to accept; its version is ignored.
        :param base: Version that the change was based on; zero for none.
        :param who: Operator who makes the change.
        :return: The accepted configuration with its version.
        :raises ConfigurationConflict: If another version came first.
        :raises ConfigurationTooLarge: If the platform cannot hold it.
        :raises ChangeUncertain: If the platform gives no answer.
        """
        current = await self._current()
        if current.version != base:
            raise ConfigurationConflict(base, current.version)
        check_immutable_values(current.configuration, configuration)
        entry = _audit_entry(current, configuration, who)
        accepted = attrs.evolve(
            configuration, version=base + 1, change_id=entry.change_id
        )
        change = PendingChange(
            (Expectation(CURRENT_KEY, current.revision),),
            _writes(accepted),
            entry,
        )
        try:
            await ChangeWriter(self._platform, self._retry_delay).write(change)
        except ChangeSuperseded:
            winner = await self._current()
            raise ConfigurationConflict(base, winner.version) from None
        return accepted

    async def _current(self) -> _Current:
        snapshot = await self._platform.read(CURRENT_KEY)
        return _load_current(snapshot.first)


def _load_current(stored: StoredValue | None) -> _Current:
    if stored is None:
        return _Current(None, MISSING_REVISION)
    configuration = load_document(stored.value, Configuration)
    return _Current(configuration, stored.revision)


def _audit_entry(
    current: _Current, configuration: Configuration, who: str
) -> AuditEntry:
    differences = compare_configurations(current.configuration, configuration)
    return new_entry(
        who,
        AUDIT_SUBJECT,
        f'version {current.version}',
        f'version {current.version + 1} ({summarize(differences)})',
    )


def _writes(accepted: Configuration) -> tuple[Put | Delete, ...]:
    document = dump_document(accepted)
    if len(document) > MAX_DOCUMENT_BYTES:
        raise ConfigurationTooLarge(len(document))
    kept = (
        Put(CURRENT_KEY, document),
        Put(version_key(accepted.version), document),
    )
    outdated = accepted.version - KEPT_VERSIONS
    if outdated < FIRST_VERSION:
        return kept
    return (*kept, Delete(version_key(outdated)))
