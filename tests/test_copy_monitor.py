"""Log lines about copies of the store that are older than the bound."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from dogwoodmast.address import Address
from dogwoodmast.clock import ManualClock
from dogwoodmast.direct.copy_monitor import CopyMonitor
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.source_selector import VmSource
from dogwoodmast.direct.sync_activity import SyncActivity
from dogwoodmast.direct.sync_timing import SyncTiming
from dogwoodmast.events import Event
from dogwoodmast.key_value import Snapshot

if TYPE_CHECKING:
    import pytest

BOUND = 2.0


def test_outdated_copy_is_logged_once_with_what_is_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One line when the copy exceeds the bound, one when it is confirmed."""
    lines: list[tuple[Event, dict[str, Any]]] = []
    monkeypatch.setattr(
        'dogwoodmast.direct.copy_monitor.log_event',
        lambda event, **fields: lines.append((event, fields)),
    )
    clock = ManualClock()
    directory = Directory(cast('Any', None))
    activity = SyncActivity(directory)
    monitor = CopyMonitor(directory, activity, clock, SyncTiming(BOUND))
    monitor.check(clock.monotonic())
    directory.on_snapshot(Snapshot(7, ()), clock.monotonic())
    clock.advance(1)
    activity.on_attempt(VmSource('vm-2', Address('10.0.0.2', 1)), 1)
    for _ in range(2):
        clock.advance(1)
        monitor.check(clock.monotonic())
    directory.on_snapshot(Snapshot(8, ()), clock.monotonic())
    monitor.check(clock.monotonic())
    assert lines == [
        (
            Event.COPY_OUTDATED,
            {
                'age': 3,
                'source': 'vm-2',
                'attempt_seconds': 2,
                'store_failures': 0,
                'revision': 7,
            },
        ),
        (
            Event.COPY_CURRENT,
            {'source': 'vm-2', 'greatest_age': 3, 'revision': 8},
        ),
    ]
