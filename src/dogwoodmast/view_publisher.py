"""Delivery of routing views to the data path."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.errors import ConfigurationError
from dogwoodmast.events import Event, log_event
from dogwoodmast.proxy_set import ProxySet
from dogwoodmast.view_builder import ViewBuilder

if TYPE_CHECKING:
    from dogwoodmast.document_exchange import DocumentExchange


@attrs.define(eq=False)
class ViewPublisher:
    """Builds a routing view after each change and passes it to the proxies.

    It has to be subscribed after the zone's agent: the member state must
    have a zone record before the proxies settle at that record's version.
    """

    _builder: ViewBuilder
    _proxies: ProxySet
    _changed: anyio.Event = attrs.field(factory=anyio.Event)
    _configuration_version: int = 0

    def subscribe(self, exchange: DocumentExchange) -> None:
        """Subscribe to changes of the replicated documents.

        :param exchange: Exchange that reports the changes.
        """
        exchange.subscribe(self.on_documents)

    def on_documents(self) -> None:
        """Schedule the delivery of a new routing view."""
        self._changed.set()

    async def run(self) -> None:
        """Deliver a routing view after each change until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            try:
                await self._publish()
            except ConfigurationError as error:
                log_event(Event.RECORD_INVALID, reason=error.message)

    async def _publish(self) -> None:
        view = self._builder.build()
        if view is None:
            return
        version = view.configuration.version
        if version != self._configuration_version:
            self._configuration_version = version
            log_event(Event.CONFIGURATION_IN_FORCE, version=version)
        await self._proxies.on_view(view)
        self._proxies.on_rights_changed()
