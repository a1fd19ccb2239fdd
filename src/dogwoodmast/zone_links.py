"""Sending and handling of zone messages over the links between entry VMs."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast._documents import dump_document, load_document
from dogwoodmast.errors import LinkError
from dogwoodmast.load_report import LoadReport
from dogwoodmast.zone_member import WorkStatus
from dogwoodmast.zone_messages import (
    JoinAnswer,
    JoinRequest,
    LeaseRound,
    ProbeAnswer,
    ReportLoad,
    ReportTaken,
    RoleOffer,
    RoleTaken,
    RoundAck,
    RoundRefusal,
    TakeoverProbe,
    WrongReceiver,
)
from dogwoodmast.zone_node import ZoneNode
from dogwoodmast.zone_protocol import ACK_LEASE
from dogwoodmast.zone_services import ZoneServices

if TYPE_CHECKING:
    from dogwoodmast.address import Address
    from dogwoodmast.link import Link
    from dogwoodmast.message_handlers import MessageHandlers
    from dogwoodmast.takeover import SendProbe
    from dogwoodmast.zone_actions import OfferRole
    from dogwoodmast.zone_coordinator import SendRound

CALL_TIMEOUT = ACK_LEASE
"""Time-out of each call to a peer, in seconds.  An acknowledgement that takes
longer than this does not count towards the coordinator's quorum."""

ReportListener = Callable[[LoadReport], None]
"""Callback for the load reports received from members."""


@attrs.define(eq=False)
class ZoneLinks:
    """Sends zone messages to peers and handles those received from peers."""

    _services: ZoneServices
    _node: ZoneNode
    _run_actions: Callable[[], None]
    _on_report: ReportListener

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handlers of zone messages.

        :param handlers: Registry to add the handlers to.
        """
        handlers.register(LeaseRound, self.on_round)
        handlers.register(TakeoverProbe, self.on_probe)
        handlers.register(RoleOffer, self.on_role_offer)
        handlers.register(JoinRequest, self.on_join)
        handlers.register(ReportLoad, self.on_report)

    async def on_round(
        self, _link: Link, message: LeaseRound
    ) -> RoundAck | RoundRefusal | WrongReceiver:
        """Handle a coordinator's round.

        :param message: Received round.
        :return: Acknowledgement, refusal, or the own identity if the round
            is addressed to another process.
        """
        return self.answer_round(message)

    async def on_probe(
        self, _link: Link, message: TakeoverProbe
    ) -> ProbeAnswer | WrongReceiver:
        """Handle the takeover probe of a candidate.

        :param message: Received probe.
        :return: Vote, or the own identity if the probe is addressed to
            another process.
        """
        return self._node.on_probe(message, self._services.now)

    async def on_role_offer(
        self, _link: Link, message: RoleOffer
    ) -> RoleTaken | WrongReceiver:
        """Handle the role offer of a coordinator that is leaving.

        :param message: Received offer.
        :return: Whether the role is accepted, or the own identity if the
            offer is addressed to another process.
        """
        answer = self._node.on_role_offer(message, self._services.now)
        self._run_actions()
        return answer

    async def on_join(self, _link: Link, message: JoinRequest) -> JoinAnswer:
        """Handle the join request of a process.

        :param message: Received request.
        :return: Whether this entry VM is the coordinator, and the address of
            the coordinator if it is known.
        """
        answer = self._node.on_join(message, self._services.now)
        self._run_actions()
        return answer

    async def on_report(self, _link: Link, message: ReportLoad) -> ReportTaken:
        """Handle the load report of a member.

        :param message: Received report.
        :return: Whether this entry VM is the coordinator.
        """
        self._on_report(load_document(message.report, LoadReport))
        return ReportTaken(self._node.coordinator is not None)

    def answer_round(
        self, message: LeaseRound
    ) -> RoundAck | RoundRefusal | WrongReceiver:
        """Let the local member answer a round.

        Informs the workload if the dispatch rights changed.

        :param message: Round of a peer or of the local coordinator.
        :return: Acknowledgement, refusal, or the own identity if the round
            is addressed to another process.
        """
        member = self._node.member
        now = self._services.now
        before = member.rights_snapshot(now)
        answer = self._node.on_round(message, self._work_status(), now)
        if member.rights_snapshot(now) != before:
            self._services.workload.on_rights_changed()
        self._run_actions()
        return answer

    async def send_round(self, action: SendRound) -> None:
        """Send a round and process the answer.

        A round to the local member is answered without a link.

        :param action: Round and its receiver.
        """
        answer: object
        if action.member == self._services.me:
            answer = self.answer_round(action.message)
        else:
            answer = await self._call(action.member.address, action.message)
        if isinstance(answer, (RoundAck, RoundRefusal)):
            now = self._services.now
            self._node.role.on_round_answer(action, answer, now)
            self._run_actions()

    async def send_probe(self, action: SendProbe) -> None:
        """Send a takeover probe and process the answer.

        :param action: Probe and its receiver.
        """
        answer = await self._call(action.member.address, action.message)
        if isinstance(answer, ProbeAnswer):
            now = self._services.now
            self._node.role.on_probe_answer(action, answer, now)
            self._run_actions()

    async def send_offer(self, action: OfferRole) -> None:
        """Offer the coordinator role and process the answer.

        :param action: Offer and its receiver.
        """
        answer = await self._call(action.member.address, action.message)
        if isinstance(answer, RoleTaken):
            self._node.role.on_role_taken(answer)
            self._run_actions()

    async def send_join(self, address: Address) -> None:
        """Send a join request to an entry VM.

        :param address: Link address of the entry VM.
        """
        me = self._services.me
        request = JoinRequest(me.vm, me.incarnation, str(me.address))
        await self._call(address, request)

    async def send_report(self, report: LoadReport) -> None:
        """Send a load report to the coordinator, if its address is known.

        :param report: Load report of this entry VM.
        """
        address = self._node.coordinator_address
        if address == self._services.me.address:
            self._on_report(report)
        elif address is not None:
            await self._call(address, ReportLoad(dump_document(report)))

    async def _call(self, address: Address, message: object) -> object | None:
        try:
            with anyio.fail_after(CALL_TIMEOUT):
                answer = await self._services.links.call(address, message)
        except (LinkError, TimeoutError):
            return None
        if isinstance(answer, (WrongReceiver, JoinAnswer)):
            self._node.membership.on_incarnation(answer.vm, answer.incarnation)
        return answer

    def _work_status(self) -> WorkStatus:
        settled_version = self._services.workload.settled_version
        known_version = self._node.member.record_version
        return WorkStatus(
            min(settled_version, known_version), self._has_released
        )

    def _has_released(self, target: str) -> bool:
        tables = self._services.builder.holder_tables()
        table = tables.get(self._services.zone)
        holder = None if table is None else table.holders.get(target)
        if holder is not None and holder.vm == self._services.me.vm:
            return False
        return self._services.workload.has_released(target)
