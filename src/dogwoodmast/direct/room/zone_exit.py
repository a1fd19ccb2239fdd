"""Way out of a zone for the asks that its keeper sends to another one.

It answers the load of uneven zones: what a zone's targets can run is compared
with its demand whenever an ask finds no room.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.knowledge.target_speeds import INITIAL_DURATION
from dogwoodmast.direct.room.messages import RoomReply, Verdict
from dogwoodmast.direct.room.room_queue import RoomQueue
from dogwoodmast.direct.room.target_room import TargetRoom
from dogwoodmast.direct.zones.zone_news import ZoneNews
from dogwoodmast.direct.zones.zone_spill import (
    Leave,
    Prospect,
    Stay,
    ZoneSpill,
)

if TYPE_CHECKING:
    from dogwoodmast.direct.room.keeper_order import Group
    from dogwoodmast.direct.room.messages import RoomAsk
    from dogwoodmast.direct.room.room_queue import Decide


@attrs.define(eq=False)
class ZoneExit:
    """Answers asks by another zone where leaving pays."""

    _spill: ZoneSpill | None
    _rooms: Mapping[str, TargetRoom]
    _queues: Mapping[str, RoomQueue]

    def make_news(self, vm: str, group: Group, now: float) -> ZoneNews:
        """Describe the zone to the keepers of other zones.

        :param vm: Name of this VM.
        :param group: Service and zone.
        :param now: Monotonic time, in seconds.
        :return: State of the targets that respond.
        """
        up = [room for room in self._rooms.values() if not room.is_down(now)]
        durations = [room.mean_duration for room in up] or [INITIAL_DURATION]
        return ZoneNews(
            vm,
            *group,
            sum(room.free_slots for room in up),
            sum(room.target.slots for room in up),
            sum(room.throughput for room in up),
            sum(len(queue) for queue in self._queues.values()),
            0 if self._spill is None else self._spill.demand(now),
            sum(durations) / len(durations),
        )

    def sends_early(self, ask: RoomAsk, now: float, decide: Decide) -> bool:
        """Send an ask away if the zone has no targets, or just got them back.

        :param ask: Ask that has arrived.
        :param now: Monotonic time, in seconds.
        :param decide: Called with the answer if there is one.
        :return: Whether the ask is answered.
        """
        if self._spill is None:
            return False
        self._spill.on_ask(ask, now)
        if not _can_leave(ask):
            return False
        is_any_up = not all(room.is_down(now) for room in self._rooms.values())
        self._spill.observe(has_targets=is_any_up, now=now)
        if self._spill.is_settled(now):
            return False
        own = self._describe(ask, now)
        return _send_away(self._spill.decide_early(ask, own, now), decide)

    def sends_away(
        self,
        ask: RoomAsk,
        wait: float,
        longest: float,
        now: float,
        decide: Decide,
    ) -> bool:
        """Send an ask away that finds no room, if it saves enough time.

        :param ask: Ask that has arrived, or waits.
        :param wait: Expected time until there is room, in seconds.
        :param longest: Time for which the ask may wait, in seconds.
        :param now: Monotonic time, in seconds.
        :param decide: Called with the answer if there is one.
        :return: Whether the ask is answered.
        """
        if self._spill is None or not _can_leave(ask):
            return False
        prospect = Prospect(wait, longest, self._describe(ask, now))
        return _send_away(self._spill.decide(ask, prospect, now), decide)

    def _describe(self, ask: RoomAsk, now: float) -> ZoneNews:
        return self.make_news('', (ask.service_name, ask.zone), now)


def _can_leave(ask: RoomAsk) -> bool:
    return ask.may_leave and not ask.target


def _send_away(decision: Stay | Leave, decide: Decide) -> bool:
    match decision:
        case Leave(zone, reason):
            decide(RoomReply(Verdict.ELSEWHERE, zone=zone, reason=reason))
            return True
        case Stay():
            return False
