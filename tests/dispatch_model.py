"""Model of one target, its leaseholders and their callers for tests."""

from __future__ import annotations

import uuid

import attrs

from dogwoodmast.address import Address
from dogwoodmast.backend import Grant
from dogwoodmast.configuration import RequestKind, Service, Target
from dogwoodmast.dispatch_messages import (
    AbortExchange,
    Action,
    CancelExchange,
    ExchangeCompleted,
    ExchangeFailed,
    FailureCause,
    Moved,
    Reply,
    StartExchange,
    Submission,
)
from dogwoodmast.dispatch_right import Right
from dogwoodmast.dispatcher import Dispatcher
from dogwoodmast.load_meter import LoadMeter
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.quarantine import Quarantine
from dogwoodmast.request import Header, Request, Response
from dogwoodmast.slot_table import OVERRUN_ALLOWANCE

EPOCH = 1_800_000_000.0
LEASE = 1.0
CHECK = RequestKind('check', ('GET',), idempotent=True, deadline=2, attempts=3)
PAY = RequestKind('pay', ('POST',), idempotent=False, deadline=2)
TARGET = Target('t', 'pikine', Address('127.0.0.1', 1), slots=2, connections=5)
SERVICE = Service('balance', 4, (TARGET,), (CHECK, PAY), queue_limit=6)
GRANTS = frozenset(Grant(f'balance/{number}', 1) for number in range(2))
NOT_RUN = Response(503, (Header('dogwoodmast-outcome', 'not_run'),))


def make_request_id(wall: float, salt: int) -> str:
    """Make a UUID of version 7 with a chosen creation time."""
    version = (7 << 76) | (2 << 62)
    number = int(wall * 1000) << 80
    return str(uuid.UUID(int=number | version | salt))


@attrs.define(eq=False)
class Rights:
    """Rights of one entry VM, set by the model."""

    answer: Right = Right.DENIED
    expiry: float = -1

    def right(self, target: str, grant: Grant, now: float) -> Right:
        """Tell the right that the model has set."""
        if self.answer is Right.GRANTED and self.expiry <= now:
            return Right.PENDING
        return self.answer

    def lease_expiry(self, target: str) -> float:
        """Tell the end that the model has set."""
        return self.expiry


@attrs.define(eq=False)
class Running:
    """An exchange that has not ended for its entry VM."""

    vm: str
    start: StartExchange
    executed: bool = False
    aborted: bool = False

    def may_run_late(self, now: float) -> bool:
        """Tell whether the target may still run an aborted exchange."""
        waiting = self.aborted and not self.executed
        return waiting and self.start.deadline > now


@attrs.define(eq=False)
class Ticket:
    """A submission and what became of it."""

    vm: str
    submission: Submission
    replied: bool = False
    cancelled: bool = False
    refused: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.submission.kind.idempotent

    @property
    def deadline(self) -> float:
        """Deadline of the request."""
        return self.submission.request.deadline

    @property
    def body(self) -> bytes:
        """Body of the request, which the answer repeats."""
        return self.submission.request.body

    @property
    def identity(self) -> str:
        """What makes two submissions the same request."""
        request = self.submission.request
        if self.is_idempotent:
            return f'ticket {self.submission.ticket}'
        return f'{request.request_id}|{request.body!r}'


@attrs.define(eq=False)
class Vm:
    """One entry VM."""

    dispatcher: Dispatcher
    rights: Rights
    skew: float
    quarantine: Quarantine
    paused: bool = False


def make_vm(skew: float) -> Vm:
    """Make an entry VM that fronts the target when it may."""
    rights = Rights()
    quarantine = Quarantine()
    dispatcher = Dispatcher(
        SERVICE, TARGET, rights, EPOCH + skew, LoadMeter(0), quarantine
    )
    dispatcher.on_grants(GRANTS, 0)
    return Vm(dispatcher, rights, skew, quarantine)


class DispatchModel:
    """Entry VMs, the target and the callers; checks what must hold."""

    def __init__(self) -> None:
        self.now = 10.0
        self.vms = {'a': make_vm(0.1), 'b': make_vm(-0.1)}
        self.tickets: dict[int, Ticket] = {}
        self.running: list[Running] = []
        self.abandoned: list[Running] = []
        self.executions: dict[str, int] = {}

    def submit(
        self,
        vm: str,
        kind: RequestKind,
        timeout: float,
        request_id: str,
        body: bytes,
        customer: str = '',
    ) -> int:
        """Submit a request to an entry VM."""
        number = len(self.tickets) + 1
        request = Request(
            service='balance',
            key='k',
            method=kind.methods[0],
            path='/',
            deadline=self.now + timeout,
            body=body,
            customer=customer,
            request_id=request_id,
        )
        partition = body[0] % len(GRANTS)
        grant = Grant(f'balance/{partition}', 1)
        submission = Submission(number, request, kind, grant)
        self.tickets[number] = Ticket(vm, submission)
        dispatcher = self.vms[vm].dispatcher
        self.perform(vm, dispatcher.on_submission(submission, self.now))
        return number

    def cancel(self, number: int) -> None:
        """Let a caller go."""
        ticket = self.tickets[number]
        if ticket.replied or self.vms[ticket.vm].paused:
            return
        ticket.cancelled = True
        dispatcher = self.vms[ticket.vm].dispatcher
        self.perform(ticket.vm, dispatcher.on_cancelled(number, self.now))

    def execute(self, one: Running) -> None:
        """Let the target run a request."""
        if one.executed or self.now >= one.start.deadline:
            return
        one.executed = True
        submission = one.start.submission
        identity = self.tickets[submission.ticket].identity
        count = self.executions.get(identity, 0) + 1
        self.executions[identity] = count
        if not submission.kind.idempotent:
            assert count == 1, f'{identity} ran twice'
        assert any(
            not ticket.refused
            for ticket in self.tickets.values()
            if ticket.identity == identity
        ), f'{identity} ran after it was refused as not run'

    def answer(self, one: Running) -> None:
        """Let the target's answer reach the entry VM."""
        self.execute(one)
        if one.executed:
            self.end(one, Response(200, body=one.start.submission.request.body))

    def shed(self, one: Running) -> None:
        """Let the target refuse without running."""
        if not one.executed:
            self.end(one, NOT_RUN)

    def end(self, one: Running, answer: Response) -> None:
        """End an exchange with an answer."""
        self.running.remove(one)
        event = ExchangeCompleted(one.start.slot, answer)
        dispatcher = self.vms[one.vm].dispatcher
        self.perform(one.vm, dispatcher.on_response(event, self.now))

    def fail(self, one: Running, cause: FailureCause, ended: bool) -> None:
        """End an exchange with a failure."""
        self.running.remove(one)
        if cause is not FailureCause.CONNECT and not ended:
            self.abandoned.append(one)
        event = ExchangeFailed(one.start.slot, cause, 'broken', ended)
        dispatcher = self.vms[one.vm].dispatcher
        self.perform(one.vm, dispatcher.on_failed(event, self.now))

    def advance(self, seconds: float) -> None:
        """Let time pass; the entry VMs that are not paused look at it."""
        self.now += seconds
        for name, vm in self.vms.items():
            if not vm.paused:
                self.tick(name)

    def tick(self, name: str) -> None:
        """Let one entry VM look at the clock."""
        vm = self.vms[name]
        wall = EPOCH + self.now + vm.skew
        self.perform(name, vm.dispatcher.on_tick(self.now, wall))
        for number, ticket in self.tickets.items():
            if ticket.vm == name and not ticket.cancelled:
                late = ticket.deadline <= self.now and not ticket.replied
                assert not late, f'ticket {number} was not answered in time'
        assert vm.dispatcher.next_wake(self.now) > self.now

    def may_grant(self, name: str) -> bool:
        """Tell whether ownership would grant the lease to an entry VM."""
        others = [vm for other, vm in self.vms.items() if other != name]
        if any(vm.rights.expiry > self.now for vm in others):
            return False
        busy = [
            one.start.deadline + OVERRUN_ALLOWANCE
            for one in (*self.running, *self.abandoned)
            if one.vm != name
        ]
        return max(busy, default=0) < self.now

    def perform(self, name: str, actions: list[Action]) -> None:
        """Carry out what a dispatcher asks for."""
        for action in actions:
            match action:
                case StartExchange():
                    self._on_start(name, action)
                case Reply():
                    self._on_reply(name, action)
                case AbortExchange(slot):
                    one = self.find(name, slot)
                    assert not one.aborted
                    one.aborted = True
                case CancelExchange(slot):
                    assert not self.find(name, slot).aborted
        self._check_limits(name)

    @property
    def holder(self) -> str:
        """Entry VM that holds the lease, or the one that held it."""
        expiries = {name: vm.rights.expiry for name, vm in self.vms.items()}
        return max(expiries, key=lambda name: expiries[name])

    @property
    def is_leased(self) -> bool:
        """Whether an entry VM holds the lease."""
        return any(vm.rights.expiry > self.now for vm in self.vms.values())

    def ready(self) -> list[Running]:
        """List the exchanges whose entry VM is not paused."""
        return [one for one in self.running if not self.vms[one.vm].paused]

    def find(self, name: str, slot: int) -> Running:
        """Find the exchange of a slot."""
        return next(
            one
            for one in self.running
            if one.vm == name and one.start.slot == slot
        )

    def _on_start(self, name: str, start: StartExchange) -> None:
        submission = start.submission
        rights = self.vms[name].rights
        right = rights.right(TARGET.name, submission.grant, self.now)
        assert right is Right.GRANTED, 'started without the right'
        assert all(
            one.start.slot != start.slot
            for one in self.running
            if one.vm == name
        ), 'two exchanges on one slot'
        self.running.append(Running(name, start))

    def _on_reply(self, name: str, reply: Reply) -> None:
        ticket = self.tickets[reply.ticket]
        assert ticket.vm == name
        assert not ticket.replied, 'two replies'
        assert not ticket.cancelled, 'reply to a caller that is gone'
        ticket.replied = True
        match reply.outcome:
            case Response(status, _, body):
                assert status == 200
                assert body == ticket.body
                assert self.executions.get(ticket.identity)
            case Problem(type=ProblemType.REQUEST_ID_REUSED):
                ticket.refused = True
            case Problem(outcome=Outcome.NOT_RUN):
                ticket.refused = True
                ran = self.executions.get(ticket.identity)
                assert not ran, f'{ticket.identity} ran, yet not_run'
            case Moved(outcome):
                ticket.refused = outcome is Outcome.NOT_RUN
                assert ticket.refused or ticket.is_idempotent

    def _check_limits(self, name: str) -> None:
        busy = [one for one in self.running if one.vm == name]
        still = [
            one
            for one in self.abandoned
            if one.vm == name and one.may_run_late(self.now)
        ]
        assert len(busy) + len(still) <= TARGET.slots
        state = self.vms[name].dispatcher.state
        assert state.slots.open_connections <= TARGET.connections
