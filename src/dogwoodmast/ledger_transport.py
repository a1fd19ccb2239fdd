"""Transport of ledgers between leaseholders."""

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
    """Answer to a ledger."""

    taken: bool
    """Whether it was taken in."""


class LedgerTransport:
    """Sends ledgers to peers and takes in theirs."""

    def __init__(self, vm: str, links: LinkPool) -> None:
        """Create a courier that serves no fronts yet.

        :param vm: Name of the own entry VM.
        :param links: Links to peers.
        """
        self._vm = vm
        self._links = links
        self._proxies: ProxySet | None = None

    def serve(self, proxies: ProxySet, handlers: MessageHandlers) -> None:
        """Take in what peers send.

        :param proxies: Fronts of the own entry VM.
        :param handlers: Collection to register the handler in.
        """
        self._proxies = proxies
        handlers.register(LedgerExtract, self.on_ledger_extract)

    async def send(self, extract: LedgerExtract) -> bool:
        """Send a ledger once.

        :param extract: The ledger.
        :return: Whether the next leaseholder took it.
        """
        proxies = self._proxies
        if proxies is None or proxies.view is None:
            return False
        service, _, number = extract.partition.rpartition('/')
        try:
            route = proxies.view.locate(service, int(number))
        except RoutingError:
            return False
        if route.holder.vm == self._vm:
            return proxies.import_ledger(extract)
        try:
            answer = await self._links.call(route.holder.address, extract)
        except LinkError:
            return False
        return isinstance(answer, LedgerTaken) and answer.taken

    async def on_ledger_extract(
        self, _link: Link, extract: LedgerExtract
    ) -> LedgerTaken:
        """Take in a ledger.

        :param extract: The ledger.
        :return: Whether it was taken in.
        """
        proxies = self._proxies
        return LedgerTaken(
            proxies is not None and proxies.import_ledger(extract)
        )
