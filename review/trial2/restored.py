"""Store that comes back from a copy, and names its era in all its answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from metadata_store import StoreContent, StoredItem, StoreServer

if TYPE_CHECKING:
    from collections.abc import MutableMapping

    from dogwoodmast._asgi import Receive, Scope, Send

FOREIGN_PREFIXES = ('op/', 'servers/')
"""Prefixes of the keys that the operator and targets write."""


@attrs.frozen
class Copy:
    """Content of a store at one time."""

    revision: int
    """Latest revision."""
    items: dict[str, StoredItem]
    """Keys."""
    events: list[dict[str, Any]]
    """History."""
    leases: dict[int, tuple[float, float]]
    """Leases, with the times at which they end."""

    @classmethod
    def of(cls, content: StoreContent) -> Copy:
        """Copy the content of a store.

        :param content: Content.
        :return: Copy, which later writes don't change.
        """
        return cls(
            content.revision,
            dict(content.items),
            list(content.events),
            dict(content.leases),
        )


@attrs.define(eq=False)
class RestoredStore(StoreServer):
    """Server of a store that can come back from a copy."""

    era: int = attrs.field(default=0, kw_only=True)
    """Number that it names as its era."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Execute one call, and name the era in its answer.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """

        async def send_with_era(message: MutableMapping[str, Any]) -> None:
            if message['type'] == 'http.response.start':
                header = (b'store-era', str(self.era).encode())
                message['headers'] = [*message['headers'], header]
            await send(message)

        await super().__call__(scope, receive, send_with_era)

    def come_back(self, copy: Copy) -> None:
        """Return to a copy; operator and targets write theirs again.

        :param copy: Copy that was made earlier.
        """
        latest = Copy.of(self.content)
        self.era += 1
        self.content.revision = copy.revision
        self.content.items = dict(copy.items)
        self.content.events = list(copy.events)
        self.content.leases = dict(copy.leases)
        for key, item in latest.items.items():
            if key.startswith(FOREIGN_PREFIXES):
                put = {'key': key, 'value': item.content}
                self.content.write([put], [])

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        if int(query['after']) > self.content.revision:
            return 410, {}
        return await super()._watch(query)
