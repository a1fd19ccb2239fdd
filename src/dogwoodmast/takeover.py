"""Election of a new coordinator when the current one is lost.

A member that no longer receives rounds asks the other members whether they
have lost the coordinator too.  It takes over only if a majority confirms, so
that a single partitioned member does not disrupt the zone.
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
"""Additional silence that a candidate waits for per live member ahead of it
in the order of succession, in seconds."""
PROBE_INTERVAL = 0.25
"""Minimum time between two takeover attempts of one candidate, in seconds."""


@attrs.frozen
class SendProbe:
    """Action: ask a member whether it has lost its coordinator."""

    member: Member
    """Member to send the probe to."""
    message: TakeoverProbe
    """Probe to send."""
    attempt: int
    """Number of the takeover attempt; answers to earlier ones are ignored."""


@attrs.define(eq=False)
class Candidacy:
    """Takeover attempts of one member and the votes of the current one."""

    _me: Member
    _attempt: int = 0
    _attempted_at: float = -math.inf
    _votes: set[int] = attrs.field(factory=set)
    _highest_epoch: CoordinatorEpoch = CoordinatorEpoch(0, 0, 0)

    @property
    def highest_epoch(self) -> CoordinatorEpoch:
        """Highest epoch known to the candidate or reported by probed members
        during the current attempt."""
        return self._highest_epoch

    def is_due(
        self,
        record: ZoneRecord,
        coordinator: int,
        terminated: frozenset[int],
        silence: float,
    ) -> bool:
        """Tell whether the coordinator was silent long enough for an attempt.

        The required silence grows with the member's position after the
        coordinator in the order of succession.

        :param record: Record of the zone.
        :param coordinator: Number of the coordinator with the highest epoch.
        :param terminated: Numbers of members whose processes have ended.
        :param silence: Time since the last round, or since this member was
            listed if that is shorter, in seconds.
        :return: ``True`` if an attempt may start.
        """
        order = [member.number for member in record.members]
        start = order.index(coordinator) if coordinator in order else 0
        succession = [*order[start:], *order[:start]]
        position = succession.index(self._me.number)
        ahead = [
            number
            for number in succession[1:position]
            if number not in terminated
        ]
        return silence >= LOSS_TIMEOUT + SUCCESSION_DELAY * len(ahead)

    def start_attempt(
        self,
        record: ZoneRecord,
        highest_epoch: CoordinatorEpoch,
        terminated: frozenset[int],
        now: float,
    ) -> tuple[SendProbe, ...]:
        """Start an attempt unless one started within ``PROBE_INTERVAL``.

        :param record: Record of the zone.
        :param highest_epoch: Highest epoch that the candidate has
            acknowledged.
        :param terminated: Numbers of members whose processes have ended.
        :param now: Monotonic time in seconds.
        :return: Probes to send; empty if no attempt was started.
        """
        if now - self._attempted_at < PROBE_INTERVAL:
            return ()
        self._attempt += 1
        self._attempted_at = now
        self._votes = {self._me.number}
        self._highest_epoch = highest_epoch
        return tuple(
            SendProbe(member, self._probe(record, member), self._attempt)
            for member in record.members
            if member != self._me and member.number not in terminated
        )

    def on_answer(self, probe: SendProbe, answer: ProbeAnswer) -> None:
        """Count the vote of a member if it belongs to the current attempt.

        :param probe: Probe that was sent.
        :param answer: Answer to the probe.
        """
        if probe.attempt != self._attempt:
            return
        self._highest_epoch = max(self._highest_epoch, answer.epoch)
        if answer.lost:
            self._votes.add(probe.member.number)

    def has_quorum(
        self, record: ZoneRecord, terminated: frozenset[int]
    ) -> bool:
        """Tell whether a majority of the running members voted for takeover.

        :param record: Record of the zone.
        :param terminated: Numbers of members whose processes have ended.
        :return: ``True`` if the candidate may take over.
        """
        voters = {member.number for member in record.members} - terminated
        votes = voters & self._votes
        return len(votes) >= quorum_size(len(voters))

    def reset(self) -> None:
        """Discard the votes of the current attempt."""
        self._votes = set()

    def _probe(self, record: ZoneRecord, member: Member) -> TakeoverProbe:
        return TakeoverProbe(
            member=self._me.number,
            members_version=record.members_version,
            receiver=member.number,
        )
