"""Store that can be away for a moment and come back from an older copy."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import anyio
import attrs

from metadata_store import StoreContent, StoredItem, StoreServer

if TYPE_CHECKING:
    from collections.abc import MutableMapping

    from dogwoodmast._asgi import Receive, Scope, Send

COPY_INTERVAL = 0.1
"""Pause between two copies, in seconds."""
KEPT_COPIES = 200
"""Number of copies that are kept."""
FOREIGN_PREFIXES = ('op/', 'servers/')
"""Prefixes of the keys that the operator and the targets write."""


@attrs.frozen
class Copy:
    """Content of the store at one time."""

    made_at: float
    """Monotonic time, in seconds."""
    revision: int
    """Latest revision."""
    items: dict[str, StoredItem]
    """Keys."""
    events: tuple[dict[str, Any], ...]
    """History."""
    leases: dict[int, tuple[float, float]]
    """Leases, with the times at which they end unless they are renewed."""


@attrs.define(eq=False)
class DrillStore(StoreServer):
    """The project's stand-in of the store, with the drill of the pages."""

    era: int = attrs.field(default=1, kw_only=True)
    """What all answers have as ``Store-Era``."""
    _copies: list[Copy] = attrs.field(factory=list, kw_only=True)
    is_away: bool = attrs.field(default=False, kw_only=True)
    """Whether no call is answered."""
    _open: set[anyio.CancelScope] = attrs.field(factory=set, kw_only=True)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Execute one call; one that meets an absent store has no answer.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """

        async def send_with_era(message: MutableMapping[str, Any]) -> None:
            if message['type'] == 'http.response.start':
                era = (b'store-era', str(self.era).encode())
                message['headers'] = [*message['headers'], era]
            await send(message)

        if not self.is_away:
            with anyio.CancelScope() as opened:
                self._open.add(opened)
                try:
                    await super().__call__(scope, receive, send_with_era)
                finally:
                    self._open.discard(opened)
                if not opened.cancel_called:
                    return
        if scope['type'] == 'http':
            await anyio.sleep_forever()

    async def keep_copies(self) -> None:
        """Make copies until cancelled."""
        while True:
            if not self.is_away:
                self._copies.append(_copy(self.content))
                del self._copies[:-KEPT_COPIES]
            await anyio.sleep(COPY_INTERVAL)

    def leave(self) -> None:
        """Be away: neither open calls nor new ones get an answer."""
        self.is_away = True
        for opened in tuple(self._open):
            opened.cancel()

    def come_back(self, age: float) -> Copy:
        """Come back from a copy, and let others write again what they wrote.

        :param age: Least age of the copy when the store left, in seconds;
            0 to lose nothing.
        :return: The copy.
        """
        latest = _copy(self.content)
        older = [
            one
            for one in self._copies
            if one.made_at <= self._copies[-1].made_at - age
        ]
        copy = older[-1] if age else latest
        if age:
            self.era += 1
            self.content.revision = copy.revision
            self.content.items = dict(copy.items)
            self.content.events = list(copy.events)
            self.content.leases = dict(copy.leases)
            self._copies.clear()
            self._write_again(latest)
        self.is_away = False
        return copy

    def _write_again(self, latest: Copy) -> None:
        for key, item in latest.items.items():
            if not key.startswith(FOREIGN_PREFIXES):
                continue
            restored = self.content.items.get(key)
            if restored is None or restored.content != item.content:
                put = {'key': key, 'value': item.content, 'lease': 0}
                self.content.write([put], [])
        for key in tuple(self.content.items):
            is_foreign = key.startswith(FOREIGN_PREFIXES)
            if is_foreign and key not in latest.items:
                self.content.write([], [key])

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        if int(query['after']) > self.content.revision:
            return 410, {}
        return await super()._watch(query)


def _copy(content: StoreContent) -> Copy:
    return Copy(
        time.monotonic(),
        content.revision,
        {key: attrs.evolve(item) for key, item in content.items.items()},
        tuple(content.events),
        dict(content.leases),
    )
