"""Candidacy of a member for the coordinator's role.

A member whose coordinator falls silent asks the others whether they have
lost it too.  Only with a majority does it take over, so that a member that
is merely cut off does not disturb the zone.
"""

from __future__ import annotations

import math

import attrs

from dogwoodmast.ownership import Member, ZoneRecord
from dogwoodmast.zone_messages import ProbeAnswer, TakeoverProbe
from dogwoodmast.zone_protocol import (
    LOSS_TIMEOUT,
    CoordinatorEpoch,
    quorum_size,
)

SUCCESSION_DELAY = 0.1
"""Head start of each member over the next in succession, in seconds."""
PROBE_INTERVAL = 0.25
"""Time between two attempts of one candidate, in seconds."""


@attrs.frozen
class SendProbe:
    """Action: ask a member whether it has lost its coordinator."""

    member: Member
    """The member."""
    message: TakeoverProbe
    """The probe."""
    attempt: int
    """Number of the attempt."""


@attrs.define(eq=False)
class Candidacy:
    """Attempts of one member to take over."""

    _me: Member
    _attempt: int = 0
    _attempted_at: float = -math.inf
    _agreed: set[int] = attrs.field(factory=set)
    _highest: CoordinatorEpoch = CoordinatorEpoch(0, 0, 0)

    @property
    def highest(self) -> CoordinatorEpoch:
        """Highest epoch that the members asked have seen."""
        return self._highest

    def is_due(
        self,
        record: ZoneRecord,
        coordinator: int,
        gone: frozenset[int],
        silence: float,
    ) -> bool:
        """Tell whether it is this member's turn to take over.

        :param record: Record of the zone.
        :param coordinator: Number of the coordinator that was heard last.
        :param gone: Members whose processes have ended.
        :param silence: Time since it was heard, in seconds.
        :return: ``True`` if an attempt may begin.
        """
        order = [member.number for member in record.members]
        start = order.index(coordinator) if coordinator in order else 0
        after = [*order[start:], *order[:start]]
        distance = after.index(self._me.number)
        ahead = [one for one in after[1:distance] if one not in gone]
        return silence >= LOSS_TIMEOUT + SUCCESSION_DELAY * len(ahead)

    def begin(
        self,
        record: ZoneRecord,
        highest: CoordinatorEpoch,
        gone: frozenset[int],
        now: float,
    ) -> tuple[SendProbe, ...]:
        """Begin an attempt unless one has just begun.

        :param record: Record of the zone.
        :param highest: Highest epoch seen.
        :param gone: Members whose processes have ended.
        :param now: Current time.
        :return: Probes to send.
        """
        if now - self._attempted_at < PROBE_INTERVAL:
            return ()
        self._attempt += 1
        self._attempted_at = now
        self._agreed = {self._me.number}
        self._highest = highest
        return tuple(
            SendProbe(member, self._probe(record, member), self._attempt)
            for member in record.members
            if member != self._me and member.number not in gone
        )

    def on_answer(self, probe: SendProbe, answer: ProbeAnswer) -> None:
        """Take in a member's answer.

        :param probe: The probe.
        :param answer: The answer.
        """
        if probe.attempt != self._attempt:
            return
        self._highest = max(self._highest, answer.epoch)
        if answer.lost:
            self._agreed.add(probe.member.number)

    def succeeds(self, record: ZoneRecord, gone: frozenset[int]) -> bool:
        """Tell whether a majority agrees.

        :param record: Record of the zone.
        :param gone: Members whose processes have ended.
        :return: ``True`` if the member may take over.
        """
        voters = {member.number for member in record.members} - gone
        agreed = voters & self._agreed
        return len(agreed) >= quorum_size(len(voters))

    def withdraw(self) -> None:
        """Give up the present attempt."""
        self._agreed = set()

    def _probe(self, record: ZoneRecord, member: Member) -> TakeoverProbe:
        return TakeoverProbe(
            member=self._me.number,
            members_version=record.members_version,
            receiver=member.number,
        )
