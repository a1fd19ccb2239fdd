"""Times at which ledgers are handed over."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import anyio
import attrs
import pytest

from dogwoodmast.backend import Grant
from dogwoodmast.ledger_extract import LedgerExtract
from dogwoodmast.ledger_handover import POLL_INTERVAL, LedgerHandover

if TYPE_CHECKING:
    from dogwoodmast.target_proxy import TargetProxy

pytestmark = pytest.mark.anyio

GRANT = Grant('balance/1', 1)
OTHER_GRANT = Grant('balance/2', 1)


@attrs.define
class FakeProxy:
    """Proxy with running requests under some grants."""

    running: set[Grant]
    """Grants under which requests run."""

    def unsettled(self) -> frozenset[Grant]:
        """Return the grants under which requests run."""
        return frozenset(self.running)

    def export_ledger(self, grant: Grant) -> LedgerExtract:
        """Return an empty extract."""
        return LedgerExtract(grant.partition, 0, ())


@attrs.define
class FakeSender:
    """Sender to a next leaseholder that refuses ledgers at first."""

    refusals: int = 0
    """Number of refusals before a ledger is imported."""
    imported: list[str] = attrs.field(factory=list)
    """Partitions whose ledgers were imported."""

    async def send(self, extract: LedgerExtract) -> bool:
        """Record a ledger as imported, unless it is refused."""
        self.refusals -= 1
        if self.refusals >= 0:
            return False
        self.imported.append(extract.partition)
        return True


async def hand_over(
    proxy: FakeProxy, sender: FakeSender, *, lease_moves: bool
) -> LedgerHandover:
    """Run a handover for up to ten poll intervals."""
    handover = LedgerHandover(
        't', cast('TargetProxy', proxy), GRANT, 2, lease_moves
    )
    with anyio.move_on_after(10 * POLL_INTERVAL):
        await handover.run(sender)
    return handover


@pytest.mark.parametrize('lease_moves', [True, False])
async def test_settled_grant_is_handed_over(lease_moves: bool) -> None:
    """A ledger is sent again until the next leaseholder imports it.

    It may arrive before the next leaseholder knows of its new assignment.
    """
    sender = FakeSender(refusals=2)
    handover = await hand_over(
        FakeProxy(set()), sender, lease_moves=lease_moves
    )
    assert handover.done
    assert sender.imported == [GRANT.partition]


@pytest.mark.parametrize('lease_moves', [True, False])
async def test_running_grant_is_not_handed_over(lease_moves: bool) -> None:
    """No ledger is sent while a request runs under its grant.

    The ledger would lack the result of that request.
    """
    sender = FakeSender()
    handover = await hand_over(
        FakeProxy({GRANT}), sender, lease_moves=lease_moves
    )
    assert not handover.done
    assert not sender.imported


async def test_ledger_is_kept_back_until_the_lease_can_move() -> None:
    """If the lease moves too, requests of other grants delay the handover.

    A ledger that is imported long before the lease is granted expires.
    """
    sender = FakeSender()
    handover = await hand_over(
        FakeProxy({OTHER_GRANT}), sender, lease_moves=True
    )
    assert not handover.done
    without_lease = await hand_over(
        FakeProxy({OTHER_GRANT}), sender, lease_moves=False
    )
    assert without_lease.done
