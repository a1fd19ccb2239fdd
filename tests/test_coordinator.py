"""Terms of a coordinator that gives up its role."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import anyio
import attrs
import pytest

from dogwoodmast.clock import SystemClock
from dogwoodmast.direct.coordinator import (
    RESIGNATION_RETRY_INTERVAL,
    TICK_INTERVAL,
    VACANCY_CHECK_INTERVAL,
    Coordinator,
    CoordinatorDependencies,
)
from dogwoodmast.direct.leadership import CoordinatorTerm, Leadership
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.direct.shard_coordinator import ShardCoordinator
from dogwoodmast.key_value import Snapshot
from dogwoodmast.store_position import make_position
from guarded_vm import make_table

if TYPE_CHECKING:
    from dogwoodmast.direct.directory import Directory
    from dogwoodmast.direct.reach import ReachTracker
    from dogwoodmast.key_value import PolledStore
    from dogwoodmast.link_pool import LinkPool

pytestmark = pytest.mark.anyio
SERVICE = SimpleNamespace(name='solde', sharded=True)
"""Service of the configuration."""


@attrs.define(eq=False)
class LastingRole:
    """Role that the store lets nobody give up, and what the holder sees."""

    term: CoordinatorTerm | None = None
    """Current term."""
    resignations: int = 0
    """Number of attempts to give up the role."""
    revision: int = 5
    """Revision of the copy of the store."""
    abandoned: list[CoordinatorTerm] = attrs.field(factory=list)
    """Terms that were ended without a call to the store."""
    updates: int = 0
    """Number of times at which the listed targets were read."""
    is_impaired: bool = False
    """Whether the VM reaches fewer targets than others."""
    route_table: SimpleNamespace = attrs.field(
        factory=lambda: SimpleNamespace(
            services={'solde': SERVICE}, longest_timeout=lambda _service: 0
        )
    )
    """Configuration."""

    async def campaign(self) -> CoordinatorTerm:
        """Begin the term."""
        self.term = CoordinatorTerm(5, 7)
        return self.term

    async def renew_until_lost(self, _term: CoordinatorTerm) -> None:
        """Renew the lease without end."""
        await anyio.sleep_forever()

    async def resign(self) -> None:
        """Fail to revoke the lease."""
        self.resignations += 1
        await anyio.sleep(TICK_INTERVAL / 10)

    def abandon(self, term: CoordinatorTerm) -> None:
        """End the term."""
        assert term is self.term
        self.abandoned.append(term)
        self.term = None

    async def read(self, _key: str) -> Snapshot:
        """Read a record that is not there."""
        return Snapshot(5, ())

    def targets(self, _now: float) -> dict[str, object]:
        """List no targets."""
        self.updates += 1
        return {}

    def known_targets(self) -> list[object]:
        """List no targets."""
        return []

    def coordinator(self) -> None:
        """List no coordinator."""

    def age(self, _now: float) -> float:
        """Tell the age of the copy of the store."""
        return 0

    def vms(self) -> dict[str, VmRecord]:
        """List no VMs."""
        return {}

    def is_cut_off(self, _service: str) -> bool:
        """Tell that the VM is impaired, but only once it has the role."""
        return self.term is not None


@attrs.define(eq=False)
class RoleOfStoppingVm(LastingRole):
    """Role of a VM that is told to stop at some time of its campaign."""

    leave: Callable[[], Awaitable[None]] | None = None
    """Called while a campaign is under way."""
    campaigns: int = 0
    """Number of campaigns."""
    failures: int = 0
    """Number of resignations that fail."""

    async def campaign(self) -> CoordinatorTerm:
        """Begin the term, and let the VM stop before."""
        self.campaigns += 1
        if self.leave is not None:
            await self.leave()
        return await super().campaign()

    async def resign(self) -> None:
        """Give up the role, unless the store fails."""
        await super().resign()
        if self.resignations > self.failures:
            self.term = None

    def is_cut_off(self, _service: str) -> bool:
        """Tell that the VM reaches its targets."""
        return False


def make_coordinator(role: LastingRole) -> Coordinator:
    """Make the coordinator of a VM.

    :param role: Role, and all that the VM sees.
    :return: Coordinator that does not run yet.
    """
    dependencies = CoordinatorDependencies(
        VmRecord('v1', 'a', '10.0.0.1:7000', 'i1'),
        cast('Directory', role),
        cast('PolledStore', role),
        cast('LinkPool', role),
        SystemClock(),
        longest_hold=10,
        reach=cast('ReachTracker', role),
    )
    return Coordinator(dependencies, cast('Leadership', role))


async def test_role_that_cannot_be_given_up_is_performed_meanwhile() -> None:
    """Keys are renewed while the store refuses to revoke the lease."""
    role = LastingRole()
    coordinator = make_coordinator(role)
    seconds = 2 * RESIGNATION_RETRY_INTERVAL
    with anyio.move_on_after(2 * VACANCY_CHECK_INTERVAL + seconds):
        await coordinator.run()
    assert role.updates >= seconds / TICK_INTERVAL / 2
    most = 2 + (VACANCY_CHECK_INTERVAL + seconds) / RESIGNATION_RETRY_INTERVAL
    assert 0 < role.resignations <= most


async def test_longest_timeout_of_a_service_is_that_of_any_of_its_routes() -> (
    None
):
    """Requests of several routes run at the targets of a service."""
    table = make_table(1)
    route = table.routes[0]
    longer = attrs.evolve(route, name='longer', timeout=route.timeout + 5)
    shorter = attrs.evolve(route, name='shorter', timeout=route.timeout / 2)
    table = attrs.evolve(table, routes=(route, longer, shorter))
    service = route.weighted_services[0].service
    assert table.longest_timeout(service) == longer.timeout
    assert table.longest_timeout('unknown') == 0


async def test_term_ends_when_the_copy_is_of_a_later_era() -> None:
    """Another VM has told of a restore, which has ended the lease.

    Guards against calls on behalf of a term that the store does not know.
    """
    role = LastingRole()
    coordinator = make_coordinator(role)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(coordinator.run)
        with anyio.fail_after(3 * VACANCY_CHECK_INTERVAL):
            while role.term is None:
                await anyio.sleep(TICK_INTERVAL)
        assert not role.abandoned
        role.revision = make_position(1, 3)
        await anyio.sleep(2 * TICK_INTERVAL)
        tasks.cancel_scope.cancel()
    assert role.abandoned == [CoordinatorTerm(5, 7)]


async def test_vm_that_stops_does_not_take_the_role() -> None:
    """Guards against a role that is held until the process ends."""
    role = RoleOfStoppingVm()
    coordinator = make_coordinator(role)
    with anyio.fail_after(3 * VACANCY_CHECK_INTERVAL):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(coordinator.run)
            await anyio.sleep(VACANCY_CHECK_INTERVAL / 2)
            await coordinator.leave()
    assert not role.campaigns


@pytest.mark.parametrize('failures', [1, 2])
async def test_vm_that_stops_gives_up_a_term_that_begins_then(
    failures: int,
) -> None:
    """The first resignation comes too early; others may fail."""
    role = RoleOfStoppingVm(failures=failures)
    coordinator = make_coordinator(role)
    role.leave = coordinator.leave
    seconds = failures * RESIGNATION_RETRY_INTERVAL
    with anyio.fail_after(2 * VACANCY_CHECK_INTERVAL + seconds):
        await coordinator.run()
    assert role.term is None
    assert role.campaigns == 1


async def test_connection_of_a_call_outlives_the_term(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections are closed after the calls that return them have ended."""
    ended: list[str] = []

    async def call() -> None:
        try:
            await anyio.sleep_forever()
        finally:
            ended.append('call')

    async def aclose(_shards: ShardCoordinator) -> None:
        ended.append('connections')

    monkeypatch.setattr(
        ShardCoordinator, 'tick', lambda _shards, tasks: tasks.start_soon(call)
    )
    monkeypatch.setattr(ShardCoordinator, 'aclose', aclose)
    role = RoleOfStoppingVm()
    coordinator = make_coordinator(role)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(coordinator.run)
        while not role.updates:
            await anyio.sleep(TICK_INTERVAL)
        await coordinator.leave()
    assert ended[-1] == 'connections'
    assert 'call' in ended
