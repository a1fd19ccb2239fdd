"""Target that records grants, releases and runs with their times."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import attrs

from harness.holds import HoldLog
from platform_target import PlatformTarget

if TYPE_CHECKING:
    from dogwoodmast._asgi import Receive, Scope, Send


@attrs.frozen
class Run:
    """Request that a target began to run."""

    at: float
    """Monotonic time, in seconds."""
    target: str
    """Name of the target."""
    attempt: str
    """Attempt ID."""
    key: int
    """Shard key; -1 for none."""
    path: str
    """Path with query, as it arrived."""


@attrs.define(eq=False)
class RecordingTarget(PlatformTarget):
    """The project's stand-in of a target, with a record."""

    holds: HoldLog = attrs.field(factory=HoldLog, kw_only=True)
    """Record of grants and releases, which targets share."""
    began: list[Run] = attrs.field(factory=list, kw_only=True)
    """Record of runs, which targets share."""

    async def _grant(self, call: dict[str, Any], send: Send) -> None:
        keys = range(call['from'], call['target'] + 1)
        is_refused = any(
            self.highest_fences.get(key, 0) > call['fence'] for key in keys
        )
        if not is_refused:
            self.holds.on_grant(self.name, call)
        await super()._grant(call, send)

    async def _release(self, call: dict[str, Any], send: Send) -> None:
        self.holds.on_release(self.name, call)
        await super()._release(call, send)

    async def _run(
        self,
        scope: Scope,
        headers: dict[str, str],
        receive: Receive,
        send: Send,
    ) -> None:
        key = int(headers.get('shard-key', '-1'))
        if not self.sharded or self.holds_key(key):
            attempt = headers['request-attempt-id']
            path = scope['raw_path'].decode()
            self.began.append(
                Run(time.monotonic(), self.name, attempt, key, path)
            )
        await super()._run(scope, headers, receive, send)
