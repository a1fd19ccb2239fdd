"""Handover of a partition's ledger to its next leaseholder."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import anyio
import attrs

from dogwoodmast.backend import Grant
from dogwoodmast.events import Event, log_event
from dogwoodmast.target_proxy import TargetProxy

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodmast.ledger_extract import LedgerExtract

POLL_INTERVAL = 0.02
"""Time between looks whether a partition has settled, in seconds."""
SEND_TIMEOUT = 1.0
"""Time in which the next leaseholder must take the ledger, in seconds."""


class LedgerSender(Protocol):
    """Sender of ledgers to the leaseholders that come next."""

    async def send(self, extract: LedgerExtract) -> bool:
        """Send a ledger once.

        :param extract: The ledger.
        :return: Whether the next leaseholder took it.
        """


@attrs.define(eq=False)
class LedgerHandover:
    """Handover of one grant's ledger.

    A ledger is good for the next leaseholder only if it can dispatch soon
    after.  So where the target's lease passes on too, every ledger waits
    until nothing of the target runs.  If the next leaseholder does not take
    the ledger in time, it starts a new one, which refuses the request ids
    that it cannot know.
    """

    target: str
    """Target that the grant was for."""
    _front: TargetProxy
    _grant: Grant
    version: int
    """Version of the record that replaced the grant."""
    _with_lease: bool
    _done: bool = False

    @property
    def done(self) -> bool:
        """Whether the grant has settled and its ledger is handed over."""
        return self._done

    async def run(self, sender: LedgerSender) -> None:
        """Wait until the grant has settled and send its ledger.

        :param sender: Sender of the ledger.
        """
        await _poll_until(self._is_settled)
        extract = self._front.export_ledger(self._grant)
        if extract is not None:
            await self._send(sender, extract)
        self._done = True

    def _is_settled(self) -> bool:
        unsettled = self._front.unsettled()
        if self._with_lease:
            return not unsettled
        return self._grant not in unsettled

    async def _send(self, sender: LedgerSender, extract: LedgerExtract) -> None:
        give_up = anyio.current_time() + SEND_TIMEOUT
        while anyio.current_time() < give_up:
            if await sender.send(extract):
                return
            await anyio.sleep(POLL_INTERVAL)
        log_event(Event.LEDGER_GIVEN_UP, partition=extract.partition)


async def _poll_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110, settling is a matter of time
        await anyio.sleep(POLL_INTERVAL)
