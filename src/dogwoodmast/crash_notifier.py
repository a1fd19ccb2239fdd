"""Sending and receiving of crash notices between entry VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast._wire import wire_message
from dogwoodmast.address import Address
from dogwoodmast.clock import Clock
from dogwoodmast.errors import LinkError
from dogwoodmast.events import Event, log_event
from dogwoodmast.link_pool import LinkPool
from dogwoodmast.quarantine import CrashNotice, Quarantine
from dogwoodmast.ticks import sleep_until_tick

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dogwoodmast.link import Link
    from dogwoodmast.message_handlers import MessageHandlers

SEND_INTERVAL = 0.2
"""Interval at which new notices are sent, in seconds. Callers rarely retry a
request sooner than this."""
SEND_TIMEOUT = 1.0
"""Time-out for sending a notice to one peer, in seconds."""


@wire_message('handover')
@attrs.frozen
class NoticeTaken:
    """Acknowledgement of a crash notice."""

    taken: bool
    """Always true; part of the message format."""


@attrs.define(eq=False)
class CrashNotifier:
    """Exchanges crash notices with all other entry VMs."""

    _clock: Clock
    _links: LinkPool
    _peers: Callable[[], Iterable[Address]]
    _quarantine: Quarantine

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handler for crash notices from peers.

        :param handlers: Message handlers of this entry VM's links.
        """
        handlers.register_direct(CrashNotice, self.on_crash_notice)

    async def run(self) -> None:
        """Send new notices to all peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for notice in self._quarantine.drain_notices():
                    self._send_to_all(tasks, notice)
                await sleep_until_tick(SEND_INTERVAL)

    def on_crash_notice(self, _link: Link, notice: CrashNotice) -> NoticeTaken:
        """Record a crash notice from a peer in the quarantine.

        :param notice: Request and crashed target.
        :return: Acknowledgement.
        """
        self._quarantine.on_notice(notice, self._clock.monotonic())
        return NoticeTaken(taken=True)

    def _send_to_all(self, tasks: TaskGroup, notice: CrashNotice) -> None:
        log_event(Event.TARGET_CRASHED, target=notice.target)
        for address in self._peers():
            tasks.start_soon(self._send, address, notice)

    async def _send(self, address: Address, notice: CrashNotice) -> None:
        try:
            with anyio.fail_after(SEND_TIMEOUT):
                await self._links.call(address, notice)
        except (LinkError, TimeoutError):
            log_event(Event.PEER_NOT_TOLD, peer=str(address))
