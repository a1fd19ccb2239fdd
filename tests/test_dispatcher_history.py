"""Histories of requests under every order of events."""

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
    EPOCH,
    GRANTS,
    LEASE,
    PAY,
    DispatchModel,
    make_request_id,
)
from dogwoodmast.dispatch_messages import FailureCause
from dogwoodmast.dispatch_right import Right

if TYPE_CHECKING:
    from dogwoodmast.request import Request

HOLDER = ''
VMS = st.sampled_from(('a', 'b'))
ENTRANCES = st.sampled_from((HOLDER, HOLDER, HOLDER, HOLDER, 'a', 'b'))
PICKS = st.integers(0, 7)


class Histories(RuleBasedStateMachine):
    """Submissions, ends of exchanges, handovers and pauses in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.model = DispatchModel()
        self.handover = ''

    @initialize()
    def begin(self) -> None:
        """Grant the lease to the first entry VM."""
        self._grant('a')
        self._advance(1.0)

    @rule(
        vm=ENTRANCES,
        timeout=st.sampled_from((0.05, 0.5, 3.0)),
        body=st.binary(min_size=1, max_size=1),
    )
    def check(self, vm: str, timeout: float, body: bytes) -> None:
        """Submit an idempotent request."""
        salt = len(self.model.tickets).to_bytes(2, 'big')
        self._submit(vm, timeout, '', body + salt)

    @rule(
        vm=ENTRANCES,
        timeout=st.sampled_from((0.05, 0.5, 3.0)),
        body=st.binary(min_size=1, max_size=1),
        ahead=st.sampled_from((-0.4, 0, 0, 0.3, 0.4, 0.55, 2.0)),
    )
    def pay(self, vm: str, timeout: float, body: bytes, ahead: float) -> None:
        """Submit a non-idempotent request with a new id."""
        wall = EPOCH + self.model.now + ahead
        request_id = make_request_id(wall, len(self.model.tickets))
        self._submit(vm, timeout, request_id, body)

    @rule(body=st.binary(min_size=1, max_size=1), answered=st.booleans())
    def pay_through(self, body: bytes, answered: bool) -> None:
        """Submit a non-idempotent request, run it, and end or lose it."""
        tickets = len(self.model.tickets)
        self.pay(HOLDER, 3.0, body, 0)
        for one in self.model.ready():
            if one.start.submission.ticket > tickets:
                self.model.execute(one)
                if answered:
                    self.model.answer(one)
                else:
                    self.model.fail(one, FailureCause.CLOSED, ended=False)

    @precondition(lambda self: self.model.tickets)
    @rule(vm=ENTRANCES, pick=PICKS, timeout=st.sampled_from((0.5, 3.0)))
    def resend(self, vm: str, pick: int, timeout: float) -> None:
        """Submit a request again, through any entry VM."""
        request = self._request(pick)
        self._submit(vm, timeout, request.request_id, request.body)

    @precondition(lambda self: self.model.tickets)
    @rule(vm=ENTRANCES, pick=PICKS)
    def reuse(self, vm: str, pick: int) -> None:
        """Submit another request under a used id."""
        request = self._request(pick)
        if request.request_id:
            self._submit(vm, 1.0, request.request_id, request.body[:1] * 3)

    @precondition(lambda self: self.model.tickets)
    @rule(pick=PICKS)
    def cancel(self, pick: int) -> None:
        """Let a caller go."""
        numbers = list(self.model.tickets)
        self.model.cancel(numbers[pick % len(numbers)])

    @precondition(lambda self: self.model.running)
    @rule(pick=PICKS)
    def execute(self, pick: int) -> None:
        """Run a request whose answer is still to come."""
        self.model.execute(self.model.running[pick % len(self.model.running)])

    @precondition(lambda self: self.model.abandoned)
    @rule(pick=PICKS)
    def execute_late(self, pick: int) -> None:
        """Run a request that its entry VM has given up."""
        abandoned = self.model.abandoned
        self.model.execute(abandoned[pick % len(abandoned)])

    @precondition(lambda self: self.model.running)
    @rule(pick=PICKS, times=st.integers(1, 4))
    def answer(self, pick: int, times: int) -> None:
        """Let answers come, in any order."""
        for _ in range(times):
            ready = self.model.ready()
            if ready:
                self.model.answer(ready[pick % len(ready)])

    @precondition(lambda self: self.model.running)
    @rule(pick=PICKS)
    def shed(self, pick: int) -> None:
        """Let the target refuse a request."""
        ready = self.model.ready()
        if ready:
            self.model.shed(ready[pick % len(ready)])

    @precondition(lambda self: self.model.running)
    @rule(pick=PICKS, connected=st.booleans())
    def fail(self, pick: int, connected: bool) -> None:
        """Let an exchange fail."""
        ready = self.model.ready()
        if not ready:
            return
        one = ready[pick % len(ready)]
        if connected:
            self.model.fail(one, FailureCause.CLOSED, ended=False)
        elif not one.executed:
            self.model.fail(one, FailureCause.CONNECT, ended=False)

    @precondition(lambda self: self.model.running)
    @rule(pick=PICKS, ended=st.booleans())
    def end_abort(self, pick: int, ended: bool) -> None:
        """Let an abort finish."""
        aborted = [one for one in self.model.ready() if one.aborted]
        if aborted:
            one = aborted[pick % len(aborted)]
            self.model.fail(one, FailureCause.ABORTED, ended)

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.4, 0.8, 2.5)))
    def advance(self, seconds: float) -> None:
        """Let time pass, with or without a renewal of the lease."""
        self._advance(seconds)

    @rule(
        vm=VMS,
        seconds=st.sampled_from((0.2, 0.9, 1.2, 4.0)),
        tick_first=st.booleans(),
    )
    def pause(self, vm: str, seconds: float, tick_first: bool) -> None:
        """Pause a process for a while; its target may be taken over."""
        process = self.model.vms[vm]
        process.paused = True
        self._advance(seconds)
        process.paused = False
        if tick_first:
            self.model.tick(vm)

    @rule(seconds=st.sampled_from((0.1, 1.0, 2.5)))
    def lose_lease(self, seconds: float) -> None:
        """Let the lease lapse without a renewal."""
        rights = self.model.vms[self.model.holder].rights
        rights.expiry = min(rights.expiry, self.model.now + 0.01)
        self._advance(seconds)

    @precondition(lambda self: not self.handover)
    @rule(vm=VMS)
    def begin_handover(self, vm: str) -> None:
        """Name another entry VM as the next holder."""
        old = self.model.vms[vm]
        if old.rights.expiry > self.model.now and not old.paused:
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

    def _request(self, pick: int) -> Request:
        tickets = list(self.model.tickets.values())
        return tickets[-1 - pick % len(tickets)].submission.request

    def _advance(self, seconds: float) -> None:
        remaining = seconds
        while remaining > 0:
            step = min(remaining, 0.3)
            remaining -= step
            self.model.advance(step)
            for vm in self.model.vms.values():
                held = vm.rights.expiry > self.model.now
                if held and not vm.paused:
                    vm.rights.expiry = self.model.now + LEASE
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
        """Hand over the ledgers and the lease once all has settled."""
        old = self.model.vms[self.handover]
        new_name = self._other(self.handover)
        new = self.model.vms[new_name]
        now = self.model.now
        if old.rights.expiry <= now:
            self.handover = ''
            return
        if old.paused or new.paused or old.dispatcher.unsettled(now):
            return
        for grant in GRANTS:
            extract = old.dispatcher.export_ledger(grant, now)
            if extract is not None:
                new.dispatcher.import_ledger(extract, grant, now)
        old.rights.expiry = now
        self.handover = ''
        self._grant(new_name)

    def _grant(self, name: str) -> None:
        rights = self.model.vms[name].rights
        rights.answer = Right.GRANTED
        rights.expiry = self.model.now + LEASE
        other = self.model.vms[self._other(name)].rights
        other.answer = Right.DENIED
        for vm in self.model.vms:
            self._look_again(vm)

    def _set_right(self, name: str, right: Right) -> None:
        process = self.model.vms[name]
        process.rights.answer = right
        self._look_again(name)

    def _look_again(self, name: str) -> None:
        vm = self.model.vms[name]
        if not vm.paused:
            actions = vm.dispatcher.on_rights_changed(self.model.now)
            self.model.perform(name, actions)

    def _other(self, name: str) -> str:
        return 'b' if name == 'a' else 'a'


TestHistories = Histories.TestCase
TestHistories.settings = settings(max_examples=200, stateful_step_count=60)
