"""Copy of the store of an entry VM that was suspended."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import pytest

from dogwoodmast.address import Address
from dogwoodmast.clock import ManualClock
from dogwoodmast.direct.copy_freshness import CopyFreshness
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.directory_sync import DirectorySync, SyncDependencies
from dogwoodmast.direct.messages import DirectoryPage
from dogwoodmast.direct.shard_view import ShardView
from dogwoodmast.direct.source_selector import SourceSelector, VmSource
from dogwoodmast.direct.sync_timing import SyncTiming
from dogwoodmast.errors import LinkUnavailable

if TYPE_CHECKING:
    from dogwoodmast.link_pool import LinkPool

BOUND = 2.5
MANY_PULLS = 1100
"""Pulls in vain, as a VM makes in two minutes without its links."""
SOURCE = VmSource('b', Address('10.0.0.2', 1))


class _UnreadStore:
    """Store that the VM does not read."""

    is_arriving = False


def make_sync(links: LinkPool, clock: ManualClock) -> DirectorySync:
    """Make the synchronisation of a VM that reads from others only.

    :param links: Links to other VMs.
    :param clock: Clock of the VM.
    :return: Synchronisation with an empty copy.
    """
    directory = Directory(cast('Any', None))
    timing = SyncTiming(BOUND)
    return DirectorySync(
        SourceSelector('a', 'z'),
        SyncDependencies(
            directory,
            ShardView(),
            cast('Any', _UnreadStore()),
            links,
            clock,
            CopyFreshness(directory, clock, timing),
        ),
        timing,
    )


class _FrozenLinks:
    """Links of a VM that is suspended before it reads the answer."""

    def __init__(self, clock: ManualClock, seconds: float) -> None:
        self._clock = clock
        self._seconds = seconds

    async def call(self, _address: Address, _message: object) -> DirectoryPage:
        """Answer with a page that was current when it was sent."""
        self._clock.advance(self._seconds)
        return DirectoryPage(revision=7, age=0.1, items=(), is_complete=True)


@pytest.mark.anyio
@pytest.mark.parametrize('seconds', [0.01, 1.5, 1.7, 4, 60])
async def test_vm_that_was_suspended_ends_with_an_exception(
    seconds: float,
) -> None:
    """The page is older than the VM may wait for the next one by then."""
    clock = ManualClock()
    sync = make_sync(cast('LinkPool', _FrozenLinks(clock, seconds)), clock)
    directory = sync._directory
    await sync._pull(SOURCE, clock.monotonic())
    assert directory.revision == 7
    assert directory.age(clock.monotonic()) == pytest.approx(seconds + 0.1)


class _RefusingLinks:
    """Links to VMs that have ended."""

    async def call(self, address: Address, _message: object) -> DirectoryPage:
        """Refuse the connection."""
        raise LinkUnavailable(str(address))


@pytest.mark.anyio
async def test_vm_that_pulls_in_vain_for_minutes_goes_on() -> None:
    """The time limit of its pulls can still be computed."""
    sync = make_sync(cast('LinkPool', _RefusingLinks()), ManualClock())
    for _ in range(MANY_PULLS):
        await sync._pull(SOURCE, 0)
