"""Registrations of entry VMs after a restore of the store."""

from __future__ import annotations

import anyio
import pytest

from direct_fleet import direct_fleet
from metadata_store import StoreContent
from platform_target import PlatformTarget
from restoring_store import RestoringStore, StoreCopy, lose_changes

pytestmark = pytest.mark.anyio

APPLY_TIME = 2.0
"""Bound of configurations, in seconds: ``config_apply_s``."""
RELIST_TIME = 2.0
"""Time within which the platform's writers list themselves again after the
store has returned, in seconds."""


@pytest.mark.parametrize('is_listed', [False, True])
async def test_vm_that_a_restore_unlists_registers_again(
    is_listed: bool,
) -> None:
    """The copy has no record of it, or one whose lease is about to end.

    Guards against a VM that others do not know until it renews its lease, which
    it does every four seconds.
    """
    store = RestoringStore(StoreContent())
    async with direct_fleet(PlatformTarget('p'), vms=2, store=store) as fleet:
        copy = StoreCopy.of(fleet.content)
        await fleet.wait_until_ready()
        if is_listed:
            copy = StoreCopy.of(fleet.content)
        lose_changes(fleet.content)
        await anyio.sleep(APPLY_TIME)
        for _ in range(2):
            store.restore(copy)
            await anyio.sleep(RELIST_TIME)
            for vm in range(2):
                record = fleet.content.items[f'dogwoodmast/vms/vm{vm}']
                assert record.lease in fleet.content.leases
                assert record.lease not in copy.leases
