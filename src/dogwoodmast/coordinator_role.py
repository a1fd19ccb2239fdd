"""The coordinator's role of one entry VM: taking, using, giving it up.

The machine is free of I/O and clocks, and collects the actions that its
owner carries out.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.knowledge import NO_VERSION, DocumentVersion
from dogwoodmast.record_writer import RecordWriter, WriteRecord
from dogwoodmast.takeover import Candidacy, SendProbe
from dogwoodmast.zone_actions import (
    OfferRole,
    PublishHolders,
    PullKnowledge,
    ZoneAction,
)
from dogwoodmast.zone_coordinator import (
    SendRound,
    ZoneCoordinator,
    ZoneTargets,
)
from dogwoodmast.zone_knowledge import ZoneKnowledge
from dogwoodmast.zone_member import ZoneMember
from dogwoodmast.zone_messages import (
    ProbeAnswer,
    RoleOffer,
    RoleTaken,
    RoundAck,
    RoundRefusal,
)
from dogwoodmast.zone_protocol import (
    LOSS_TIMEOUT,
    ROUND_INTERVAL,
    CoordinatorEpoch,
)

if TYPE_CHECKING:
    from dogwoodmast.ownership import ZoneRecord

TERM_TIMEOUT = 0.1
"""Time that a candidate waits for the platform, in seconds."""


@attrs.define(eq=False)
class CoordinatorRole:
    """One entry VM's part in coordinating its zone."""

    _knowledge: ZoneKnowledge
    _member: ZoneMember
    _writer: RecordWriter
    _candidacy: Candidacy
    _coordinator: ZoneCoordinator | None = None
    _targets: ZoneTargets = ZoneTargets()
    _drained: frozenset[str] = frozenset()
    _round_at: float = -math.inf
    _term_asked_at: float = math.inf
    _published: DocumentVersion = NO_VERSION
    _outbox: list[ZoneAction] = attrs.field(factory=list)

    @property
    def coordinator(self) -> ZoneCoordinator | None:
        """The coordinator, while this entry VM has the role."""
        return self._coordinator

    def take_actions(self) -> list[ZoneAction]:
        """Hand over the actions collected so far.

        :return: Actions to carry out, in order.
        """
        actions = self._outbox
        self._outbox = []
        return actions

    def pull(self, member: int) -> None:
        """Have newer documents pulled from a member.

        :param member: Number of the member.
        """
        found = self._knowledge.find(member)
        address = None if found is None else found.address
        self._outbox.append(PullKnowledge(address))

    def on_targets(self, targets: ZoneTargets, drained: frozenset[str]) -> None:
        """Take in which targets there are and who must not front them.

        :param targets: Targets of the zone.
        :param drained: Entry VMs that operators drain.
        """
        self._targets = targets
        self._drained = drained

    def on_tick(self, now: float) -> None:
        """Do what is due.

        :param now: Current time.
        """
        coordinator = self._coordinator
        if coordinator and self._member.highest > coordinator.epoch:
            self._coordinator = None
        if self._coordinator is None:
            self._consider_takeover(now)
        else:
            self._coordinate(self._coordinator, now)

    def on_round_answer(
        self, sent: SendRound, answer: RoundAck | RoundRefusal, now: float
    ) -> None:
        """Take in the answer to a round.

        :param sent: The round.
        :param answer: The answer.
        :param now: Time of its arrival.
        """
        coordinator = self._coordinator
        if coordinator is None:
            return
        if sent.message.epoch != coordinator.epoch:
            return
        if isinstance(answer, RoundRefusal):
            self._on_refusal(coordinator, sent, answer)
        elif coordinator.on_ack(sent.member.number, answer, now):
            self._round_at = -math.inf
            self._coordinate(coordinator, now)

    def on_probe_answer(
        self, sent: SendProbe, answer: ProbeAnswer, now: float
    ) -> None:
        """Take in the answer to a probe.

        :param sent: The probe.
        :param answer: The answer.
        :param now: Time of its arrival.
        """
        self._candidacy.on_answer(sent, answer)
        if answer.record_version > self._knowledge.record_version:
            self.pull(sent.member.number)
        self._take_over_if_agreed(now)

    def on_role_offer(self, offer: RoleOffer, now: float) -> RoleTaken:
        """Take over from a coordinator that leaves.

        :param offer: The offer.
        :param now: Current time.
        :return: Whether the role is taken.
        """
        epoch = CoordinatorEpoch(offer.term, offer.rank, offer.member)
        fit = self._knowledge.is_listed and not self._member.leaving
        if not fit or epoch < self._member.highest:
            return RoleTaken(taken=False)
        if self._coordinator is None and self._term_asked_at == math.inf:
            self._ask_for_term(now)
        return RoleTaken(taken=True)

    def on_role_taken(self, answer: RoleTaken) -> None:
        """Give up the role once another member takes it.

        :param answer: Answer to the offer.
        """
        if answer.taken:
            self._coordinator = None

    def on_written(self, written: WriteRecord, now: float) -> None:
        """Take in that a record was written.

        :param written: The write.
        :param now: Current time.
        """
        self._writer.on_written()
        if written.begins_term:
            me = self._knowledge.me.number
            self._begin(CoordinatorEpoch(written.record.term, 0, me), now)

    def on_write_failed(
        self, current: ZoneRecord | None, retry_at: float, now: float
    ) -> None:
        """Take in that a record could not be written.

        :param current: Record that the platform has instead, or ``None`` if
            the platform failed.
        :param retry_at: When to try again.
        :param now: Current time.
        """
        failed = self._writer.on_failed(retry_at)
        asked = self._term_asked_at < math.inf
        self._term_asked_at = math.inf
        if not asked or failed is None:
            return
        if current is None:
            self._stand_in(now)
        elif current.term == failed.base.term:
            self._ask_for_term(now)

    def _consider_takeover(self, now: float) -> None:
        record = self._knowledge.record
        if record is None or not self._knowledge.is_listed:
            return
        if self._term_asked_at < math.inf:
            if now - self._term_asked_at >= TERM_TIMEOUT:
                self._stand_in(now)
            return
        if self._member.leaving:
            return
        gone = self._knowledge.gone(now)
        listed_for = now - self._knowledge.listed_at
        silence = min(listed_for, self._member.silence(now))
        highest = self._member.highest
        if self._candidacy.is_due(record, highest.member, gone, silence):
            probes = self._candidacy.begin(record, highest, gone, now)
            self._outbox.extend(probes)
            self._take_over_if_agreed(now)

    def _take_over_if_agreed(self, now: float) -> None:
        record = self._knowledge.record
        busy = self._coordinator or self._term_asked_at < math.inf
        if record is None or busy:
            return
        if self._member.silence(now) < LOSS_TIMEOUT:
            return
        if self._candidacy.succeeds(record, self._knowledge.gone(now)):
            self._candidacy.withdraw()
            self._ask_for_term(now)

    def _ask_for_term(self, now: float) -> None:
        assert self._knowledge.record is not None
        self._term_asked_at = now
        write = self._writer.begin_term(self._knowledge.record)
        if write is not None:
            self._outbox.append(write)

    def _stand_in(self, now: float) -> None:
        record = self._knowledge.record
        assert record is not None
        highest = max(self._member.highest, self._candidacy.highest)
        rank = highest.rank if highest.term >= record.term else 0
        term = max(highest.term, record.term)
        me = self._knowledge.me.number
        self._begin(CoordinatorEpoch(term, rank + 1, me), now)

    def _begin(self, epoch: CoordinatorEpoch, now: float) -> None:
        self._term_asked_at = math.inf
        record = self._knowledge.record
        if record is None or epoch < self._member.highest:
            return
        self._coordinator = ZoneCoordinator(
            epoch, record, now, self._knowledge.holder_plan()
        )
        self._round_at = -math.inf
        self._coordinate(self._coordinator, now)

    def _coordinate(self, coordinator: ZoneCoordinator, now: float) -> None:
        coordinator.peers.update_terminated(self._knowledge.gone(now))
        leaving = self._knowledge.membership.leaving
        coordinator.on_targets(self._targets, self._drained | leaving)
        if now - self._round_at >= ROUND_INTERVAL:
            self._round_at = now
            self._outbox.extend(coordinator.rounds(now))
        if coordinator.has_quorum(now):
            self._publish(coordinator)
            self._offer_role(coordinator, now)
            write = self._writer.next_write(coordinator, now)
            if write is not None:
                self._outbox.append(write)

    def _publish(self, coordinator: ZoneCoordinator) -> None:
        epoch = coordinator.epoch
        version = DocumentVersion(epoch.term, epoch.rank, coordinator.holders)
        if coordinator.holders and version > self._published:
            self._published = version
            table = coordinator.holder_table()
            self._outbox.append(PublishHolders(version, table))

    def _offer_role(self, coordinator: ZoneCoordinator, now: float) -> None:
        if not self._member.leaving or self._writer.is_busy:
            return
        successor = coordinator.successor(now)
        if successor is not None:
            epoch = coordinator.epoch
            offer = RoleOffer(
                epoch.term,
                epoch.rank,
                epoch.member,
                successor.number,
            )
            self._outbox.append(OfferRole(successor, offer))

    def _on_refusal(
        self,
        coordinator: ZoneCoordinator,
        sent: SendRound,
        answer: RoundRefusal,
    ) -> None:
        if answer.record_version > self._knowledge.record_version:
            self.pull(sent.member.number)
        if answer.epoch > coordinator.epoch:
            self._coordinator = None
