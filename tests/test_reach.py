"""How an entry VM tells that it is cut off from targets."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import pytest

from dogwoodmast.address import Address
from dogwoodmast.clock import ManualClock
from dogwoodmast.direct.catalog import Target, TargetKey
from dogwoodmast.direct.reach import HEALED_TARGETS, ReachTracker
from dogwoodmast.direct.target_connection import CONNECT_TIMEOUT
from dogwoodmast.direct.target_prober import CHECK_INTERVAL, TargetProber
from dogwoodmast.direct.target_set import TargetSet

if TYPE_CHECKING:
    from collections.abc import Iterable

ADDRESS = Address('10.0.0.1', 80)
TARGETS = tuple((f's{number}', 1) for number in range(8))
CUT_BUDGET = 2.5
"""Time within which a VM has to know that it is cut off from all targets of a
service, in seconds; callers have to be served through other VMs after 3 s."""
OTHERS = tuple((f'o{number}', 1) for number in range(4))


def listing(keys: Iterable[TargetKey], service: str = 's') -> list[Target]:
    """List targets of one service.

    :param keys: Keys of the targets.
    :param service: Name of the service.
    :return: Targets as the store lists them.
    """
    return [
        Target(name, service, ADDRESS, 'z', 4, False, born)
        for name, born in keys
    ]


@pytest.fixture
def reach() -> ReachTracker:
    """Make a tracker for two services.

    :return: Tracker without any experience.
    """
    tracker = ReachTracker()
    tracker.update([*listing(TARGETS), *listing(OTHERS, 'o')])
    return tracker


def fail_connection(reach: ReachTracker, target: TargetKey) -> None:
    """Let a new connection to a target fail.

    :param reach: Tracker of the VM.
    :param target: Target that cannot be connected to.
    """
    reach.on_connect(target, is_open=False)


def test_cut_of_a_zone_ends_requests_to_the_reached_targets(
    reach: ReachTracker,
) -> None:
    """Only the targets in other availability zones cannot be connected to."""
    for target in TARGETS[:-1]:
        fail_connection(reach, target)
        assert not reach.is_cut_off('s')
        assert reach.can_reach(TARGETS[-1])
    assert not any(reach.can_reach(target) for target in TARGETS[:-1])
    assert all(reach.can_reach(target) for target in OTHERS)


def test_targets_that_ended_look_like_a_cut(reach: ReachTracker) -> None:
    """Those that ended stay out of use, any other one is used."""
    for target in TARGETS[:3]:
        fail_connection(reach, target)
    reach.on_connect(TARGETS[-1], is_open=True)
    for target in TARGETS[3:5]:
        fail_connection(reach, target)
    assert not reach.is_cut_off('s')
    assert not any(reach.can_reach(target) for target in TARGETS[:5])
    assert all(reach.can_reach(target) for target in TARGETS[5:])


def test_cut_from_all_targets_is_taken_for_their_ends(
    reach: ReachTracker,
) -> None:
    """A service whose targets all fail counts as cut off, others do not."""
    for target in TARGETS:
        assert not reach.is_cut_off('s')
        fail_connection(reach, target)
    assert reach.is_cut_off('s')
    assert not any(reach.can_reach(target) for target in TARGETS)
    assert all(reach.can_reach(target) for target in OTHERS)
    assert not reach.is_cut_off('o')


def test_target_listed_during_a_cut_is_sent_requests(
    reach: ReachTracker,
) -> None:
    """It is not used before it has been connected to."""
    for target in TARGETS:
        fail_connection(reach, target)
    joined = ('s8', 1)
    reach.update([*listing([*TARGETS, joined]), *listing(OTHERS, 'o')])
    assert reach.is_cut_off('s')
    assert not reach.can_reach(joined)
    reach.on_connect(joined, is_open=True)
    assert reach.can_reach(joined)


def test_cut_that_heals_flaps(reach: ReachTracker) -> None:
    """A single target, or one that fails again, does not end the cut."""
    for target in TARGETS:
        fail_connection(reach, target)
    reach.on_connect(TARGETS[-1], is_open=True)
    assert reach.is_cut_off('s')
    assert reach.can_reach(TARGETS[-1])
    fail_connection(reach, TARGETS[-1])
    for target in TARGETS[:HEALED_TARGETS]:
        assert reach.is_cut_off('s')
        reach.on_connect(target, is_open=True)
    assert not reach.is_cut_off('s')
    assert not reach.can_reach(TARGETS[-1])


def test_few_targets_that_end_look_like_a_cut() -> None:
    """With less than ``MIN_TARGETS`` targets the VM never counts as cut off."""
    reach = ReachTracker()
    reach.update(listing(TARGETS[:2]))
    for target in TARGETS[:2]:
        fail_connection(reach, target)
        assert not reach.can_reach(target)
    assert not reach.is_cut_off('s')


def test_cut_is_told_to_all_vms_as_a_crash(reach: ReachTracker) -> None:
    """A crash counts once another target can be connected to."""
    told: list[str] = []
    reach.confirm(TARGETS[0], lambda: told.append('cut'))
    for target in TARGETS:
        fail_connection(reach, target)
    for target in TARGETS[-HEALED_TARGETS:]:
        reach.on_connect(target, is_open=True)
    assert not told
    reach.confirm(TARGETS[0], lambda: told.append('crash'))
    reach.on_connect(TARGETS[-1], is_open=True)
    assert told == ['crash']


def test_crash_is_told_late_since_a_probe_was_quick(
    reach: ReachTracker,
) -> None:
    """A probe reached another target before the crash was asked about.

    The news of it was lost, and the crash counted at the next connection only,
    half a second later.  Until then the request crashed other targets.
    """
    told: list[str] = []
    fail_connection(reach, TARGETS[0])
    reach.on_connect(TARGETS[1], is_open=True)
    reach.confirm(TARGETS[0], lambda: told.append('crash'))
    assert told == ['crash']


def test_earlier_connection_tells_a_cut_as_a_crash(reach: ReachTracker) -> None:
    """What was reached before the last failure, or in a cut, proves nothing."""
    told: list[str] = []
    fail_connection(reach, TARGETS[0])
    reach.on_connect(TARGETS[1], is_open=True)
    fail_connection(reach, TARGETS[0])
    reach.confirm(TARGETS[0], lambda: told.append('failed again'))
    assert not told
    reach.on_connect(TARGETS[1], is_open=True)
    assert told == ['failed again']
    for target in TARGETS[1:]:
        fail_connection(reach, target)
    for target in TARGETS[-HEALED_TARGETS:]:
        reach.on_connect(target, is_open=True)
    reach.confirm(TARGETS[0], lambda: told.append('failed before a cut'))
    assert told == ['failed again']


@pytest.mark.parametrize('count', [3, 26, 161])
def test_cut_from_many_targets_is_found_out_late(count: int) -> None:
    """All are probed within ``CUT_BUDGET``, although connections hang."""
    clock = ManualClock()
    targets = TargetSet('z', clock)
    listed = listing((f's{number}', 1) for number in range(count))
    reach = targets.reach
    reach.update(listed)
    prober = TargetProber(targets, clock)
    fail_connection(reach, listed[0].key)
    running: deque[tuple[float, TargetKey]] = deque()
    while not reach.is_cut_off('s'):
        assert clock.monotonic() < CUT_BUDGET
        for target in prober.due_probes(clock.monotonic()):
            prober.on_started(target)
            running.append((clock.monotonic() + CONNECT_TIMEOUT, target))
        clock.advance(CHECK_INTERVAL)
        while running and running[0][0] <= clock.monotonic():
            _, ended = running.popleft()
            fail_connection(reach, ended)
            prober.on_ended(ended)
