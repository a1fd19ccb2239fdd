"""What the synchronisation of the copy of the store is doing, for the log."""

from __future__ import annotations

import attrs

from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.source_selector import Source
from dogwoodmast.events import Event, log_event

NO_SOURCE = 'none'
"""Name, for the log, of the source before the first one."""


@attrs.define(eq=False)
class SyncActivity:
    """Present source of changes, and how attempts to read from it went."""

    _directory: Directory
    source_changes: int = 0
    """Number of changes of the source so far."""
    store_failures: int = 0
    """Number of reads of the store that have failed in a row."""
    last_failure: str = 'start'
    """Why the last attempt failed, or why another source is tried."""
    _source: Source | None = None
    _began_at: float = float('inf')
    _version_in_force: int = 0

    @property
    def source_name(self) -> str:
        """Name of the VM that changes are read from, or ``store``."""
        return self._source.name if self._source else NO_SOURCE

    def attempt_time(self, now: float) -> float:
        """Return for how long the present source has been waited for.

        :param now: Monotonic time, in seconds.
        :return: Time since the last attempt to read began, in seconds.
        """
        return max(0, now - self._began_at)

    def on_attempt(self, source: Source | None, now: float) -> None:
        """Record that an attempt begins, and log a change of the source.

        :param source: Source that is read now; ``None`` if all have failed.
        :param now: Monotonic time, in seconds.
        """
        self._began_at = now
        if source is None or source == self._source:
            return
        log_event(
            Event.SOURCE_CHANGED,
            previous=self.source_name,
            source=source.name,
            reason=self.last_failure,
            revision=self._directory.revision,
            age=round(self._directory.age(now), 3),
        )
        self._source = source
        self.source_changes += 1
        self.last_failure = 'an earlier source is tried again'

    def on_changes(self, now: float) -> None:
        """Log a new configuration, after changes of the copy.

        :param now: Monotonic time, in seconds.
        """
        table = self._directory.route_table
        if table is None or table.version == self._version_in_force:
            return
        self._version_in_force = table.version
        log_event(
            Event.CONFIGURATION_IN_FORCE,
            version=table.version,
            revision=self._directory.revision,
            source=self.source_name,
            age=round(self._directory.age(now), 3),
        )
