"""Coordinator role of one entry VM: acquisition, exercise and release.

This state machine does no I/O and reads no clock.  It collects actions that
its owner carries out.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.document_store import NO_VERSION, DocumentVersion
from dogwoodmast.record_write_scheduler import RecordWriteScheduler, WriteRecord
from dogwoodmast.takeover import Candidacy, SendProbe
from dogwoodmast.zone_actions import (
    OfferRole,
    PublishHolders,
    PullFromPeer,
    ZoneAction,
)
from dogwoodmast.zone_coordinator import (
    SendRound,
    ZoneCoordinator,
    ZoneTargets,
)
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
from dogwoodmast.zone_state import ZoneState

if TYPE_CHECKING:
    from dogwoodmast.ownership import ZoneRecord

TERM_WRITE_TIMEOUT = 0.1
"""Time that a candidate waits for the platform to confirm a new term before
it takes over without one, in seconds."""


@attrs.define(eq=False)
class CoordinatorRole:
    """State of the coordinator role at one entry VM."""

    _zone_state: ZoneState
    _member: ZoneMember
    _writer: RecordWriteScheduler
    _candidacy: Candidacy
    _coordinator: ZoneCoordinator | None = None
    _targets: ZoneTargets = ZoneTargets()
    _drained: frozenset[str] = frozenset()
    _last_round_at: float = -math.inf
    _term_requested_at: float = math.inf
    _published_version: DocumentVersion = NO_VERSION
    _pending_actions: list[ZoneAction] = attrs.field(factory=list)

    @property
    def coordinator(self) -> ZoneCoordinator | None:
        """Coordinator state, or ``None`` while this VM lacks the role."""
        return self._coordinator

    def take_actions(self) -> list[ZoneAction]:
        """Return and clear the collected actions.

        :return: Actions to carry out, in order.
        """
        actions = self._pending_actions
        self._pending_actions = []
        return actions

    def request_pull(self, member: int) -> None:
        """Add an action that pulls newer documents from a member.

        :param member: Number of the member; if it is not in the member
            list, the documents are pulled from any member.
        """
        found = self._zone_state.find(member)
        address = None if found is None else found.address
        self._pending_actions.append(PullFromPeer(address))

    def on_targets(self, targets: ZoneTargets, drained: frozenset[str]) -> None:
        """Replace the targets and the drained VMs used in the next update.

        :param targets: Targets of the zone.
        :param drained: Names of the targets and entry VMs that operators
            drain; these entry VMs must not become or stay leaseholders.
        """
        self._targets = targets
        self._drained = drained

    def on_tick(self, now: float) -> None:
        """Coordinate the zone, or check whether a takeover is due.

        The role is released first if the own member has acknowledged a
        higher epoch.

        :param now: Monotonic time in seconds.
        """
        coordinator = self._coordinator
        if coordinator and self._member.highest_epoch > coordinator.epoch:
            self._coordinator = None
        if self._coordinator is None:
            self._consider_takeover(now)
        else:
            self._coordinate(self._coordinator, now)

    def on_round_answer(
        self, sent: SendRound, answer: RoundAck | RoundRefusal, now: float
    ) -> None:
        """Process the answer to a round of the current epoch.

        If the acknowledgement changes leases or low watermarks, the next
        round is sent at once.

        :param sent: Round that was sent.
        :param answer: Answer of the member.
        :param now: Monotonic time of arrival, in seconds.
        """
        coordinator = self._coordinator
        if coordinator is None:
            return
        if sent.message.epoch != coordinator.epoch:
            return
        if isinstance(answer, RoundRefusal):
            self._on_refusal(coordinator, sent, answer)
        elif coordinator.on_ack(sent.member.number, answer, now):
            self._last_round_at = -math.inf
            self._coordinate(coordinator, now)

    def on_probe_answer(
        self, sent: SendProbe, answer: ProbeAnswer, now: float
    ) -> None:
        """Count a vote and take over once there is a quorum.

        :param sent: Probe that was sent.
        :param answer: Answer of the member.
        :param now: Monotonic time of arrival, in seconds.
        """
        self._candidacy.on_answer(sent, answer)
        if answer.record_version > self._zone_state.record_version:
            self.request_pull(sent.member.number)
        self._take_over_if_elected(now)

    def on_role_offer(self, offer: RoleOffer, now: float) -> RoleTaken:
        """Accept or reject the role of a coordinator that is leaving.

        :param offer: Offer of the coordinator.
        :param now: Monotonic time in seconds.
        :return: Answer that tells whether the role is accepted.
        """
        epoch = CoordinatorEpoch(offer.term, offer.rank, offer.member)
        eligible = self._zone_state.is_listed and not self._member.leaving
        if not eligible or epoch < self._member.highest_epoch:
            return RoleTaken(taken=False)
        if self._coordinator is None and self._term_requested_at == math.inf:
            self._request_term(now)
        return RoleTaken(taken=True)

    def on_role_taken(self, answer: RoleTaken) -> None:
        """Release the role if the offer was accepted.

        :param answer: Answer to the offer.
        """
        if answer.taken:
            self._coordinator = None

    def on_written(self, written: WriteRecord, now: float) -> None:
        """Start coordinating if the written record began a term.

        :param written: Write that succeeded.
        :param now: Monotonic time in seconds.
        """
        self._writer.on_written()
        if written.begins_term:
            me = self._zone_state.me.number
            self._start_coordinating(
                CoordinatorEpoch(written.record.term, 0, me), now
            )

    def on_write_failed(
        self, current: ZoneRecord | None, retry_at: float, now: float
    ) -> None:
        """Handle a failed write, retrying or replacing a requested term.

        If the platform failed, this member takes over without a new term.
        If the record changed but its term did not, the term is requested
        again.

        :param current: Conflicting record in the platform, or ``None`` if
            the platform failed.
        :param retry_at: Monotonic time before which a coordinator does not
            write again, in seconds.
        :param now: Monotonic time in seconds.
        """
        failed = self._writer.on_failed(retry_at)
        requested = self._term_requested_at < math.inf
        self._term_requested_at = math.inf
        if not requested or failed is None:
            return
        if current is None:
            self._take_over_without_term(now)
        elif current.term == failed.base.term:
            self._request_term(now)

    def _consider_takeover(self, now: float) -> None:
        record = self._zone_state.record
        if record is None or not self._zone_state.is_listed:
            return
        if self._term_requested_at < math.inf:
            if now - self._term_requested_at >= TERM_WRITE_TIMEOUT:
                self._take_over_without_term(now)
            return
        if self._member.leaving:
            return
        terminated = self._zone_state.terminated_members(now)
        listed_for = now - self._zone_state.listed_since
        silence = min(listed_for, self._member.time_since_round(now))
        highest_epoch = self._member.highest_epoch
        if self._candidacy.is_due(
            record, highest_epoch.member, terminated, silence
        ):
            probes = self._candidacy.start_attempt(
                record, highest_epoch, terminated, now
            )
            self._pending_actions.extend(probes)
            self._take_over_if_elected(now)

    def _take_over_if_elected(self, now: float) -> None:
        record = self._zone_state.record
        busy = self._coordinator or self._term_requested_at < math.inf
        if record is None or busy:
            return
        if self._member.time_since_round(now) < LOSS_TIMEOUT:
            return
        if self._candidacy.has_quorum(
            record, self._zone_state.terminated_members(now)
        ):
            self._candidacy.reset()
            self._request_term(now)

    def _request_term(self, now: float) -> None:
        assert self._zone_state.record is not None
        self._term_requested_at = now
        write = self._writer.begin_term(self._zone_state.record)
        if write is not None:
            self._pending_actions.append(write)

    def _take_over_without_term(self, now: float) -> None:
        record = self._zone_state.record
        assert record is not None
        highest_epoch = max(
            self._member.highest_epoch, self._candidacy.highest_epoch
        )
        rank = highest_epoch.rank if highest_epoch.term >= record.term else 0
        term = max(highest_epoch.term, record.term)
        me = self._zone_state.me.number
        self._start_coordinating(CoordinatorEpoch(term, rank + 1, me), now)

    def _start_coordinating(self, epoch: CoordinatorEpoch, now: float) -> None:
        self._term_requested_at = math.inf
        record = self._zone_state.record
        if record is None or epoch < self._member.highest_epoch:
            return
        self._coordinator = ZoneCoordinator(
            epoch, record, now, self._zone_state.current_holders()
        )
        self._last_round_at = -math.inf
        self._coordinate(self._coordinator, now)

    def _coordinate(self, coordinator: ZoneCoordinator, now: float) -> None:
        coordinator.peers.update_terminated(
            self._zone_state.terminated_members(now)
        )
        leaving = self._zone_state.membership.leaving
        coordinator.on_targets(self._targets, self._drained | leaving)
        if now - self._last_round_at >= ROUND_INTERVAL:
            self._last_round_at = now
            self._pending_actions.extend(coordinator.rounds(now))
        if coordinator.has_quorum(now):
            self._publish_holders(coordinator)
            self._offer_role(coordinator, now)
            write = self._writer.next_write(coordinator, now)
            if write is not None:
                self._pending_actions.append(write)

    def _publish_holders(self, coordinator: ZoneCoordinator) -> None:
        epoch = coordinator.epoch
        version = DocumentVersion(
            epoch.term, epoch.rank, coordinator.holder_table_number
        )
        if (
            coordinator.holder_table_number
            and version > self._published_version
        ):
            self._published_version = version
            table = coordinator.holder_table()
            self._pending_actions.append(PublishHolders(version, table))

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
            self._pending_actions.append(OfferRole(successor, offer))

    def _on_refusal(
        self,
        coordinator: ZoneCoordinator,
        sent: SendRound,
        answer: RoundRefusal,
    ) -> None:
        if answer.record_version > self._zone_state.record_version:
            self.request_pull(sent.member.number)
        if answer.epoch > coordinator.epoch:
            self._coordinator = None
