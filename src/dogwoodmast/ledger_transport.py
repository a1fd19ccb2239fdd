"""Transfer of partitions' ledgers between entry VMs, over links."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast._wire import wire_message
from dogwoodmast.errors import LinkError
from dogwoodmast.ledger_extract import LedgerExtract
from dogwoodmast.routing import RoutingError

if TYPE_CHECKING:
    from dogwoodmast.link import Link
    from dogwoodmast.link_pool import LinkPool
    from dogwoodmast.message_handlers import MessageHandlers
    from dogwoodmast.proxy_set import ProxySet


@wire_message('handover')
@attrs.frozen
class LedgerTaken:
    """Reply to a ledger that was handed over."""

    taken: bool
    """Whether the receiver imported it."""


class LedgerTransport:
    """Sends ledgers to their next leaseholders, and imports those of peers.

    A ledger holds the request ids of one partition and their results.
    """

    def __init__(self, vm: str, links: LinkPool) -> None:
        """Create a transport; nothing is sent before :meth:`attach`.

        :param vm: Name of this entry VM.
        :param links: Links to the other entry VMs.
        """
        self._vm = vm
        self._links = links
        self._proxies: ProxySet | None = None

    def attach(self, proxies: ProxySet, handlers: MessageHandlers) -> None:
        """Set where ledgers are imported, and handle those that peers send.

        :param proxies: Target proxies of this entry VM.
        :param handlers: Handlers of the messages that peers send.
        """
        self._proxies = proxies
        handlers.register(LedgerExtract, self.on_ledger_extract)

    async def send(self, extract: LedgerExtract) -> bool:
        """Try once to deliver a ledger to the partition's leaseholder.

        :param extract: Contents of the ledger.
        :return: Whether the leaseholder imported it; ``False`` also if the
            leaseholder is not known or not reachable.
        """
        proxies = self._proxies
        if proxies is None or proxies.view is None:
            return False
        service, _, number = extract.partition.rpartition('/')
        try:
            route = proxies.view.resolve_partition(service, int(number))
        except RoutingError:
            return False
        if route.holder.vm == self._vm:
            return proxies.import_ledger(extract)
        try:
            reply = await self._links.call(route.holder.address, extract)
        except LinkError:
            return False
        return isinstance(reply, LedgerTaken) and reply.taken

    async def on_ledger_extract(
        self, _link: Link, extract: LedgerExtract
    ) -> LedgerTaken:
        """Import a ledger that a peer hands over.

        :param extract: Contents of the ledger.
        :return: Whether it was imported.
        """
        proxies = self._proxies
        return LedgerTaken(
            proxies is not None and proxies.import_ledger(extract)
        )
