"""Listed targets after a restore of the store, over real sockets."""

from __future__ import annotations

import time

import anyio
import pytest

from direct_fleet import direct_fleet
from metadata_store import StoreContent
from platform_target import PlatformTarget
from restoring_store import RestoringStore, StoreCopy, lose_changes

pytestmark = pytest.mark.anyio

APPLY_TIME = 2.0
"""Bound of configurations, in seconds: ``config_apply_s``."""
DRAIN_TIME = 2.0
"""Bound of targets that leave, in seconds: ``drain_s``."""
RELIST_TIME = 2.0
"""Time within which the platform's writers list themselves again after the
store has returned, in seconds."""


@pytest.mark.parametrize('is_unlisted', [False, True])
async def test_target_that_left_before_a_restore_gets_no_requests(
    is_unlisted: bool,
) -> None:
    """The copy lists it as ready until it writes its entry again."""
    store = RestoringStore(StoreContent())
    leaving, staying = PlatformTarget('leaving'), PlatformTarget('staying')
    async with direct_fleet(leaving, staying, store=store) as fleet:
        await fleet.wait_until_ready()
        copy = StoreCopy.of(fleet.content)
        if is_unlisted:
            fleet.unlist_target('leaving')
        else:
            fleet.list_target('leaving', state='draining')
        lose_changes(fleet.content)
        await anyio.sleep(APPLY_TIME + DRAIN_TIME)
        leaving.runs.clear()
        store.restore(copy, writes_again=False)
        for _ in range(60):
            assert (await fleet.send_request('/payment/x')).status == 200
            await anyio.sleep(0.05)
        assert not leaving.runs
        # A target that is back says so itself.
        fleet.list_target('leaving', sequence=9)
        with anyio.fail_after(APPLY_TIME):
            while not leaving.runs:
                await fleet.send_request('/payment/x')


async def test_target_that_a_restore_unlists_is_not_gone_at_once() -> None:
    """Its entry is back within two seconds, as the platform says."""
    store = RestoringStore(StoreContent())
    target = PlatformTarget('p')
    async with direct_fleet(target, store=store) as fleet:
        fleet.unlist_target('p')
        copy = StoreCopy.of(fleet.content)
        fleet.list_target('p')
        await fleet.wait_until_ready()
        lose_changes(fleet.content)
        await anyio.sleep(APPLY_TIME)
        store.restore(copy, writes_again=False)
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            assert (await fleet.send_request('/payment/x')).status == 200
            await anyio.sleep(0.05)
        await anyio.sleep(APPLY_TIME + 1.0)
        target.runs.clear()
        assert (await fleet.send_request('/payment/x')).status == 503
        assert not target.runs
