"""How entry VMs get the shard table of a new coordinator."""

from __future__ import annotations

import anyio
import pytest

from dogwoodmast._wire import encode
from dogwoodmast.direct.catalog import CallerLimits, RoutedService, RouteTable
from dogwoodmast.direct.directory import SHARD_PREFIX
from dogwoodmast.direct.messages import ShardAssignment, ShardRecord
from simulated_time import run_simulated
from sync_simulation import SimulatedFleet, VmFault

SERVICE = 'balance'
CONFIGURATION = RouteTable(
    1,
    (),
    {SERVICE: RoutedService(SERVICE, 0, sharded=True)},
    CallerLimits(8192, 65_536, 1, 10),
)
SHARDS = 480
"""Number of shards; 60 targets get as many at first."""
THIN_LINK_BYTES = 1_250_000
"""Bytes that the thinnest links of the platform contract carry in a second."""


def make_record() -> ShardRecord:
    """Make a stored record whose shards take a table of usual size.

    :return: Record of an earlier term.
    """
    width = 65_536 // SHARDS
    assignments = tuple(
        ShardAssignment(
            number * width,
            (number + 1) * width - 1,
            f'i-{number % 60 * 7919:010x}',
            1_796_000_000_000 + number % 60 * 37,
            1_000_000 + number,
            True,
        )
        for number in range(SHARDS)
    )
    return ShardRecord(SERVICE, 1, 5, assignments)


def make_fleet(per_zone: int) -> SimulatedFleet:
    """Make a fleet whose store holds a sharded service with its record.

    :param per_zone: Number of entry VMs in each of three zones.
    :return: Fleet without a coordinator.
    """
    fleet = SimulatedFleet(2.0, configuration=CONFIGURATION)
    fleet.add_vms(3, per_zone)
    fleet.store.put('op/config', b'{}')
    fleet.store.put(f'{SHARD_PREFIX}{SERVICE}', encode(make_record()))
    return fleet


def is_current(fleet: SimulatedFleet, epoch: int) -> bool:
    """Check whether all running VMs have the table of a term.

    :param fleet: Fleet to check.
    :param epoch: Epoch of the term.
    :return: Whether none has an older table.
    """
    return all(
        vm.view.table(SERVICE).epoch == epoch
        for vm in fleet.vms
        if vm.fault is VmFault.NONE
    )


async def take_over(fleet: SimulatedFleet) -> tuple[int, float]:
    """End a coordinator and wait until all VMs have its successor's table.

    :param fleet: Running fleet with a coordinator.
    :return: Most bytes that any VM sent meanwhile, and the time in seconds
        since the successor took the role.
    """
    first = fleet.coordinator()
    assert first is not None
    first.fault = VmFault.POWER
    first.stop()
    fleet.store.revoke(1)
    while fleet.coordinator() is None:
        await anyio.sleep(0.01)
    taken_at = anyio.current_time()
    before = [vm.sent_bytes for vm in fleet.vms]
    while not is_current(fleet, fleet.epoch):
        await anyio.sleep(0.01)
        assert anyio.current_time() < taken_at + 5
    after = [vm.sent_bytes for vm in fleet.vms]
    sent = max(end - start for start, end in zip(before, after, strict=True))
    return sent, anyio.current_time() - taken_at


@pytest.mark.parametrize('per_zone', [2, 24, 40])
def test_takeover_does_not_fill_the_link_of_the_new_coordinator(
    per_zone: int,
) -> None:
    """Every VM lacks the whole table of the new term."""

    async def scenario() -> tuple[int, float]:
        fleet = make_fleet(per_zone)
        async with fleet.running():
            while fleet.coordinator() is None or not is_current(
                fleet, fleet.epoch
            ):
                await anyio.sleep(0.1)
            return await take_over(fleet)

    sent, seconds = run_simulated(scenario)
    # Half of the link is left to callers.
    assert sent < THIN_LINK_BYTES / 2
    assert seconds < 3
