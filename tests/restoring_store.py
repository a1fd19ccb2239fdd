"""Stand-in for the platform's store that can be restored from a copy."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast.clock import SystemClock
from dogwoodmast.platform.store import MetadataStore
from fleet import free_addresses
from metadata_store import StoreContent, StoredItem, StoreServer, serving

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, MutableMapping

    from dogwoodmast._asgi import Receive, Scope, Send

FOREIGN_PREFIXES = ('op/', 'servers/')
"""Prefixes of the keys that operators and targets write, and write again."""


LOST_CHANGES = 400
"""Changes that a restore undoes: more than tests make after it."""


def lose_changes(content: StoreContent) -> None:
    """Write what a later restore undoes.

    :param content: Content of the store.
    """
    for number in range(LOST_CHANGES):
        content.put_bytes(f'dogwoodmast/lost/{number}', b'x')


@attrs.frozen
class StoreCopy:
    """Content of the store at one time."""

    revision: int
    """Latest revision."""
    items: dict[str, StoredItem]
    """Keys."""
    events: list[dict[str, Any]]
    """History."""
    leases: dict[int, tuple[float, float]]
    """Leases, with the times at which they end unless they are renewed."""

    @classmethod
    def of(cls, content: StoreContent) -> StoreCopy:
        """Make a copy.

        :param content: Content of the store.
        :return: Copy that later changes of the content leave as it is.
        """
        return cls(
            content.revision,
            {key: attrs.evolve(one) for key, one in content.items.items()},
            list(content.events),
            dict(content.leases),
        )

    def restore(self, content: StoreContent) -> None:
        """Return a store to this copy.

        :param content: Content of the store.
        """
        content.revision = self.revision
        content.items = {
            key: attrs.evolve(one) for key, one in self.items.items()
        }
        content.events = list(self.events)
        content.leases = dict(self.leases)

    def write_again(self, restored: StoreCopy, content: StoreContent) -> None:
        """Write what operators and targets had written when this was made.

        :param restored: Copy that the store was restored from.
        :param content: Content of the store.
        """
        for key, text in self.foreign.items():
            if restored.foreign.get(key) != text:
                content.write([{'key': key, 'value': text}], [])
        gone = restored.foreign.keys() - self.foreign.keys()
        if gone:
            content.write([], sorted(gone))

    @property
    def foreign(self) -> dict[str, str]:
        """Values that operators and targets have written, by key."""
        return {
            key: one.content
            for key, one in self.items.items()
            if key.startswith(FOREIGN_PREFIXES)
        }


@attrs.define(eq=False)
class RestoringStore(StoreServer):
    """Server of a store that tells its era and can be restored."""

    era: bytes | None = attrs.field(default=b'1', kw_only=True)
    """Value of the header that names the era; ``None`` to name none."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Execute one call, and tell the era at the time of the response.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """

        async def send_with_era(message: MutableMapping[str, Any]) -> None:
            if message['type'] == 'http.response.start' and self.era:
                header = (b'store-era', self.era)
                message['headers'] = [*message['headers'], header]
            await send(message)

        await super().__call__(scope, receive, send_with_era)

    def restore(self, copy: StoreCopy, *, writes_again: bool = True) -> None:
        """Return to a copy, and begin another era.

        :param copy: Copy that was made earlier.
        :param writes_again: Whether operators and targets write at once what
            the copy lacks of theirs.
        """
        latest = StoreCopy.of(self.content)
        self.begin_era()
        copy.restore(self.content)
        if writes_again:
            latest.write_again(copy, self.content)

    def begin_era(self) -> None:
        """Name the next era from now on."""
        self.era = str(int(self.era or b'0') + 1).encode()

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        if int(query['after']) > self.content.revision:
            return 410, {}
        return await super()._watch(query)


@asynccontextmanager
async def restorable(
    era: bytes | None = b'1',
) -> AsyncIterator[tuple[RestoringStore, MetadataStore]]:
    """Run a store, and connect a client.

    :param era: Era that it names.
    :return: The store and the client.
    """
    address = free_addresses(1)[0]
    server = RestoringStore(StoreContent(), era=era)
    async with serving((server, address)):
        client = MetadataStore(address, SystemClock())
        try:
            yield server, client
        finally:
            await client.aclose()
