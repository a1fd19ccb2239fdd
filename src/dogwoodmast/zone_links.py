"""Messages between a zone's entry VMs, as they come and go on links."""

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
"""Time allowed for a peer's answer, in seconds."""

ReportListener = Callable[[LoadReport], None]
"""Called with each report that a member sends."""


@attrs.define(eq=False)
class ZoneLinks:
    """Sender and receiver of a zone's messages."""

    _services: ZoneServices
    _node: ZoneNode
    _on_event: Callable[[], None]
    _on_report: ReportListener

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handlers of peers' messages.

        :param handlers: Collection to add them to.
        """
        handlers.register(LeaseRound, self.on_round)
        handlers.register(TakeoverProbe, self.on_probe)
        handlers.register(RoleOffer, self.on_role_offer)
        handlers.register(JoinRequest, self.on_join)
        handlers.register(ReportLoad, self.on_report)

    async def on_round(
        self, _link: Link, message: LeaseRound
    ) -> RoundAck | RoundRefusal | WrongReceiver:
        """Answer a coordinator's round.

        :param message: The round.
        :return: The answer.
        """
        return self.answer_round(message)

    async def on_probe(
        self, _link: Link, message: TakeoverProbe
    ) -> ProbeAnswer | WrongReceiver:
        """Answer a candidate.

        :param message: The probe.
        :return: The answer.
        """
        return self._node.on_probe(message, self._services.now)

    async def on_role_offer(
        self, _link: Link, message: RoleOffer
    ) -> RoleTaken | WrongReceiver:
        """Answer a coordinator that leaves.

        :param message: The offer.
        :return: The answer.
        """
        answer = self._node.on_role_offer(message, self._services.now)
        self._on_event()
        return answer

    async def on_join(self, _link: Link, message: JoinRequest) -> JoinAnswer:
        """Answer a process that wants to be listed.

        :param message: The request.
        :return: The answer.
        """
        answer = self._node.on_join(message, self._services.now)
        self._on_event()
        return answer

    async def on_report(self, _link: Link, message: ReportLoad) -> ReportTaken:
        """Take in a member's report.

        :param message: The report.
        :return: The answer.
        """
        self._on_report(load_document(message.report, LoadReport))
        return ReportTaken(self._node.coordinator is not None)

    def answer_round(
        self, message: LeaseRound
    ) -> RoundAck | RoundRefusal | WrongReceiver:
        """Have the own member answer a round.

        :param message: The round.
        :return: The answer.
        """
        member = self._node.member
        now = self._services.now
        before = member.rights_key(now)
        answer = self._node.on_round(message, self._work_status(), now)
        if member.rights_key(now) != before:
            self._services.workload.on_rights_changed()
        self._on_event()
        return answer

    async def send_round(self, action: SendRound) -> None:
        """Send a round and take in the answer.

        :param action: The round.
        """
        answer: object
        if action.member == self._services.me:
            answer = self.answer_round(action.message)
        else:
            answer = await self._call(action.member.address, action.message)
        if isinstance(answer, (RoundAck, RoundRefusal)):
            now = self._services.now
            self._node.role.on_round_answer(action, answer, now)
            self._on_event()

    async def send_probe(self, action: SendProbe) -> None:
        """Send a probe and take in the answer.

        :param action: The probe.
        """
        answer = await self._call(action.member.address, action.message)
        if isinstance(answer, ProbeAnswer):
            now = self._services.now
            self._node.role.on_probe_answer(action, answer, now)
            self._on_event()

    async def send_offer(self, action: OfferRole) -> None:
        """Offer the coordinator's role and take in the answer.

        :param action: The offer.
        """
        answer = await self._call(action.member.address, action.message)
        if isinstance(answer, RoleTaken):
            self._node.role.on_role_taken(answer)
            self._on_event()

    async def send_join(self, address: Address) -> None:
        """Ask an entry VM to be listed.

        :param address: Address of its links.
        """
        me = self._services.me
        request = JoinRequest(me.vm, me.incarnation, str(me.address))
        await self._call(address, request)

    async def send_report(self, report: LoadReport) -> None:
        """Send a report to the coordinator.

        :param report: The report.
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
        settled = self._services.workload.settled_version
        known = self._node.member.record_version
        return WorkStatus(min(settled, known), self._has_released)

    def _has_released(self, target: str) -> bool:
        tables = self._services.builder.holder_tables()
        table = tables.get(self._services.zone)
        holder = None if table is None else table.holders.get(target)
        if holder is not None and holder.vm == self._services.me.vm:
            return False
        return self._services.workload.has_released(target)
