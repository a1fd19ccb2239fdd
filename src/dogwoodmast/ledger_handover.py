"""Handover of a partition's ledger to its next leaseholder.

The ledger holds the request ids of the partition and their results, by which
a repeated request is recognised.
"""

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
"""Time between two checks whether requests have ended, and between two tries
to send the ledger, in seconds."""
SEND_TIMEOUT = 1.0
"""Time for which sending the ledger is retried, in seconds."""


class LedgerSender(Protocol):
    """Sender of ledgers to the next leaseholders of their partitions."""

    async def send(self, extract: LedgerExtract) -> bool:
        """Try once to send a ledger.

        :param extract: Contents of the ledger.
        :return: Whether the next leaseholder imported it.
        """


@attrs.define(eq=False)
class LedgerHandover:
    """Handover of the ledger of one grant that was replaced.

    The next leaseholder can use a ledger only if it starts to dispatch soon
    after it received it.  So if the target's lease moves too, each ledger
    is kept back until no request of the target runs.  If the next
    leaseholder does not import the ledger in time, it starts with an empty
    one, which refuses all request ids that may have been used before.
    """

    target: str
    """Name of the target that the grant was for."""
    _proxy: TargetProxy
    _grant: Grant
    version: int
    """Version of the zone's record that replaced the grant."""
    _lease_moves: bool
    _done: bool = False

    @property
    def done(self) -> bool:
        """Whether no request runs and the ledger was sent or dropped."""
        return self._done

    async def run(self, sender: LedgerSender) -> None:
        """Wait until the requests have ended, then send the ledger.

        :param sender: Sender to the next leaseholder.
        """
        await _poll_until(self._is_settled)
        extract = self._proxy.export_ledger(self._grant)
        if extract is not None:
            await self._send(sender, extract)
        self._done = True

    def _is_settled(self) -> bool:
        unsettled = self._proxy.unsettled()
        if self._lease_moves:
            return not unsettled
        return self._grant not in unsettled

    async def _send(self, sender: LedgerSender, extract: LedgerExtract) -> None:
        retry_until = anyio.current_time() + SEND_TIMEOUT
        while anyio.current_time() < retry_until:
            if await sender.send(extract):
                return
            await anyio.sleep(POLL_INTERVAL)
        log_event(Event.LEDGER_GIVEN_UP, partition=extract.partition)


async def _poll_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110, a grant may settle by time alone
        await anyio.sleep(POLL_INTERVAL)
