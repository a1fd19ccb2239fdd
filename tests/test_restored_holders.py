"""Targets that hold keys after a restore of the store, over real sockets."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import pytest

from direct_fleet import DirectFleet, direct_fleet
from metadata_store import StoreContent
from platform_target import PlatformTarget
from restoring_store import RestoringStore, StoreCopy, lose_changes

if TYPE_CHECKING:
    from collections.abc import Callable


pytestmark = pytest.mark.anyio

APPLY_TIME = 2.0
"""Bound of configurations, in seconds: ``config_apply_s``."""
HOLD_TIME = 10.0
"""Longest time for which a target holds keys, in seconds: ``hold_max_s``."""
RECOVER_TIME = 15.0
"""Time within which service is back after a loss, in seconds: ``recover_s``."""


async def wait_until(condition: Callable[[], Any], seconds: float) -> None:
    """Wait until a condition holds.

    :param condition: Tells whether it holds.
    :param seconds: Longest time, in seconds.
    """
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.02)


def shared_keys(fleet: DirectFleet) -> set[int]:
    """Return keys that two targets hold now."""
    targets = fleet.targets.values()
    return {
        key
        for key in range(0, 65_536, 512)
        if sum(one.holds_key(key) for one in targets) > 1
    }


def low_keys(fleet: DirectFleet) -> set[int]:
    """Return keys whose holder has a token that is not the highest."""
    targets = fleet.targets.values()
    return {
        key
        for key in range(0, 65_536, 512)
        for holder in targets
        if holder.holds_key(key)
        and any(
            holder.highest_fences[key] <= one.highest_fences.get(key, 0)
            for one in targets
            if one is not holder
        )
    }


def all_held(fleet: DirectFleet) -> bool:
    """Tell whether each key has a holder."""
    targets = fleet.targets.values()
    return all(
        any(one.holds_key(key) for one in targets)
        for key in range(0, 65_536, 512)
    )


@attrs.define(eq=False)
class HolderWatch:
    """Watch of the targets that hold keys."""

    fleet: DirectFleet
    """Running fleet."""
    shared: set[int] = attrs.field(factory=set)
    """Keys that two targets held at the same time."""
    low: set[int] = attrs.field(factory=set)
    """Keys whose holder took them with a token that was not the highest."""

    async def run(self) -> None:
        """Look at the targets until cancelled."""
        while True:
            self.shared |= shared_keys(self.fleet)
            self.low |= low_keys(self.fleet)
            await anyio.sleep(0.02)


@pytest.mark.parametrize('restores', [1, 2])
@pytest.mark.parametrize('knows_shards', [False, True])
async def test_keys_have_one_holder_after_a_restore(
    knows_shards: bool, restores: int
) -> None:
    """Keys have moved since the copy was made, or were first granted then.

    Guards against a coordinator that takes the restored assignments, or their
    absence, for the latest ones.
    """
    store = RestoringStore(StoreContent())
    first, second = (PlatformTarget(one, sharded=True) for one in 'ab')
    async with (
        direct_fleet(first, second, vms=2, store=store) as fleet,
        anyio.create_task_group() as tasks,
    ):
        copy = StoreCopy.of(fleet.content)
        await fleet.wait_until_ready()
        await wait_until(lambda: all_held(fleet), HOLD_TIME)
        if knows_shards:
            copy = StoreCopy.of(fleet.content)
            fleet.list_target('a', state='draining')
            await wait_until(
                lambda: not any(map(first.holds_key, range(65_536))), HOLD_TIME
            )
            await wait_until(lambda: all_held(fleet), HOLD_TIME)
            fleet.list_target('a')
        lose_changes(fleet.content)
        watch = HolderWatch(fleet)
        tasks.start_soon(watch.run)
        for _ in range(restores):
            store.restore(copy)
            await anyio.sleep(1.2)
        await wait_until(lambda: not all_held(fleet), HOLD_TIME)
        await wait_until(lambda: all_held(fleet), RECOVER_TIME)
        assert not watch.shared
        assert not watch.low
        for vm in range(2):
            response = await fleet.send_request('/balance/x', key=7, vm=vm)
            assert response.status == 200
        tasks.cancel_scope.cancel()


async def test_keys_are_served_by_their_holders_after_a_restore() -> None:
    """Until its hold ends, a holder serves its keys although none are granted.

    Guards against VMs that reject what can be served.
    """
    store = RestoringStore(StoreContent())
    target = PlatformTarget('a', sharded=True)
    async with direct_fleet(target, vms=2, store=store) as fleet:
        await fleet.wait_until_ready()
        await wait_until(lambda: all_held(fleet), HOLD_TIME)
        copy = StoreCopy.of(fleet.content)
        lose_changes(fleet.content)
        await anyio.sleep(APPLY_TIME)
        store.restore(copy)
        served = 0
        until = time.monotonic() + HOLD_TIME
        while target.holds_key(7) and time.monotonic() < until:
            for vm in range(2):
                response = await fleet.send_request('/balance/x', key=7, vm=vm)
                assert response.status == 200 or not target.holds_key(7)
                served += response.status == 200
            await anyio.sleep(0.05)
        assert served
