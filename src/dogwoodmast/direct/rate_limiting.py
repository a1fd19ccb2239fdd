"""Parts of an entry VM that keep the rate limits of targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dogwoodmast.address import Address
from dogwoodmast.direct.knowledge.cold_targets import ColdTargets
from dogwoodmast.direct.knowledge.warm_up import WarmupTolerance
from dogwoodmast.direct.limit_announcer import LimitAnnouncer
from dogwoodmast.direct.named_limits import NamedLimits
from dogwoodmast.direct.rate_gate import RateGate
from dogwoodmast.direct.rate_keeper import RateKeeper
from dogwoodmast.direct.settings import Bounds
from dogwoodmast.direct.statement_book import StatementBook
from dogwoodmast.errors import LinkUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodmast.clock import Clock
    from dogwoodmast.direct.catalog import RouteTable
    from dogwoodmast.direct.directory import Directory
    from dogwoodmast.direct.sync_timing import SyncTiming
    from dogwoodmast.link_pool import LinkPool
    from dogwoodmast.message_handlers import MessageHandlers


class RateLimiting:
    """Knowledge of limits, permits for the own VM and those for others.

    Its attribute ``check_list`` tells whether all VMs list the same VMs once
    they have the same copy of the store; by default they do.
    """

    def __init__(
        self,
        vm: str,
        directory: Directory,
        links: LinkPool,
        clock: Clock,
        timing: SyncTiming,
        bounds: Bounds | None = None,
    ) -> None:
        """Create the parts; :meth:`run` has to be started.

        :param vm: Name of the local entry VM.
        :param directory: Local copy of the store.
        :param links: Links to other entry VMs.
        :param clock: Monotonic clock that also advances while the machine is
            suspended.
        :param timing: Timing of the copy of the store.
        :param bounds: Limits set by the platform contract; default: the
            defaults of the settings.
        """
        self._directory = directory
        self._links = links
        self._clock = clock
        self._timing = timing
        self.check_list: Callable[[], bool] | None = None
        self.limits = NamedLimits()
        self.cold = ColdTargets()
        self.apply_bounds(bounds or Bounds())
        self.statements = StatementBook(self.limits, self.cold)
        self.keeper = RateKeeper(
            vm,
            self.limits,
            self._list_vms,
            self._is_list_current,
            clock,
            self.cold,
        )
        self.gate = RateGate(
            vm,
            self.limits,
            self.keeper,
            self._list_vms,
            self._ask_peer,
            clock,
            self.cold,
        )
        self._announcer = LimitAnnouncer(
            vm,
            self.limits,
            self.keeper,
            self._list_vms,
            self._ask_peer,
            clock,
        )

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handler for requests of other VMs.

        :param handlers: Message handlers of this entry VM's links.
        """
        self.keeper.register(handlers)

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply limits set by the platform contract.

        :param bounds: Limits that hold from now on.
        """
        self.cold.tolerance = WarmupTolerance(
            bounds.warmup_overrun, bounds.warmup_slack
        )

    def refresh(self, table: RouteTable | None = None) -> None:
        """Apply changes of the lists of targets and VMs.

        :param table: Configuration in force, with the warm-up of services;
            default: no service has one.
        """
        now = self._clock.monotonic()
        targets = self._directory.targets(now)
        if table is not None:
            confirmed_at = now - self._directory.age(now)
            self.cold.update(targets.values(), table, confirmed_at, now)
        self.statements.retain([one.key for one in targets.values()])
        self.keeper.on_vms_changed()

    async def run(self) -> None:
        """Exchange news of limits with other VMs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.limits.run)
            tasks.start_soon(self.cold.run)
            tasks.start_soon(self._announcer.run)

    def _list_vms(self) -> list[str]:
        return list(self._directory.vms())

    def _is_list_current(self) -> bool:
        age = self._directory.age(self._clock.monotonic())
        if self.check_list is not None and not self.check_list():
            return False
        return age <= self._timing.bound

    async def _ask_peer(self, vm: str, message: object) -> object:
        record = self._directory.vms().get(vm)
        if record is None:
            raise LinkUnavailable(vm)
        return await self._links.call(Address.parse(record.links), message)
