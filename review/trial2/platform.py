"""What the operator and the targets write to the store."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast.address import Address
from trial2.client import HOST_NAME

if TYPE_CHECKING:
    from metadata_store import StoreContent

HEARTBEAT = 0.87
"""Time between two entries of a target, in seconds, as ``heartbeat_s``."""


def make_route(
    name: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Make a route, whose prefix is its name.

    :param name: Name of the route.
    :param kind: Type of the route.
    :param service: Service that it leads to.
    :param changes: Fields that differ.
    :return: Route as the operator writes it.
    """
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': f'/{name}/',
        'type': kind,
        'timeout_s': 1.5,
        'objective_s': 0.5,
        'priority': 1,
        'max_attempts': 2,
        'service': service,
        **changes,
    }


def make_configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Make a configuration.

    :param version: Version.
    :param routes: Routes.
    :param services: Services.
    :return: Configuration as the operator writes it.
    """
    return {
        'version': f'{version:08x}',
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 100_000,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }


@attrs.define(eq=False)
class Listing:
    """Entry of a target in the store."""

    name: str
    """Name of the target."""
    service: str
    """Service of the target."""
    address: Address
    """Address of the target."""
    slots: int = 4
    """Requests that it runs at a time."""
    state: str = 'ready'
    """What it says of itself."""
    born: int = attrs.field(factory=lambda: int(time.time() * 1000))
    """Unix time of its start, in milliseconds."""
    sequence: int = 0
    """Number of entries so far."""

    def write(self, content: StoreContent) -> None:
        """Write the entry.

        :param content: Content of the store.
        """
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': str(self.address),
            'zone': 'a',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left_s': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        content.put_document(f'servers/{self.name}', entry)


async def beat(listings: list[Listing], content: StoreContent) -> None:
    """Write the entries of targets again and again.

    :param listings: Entries, which may change meanwhile.
    :param content: Content of the store.
    """
    while True:
        for listing in listings:
            listing.write(content)
        await asyncio.sleep(HEARTBEAT)
