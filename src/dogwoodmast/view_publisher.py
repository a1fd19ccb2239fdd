"""Feeder that passes new knowledge on to the data path."""

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
    """Builds a view after each change and gives it to the fronts.

    It must be subscribed after the zone's agent, whose member has to know
    a record before the fronts settle at it.
    """

    _builder: ViewBuilder
    _proxies: ProxySet
    _changed: anyio.Event = attrs.field(factory=anyio.Event)
    _version: int = 0

    def subscribe(self, exchange: DocumentExchange) -> None:
        """Have every change of the documents passed on.

        :param exchange: Documents that are known.
        """
        exchange.subscribe(self.on_documents)

    def on_documents(self) -> None:
        """Take in that documents have changed."""
        self._changed.set()

    async def run(self) -> None:
        """Pass on changes until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            try:
                await self._feed()
            except ConfigurationError as error:
                log_event(Event.RECORD_INVALID, reason=error.message)

    async def _feed(self) -> None:
        view = self._builder.build()
        if view is None:
            return
        version = view.configuration.version
        if version != self._version:
            self._version = version
            log_event(Event.CONFIGURATION_IN_FORCE, version=version)
        await self._proxies.on_view(view)
        self._proxies.on_rights_changed()
