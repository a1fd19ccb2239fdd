"""Terms of a coordinator that gives up its role."""

from __future__ import annotations

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
from dogwoodmast.key_value import Snapshot

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
    updates: int = 0
    """Number of times at which the listed targets were read."""
    is_impaired: bool = False
    """Whether the VM reaches fewer targets than others."""
    route_table: SimpleNamespace = attrs.field(
        factory=lambda: SimpleNamespace(services={'solde': SERVICE})
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


async def test_role_that_cannot_be_given_up_is_performed_meanwhile() -> None:
    """Keys are renewed while the store refuses to revoke the lease."""
    role = LastingRole()
    dependencies = CoordinatorDependencies(
        VmRecord('v1', 'a', '10.0.0.1:7000', 'i1'),
        cast('Directory', role),
        cast('PolledStore', role),
        cast('LinkPool', role),
        SystemClock(),
        longest_hold=10,
        reach=cast('ReachTracker', role),
    )
    coordinator = Coordinator(dependencies, cast('Leadership', role))
    seconds = 2 * RESIGNATION_RETRY_INTERVAL
    with anyio.move_on_after(2 * VACANCY_CHECK_INTERVAL + seconds):
        await coordinator.run()
    assert role.updates >= seconds / TICK_INTERVAL / 2
    most = 2 + (VACANCY_CHECK_INTERVAL + seconds) / RESIGNATION_RETRY_INTERVAL
    assert 0 < role.resignations <= most
