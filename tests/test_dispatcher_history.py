"""Stateful test of two dispatchers under random orders of events.

Guards against orders of submissions, failures, handovers and pauses in which
a request runs twice, runs after it was refused, gets no reply or two, or
exceeds the target's slots.  The assertions are in :mod:`dispatch_model`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from dispatch_model import (
    CHECK,
    GRANTS,
    LEASE_DURATION,
    PAY,
    START_TIME,
    DispatchModel,
    make_request_id,
)
from dogwoodmast.dispatch_messages import FailureCause
from dogwoodmast.dispatch_right import Right

if TYPE_CHECKING:
    from dogwoodmast.request import Request

LEASEHOLDER = ''
"""Stands for the current leaseholder as the entry VM to submit to."""
VMS = st.sampled_from(('a', 'b'))
ENTRY_VMS = st.sampled_from(
    (LEASEHOLDER, LEASEHOLDER, LEASEHOLDER, LEASEHOLDER, 'a', 'b')
)
PICKS = st.integers(0, 7)
"""Indices of candidates, taken modulo the number of candidates."""


class Histories(RuleBasedStateMachine):
    """Random sequences of requests, exchange ends, handovers and pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.model = DispatchModel()
        # Entry VM that hands its lease over; empty if there is none.
        self.handover = ''

    @initialize()
    def grant_first_lease(self) -> None:
        """Grant the lease to entry VM ``a``."""
        self._grant('a')
        self._advance(1.0)

    @rule(
        vm=ENTRY_VMS,
        timeout=st.sampled_from((0.05, 0.5, 3.0)),
        body=st.binary(min_size=1, max_size=1),
    )
    def check(self, vm: str, timeout: float, body: bytes) -> None:
        """Submit an idempotent request."""
        salt = len(self.model.tickets).to_bytes(2, 'big')
        self._submit(vm, timeout, '', body + salt)

    @rule(
        vm=ENTRY_VMS,
        timeout=st.sampled_from((0.05, 0.5, 3.0)),
        body=st.binary(min_size=1, max_size=1),
        clock_lead=st.sampled_from((-0.4, 0, 0, 0.3, 0.4, 0.55, 2.0)),
    )
    def pay(
        self, vm: str, timeout: float, body: bytes, clock_lead: float
    ) -> None:
        """Submit a non-idempotent request with a new id.

        :param vm: Entry VM, or the leaseholder if empty.
        :param timeout: Time until the deadline, in seconds.
        :param body: Body of the request.
        :param clock_lead: Lead of the caller's clock, in seconds.
        """
        wall = START_TIME + self.model.now + clock_lead
        request_id = make_request_id(wall, len(self.model.tickets))
        self._submit(vm, timeout, request_id, body)

    @rule(body=st.binary(min_size=1, max_size=1), answered=st.booleans())
    def pay_and_run(self, body: bytes, answered: bool) -> None:
        """Submit a non-idempotent request, run it, and respond or fail."""
        tickets = len(self.model.tickets)
        self.pay(LEASEHOLDER, 3.0, body, 0)
        for exchange in self.model.ready():
            if exchange.start.submission.ticket > tickets:
                self.model.execute(exchange)
                if answered:
                    self.model.answer(exchange)
                else:
                    self.model.fail(exchange, FailureCause.CLOSED, ended=False)

    @precondition(lambda self: self.model.tickets)
    @rule(vm=ENTRY_VMS, pick=PICKS, timeout=st.sampled_from((0.5, 3.0)))
    def resend(self, vm: str, pick: int, timeout: float) -> None:
        """Submit an earlier request again, to any entry VM."""
        request = self._earlier_request(pick)
        self._submit(vm, timeout, request.request_id, request.body)

    @precondition(lambda self: self.model.tickets)
    @rule(vm=ENTRY_VMS, pick=PICKS)
    def reuse(self, vm: str, pick: int) -> None:
        """Submit a different request with the id of an earlier one."""
        request = self._earlier_request(pick)
        if request.request_id:
            self._submit(vm, 1.0, request.request_id, request.body[:1] * 3)

    @precondition(lambda self: self.model.tickets)
    @rule(pick=PICKS)
    def cancel(self, pick: int) -> None:
        """Let a caller disconnect."""
        numbers = list(self.model.tickets)
        self.model.cancel(numbers[pick % len(numbers)])

    @precondition(lambda self: self.model.running)
    @rule(pick=PICKS)
    def execute(self, pick: int) -> None:
        """Let the target run a request without responding yet."""
        self.model.execute(self.model.running[pick % len(self.model.running)])

    @precondition(lambda self: self.model.abandoned)
    @rule(pick=PICKS)
    def execute_late(self, pick: int) -> None:
        """Let the target run a request whose exchange has already failed."""
        abandoned = self.model.abandoned
        self.model.execute(abandoned[pick % len(abandoned)])

    @precondition(lambda self: self.model.running)
    @rule(pick=PICKS, count=st.integers(1, 4))
    def answer(self, pick: int, count: int) -> None:
        """Deliver several responses."""
        for _ in range(count):
            ready = self.model.ready()
            if ready:
                self.model.answer(ready[pick % len(ready)])

    @precondition(lambda self: self.model.running)
    @rule(pick=PICKS)
    def shed(self, pick: int) -> None:
        """Let the target shed a request."""
        ready = self.model.ready()
        if ready:
            self.model.shed(ready[pick % len(ready)])

    @precondition(lambda self: self.model.running)
    @rule(pick=PICKS, connected=st.booleans())
    def fail(self, pick: int, connected: bool) -> None:
        """Let an exchange fail after or before its connection opened."""
        ready = self.model.ready()
        if not ready:
            return
        exchange = ready[pick % len(ready)]
        if connected:
            self.model.fail(exchange, FailureCause.CLOSED, ended=False)
        elif not exchange.executed:
            self.model.fail(exchange, FailureCause.CONNECT, ended=False)

    @precondition(lambda self: self.model.running)
    @rule(pick=PICKS, ended=st.booleans())
    def end_abort(self, pick: int, ended: bool) -> None:
        """Complete an abort, with or without the target's confirmation."""
        aborted = [
            exchange for exchange in self.model.ready() if exchange.aborted
        ]
        if aborted:
            exchange = aborted[pick % len(aborted)]
            self.model.fail(exchange, FailureCause.ABORTED, ended)

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.4, 0.8, 2.5)))
    def advance(self, seconds: float) -> None:
        """Advance the time; the leaseholder renews its lease if not paused."""
        self._advance(seconds)

    @rule(
        vm=VMS,
        seconds=st.sampled_from((0.2, 0.9, 1.2, 4.0)),
        tick_first=st.booleans(),
    )
    def pause(self, vm: str, seconds: float, tick_first: bool) -> None:
        """Suspend an entry VM, so that the other one may take over its lease.

        :param vm: Entry VM to suspend.
        :param seconds: Duration of the suspension, in seconds.
        :param tick_first: Whether a timer fires before any other event when
            it resumes.
        """
        process = self.model.vms[vm]
        process.paused = True
        self._advance(seconds)
        process.paused = False
        if tick_first:
            self.model.tick(vm)

    @rule(seconds=st.sampled_from((0.1, 1.0, 2.5)))
    def lose_lease(self, seconds: float) -> None:
        """Let the lease expire without a renewal."""
        rights = self.model.vms[self.model.holder].rights
        rights.expiry = min(rights.expiry, self.model.now + 0.01)
        self._advance(seconds)

    @precondition(lambda self: not self.handover)
    @rule(vm=VMS)
    def begin_handover(self, vm: str) -> None:
        """Begin a planned handover from a leaseholder to the other entry VM."""
        previous = self.model.vms[vm]
        if previous.rights.expiry > self.model.now and not previous.paused:
            self.handover = vm
            self._set_right(vm, Right.DENIED)
            self._set_right(self._other(vm), Right.PENDING)

    def _submit(
        self, vm: str, timeout: float, request_id: str, body: bytes
    ) -> None:
        name = vm or self.model.holder
        if not self.model.vms[name].paused:
            kind = PAY if request_id else CHECK
            self.model.submit(
                name, kind, timeout, request_id, body, str(body[0] % 3)
            )

    def _earlier_request(self, pick: int) -> Request:
        tickets = list(self.model.tickets.values())
        return tickets[-1 - pick % len(tickets)].submission.request

    def _advance(self, seconds: float) -> None:
        remaining = seconds
        while remaining > 0:
            step = min(remaining, 0.3)
            remaining -= step
            self.model.advance(step)
            for vm in self.model.vms.values():
                is_held = vm.rights.expiry > self.model.now
                if is_held and not vm.paused:
                    vm.rights.expiry = self.model.now + LEASE_DURATION
            self._coordinate()

    def _coordinate(self) -> None:
        if self.handover:
            self._end_handover()
            return
        holder = self.model.holder
        if self.model.is_leased:
            return
        for name in (self._other(holder), holder):
            paused = self.model.vms[name].paused
            if not paused and self.model.may_grant(name):
                self._grant(name)
                return

    def _end_handover(self) -> None:
        """Hand over the ledgers and the lease once no request is running.

        The handover is dropped if the lease has expired.
        """
        previous = self.model.vms[self.handover]
        next_name = self._other(self.handover)
        next_holder = self.model.vms[next_name]
        now = self.model.now
        if previous.rights.expiry <= now:
            self.handover = ''
            return
        if (
            previous.paused
            or next_holder.paused
            or previous.dispatcher.unsettled(now)
        ):
            return
        for grant in GRANTS:
            extract = previous.dispatcher.export_ledger(grant, now)
            if extract is not None:
                next_holder.dispatcher.import_ledger(extract, grant, now)
        previous.rights.expiry = now
        self.handover = ''
        self._grant(next_name)

    def _grant(self, name: str) -> None:
        rights = self.model.vms[name].rights
        rights.answer = Right.GRANTED
        rights.expiry = self.model.now + LEASE_DURATION
        other = self.model.vms[self._other(name)].rights
        other.answer = Right.DENIED
        for vm in self.model.vms:
            self._notify_rights_changed(vm)

    def _set_right(self, name: str, right: Right) -> None:
        process = self.model.vms[name]
        process.rights.answer = right
        self._notify_rights_changed(name)

    def _notify_rights_changed(self, name: str) -> None:
        vm = self.model.vms[name]
        if not vm.paused:
            actions = vm.dispatcher.on_rights_changed(self.model.now)
            self.model.perform(name, actions)

    def _other(self, name: str) -> str:
        return 'b' if name == 'a' else 'a'


TestHistories = Histories.TestCase
TestHistories.settings = settings(max_examples=200, stateful_step_count=60)


def test_target_that_closes_an_aborted_exchange_frees_its_slot() -> None:
    """The target has closed a connection when its exchange is aborted.

    The model counted the request as running on its slot until its deadline, as
    if the entry VM had closed the connection.
    """
    history = Histories()
    history.grant_first_lease()
    for _ in range(29):
        history.advance(0.01)
    history.check(body=b'\0', timeout=0.05, vm=LEASEHOLDER)
    history.answer(pick=0, count=1)
    history.pay(body=b'\0', timeout=0.05, vm=LEASEHOLDER, clock_lead=-0.4)
    history.check(body=b'\0', timeout=0.5, vm=LEASEHOLDER)
    history.lose_lease(0.1)
    history.fail(connected=True, pick=1)
    history.check(body=b'\0', timeout=0.05, vm=LEASEHOLDER)
    tickets = [one.start.submission.ticket for one in history.model.running]
    assert tickets == [2, 4]
