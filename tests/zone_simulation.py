"""Simulation of one zone's entry VMs around the real machines.

Time is simulated; each node has a clock of its own that drifts. The
network delays, loses and cuts; the platform fails and loses answers.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs

from dogwoodmast.address import Address
from dogwoodmast.backend import Grant
from dogwoodmast.dispatch_right import Right
from dogwoodmast.document_store import NO_VERSION, DocumentVersion
from dogwoodmast.membership import Membership, recover_membership
from dogwoodmast.ownership import (
    Assignment,
    HolderTable,
    Member,
    ServiceTable,
    ZoneRecord,
)
from dogwoodmast.record_write_scheduler import WriteRecord
from dogwoodmast.takeover import SendProbe
from dogwoodmast.vm_list import Vm, VmListing, VmRole, VmState
from dogwoodmast.zone_actions import OfferRole, PublishHolders, PullFromPeer
from dogwoodmast.zone_coordinator import SendRound, ZoneTargets
from dogwoodmast.zone_member import WorkStatus
from dogwoodmast.zone_messages import JoinAnswer, JoinRequest, WrongReceiver
from dogwoodmast.zone_node import ZoneNode
from dogwoodmast.zone_protocol import CLOCK_DRIFT

ZONE = 'pikine'
SERVICE = 'balance'
TICK = 0.05
"""Time between two ticks of a node, in seconds."""
LONGEST_REQUEST = 1.0
"""Deadline of the simulated requests, in seconds."""
TARGETS = ('t0', 't1', 't2')
PARTITIONS = 6


class Violation(AssertionError):
    """A rule of ownership was broken."""


@attrs.frozen
class Running:
    """A request on a target."""

    target: str
    partition: int
    fence: int
    ends_at: float


@attrs.define(eq=False)
class SimulatedNode:
    """One process: the machine, its clock, and its requests."""

    member: Member
    machine: ZoneNode
    membership: Membership
    rate: float
    offset: float
    alive: bool = True
    paused: bool = False
    settled: int = 0
    requests: list[Running] = attrs.field(factory=list)
    holders: tuple[DocumentVersion, HolderTable | None] = (NO_VERSION, None)
    backlog: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self.member.vm

    def clock(self, at: float) -> float:
        """Read the node's own clock."""
        return self.offset + self.rate * at


@attrs.define(eq=False)
class SimulatedPlatform:
    """Compare-and-swap register with failures."""

    record: ZoneRecord
    down: bool = False
    lose_answers: bool = False
    history: list[ZoneRecord] = attrs.field(factory=list)
    acknowledged: list[ZoneRecord] = attrs.field(factory=list)

    def swap(self, base: ZoneRecord, record: ZoneRecord) -> bool:
        """Replace the record if it is still the expected one."""
        if base.version != self.record.version:
            return False
        check_successor(self.record, record)
        self.record = record
        self.history.append(record)
        return True


def check_successor(before: ZoneRecord, after: ZoneRecord) -> None:
    """Check that versions and fences only grow and nothing is lost."""
    listed = {one.number for one in before.members}
    changed = listed ^ {one.number for one in after.members}
    grown = after.version > before.version and after.term >= before.term
    if len(changed) > 1 or not grown:
        raise Violation(f'record {before.version} to {after.version}')
    table = after.tables[SERVICE].assignments
    for partition, old in before.tables[SERVICE].assignments.items():
        if not is_successor(old, table.get(partition)):
            raise Violation(f'assignment of partition {partition}')


def is_successor(old: Assignment, new: Assignment | None) -> bool:
    """Tell whether an assignment may follow another."""
    if new is None:
        return False
    return new == old or new.fence > old.fence


def first_record(members: tuple[Member, ...]) -> ZoneRecord:
    """Make the first record of a zone."""
    assignments = {
        partition: Assignment(TARGETS[partition % len(TARGETS)], 1)
        for partition in range(PARTITIONS)
    }
    return ZoneRecord(
        zone=ZONE,
        term=1,
        version=1,
        members=members,
        tables={SERVICE: ServiceTable(assignments)},
        members_version=1,
    )


class ZoneSimulation:
    """A zone in simulated time."""

    def __init__(self, size: int, seed: int, drift: bool = True) -> None:
        self.random = random.Random(seed)
        self.now: float = 0
        self.nodes: dict[str, SimulatedNode] = {}
        self.ghosts: list[Running] = []
        self.cuts: set[frozenset[str]] = set()
        self.loss: float = 0
        self.delay = (0.0005, 0.003)
        self.slow: dict[tuple[str, str], float] = {}
        self.vms: dict[str, VmState] = {}
        self.wanted: dict[int, str] = {}
        self.served_at: dict[int, float] = {}
        self.gaps: dict[int, float] = {}
        self.takeovers = 0
        self._drift = drift
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        members = tuple(self._member(f'vm{number}') for number in range(size))
        self.platform = SimulatedPlatform(first_record(members))
        for member in members:
            self._start(member)

    # Faults and orders.

    def crash(self, vm: str) -> None:
        """End a process at once; its requests run on."""
        node = self.nodes.pop(vm)
        node.alive = False
        self.ghosts.extend(node.requests)

    def restart(self, vm: str) -> None:
        """Start a new incarnation on a VM."""
        if vm in self.nodes:
            self.crash(vm)
        self._start(self._member(vm))

    def pause(self, vm: str) -> None:
        """Freeze a process."""
        self.nodes[vm].paused = True

    def resume(self, vm: str) -> None:
        """Let a frozen process go on, unaware."""
        node = self.nodes[vm]
        node.paused = False
        backlog = list(node.backlog)
        node.backlog.clear()
        for step in backlog:
            self._run(node, step)
        self.check()

    def remove_vm(self, vm: str) -> None:
        """Take a VM away for good."""
        if vm in self.nodes:
            self.crash(vm)
        self.vms.pop(vm, None)

    def move(self, partition: int, target: str) -> None:
        """Want a partition on a target."""
        self.wanted[partition] = target

    def run(self, duration: float) -> None:
        """Let time pass."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            at, _, step = heapq.heappop(self._events)
            self.now = at
            step()
        self.now = end

    # What is observed.

    def check(self) -> None:
        """Check the rules of ownership at this moment."""
        holders: dict[str, str] = {}
        for node in self.nodes.values():
            if node.paused:
                continue
            for partition in self._granted(node):
                target = self._assignment(node, partition).target
                other = holders.setdefault(target, node.vm)
                if other != node.vm:
                    raise Violation(
                        f'{target} is dispatched by {other} and {node.vm} '
                        f'at {self.now:.3f}'
                    )
                self._note_served(partition)

    def serving(self, partition: int) -> bool:
        """Tell whether some node may dispatch a partition."""
        return any(
            partition in self._granted(node)
            for node in self.nodes.values()
            if not node.paused
        )

    def running_vms(self) -> list[str]:
        """List the VMs whose processes run."""
        running = (node.vm for node in self.nodes.values() if not node.paused)
        return sorted(running)

    def coordinator(self) -> str | None:
        """Find who coordinates the zone."""
        for node in self.nodes.values():
            role = node.machine.coordinator
            if role and role.has_quorum(node.clock(self.now)):
                return node.vm
        return None

    def reset_gaps(self) -> None:
        """Begin to measure unavailable time anew."""
        self.gaps = {}
        self.served_at = dict.fromkeys(range(PARTITIONS), self.now)

    def longest_gaps(self) -> dict[int, float]:
        """Tell for how long each partition was not served at worst."""
        for partition in range(PARTITIONS):
            self._note_gap(partition)
        return self.gaps

    def _note_served(self, partition: int) -> None:
        self._note_gap(partition)
        self.served_at[partition] = self.now

    def _note_gap(self, partition: int) -> None:
        gap = self.now - self.served_at.get(partition, self.now)
        self.gaps[partition] = max(self.gaps.get(partition, 0), gap)

    def _granted(self, node: SimulatedNode) -> list[int]:
        now = node.clock(self.now)
        member = node.machine.member
        if not any(member.lease_expiry(target) > now for target in TARGETS):
            return []
        return [
            partition
            for partition in range(PARTITIONS)
            if self._right(node, partition, now) is Right.GRANTED
        ]

    def _assignment(self, node: SimulatedNode, partition: int) -> Assignment:
        record = node.machine.record
        assert record is not None
        return record.tables[SERVICE].assignments[partition]

    def _right(self, node: SimulatedNode, partition: int, now: float) -> Right:
        assignment = self._assignment(node, partition)
        if node.machine.member.lease_expiry(assignment.target) <= now:
            return Right.DENIED
        grant = Grant(f'{SERVICE}/{partition}', assignment.fence)
        return node.machine.member.right(assignment.target, grant, now)

    def _check_requests(self) -> None:
        targets: dict[int, str] = {}
        running = [
            *self.ghosts,
            *(one for node in self.nodes.values() for one in node.requests),
        ]
        for one in running:
            if one.ends_at <= self.now:
                continue
            other = targets.setdefault(one.partition, one.target)
            if other != one.target:
                raise Violation(
                    f'partition {one.partition} runs on {other} and '
                    f'{one.target} at {self.now:.3f}'
                )

    # Processes.

    def _member(self, vm: str) -> Member:
        number = next(self._incarnations)
        self.vms[vm] = VmState.LIVE
        return Member(vm, f'{number:08d}', Address('127.0.0.1', number))

    def _start(self, member: Member) -> None:
        drift = self.random.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        membership = Membership(ZONE)
        machine = ZoneNode(member, membership, self._planned)
        node = SimulatedNode(
            member,
            machine,
            membership,
            1 + drift if self._drift else 1,
            self.random.uniform(0, 1000),
        )
        self.nodes[member.vm] = node
        machine.on_targets(
            ZoneTargets(frozenset(TARGETS), LONGEST_REQUEST), frozenset()
        )
        if not self.platform.down:
            machine.on_record(self.platform.record, node.clock(self.now))
        for period, step in (
            (TICK, self._tick),
            (0.1, self._dispatch),
            (1.0, self._poll),
        ):
            self._every(node, period, step)

    def _planned(self, record: ZoneRecord, _now: float) -> ZoneRecord | None:
        table = record.tables[SERVICE]
        for partition, target in self.wanted.items():
            if table.assignments[partition].target != target:
                version = record.version + 1
                moved = {
                    **table.assignments,
                    partition: Assignment(target, version),
                }
                return attrs.evolve(
                    record,
                    version=version,
                    tables={SERVICE: ServiceTable(moved)},
                )
        return None

    def _every(
        self,
        node: SimulatedNode,
        period: float,
        step: Callable[[SimulatedNode], None],
    ) -> None:
        def again() -> None:
            if node.alive:
                if not node.paused:
                    self._run(node, lambda: step(node))
                self._at(period, again)

        self._at(self.random.uniform(0, period), again)

    def _at(self, delay: float, step: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now + delay, next(self._order), step)
        )

    def _run(self, node: SimulatedNode, step: Callable[[], None]) -> None:
        if not node.alive:
            return
        if node.paused:
            node.backlog.append(step)
            return
        step()
        self._carry_out(node)

    def _tick(self, node: SimulatedNode) -> None:
        node.machine.on_tick(node.clock(self.now))

    def _dispatch(self, node: SimulatedNode) -> None:
        self.check()
        node.requests = [one for one in node.requests if one.ends_at > self.now]
        for partition in self._granted(node):
            one = self._assignment(node, partition)
            ends = self.now + self.random.choice((0.002, 0.05, LONGEST_REQUEST))
            node.requests.append(
                Running(one.target, partition, one.fence, ends)
            )
        self.ghosts = [one for one in self.ghosts if one.ends_at > self.now]
        self._check_requests()

    def _poll(self, node: SimulatedNode) -> None:
        now = node.clock(self.now)
        listing = VmListing(
            tuple(
                Vm(vm, ZONE, VmRole.ENTRY, Address('127.0.0.1', 1), state)
                for vm, state in self.vms.items()
            )
        )
        node.membership.on_listing(listing, node.machine.record, now)
        if not self.platform.down:
            node.machine.on_record(self.platform.record, now)
        self.check()
        if not node.machine.is_listed and not node.machine.member.leaving:
            self._join(node)

    def _join(self, node: SimulatedNode) -> None:
        member = node.member
        request = JoinRequest(
            member.vm, member.incarnation, str(member.address)
        )
        for other in list(self.nodes.values()):
            if other is not node:
                self._exchange(
                    node,
                    other.vm,
                    lambda peer, now: peer.machine.on_join(request, now),
                    lambda _answer, _now: None,
                )
        now = node.clock(self.now)
        record = node.machine.record
        reform = record and recover_membership(
            record, member, node.membership, now
        )
        if record and reform:
            self._swap(node, WriteRecord(record, reform, 'reform'))

    def _status(self, node: SimulatedNode) -> WorkStatus:
        record = node.machine.record
        live = [one for one in node.requests if one.ends_at > self.now]
        if record is not None and all(
            record.tables[SERVICE].assignments[one.partition]
            == Assignment(one.target, one.fence)
            for one in live
        ):
            node.settled = max(node.settled, record.version)
        busy = {one.target for one in live}
        return WorkStatus(node.settled, lambda target: target not in busy)

    # Messages.

    def _carry_out(self, node: SimulatedNode) -> None:
        for action in node.machine.take_actions():
            match action:
                case SendRound():
                    self._send_round(node, action)
                case SendProbe():
                    self._send_probe(node, action)
                case PullFromPeer(address):
                    self._pull(node, address)
                case PublishHolders(version, table):
                    node.holders = (version, table)
                    node.machine.on_holders(version, table)
                case WriteRecord():
                    self._swap(node, action)
                case OfferRole():
                    self._offer(node, action)

    def _send_round(self, node: SimulatedNode, action: SendRound) -> None:
        self._exchange(
            node,
            action.member.vm,
            lambda peer, now: peer.machine.on_round(
                action.message, self._status(peer), now
            ),
            lambda answer, now: node.machine.role.on_round_answer(
                action, answer, now
            ),
        )

    def _send_probe(self, node: SimulatedNode, action: SendProbe) -> None:
        self._exchange(
            node,
            action.member.vm,
            lambda peer, now: peer.machine.on_probe(action.message, now),
            lambda answer, now: node.machine.role.on_probe_answer(
                action, answer, now
            ),
        )

    def _offer(self, node: SimulatedNode, action: OfferRole) -> None:
        self._exchange(
            node,
            action.member.vm,
            lambda peer, now: peer.machine.on_role_offer(action.message, now),
            lambda answer, _now: node.machine.role.on_role_taken(answer),
        )

    def _pull(self, node: SimulatedNode, address: Address | None) -> None:
        for peer in list(self.nodes.values()):
            if peer is not node and address in {None, peer.member.address}:
                self._exchange(
                    node,
                    peer.vm,
                    lambda one, _now: (one.machine.record, one.holders),
                    lambda answer, now: self._learn(node, answer, now),
                )

    def _learn(self, node: SimulatedNode, answer: Any, now: float) -> None:
        record, holders = answer
        if record is not None:
            node.machine.on_record(record, now)
            self.check()
        version, table = holders
        if table is not None and version > node.holders[0]:
            node.holders = holders
            node.machine.on_holders(version, table)

    def _exchange(
        self,
        sender: SimulatedNode,
        vm: str,
        ask: Callable[[SimulatedNode, float], Any],
        on_answer: Callable[[Any, float], None],
    ) -> None:
        def deliver() -> None:
            peer = self.nodes.get(vm)
            if peer is None or self._is_cut(sender.vm, vm):
                return

            def respond() -> None:
                answer = ask(peer, peer.clock(self.now))
                self.check()
                self._at(self._latency(vm, sender.vm), lambda: back(answer))

            self._run(peer, respond)

        def take_in(answer: Any) -> None:
            if isinstance(answer, (WrongReceiver, JoinAnswer)):
                sender.membership.on_incarnation(answer.vm, answer.incarnation)
            else:
                on_answer(answer, sender.clock(self.now))

        def back(answer: Any) -> None:
            if not self._is_cut(sender.vm, vm):
                self._run(sender, lambda: take_in(answer))

        self._at(self._latency(sender.vm, vm), deliver)

    def _is_cut(self, one: str, other: str) -> bool:
        if frozenset((one, other)) in self.cuts:
            return True
        return one != other and self.random.random() < self.loss

    def _latency(self, one: str, other: str) -> float:
        if one == other:
            return 0
        late = self.slow.get((one, other), 0)
        return late + self.random.uniform(*self.delay)

    def _swap(self, node: SimulatedNode, write: WriteRecord) -> None:
        self._at(0.003, lambda: self._at_platform(node, write))

    def _at_platform(self, node: SimulatedNode, write: WriteRecord) -> None:
        platform = self.platform
        done = not platform.down and platform.swap(write.base, write.record)
        lost = platform.down or platform.lose_answers
        current = platform.record

        def answer() -> None:
            now = node.clock(self.now)
            if lost:
                node.machine.on_write_failed(None, now + 0.3, now)
            elif done:
                platform.acknowledged.append(write.record)
                node.machine.on_written(write, now)
            else:
                node.machine.on_write_failed(current, now, now)

        self._at(0.5 if lost else 0.003, lambda: self._run(node, answer))
