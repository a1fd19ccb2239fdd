"""How an entry VM tells that it is cut off from targets."""

from __future__ import annotations

import pytest

from dogwoodmast.direct.reach import CUT_TARGETS, HEALED_TARGETS, ReachTracker

TARGETS = tuple((f's{number}', 1) for number in range(8))


@pytest.fixture
def reach() -> ReachTracker:
    """Make a tracker for ``TARGETS``.

    :return: Tracker without any experience.
    """
    tracker = ReachTracker()
    tracker.update(TARGETS)
    return tracker


def test_targets_that_ended_look_like_a_cut(reach: ReachTracker) -> None:
    """Any other target that can be connected to disproves the cut."""
    for target in TARGETS[: CUT_TARGETS - 1]:
        reach.on_connect(target, is_open=False)
    reach.on_connect(TARGETS[-1], is_open=True)
    reach.on_connect(TARGETS[CUT_TARGETS], is_open=False)
    assert not reach.is_cut
    assert not reach.can_reach(TARGETS[0])
    assert reach.can_reach(TARGETS[-1])


def test_cut_is_found_out_target_by_target(reach: ReachTracker) -> None:
    """A few targets suffice to spare all others their time-outs."""
    for target in TARGETS[:CUT_TARGETS]:
        reach.on_connect(target, is_open=False)
    assert reach.is_cut
    assert not any(reach.can_reach(target) for target in TARGETS)


def test_cut_that_heals_flaps(reach: ReachTracker) -> None:
    """A single connection, or one between failures, does not end the cut."""
    for target in TARGETS[:CUT_TARGETS]:
        reach.on_connect(target, is_open=False)
    reach.on_connect(TARGETS[-1], is_open=True)
    reach.on_connect(TARGETS[0], is_open=False)
    reach.on_connect(TARGETS[-2], is_open=True)
    assert reach.is_cut
    for target in TARGETS[-HEALED_TARGETS:]:
        reach.on_connect(target, is_open=True)
    assert not reach.is_cut
    assert not reach.can_reach(TARGETS[0])


def test_only_target_that_ended_cuts_the_vm_off_for_good() -> None:
    """With one target, one failure is a cut, and one success its end."""
    reach = ReachTracker()
    reach.update(TARGETS[:1])
    reach.on_connect(TARGETS[0], is_open=False)
    assert reach.is_cut
    reach.on_connect(TARGETS[0], is_open=True)
    assert not reach.is_cut
