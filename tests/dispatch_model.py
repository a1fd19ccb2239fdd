"""Model of one target, two entry VMs and their callers, for tests.

The model performs the actions of real dispatchers on simulated exchanges and
asserts after each step that no invariant is violated.  Time advances only
when a test asks for it.
"""

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

START_TIME = 1_800_000_000.0
"""Wall-clock time at monotonic time zero, in seconds since the Unix epoch."""
LEASE_DURATION = 1.0
"""Duration of the target's dispatch lease, in seconds."""
CHECK = RequestKind('check', ('GET',), idempotent=True, deadline=2, attempts=3)
PAY = RequestKind('pay', ('POST',), idempotent=False, deadline=2)
TARGET = Target('t', 'pikine', Address('127.0.0.1', 1), slots=2, connections=5)
SERVICE = Service('balance', 4, (TARGET,), (CHECK, PAY), queue_limit=6)
GRANTS = frozenset(Grant(f'balance/{number}', 1) for number in range(2))
"""Grants assigned to both entry VMs; the lease decides which may use them."""
NOT_RUN = Response(503, (Header('dogwoodmast-outcome', 'not_run'),))
"""Response of a target that refused to run a request."""


def make_request_id(wall: float, salt: int) -> str:
    """Make a UUID of version 7 with a given creation time.

    :param wall: Creation time in seconds since the Unix epoch.
    :param salt: Number that makes ids of the same time differ.
    :return: Value of an Idempotency-Key header.
    """
    version = (7 << 76) | (2 << 62)
    number = int(wall * 1000) << 80
    return str(uuid.UUID(int=number | version | salt))


@attrs.define(eq=False)
class FakeRights:
    """Dispatch rights of one entry VM, set by a test or by the model."""

    answer: Right = Right.DENIED
    """Right for every grant; ``GRANTED`` turns into ``PENDING`` when the lease
    expires."""
    expiry: float = -1
    """Monotonic time at which the lease expires, in seconds."""

    def right(self, target: str, grant: Grant, now: float) -> Right:
        """Return the configured right, or ``PENDING`` without a lease."""
        if self.answer is Right.GRANTED and self.expiry <= now:
            return Right.PENDING
        return self.answer

    def lease_expiry(self, target: str) -> float:
        """Return the configured expiry of the lease."""
        return self.expiry


@attrs.define(eq=False)
class RunningExchange:
    """Exchange between an entry VM and the target."""

    vm: str
    """Name of the entry VM that started it."""
    start: StartExchange
    """Action that started it."""
    executed: bool = False
    """Whether the target has run the request."""
    aborted: bool = False
    """Whether the dispatcher has aborted the exchange."""
    closed_by_vm: bool = False
    """Whether the entry VM closed the connection without a response.

    False if the target closed it, even if the dispatcher's abort came before
    the entry VM had noticed that.
    """
    failed_at: float = 0
    """Monotonic time at which it failed, in seconds."""

    @property
    def grant(self) -> Grant:
        """Partition and fence that its request was sent under."""
        return self.start.submission.grant

    def may_run_late(self, now: float) -> bool:
        """Check whether the target may still run it on one of its slots."""
        not_run_yet = self.closed_by_vm and not self.executed
        return not_run_yet and self.start.deadline > now

    def is_unsettled(self, now: float) -> bool:
        """Check whether its failure forbids to hand the partition over."""
        end = max(self.start.deadline, self.failed_at) + OVERRUN_ALLOWANCE
        return end > now


@attrs.define(eq=False)
class Ticket:
    """Submission by one caller, with its state."""

    vm: str
    """Name of the entry VM that it was submitted to."""
    submission: Submission
    """Event passed to the entry VM's dispatcher."""
    replied: bool = False
    """Whether the dispatcher has replied."""
    cancelled: bool = False
    """Whether the caller disconnected before a reply."""
    refused: bool = False
    """Whether the reply says that the request did not run."""

    @property
    def is_idempotent(self) -> bool:
        """Whether the request is safe to run more than once."""
        return self.submission.kind.idempotent

    @property
    def deadline(self) -> float:
        """Monotonic time by which a reply is due, in seconds."""
        return self.submission.request.deadline

    @property
    def body(self) -> bytes:
        """Body of the request, which the target's response echoes."""
        return self.submission.request.body

    @property
    def identity(self) -> str:
        """Identity of the request.

        Submissions of the same non-idempotent request share it.  Each
        submission of an idempotent request counts as a request of its own.
        """
        request = self.submission.request
        if self.is_idempotent:
            return f'ticket {self.submission.ticket}'
        return f'{request.request_id}|{request.body!r}'


@attrs.define(eq=False)
class Vm:
    """Entry VM with its dispatcher for the target."""

    dispatcher: Dispatcher
    """Dispatcher under test."""
    rights: FakeRights
    """Dispatch rights of this entry VM."""
    clock_skew: float
    """Lead of its wall clock over the true time, in seconds."""
    quarantine: Quarantine
    """Requests that it suspects of crashing targets."""
    paused: bool = False
    """Whether its process is suspended and handles no event."""


def make_vm(clock_skew: float) -> Vm:
    """Make an entry VM that does not hold the target's lease.

    :param clock_skew: Lead of its wall clock, in seconds.
    :return: Entry VM to which all grants are assigned.
    """
    rights = FakeRights()
    quarantine = Quarantine()
    dispatcher = Dispatcher(
        SERVICE,
        TARGET,
        rights,
        START_TIME + clock_skew,
        LoadMeter(0),
        quarantine,
    )
    dispatcher.on_grants(GRANTS, 0)
    return Vm(dispatcher, rights, clock_skew, quarantine)


class DispatchModel:
    """Two entry VMs, a target and callers, with assertions of the invariants.

    At any time: a non-idempotent request runs at most once, a request that
    was refused as not run does not run, requests are sent only with the
    right to do so, every caller gets one reply by its deadline, and the
    limits on slots and connections hold.
    """

    def __init__(self) -> None:
        self.now = 10.0
        self.vms = {'a': make_vm(0.1), 'b': make_vm(-0.1)}
        self.tickets: dict[int, Ticket] = {}
        # Exchanges that have not ended for their entry VM.
        self.running: list[RunningExchange] = []
        # Exchanges that failed after their request had been sent.
        self.abandoned: list[RunningExchange] = []
        # Number of executions by identity of the request.
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
        """Submit a request to an entry VM.

        :param vm: Name of the entry VM.
        :param kind: Kind of the request.
        :param timeout: Time until its deadline, in seconds.
        :param request_id: Idempotency-Key, or an empty string.
        :param body: Body; its first byte selects the partition.
        :param customer: Customer that the request is queued for.
        :return: Ticket number of the submission.
        """
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
        """Let a caller disconnect before its reply."""
        ticket = self.tickets[number]
        if ticket.replied or self.vms[ticket.vm].paused:
            return
        ticket.cancelled = True
        dispatcher = self.vms[ticket.vm].dispatcher
        self.perform(ticket.vm, dispatcher.on_cancelled(number, self.now))

    def execute(self, exchange: RunningExchange) -> None:
        """Let the target run a request unless its deadline has passed."""
        if exchange.executed or self.now >= exchange.start.deadline:
            return
        exchange.executed = True
        submission = exchange.start.submission
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

    def answer(self, exchange: RunningExchange) -> None:
        """Run a request if necessary and deliver its response."""
        self.execute(exchange)
        if exchange.executed:
            self.end(
                exchange,
                Response(200, body=exchange.start.submission.request.body),
            )

    def shed(self, exchange: RunningExchange) -> None:
        """Let the target shed a request that it has not run."""
        if not exchange.executed:
            self.end(exchange, NOT_RUN)

    def end(self, exchange: RunningExchange, answer: Response) -> None:
        """Complete an exchange with a response."""
        self.running.remove(exchange)
        event = ExchangeCompleted(exchange.start.slot, answer)
        dispatcher = self.vms[exchange.vm].dispatcher
        self.perform(exchange.vm, dispatcher.on_response(event, self.now))

    def fail(
        self, exchange: RunningExchange, cause: FailureCause, ended: bool
    ) -> None:
        """End an exchange without a response.

        :param exchange: Exchange that fails.
        :param cause: Cause of the failure.
        :param ended: Whether the target confirmed that the request is not
            running any more.
        """
        self.running.remove(exchange)
        exchange.failed_at = self.now
        exchange.closed_by_vm = cause is FailureCause.ABORTED
        if cause is not FailureCause.CONNECT and not ended:
            self.abandoned.append(exchange)
        event = ExchangeFailed(exchange.start.slot, cause, 'broken', ended)
        dispatcher = self.vms[exchange.vm].dispatcher
        self.perform(exchange.vm, dispatcher.on_failed(event, self.now))

    def advance(self, seconds: float) -> None:
        """Advance the time and tick the entry VMs that are not paused."""
        self.now += seconds
        for name, vm in self.vms.items():
            if not vm.paused:
                self.tick(name)

    def tick(self, name: str) -> None:
        """Pass the time to one dispatcher and check that no reply is late."""
        vm = self.vms[name]
        wall = START_TIME + self.now + vm.clock_skew
        self.perform(name, vm.dispatcher.on_tick(self.now, wall))
        for number, ticket in self.tickets.items():
            if ticket.vm == name and not ticket.cancelled:
                late = ticket.deadline <= self.now and not ticket.replied
                assert not late, f'ticket {number} was not answered in time'
        assert vm.dispatcher.next_wake(self.now) > self.now

    def may_grant(self, name: str) -> bool:
        """Check whether the coordinator may grant the lease to an entry VM.

        It may once no other entry VM holds the lease and no request that
        another one sent can still be running.
        """
        others = [vm for other, vm in self.vms.items() if other != name]
        if any(vm.rights.expiry > self.now for vm in others):
            return False
        running_until = [
            exchange.start.deadline + OVERRUN_ALLOWANCE
            for exchange in (*self.running, *self.abandoned)
            if exchange.vm != name
        ]
        return max(running_until, default=0) < self.now

    def perform(self, name: str, actions: list[Action]) -> None:
        """Perform the actions of a dispatcher and check the limits."""
        for action in actions:
            match action:
                case StartExchange():
                    self._on_start(name, action)
                case Reply():
                    self._on_reply(name, action)
                case AbortExchange(slot):
                    exchange = self.find(name, slot)
                    assert not exchange.aborted
                    exchange.aborted = True
                case CancelExchange(slot):
                    assert not self.find(name, slot).aborted
        self._check_limits(name)

    @property
    def holder(self) -> str:
        """Name of the entry VM that holds the lease or held it last."""
        expiries = {name: vm.rights.expiry for name, vm in self.vms.items()}
        return max(expiries, key=lambda name: expiries[name])

    @property
    def is_leased(self) -> bool:
        """Whether any entry VM holds the lease."""
        return any(vm.rights.expiry > self.now for vm in self.vms.values())

    def ready(self) -> list[RunningExchange]:
        """List the exchanges whose entry VM is not paused."""
        return [
            exchange
            for exchange in self.running
            if not self.vms[exchange.vm].paused
        ]

    def find(self, name: str, slot: int) -> RunningExchange:
        """Find the exchange that uses a slot of an entry VM."""
        return next(
            exchange
            for exchange in self.running
            if exchange.vm == name and exchange.start.slot == slot
        )

    def _on_start(self, name: str, start: StartExchange) -> None:
        submission = start.submission
        rights = self.vms[name].rights
        right = rights.right(TARGET.name, submission.grant, self.now)
        assert right is Right.GRANTED, 'started without the right'
        assert all(
            exchange.start.slot != start.slot
            for exchange in self.running
            if exchange.vm == name
        ), 'two exchanges on one slot'
        self.running.append(RunningExchange(name, start))

    def _on_reply(self, name: str, reply: Reply) -> None:
        ticket = self.tickets[reply.ticket]
        assert ticket.vm == name
        assert not ticket.replied, 'two replies'
        assert not ticket.cancelled, 'reply to a caller that has disconnected'
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
        open_exchanges = [
            exchange for exchange in self.running if exchange.vm == name
        ]
        may_still_run = [
            exchange
            for exchange in self.abandoned
            if exchange.vm == name and exchange.may_run_late(self.now)
        ]
        assert len(open_exchanges) + len(may_still_run) <= TARGET.slots
        state = self.vms[name].dispatcher.state
        assert state.slots.open_connections <= TARGET.connections
        # Exchanges that failed keep their partitions, whoever closed their
        # connections.
        assert state.slots.unsettled() >= {
            exchange.grant
            for exchange in self.abandoned
            if exchange.vm == name and exchange.is_unsettled(self.now)
        }
