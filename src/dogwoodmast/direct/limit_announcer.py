"""News of rate limits, from the VM that sees one first to all others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.direct.named_limits import NamedLimits
from dogwoodmast.direct.rate_gate import AskPeer, VmNames, make_rate_request
from dogwoodmast.direct.rate_keeper import KEEPERS, RateKeeper, rank_keepers
from dogwoodmast.errors import LinkError
from dogwoodmast.events import Event, log_event
from dogwoodmast.ticks import sleep_until_tick

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

SEND_INTERVAL = 0.05
"""Pause between two checks for news, in seconds."""
SEND_TIMEOUT = 1.0
"""Time limit for telling one VM, in seconds."""


@attrs.define(eq=False)
class LimitAnnouncer:
    """Task that tells keepers what this VM saw, and all VMs what keepers know.

    A VM tells the keepers of a target, and these tell all VMs, so that one
    change costs one message for each VM.
    """

    _vm: str
    _limits: NamedLimits
    _keeper: RateKeeper
    _list_vms: VmNames
    _ask_peer: AskPeer
    _clock: Clock
    _seen: set[TargetKey] = attrs.field(factory=set)

    async def run(self) -> None:
        """Send news until cancelled."""
        self._limits.subscribe(self._seen.add)
        async with anyio.create_task_group() as tasks:
            while True:
                seen = list(self._seen)
                self._seen.clear()
                for target in seen:
                    keepers = rank_keepers(target, self._list_vms())[:KEEPERS]
                    self._send(tasks, target, keepers)
                for announced in self._keeper.drain_announcements():
                    self._send(tasks, announced, self._list_vms())
                await sleep_until_tick(SEND_INTERVAL)

    def _send(
        self, tasks: TaskGroup, target: TargetKey, vms: list[str]
    ) -> None:
        for vm in vms:
            tasks.start_soon(self._tell, vm, target)

    async def _tell(self, vm: str, target: TargetKey) -> None:
        now = self._clock.monotonic()
        request = make_rate_request(target, 0, self._limits, now)
        report = attrs.evolve(request, is_report=True)
        if vm == self._vm:
            self._keeper.on_request(report)
            return
        try:
            with anyio.fail_after(SEND_TIMEOUT):
                await self._ask_peer(vm, report)
        except (LinkError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            log_event(Event.PEER_NOT_TOLD, peer=vm, reason=reason)
