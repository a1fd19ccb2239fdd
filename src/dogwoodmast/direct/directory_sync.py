"""Keeps an entry VM's copy of the store up to date.

One VM of each zone reads the store; the others ask it.  A VM that gets no
fresh answer asks the next one and in the end reads the store itself, so that
the store's load grows with the number of zones.
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
bound in which a leaving target or a configuration has to be known."""
PULL_INTERVAL = 0.25
"""Pause between two questions to another entry VM, in seconds."""
WATCH_TIME = 1.0
"""Longest wait of a read for a change, in seconds."""
FRESH_AGE = 1.2
"""Age up to which another VM's copy is good enough, in seconds; three reads
of the store."""
SUSPECT_PERIOD = 2.0
"""Time for which a source that failed is not asked again, in seconds."""
PULL_TIMEOUT = 0.5
"""Time allowed for the answer of another VM, in seconds."""
EVERYTHING = ''
"""Prefix of all keys."""


@attrs.frozen
class StoreSource:
    """The store itself."""


@attrs.frozen
class VmSource:
    """Another entry VM."""

    name: str
    """Name of the VM."""
    address: Address
    """Its address for links."""


Source = StoreSource | VmSource


@attrs.define
class SourceSelector:
    """Decides whom to ask for changes.

    The first VM of a zone, by name, reads the store; the rest ask it.  A
    source that failed is passed over for a while.
    """

    _name: str
    _zone: str
    _suspects: dict[str, float] = attrs.field(factory=dict)

    def choose(self, vms: Iterable[VmRecord], now: float) -> Source:
        """Choose a source.

        :param vms: Entry VMs that are up.
        :param now: Steady time in seconds.
        :return: Whom to ask.
        """
        known = sorted(vms, key=_record_name)
        near = [one for one in known if one.zone == self._zone]
        for record in near:
            if record.name == self._name:
                break
            if not self._is_suspect(record.name, now):
                return _vm_source(record)
        if not self._is_suspect(EVERYTHING, now):
            return StoreSource()
        return self._choose_any(near + known, now)

    def on_failure(self, source: Source, now: float) -> None:
        """Pass over a source for a while.

        :param source: Source that failed.
        :param now: Steady time in seconds.
        """
        self._suspects[_label(source)] = now + SUSPECT_PERIOD

    def on_success(self, source: Source) -> None:
        """Trust a source again.

        :param source: Source that answered.
        """
        self._suspects.pop(_label(source), None)

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
    """Task that keeps the copy up to date."""

    def __init__(
        self,
        choice: SourceSelector,
        directory: Directory,
        store: PolledStore,
        links: LinkPool,
        clock: Clock,
    ) -> None:
        """Create the task.

        :param choice: Decides whom to ask.
        :param directory: Copy to keep up to date.
        :param store: The store.
        :param links: Links to other entry VMs.
        :param clock: Clock that counts suspended time.
        """
        self._choice = choice
        self._directory = directory
        self._store = store
        self._links = links
        self._clock = clock
        self._backoff = Backoff(READ_INTERVAL, SUSPECT_PERIOD)
        self._listeners: list[Callable[[list[str]], None]] = []
        self._store_failed = False

    @property
    def store_answers(self) -> bool:
        """Whether this VM's last read of the store succeeded."""
        return not self._store_failed

    def subscribe(self, listener: Callable[[list[str]], None]) -> None:
        """Have changes told.

        :param listener: Called with the keys whose meaning changed.
        """
        self._listeners.append(listener)

    def register(self, handlers: MessageHandlers) -> None:
        """Answer other entry VMs.

        :param handlers: Handlers of links.
        """
        handlers.register(DirectoryPull, self._on_pull)

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        while True:
            now = self._clock.monotonic()
            vms = self._directory.vms().values()
            source = self._choice.choose(vms, now)
            match source:
                case StoreSource():
                    await anyio.sleep(await self._read_store(source, now))
                case VmSource():
                    await self._pull(source, now)

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
        self._choice.on_success(source)
        self._tell(changed)
        return READ_INTERVAL

    def _on_store_failure(
        self, source: StoreSource, error: PlatformError
    ) -> None:
        now = self._clock.monotonic()
        self._directory.on_outage(now)
        self._choice.on_failure(source, now)
        if not self._store_failed:
            self._store_failed = True
            age = round(self._directory.age(now), 3)
            log_event(Event.PLATFORM_FAILED, reason=error.message, age=age)

    async def _read_changes(self, now: float) -> list[str]:
        revision = self._directory.revision
        if not revision:
            return await self._read_everything(now)
        try:
            page = await self._store.read_changes(
                EVERYTHING, revision, WATCH_TIME
            )
        except HistoryLost as error:
            log_event(Event.DIRECTORY_RELOADED, reason=error.message)
            return await self._read_everything(now)
        return self._directory.on_changes(page, now)

    async def _read_everything(self, now: float) -> list[str]:
        snapshot = await self._store.read_prefix(EVERYTHING)
        return self._directory.on_snapshot(snapshot, now)

    async def _pull(self, source: VmSource, now: float) -> None:
        page = await self._ask(source)
        received_at = self._clock.monotonic()
        if page is None:
            self._choice.on_failure(source, received_at)
            return
        self._tell(self._directory.on_page(page, now, received_at))
        if page.age > FRESH_AGE:
            self._choice.on_failure(source, received_at)
            return
        await anyio.sleep(PULL_INTERVAL)

    async def _ask(self, source: VmSource) -> DirectoryPage | None:
        question = DirectoryPull(self._directory.revision)
        try:
            with anyio.fail_after(PULL_TIMEOUT):
                answer = await self._links.call(source.address, question)
        except (LinkError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            log_event(Event.PULL_FAILED, peer=source.name, reason=reason)
            return None
        return answer if isinstance(answer, DirectoryPage) else None

    def _tell(self, changed: list[str]) -> None:
        if not changed:
            return
        for listener in self._listeners:
            listener(changed)


def _record_name(record: VmRecord) -> str:
    return record.name


def _vm_source(record: VmRecord) -> VmSource:
    return VmSource(record.name, Address.parse(record.links))


def _label(source: Source) -> str:
    match source:
        case VmSource(name):
            return name
        case StoreSource():
            return EVERYTHING
