"""Configurations after a restore of the store, over real sockets."""

from __future__ import annotations

import time

import anyio
import pytest

from direct_fleet import direct_fleet, make_configuration, make_route
from metadata_store import StoreContent
from platform_target import PlatformTarget
from restoring_store import RestoringStore, StoreCopy, lose_changes

pytestmark = pytest.mark.anyio

APPLY_TIME = 2.0
"""Bound of configurations, in seconds: ``config_apply_s``."""


@pytest.mark.parametrize('restores', [1, 2])
async def test_configuration_that_is_written_after_a_restore_is_in_force(
    restores: int,
) -> None:
    """The copy of each VM is of a revision that the store has yet to reach.

    Guards against VMs that ignore the store until then, and for good what was
    written below that revision.
    """
    store = RestoringStore(StoreContent())
    async with direct_fleet(PlatformTarget('p'), vms=2, store=store) as fleet:
        await fleet.wait_until_ready()
        copy = StoreCopy.of(fleet.content)
        for _ in range(restores):
            lose_changes(fleet.content)
            await anyio.sleep(APPLY_TIME)
            store.restore(copy)
            await anyio.sleep(0.3)
        routes = [
            *make_configuration()['routes'],
            make_route('added', 'idempotent', 'paiement'),
        ]
        document = make_configuration(5, routes=routes)
        fleet.content.put_document('op/config', document)
        await anyio.sleep(APPLY_TIME)
        for vm in range(2):
            assert (await fleet.send_request('/added/x', vm=vm)).status == 200


async def test_configuration_that_a_restore_undoes_stays_in_force() -> None:
    """The operator writes it again a while after the restore.

    Guards against a VM that goes back to an older version.
    """
    store = RestoringStore(StoreContent())
    async with direct_fleet(PlatformTarget('p'), store=store) as fleet:
        await fleet.wait_until_ready()
        copy = StoreCopy.of(fleet.content)
        routes = [
            *make_configuration()['routes'],
            make_route('added', 'idempotent', 'paiement'),
        ]
        document = make_configuration(5, routes=routes)
        fleet.content.put_document('op/config', document)
        await anyio.sleep(APPLY_TIME)
        lose_changes(fleet.content)
        store.restore(copy, writes_again=False)
        until = time.monotonic() + APPLY_TIME
        while time.monotonic() < until:
            assert (await fleet.send_request('/added/x')).status == 200
            await anyio.sleep(0.05)
        fleet.content.put_document('op/config', document)
        await anyio.sleep(APPLY_TIME)
        assert (await fleet.send_request('/added/x')).status == 200
