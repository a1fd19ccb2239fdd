"""Parts of an entry VM that share the room of targets with other VMs."""

from __future__ import annotations

import functools
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.address import Address
from dogwoodmast.direct.room.admission import RoomAdmission
from dogwoodmast.direct.room.refusals import Refusal
from dogwoodmast.direct.room.room_gate import RoomGate
from dogwoodmast.direct.room.room_keeper import RoomKeeper
from dogwoodmast.direct.zones.news_exchange import NewsExchange
from dogwoodmast.errors import LinkUnavailable

if TYPE_CHECKING:
    from dogwoodmast.clock import Clock
    from dogwoodmast.direct.catalog import Target
    from dogwoodmast.direct.directory import Directory
    from dogwoodmast.direct.messages import VmRecord
    from dogwoodmast.direct.metrics import Metrics
    from dogwoodmast.direct.statement_book import StatementBook
    from dogwoodmast.direct.target_set import TargetSet
    from dogwoodmast.direct.zones.zone_prices import ZonePrices
    from dogwoodmast.link_pool import LinkPool
    from dogwoodmast.message_handlers import MessageHandlers


class RoomSharing:
    """Room that this VM keeps for others, and the way to that of others."""

    def __init__(
        self,
        record: VmRecord,
        directory: Directory,
        links: LinkPool,
        clock: Clock,
        statements: StatementBook,
        prices: ZonePrices,
    ) -> None:
        """Create the parts; :meth:`run` has to be started.

        :param record: Record that identifies the local VM.
        :param directory: Local copy of the store.
        :param links: Links to other entry VMs.
        :param clock: Monotonic clock that also advances while the machine is
            suspended.
        :param statements: What targets have said of themselves.
        :param prices: Price of traffic between zones.
        """
        self._directory = directory
        self._links = links
        self._clock = clock
        self._statements = statements
        self._vms: dict[str, VmRecord] = {}
        self.keeper = RoomKeeper(
            record.name, clock, self._list_vms, self._list_targets, prices
        )
        self._news = NewsExchange(
            record.name, self.keeper, self._ask_peer, clock
        )
        self.gate = RoomGate(
            record.name,
            record.incarnation,
            self.keeper,
            self._ask_peer,
            self._tell_peer,
            clock,
        )

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handlers for messages of other VMs.

        :param handlers: Message handlers of this entry VM's links.
        """
        self.keeper.register(handlers)
        self._news.register(handlers)

    def make_admission(self, targets: TargetSet) -> RoomAdmission:
        """Make the part that obtains room for requests.

        :param targets: Targets of the local VM.
        :return: Part for the dispatcher.
        """
        return RoomAdmission(self.gate, targets)

    def refresh(self) -> None:
        """Apply changes of the lists of targets and VMs."""
        self._vms = self._directory.vms()
        self.keeper.refresh()

    def stop(self) -> None:
        """Leave the room that this VM keeps to others."""
        self.keeper.stop()

    def add_gauges(self, metrics: Metrics) -> None:
        """Add the gauges of the room that this VM keeps.

        :param metrics: Registry of the metrics.
        """
        keeper = self.keeper
        books = keeper.books
        for name, description, read in (
            ('room_used', 'Granted room.', lambda: keeper.used),
            (
                'room_size',
                'Room that this VM may grant.',
                lambda: sum(book.size for book in books.values()),
            ),
            ('room_waiting', 'Asks that wait.', lambda: keeper.waiting),
            (
                'room_keeper_changes',
                'Changes of this VM as a keeper so far.',
                lambda: keeper.changes,
            ),
            (
                'room_placed_behind',
                'Asks behind the others of their rank so far.',
                lambda: sum(
                    book.refusals.fairness.behind for book in books.values()
                ),
            ),
            (
                'silent_targets',
                'Requests that targets were silent to so far.',
                lambda: sum(book.silent_count for book in books.values()),
            ),
        ):
            metrics.add_gauge(name, description, read)
        for refusal in Refusal:
            metrics.add_gauge(
                f'room_refused_{refusal.value}',
                'Requests refused room so far.',
                functools.partial(keeper.count_refusals, refusal),
            )

    async def run(self) -> None:
        """Free lapsed room and exchange news until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.keeper.run)
            tasks.start_soon(self._news.run)

    def _list_vms(self) -> list[VmRecord]:
        return list(self._vms.values())

    def _list_targets(self) -> list[Target]:
        listed = self._directory.targets(self._clock.monotonic())
        return [
            self._with_warmup(target)
            for target in listed.values()
            if not target.leaving
            and not self._statements.is_leaving(target.key)
        ]

    def _with_warmup(self, target: Target) -> Target:
        """Mark a target as cold only if its service has a warm-up."""
        is_cold = target.key in self._statements.cold.rates
        if bool(target.is_cold) == is_cold:
            return target
        return attrs.evolve(target, is_cold=is_cold)

    def _address(self, vm: str) -> Address:
        record = self._vms.get(vm)
        if record is None:
            raise LinkUnavailable(vm)
        return Address.parse(record.links)

    async def _ask_peer(self, vm: str, message: object) -> object:
        return await self._links.call(self._address(vm), message)

    def _tell_peer(self, vm: str, message: object) -> None:
        """Send a notice; the peer drops what a lost link has granted."""
        with suppress(LinkUnavailable):
            self._links.send(self._address(vm), message)
