"""When ledgers are handed over."""

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
OTHER = Grant('balance/2', 1)


@attrs.define
class FakeProxy:
    """Front under whose grants something runs."""

    running: set[Grant]

    def unsettled(self) -> frozenset[Grant]:
        """List the grants under which something runs."""
        return frozenset(self.running)

    def export_ledger(self, grant: Grant) -> LedgerExtract:
        """Close a ledger."""
        return LedgerExtract(grant.partition, 0, ())


@attrs.define
class FakeSender:
    """Next leaseholder, which refuses at first."""

    refusals: int = 0
    taken: list[str] = attrs.field(factory=list)

    async def send(self, extract: LedgerExtract) -> bool:
        """Take a ledger unless it is too early."""
        self.refusals -= 1
        if self.refusals >= 0:
            return False
        self.taken.append(extract.partition)
        return True


async def hand_over(
    proxy: FakeProxy, sender: FakeSender, *, with_lease: bool
) -> LedgerHandover:
    """Hand a ledger over for a few polls."""
    handover = LedgerHandover(
        't', cast('TargetProxy', proxy), GRANT, 2, with_lease
    )
    with anyio.move_on_after(10 * POLL_INTERVAL):
        await handover.run(sender)
    return handover


@pytest.mark.parametrize('with_lease', [True, False])
async def test_settled_grant_is_handed_over(with_lease: bool) -> None:
    """A ledger is sent until the next leaseholder takes it."""
    sender = FakeSender(refusals=2)
    handover = await hand_over(FakeProxy(set()), sender, with_lease=with_lease)
    assert handover.done
    assert sender.taken == [GRANT.partition]


@pytest.mark.parametrize('with_lease', [True, False])
async def test_running_grant_is_not_handed_over(with_lease: bool) -> None:
    """Nothing is sent while something runs under the grant."""
    sender = FakeSender()
    handover = await hand_over(
        FakeProxy({GRANT}), sender, with_lease=with_lease
    )
    assert not handover.done
    assert not sender.taken


async def test_ledgers_wait_for_the_whole_target_with_its_lease() -> None:
    """A ledger that came long before the lease would be of no use."""
    sender = FakeSender()
    handover = await hand_over(FakeProxy({OTHER}), sender, with_lease=True)
    assert not handover.done
    moved = await hand_over(FakeProxy({OTHER}), sender, with_lease=False)
    assert moved.done
