"""Choice of the entry VM that a request is relayed through.

Other VMs may be cut off from targets too, or have thin links.  Those that
refused for such a reason are avoided for a while, and the load is spread by
bandwidth and processor, within the zone first.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address
from dogwoodmast.clock import Clock
from dogwoodmast.direct.connection_pool import ConnectionPool
from dogwoodmast.direct.messages import VmRecord

if TYPE_CHECKING:
    from collections.abc import Iterator


AVOID_PERIOD = 1.0
"""Time for which a VM that could not relay a request is avoided, in seconds."""
PROVEN_PERIOD = 4.0
"""Time for which a VM that has relayed a request for a service is preferred, in
seconds."""
UNPROVEN_FACTOR = 3.0
"""Multiple of a VM's load at which one that has not relayed a request lately is
preferred; that one may be cut off too."""
MIN_CAPACITY_FRACTION = 0.1
"""Fraction of the largest capacity below which a VM is used only if there is
no other; relayed bodies would fill its link."""
OTHER_ZONE_FACTOR = 3.0
"""Multiple of a VM's load at which one of another zone is preferred."""


def _allow_any(_zone: str) -> bool:
    return True


@attrs.define(eq=False)
class RelayPeers:
    """Other entry VMs, with connections to them."""

    vm: str
    """Name of the own VM."""
    _zone: str
    _list_vms: Callable[[], Collection[VmRecord]]
    _clock: Clock
    _random: random.Random = attrs.field(factory=random.Random)
    _avoided: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _proven: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _stopping: dict[str, str] = attrs.field(factory=dict)
    _in_flight: Counter[str] = attrs.field(factory=Counter)
    _pools: dict[tuple[str, str], ConnectionPool] = attrs.field(factory=dict)

    def choose(
        self,
        service: str,
        tried: Collection[str],
        is_allowed: Callable[[str], bool] = _allow_any,
    ) -> VmRecord | None:
        """Choose a VM to relay a request through.

        :param service: Service that the request is for.
        :param tried: Names of VMs that could not relay this request.
        :param is_allowed: Tells whether the request may be sent to a zone.
        :return: Record of the VM, or ``None`` if there is none.
        """
        now = self._clock.monotonic()
        excluded = {self.vm, *tried}
        usable = [
            one
            for one in self._list_vms()
            if one.relay
            and one.name not in excluded
            and is_allowed(one.zone)
            and now >= self._avoided.get((one.name, service), now)
        ]
        if not usable:
            return None
        usable = [one for one in usable if not self._stops(one)] or usable
        strongest = max(one.capacity for one in usable)
        strong = [
            one
            for one in usable
            if one.capacity >= strongest * MIN_CAPACITY_FRACTION
        ]
        return min(strong, key=lambda one: self._load(one, service))

    def avoid(self, peer: str, service: str) -> None:
        """Avoid a VM for ``AVOID_PERIOD``, since it could not relay.

        :param peer: Name of the VM.
        :param service: Service that the request was for.
        """
        self._proven.pop((peer, service), None)
        until = self._clock.monotonic() + AVOID_PERIOD
        self._avoided[peer, service] = until

    def on_stopping(self, peer: VmRecord) -> None:
        """Use a process only if no other one can be used, since it stops.

        :param peer: Record of the VM, with the incarnation that stops.
        """
        self._stopping[peer.name] = peer.incarnation

    def on_delivered(self, peer: str, service: str) -> None:
        """Record that a VM has relayed a request.

        :param peer: Name of the VM.
        :param service: Service that the request was for.
        """
        self._proven[peer, service] = self._clock.monotonic()

    def pool(self, peer: VmRecord) -> ConnectionPool:
        """Return the connections to a VM.

        :param peer: Record of the VM.
        :return: Pool of connections for relayed requests.
        """
        key = (peer.name, peer.relay)
        if key not in self._pools:
            self._pools[key] = ConnectionPool(
                peer.name, Address.parse(peer.relay), self._clock
            )
        return self._pools[key]

    @contextmanager
    def counting(self, peer: str) -> Iterator[None]:
        """Count a request in flight until the block ends.

        :param peer: Name of the VM that it is relayed through.
        """
        self._in_flight[peer] += 1
        try:
            yield
        finally:
            self._in_flight[peer] -= 1

    async def aclose(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.aclose()

    def _stops(self, peer: VmRecord) -> bool:
        return self._stopping.get(peer.name) == peer.incarnation

    def _load(self, peer: VmRecord, service: str) -> float:
        load = (self._in_flight[peer.name] + 1) / (peer.capacity or 1)
        if peer.zone != self._zone:
            load *= OTHER_ZONE_FACTOR
        proven_at = self._proven.get((peer.name, service), float('-inf'))
        if self._clock.monotonic() > proven_at + PROVEN_PERIOD:
            load *= UNPROVEN_FACTOR
        # Equal loads are the usual case, and then the choice is random.
        return load * (1 + self._random.random())
