"""Zones whose targets must get no requests, as the operator asks.

An evacuation moves the load of a whole zone to the others at once, up to half
of what these carry already.  Its targets count as leaving wherever the copy of
the store is read, so that the choice of a target, the check right before a
request is sent, keepers of room and the coordinator's moves of keys follow
together.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.catalog import Evacuation
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from dogwoodmast.direct.catalog import Target


@attrs.define(eq=False)
class EvacuatedZones:
    """Evacuations that are in force, as the copy of the store has them."""

    _zones: dict[str, str] = attrs.field(factory=dict)

    @property
    def names(self) -> frozenset[str]:
        """Names of the evacuated zones."""
        return frozenset(self._zones.values())

    def mark(self, target: Target) -> Target:
        """Count a target of an evacuated zone as leaving.

        :param target: Target as it is listed.
        :return: The same target, leaving if its zone is evacuated.
        """
        if target.leaving or target.zone not in self._zones.values():
            return target
        return attrs.evolve(target, leaving=True)

    def on_entry(self, key: str, decoded: object) -> None:
        """Apply a key of the store that was written.

        :param key: Store key.
        :param decoded: Its decoded value; anything but an evacuation is
            ignored.
        """
        if isinstance(decoded, Evacuation) and key not in self._zones:
            self._zones[key] = decoded.zone
            log_event(Event.ZONE_EVACUATED, zone=decoded.zone)

    def on_removed(self, key: str) -> None:
        """Apply the removal of a key.

        Only the operator removes an evacuation, so that it ends at once also
        where the removal of other keys is doubted, after an outage.

        :param key: Store key.
        """
        zone = self._zones.pop(key, None)
        if zone is not None:
            log_event(Event.ZONE_RETURNED, zone=zone)
