"""Synchronisation of an entry VM's copy of the store.

One VM of each zone polls the store, and the others pull changes from it, so
that the load on the store grows with the number of zones rather than of VMs.
A VM whose source fails or returns stale data tries the next one, and in the
end polls the store itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.address import Address
from dogwoodmast.backoff import Backoff
from dogwoodmast.direct.messages import DirectoryPage, DirectoryPull, VmRecord
from dogwoodmast.errors import HistoryLost, LinkError, PlatformError
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dogwoodmast.clock import Clock
    from dogwoodmast.direct.directory import Directory
    from dogwoodmast.key_value import PolledStore
    from dogwoodmast.link import Link
    from dogwoodmast.link_pool import LinkPool
    from dogwoodmast.message_handlers import MessageHandlers

READ_INTERVAL = 0.4
"""Pause between two reads of the store, in seconds; a fifth of the shortest
time within which a draining target or a configuration has to be known."""
PULL_INTERVAL = 0.25
"""Pause between two pulls from another entry VM, in seconds."""
LONG_POLL_TIME = 1.0
"""Longest time for which a read of the store waits for a change, in
seconds."""
MAX_SOURCE_AGE = 1.2
"""Age above which the copy of another VM counts as stale, in seconds; three
read intervals of the store."""
SUSPECT_PERIOD = 2.0
"""Time for which a source that failed is skipped, and maximum backoff
between failed reads of the store, in seconds."""
PULL_TIMEOUT = 0.5
"""Time limit for the response of another VM to a pull, in seconds."""
ALL_KEYS = ''
"""Prefix that matches all keys of the store.  The empty string, which is not
the name of any VM, also stands for the store among the suspect sources."""


@attrs.frozen
class StoreSource:
    """The platform's store as the source of changes."""


@attrs.frozen
class VmSource:
    """Another entry VM as the source of changes."""

    name: str
    """Name of the VM."""
    address: Address
    """Address at which the VM accepts links."""


Source = StoreSource | VmSource


@attrs.define
class SourceSelector:
    """Selects the source of changes.

    The first VM of a zone, by name, reads the store, and the others pull
    from it.  A source that failed is skipped for ``SUSPECT_PERIOD``.
    """

    _name: str
    _zone: str
    _suspects: dict[str, float] = attrs.field(factory=dict)

    def choose(self, vms: Iterable[VmRecord], now: float) -> Source:
        """Select the source for the next read.

        :param vms: Registered entry VMs.
        :param now: Monotonic time in seconds.
        :return: Source to read from.
        """
        by_name = sorted(vms, key=_record_name)
        in_zone = [one for one in by_name if one.zone == self._zone]
        for record in in_zone:
            if record.name == self._name:
                break
            if not self._is_suspect(record.name, now):
                return _vm_source(record)
        if not self._is_suspect(ALL_KEYS, now):
            return StoreSource()
        return self._choose_any(in_zone + by_name, now)

    def on_failure(self, source: Source, now: float) -> None:
        """Skip a source until the suspect period ends.

        :param source: Source that failed or returned stale data.
        :param now: Monotonic time in seconds.
        """
        self._suspects[_source_name(source)] = now + SUSPECT_PERIOD

    def on_success(self, source: Source) -> None:
        """End the suspect period of a source.

        :param source: Source that was read successfully.
        """
        self._suspects.pop(_source_name(source), None)

    def _choose_any(self, records: Iterable[VmRecord], now: float) -> Source:
        for record in records:
            if record.name != self._name and not self._is_suspect(
                record.name, now
            ):
                return _vm_source(record)
        return StoreSource()

    def _is_suspect(self, name: str, now: float) -> bool:
        return now < self._suspects.get(name, 0)


class DirectorySync:
    """Task that keeps the copy of the store up to date."""

    def __init__(
        self,
        selector: SourceSelector,
        directory: Directory,
        store: PolledStore,
        links: LinkPool,
        clock: Clock,
    ) -> None:
        """Create the task.

        :param selector: Selector of the source of changes.
        :param directory: Copy of the store to keep up to date.
        :param store: Client of the platform's store.
        :param links: Links to other entry VMs.
        :param clock: Monotonic clock that also advances while the machine is
            suspended.
        """
        self._selector = selector
        self._directory = directory
        self._store = store
        self._links = links
        self._clock = clock
        self._backoff = Backoff(READ_INTERVAL, SUSPECT_PERIOD)
        self._listeners: list[Callable[[list[str]], None]] = []
        self._store_failed = False
        self._source: Source | None = None
        self._source_changes = 0
        self._last_failure = 'start'
        self._version_in_force = 0

    @property
    def source_name(self) -> str:
        """Name of the VM that changes are read from, or ``store``."""
        return _describe(self._source)

    @property
    def reads_store(self) -> bool:
        """Whether changes are read from the store, not from another VM."""
        return isinstance(self._source, StoreSource)

    @property
    def source_changes(self) -> int:
        """Number of changes of the source so far."""
        return self._source_changes

    @property
    def store_answers(self) -> bool:
        """Whether this VM's last read of the store succeeded."""
        return not self._store_failed

    def subscribe(self, listener: Callable[[list[str]], None]) -> None:
        """Add a listener for changes of the copy.

        :param listener: Called with the keys whose decoded value changed.
        """
        self._listeners.append(listener)

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handler for pulls by other entry VMs.

        :param handlers: Message handlers of incoming links.
        """
        handlers.register(DirectoryPull, self._on_pull)

    async def run(self) -> None:
        """Read changes from the selected source until cancelled."""
        while True:
            now = self._clock.monotonic()
            vms = self._directory.vms().values()
            source = self._selector.choose(vms, now)
            self._on_source(source, now)
            match source:
                case StoreSource():
                    await anyio.sleep(await self._read_store(source, now))
                case VmSource():
                    await self._pull(source, now)

    def _on_source(self, source: Source, now: float) -> None:
        if source == self._source:
            return
        log_event(
            Event.SOURCE_CHANGED,
            previous=self.source_name,
            source=_describe(source),
            reason=self._last_failure,
            revision=self._directory.revision,
            age=round(self._directory.age(now), 3),
        )
        self._source = source
        self._source_changes += 1
        self._last_failure = 'an earlier source is tried again'

    async def _on_pull(self, _link: Link, message: DirectoryPull) -> object:
        return self._directory.page_since(
            message.after, self._clock.monotonic()
        )

    async def _read_store(self, source: StoreSource, now: float) -> float:
        try:
            changed = await self._read_changes(now)
        except PlatformError as error:
            self._on_store_failure(source, error)
            return self._backoff.next_delay()
        self._backoff.reset()
        if self._store_failed:
            self._store_failed = False
            log_event(Event.PLATFORM_BACK, revision=self._directory.revision)
        self._selector.on_success(source)
        self._notify(changed)
        return READ_INTERVAL

    def _on_store_failure(
        self, source: StoreSource, error: PlatformError
    ) -> None:
        now = self._clock.monotonic()
        self._directory.on_outage(now)
        self._selector.on_failure(source, now)
        self._last_failure = error.message
        if not self._store_failed:
            self._store_failed = True
            age = round(self._directory.age(now), 3)
            log_event(Event.PLATFORM_FAILED, reason=error.message, age=age)

    async def _read_changes(self, now: float) -> list[str]:
        revision = self._directory.revision
        if not revision:
            return await self._read_all(now)
        try:
            page = await self._store.read_changes(
                ALL_KEYS, revision, LONG_POLL_TIME
            )
        except HistoryLost as error:
            log_event(Event.DIRECTORY_RELOADED, reason=error.message)
            return await self._read_all(now)
        return self._directory.on_changes(page, now)

    async def _read_all(self, now: float) -> list[str]:
        snapshot = await self._store.read_prefix(ALL_KEYS)
        return self._directory.on_snapshot(snapshot, now)

    async def _pull(self, source: VmSource, now: float) -> None:
        page = await self._request_page(source)
        received_at = self._clock.monotonic()
        if page is None:
            self._selector.on_failure(source, received_at)
            return
        self._notify(self._directory.on_page(page, now, received_at))
        if page.age > MAX_SOURCE_AGE:
            self._last_failure = f'copy is {page.age:.3f} s old'
            self._selector.on_failure(source, received_at)
            return
        await anyio.sleep(PULL_INTERVAL)

    async def _request_page(self, source: VmSource) -> DirectoryPage | None:
        request = DirectoryPull(self._directory.revision)
        try:
            with anyio.fail_after(PULL_TIMEOUT):
                answer = await self._links.call(source.address, request)
        except (LinkError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            self._last_failure = reason
            log_event(Event.PULL_FAILED, peer=source.name, reason=reason)
            return None
        return answer if isinstance(answer, DirectoryPage) else None

    def _notify(self, changed: list[str]) -> None:
        if not changed:
            return
        self._log_configuration()
        for listener in self._listeners:
            listener(changed)

    def _log_configuration(self) -> None:
        table = self._directory.route_table
        if table is None or table.version == self._version_in_force:
            return
        self._version_in_force = table.version
        log_event(
            Event.CONFIGURATION_IN_FORCE,
            version=table.version,
            revision=self._directory.revision,
            source=self.source_name,
            age=round(self._directory.age(self._clock.monotonic()), 3),
        )


def _record_name(record: VmRecord) -> str:
    return record.name


def _vm_source(record: VmRecord) -> VmSource:
    return VmSource(record.name, Address.parse(record.links))


def _describe(source: Source | None) -> str:
    match source:
        case VmSource(name):
            return name
        case StoreSource():
            return 'store'
        case None:
            return 'none'


def _source_name(source: Source) -> str:
    match source:
        case VmSource(name):
            return name
        case StoreSource():
            return ALL_KEYS
