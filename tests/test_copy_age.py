"""Age of the copy of the store by which keys were judged, in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import pytest

from dogwoodmast.direct.shard_coordinator import ShardCoordinator
from dogwoodmast.events import Event
from test_record_of_holds import (
    LONG_HOLD,
    StandingClock,
    make_coordinator,
    make_store,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

pytestmark = pytest.mark.anyio


async def test_freed_keys_tell_how_old_the_copy_was(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a log that cannot tell a lagging copy from an answer."""
    lines: list[tuple[Event, Mapping[str, Any]]] = []
    monkeypatch.setattr(
        f'{ShardCoordinator.__module__}.log_event',
        lambda event, **details: lines.append((event, details)),
    )
    clock = StandingClock()
    coordinator = make_coordinator(await make_store(LONG_HOLD), 6.0, clock)
    await coordinator.load()
    coordinator.on_targets([], [], copy_age=0.25)
    async with anyio.create_task_group() as tasks:
        coordinator.tick(tasks)
        clock.now += 60
        coordinator.tick(tasks)
    assert [
        (event, details['reason'], details['copy_age'])
        for event, details in lines
    ] == [(Event.KEYS_FREED, 'hold_expired', 0.25)]
