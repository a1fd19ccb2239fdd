"""Whether requests may be routed by the copy of the store."""

from __future__ import annotations

from typing import Any, cast

import anyio
import pytest

from dogwoodmast.clock import ManualClock
from dogwoodmast.direct.copy_freshness import CopyFreshness
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.sync_timing import SyncTiming
from dogwoodmast.key_value import Snapshot
from simulated_time import SimulatedClock, hold_up, run_simulated

BOUND = 2.0
LIMIT = 0.5
"""Limit of an attempt to read the store, in seconds."""
TIMING = SyncTiming(BOUND)


@pytest.fixture
def directory() -> Directory:
    """Make a copy that was confirmed at time zero."""
    made = Directory(cast('Any', None))
    made.on_snapshot(Snapshot(1, ()), 0)
    return made


@pytest.fixture
def clock() -> ManualClock:
    """Make a clock at time zero."""
    return ManualClock()


@pytest.fixture
def freshness(directory: Directory, clock: ManualClock) -> CopyFreshness:
    """Make the object under test."""
    made = CopyFreshness(directory, clock, TIMING)
    made.on_confirmed()
    return made


def test_held_up_vm_takes_its_old_copy_for_checked(
    freshness: CopyFreshness,
) -> None:
    """It is unchecked from the bound on."""
    assert not freshness.is_unchecked(BOUND)
    assert freshness.is_unchecked(BOUND + 0.01)


def test_service_ends_in_an_outage_of_the_store(
    freshness: CopyFreshness, clock: ManualClock
) -> None:
    """An attempt since the copy is overdue shows that nothing newer exists."""
    clock.advance(TIMING.max_age + 0.01)
    began_at = clock.monotonic()
    clock.advance(LIMIT)
    freshness.on_vain_attempt(began_at, LIMIT)
    assert not freshness.is_unchecked(BOUND + 0.01)
    while clock.monotonic() < 100:
        began_at = clock.monotonic()
        clock.advance(LIMIT)
        freshness.on_vain_attempt(began_at, LIMIT)
        clock.advance(BOUND / 2)
        assert not freshness.is_unchecked(clock.monotonic())


def test_vm_held_up_until_after_an_outage_keeps_its_old_copy(
    freshness: CopyFreshness, clock: ManualClock
) -> None:
    """What was tried before the hold-up proves nothing after it."""
    clock.advance(TIMING.max_age + 0.01)
    began_at = clock.monotonic()
    clock.advance(LIMIT)
    freshness.on_vain_attempt(began_at, LIMIT)
    assert not freshness.is_unchecked(began_at + BOUND)
    assert freshness.is_unchecked(began_at + BOUND + 0.01)


def test_requests_wait_before_the_first_read(clock: ManualClock) -> None:
    """There is nothing to check then."""
    freshness = CopyFreshness(Directory(cast('Any', None)), clock, TIMING)
    assert not freshness.is_unchecked(100)


def test_attempt_before_the_copy_was_overdue_counts(
    freshness: CopyFreshness, clock: ManualClock
) -> None:
    """Other sources would have been asked after it."""
    clock.advance(TIMING.max_age - 0.1)
    freshness.on_vain_attempt(clock.monotonic(), LIMIT)
    assert freshness.is_unchecked(BOUND + 0.01)


def test_attempt_before_the_last_confirmation_counts(
    freshness: CopyFreshness, clock: ManualClock, directory: Directory
) -> None:
    """An outage that ended says nothing about a later hold-up."""
    clock.advance(BOUND)
    freshness.on_vain_attempt(clock.monotonic(), LIMIT)
    clock.advance(1)
    directory.on_snapshot(Snapshot(1, ()), clock.monotonic())
    freshness.on_confirmed()
    assert freshness.is_unchecked(clock.monotonic() + BOUND + 0.01)


@pytest.mark.parametrize(('late', 'counts'), [(0.19, True), (0.21, False)])
def test_attempt_that_was_held_up_itself_counts(
    freshness: CopyFreshness, clock: ManualClock, late: float, *, counts: bool
) -> None:
    """One that ended over a tenth of the bound late proves nothing."""
    clock.advance(TIMING.max_age + 0.01)
    began_at = clock.monotonic()
    clock.advance(LIMIT + late)
    freshness.on_vain_attempt(began_at, LIMIT)
    assert freshness.is_unchecked(clock.monotonic() + LIMIT) != counts


@pytest.mark.parametrize('is_confirmed', [True, False])
def test_request_waits_on_after_the_check(
    directory: Directory, *, is_confirmed: bool
) -> None:
    """A confirmation and a vain attempt both end the wait."""

    async def scenario() -> float:
        freshness = CopyFreshness(directory, SimulatedClock(), TIMING)
        freshness.on_confirmed()
        hold_up(BOUND + 1)
        began_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(freshness.wait_checked)
            await anyio.sleep(0.1)
            if is_confirmed:
                directory.on_snapshot(Snapshot(2, ()), began_at)
                freshness.on_confirmed()
            else:
                freshness.on_vain_attempt(began_at, LIMIT)
        return anyio.current_time() - began_at

    assert run_simulated(scenario) == pytest.approx(0.1)


def test_request_waits_longer_than_the_read_may_take(
    directory: Directory,
) -> None:
    """Without any end of an attempt the wait has a limit of its own."""

    async def scenario() -> float:
        freshness = CopyFreshness(directory, SimulatedClock(), TIMING)
        freshness.on_confirmed()
        await freshness.wait_checked()
        assert not anyio.current_time()
        hold_up(BOUND + 1)
        began_at = anyio.current_time()
        await freshness.wait_checked()
        return anyio.current_time() - began_at

    assert run_simulated(scenario) == pytest.approx(TIMING.read_timeout)
