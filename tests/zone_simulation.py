"""Discrete-event simulation of one zone's entry VMs.

Each entry VM runs a real :class:`ZoneNode` state machine with a simulated
clock of its own, whose rate may be wrong by up to :data:`CLOCK_DRIFT`.  The
simulated network delays and drops messages, and the simulated platform can
fail or lose its answers.
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
"""Name of the simulated zone."""
SERVICE = 'balance'
"""Name of the only service."""
TICK_INTERVAL = 0.05
"""Interval between two ticks of a node, in seconds."""
MAX_REQUEST_DURATION = 1.0
"""Longest duration of a simulated request, in seconds."""
TARGETS = ('t0', 't1', 't2')
"""Names of the zone's targets."""
PARTITIONS = 6
"""Number of partitions of the service."""


class Violation(AssertionError):
    """An ownership invariant was violated."""


@attrs.frozen
class RunningRequest:
    """A request that a target executes."""

    target: str
    partition: int
    fence: int
    """Fence of the assignment under which it was dispatched."""
    ends_at: float
    """Simulated time at which it completes, in seconds."""


@attrs.define(eq=False)
class SimulatedNode:
    """A simulated process on an entry VM."""

    member: Member
    zone_node: ZoneNode
    membership: Membership
    clock_rate: float
    """Seconds of the local clock per simulated second."""
    clock_offset: float
    """Reading of the local clock at simulated time zero, in seconds."""
    alive: bool = True
    """Whether the process has not crashed."""
    paused: bool = False
    """Whether the process is frozen."""
    settled_version: int = 0
    """Highest record version at which the node has settled."""
    requests: list[RunningRequest] = attrs.field(factory=list)
    """Requests that the node has dispatched."""
    holders: tuple[DocumentVersion, HolderTable | None] = (NO_VERSION, None)
    """Version and content of the latest known holder table."""
    deferred_messages: list[Callable[[], None]] = attrs.field(factory=list)
    """Messages and answers that arrived while the process was frozen; they
    are processed when it is resumed.  Periodic steps are left out instead."""

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self.member.vm

    def local_time(self, simulated_time: float) -> float:
        """Convert a simulated time to the node's local clock.

        :param simulated_time: Simulated time, in seconds.
        :return: Reading of the local clock, in seconds.
        """
        return self.clock_offset + self.clock_rate * simulated_time


@attrs.define(eq=False)
class SimulatedPlatform:
    """Platform that stores one zone record and swaps it atomically."""

    record: ZoneRecord
    """Record in force."""
    is_down: bool = False
    """Whether reads and writes fail without effect."""
    lose_answers: bool = False
    """Whether writes take effect but their writers get no answer."""
    history: list[ZoneRecord] = attrs.field(factory=list)
    """Records that were written, in order."""
    acknowledged: list[ZoneRecord] = attrs.field(factory=list)
    """Records whose writers received a confirmation."""

    def swap(self, expected: ZoneRecord, record: ZoneRecord) -> bool:
        """Replace the record if its version is the expected one.

        :param expected: Record that the writer wants to replace.
        :param record: New record.
        :return: ``True`` if the record was replaced.
        :raises Violation: If the new record must not follow the old one.
        """
        if expected.version != self.record.version:
            return False
        check_successor(self.record, record)
        self.record = record
        self.history.append(record)
        return True


def check_successor(before: ZoneRecord, after: ZoneRecord) -> None:
    """Check that a record may follow another.

    Its version must be greater and its term must not be lower, at most one
    member may have been added or removed, and an assignment may only be
    replaced by one with a greater fence.

    :raises Violation: If one of these conditions is violated.
    """
    old_numbers = {one.number for one in before.members}
    changed_numbers = old_numbers ^ {one.number for one in after.members}
    is_increasing = after.version > before.version and after.term >= before.term
    if len(changed_numbers) > 1 or not is_increasing:
        raise Violation(
            f'record {before.version} was replaced by {after.version}: the '
            'version or term did not grow, or more than one member changed'
        )
    table = after.tables[SERVICE].assignments
    for partition, old in before.tables[SERVICE].assignments.items():
        if not is_successor(old, table.get(partition)):
            raise Violation(
                f'partition {partition} was unassigned, or reassigned '
                'without a greater fence'
            )


def is_successor(old: Assignment, new: Assignment | None) -> bool:
    """Tell whether an assignment may replace another."""
    if new is None:
        return False
    return new == old or new.fence > old.fence


def make_initial_record(members: tuple[Member, ...]) -> ZoneRecord:
    """Make a record that spreads the partitions evenly over the targets."""
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
    """Zone in simulated time, driven by an event queue.

    :param size: Number of entry VMs at the start.
    :param seed: Seed of all random choices.
    :param drift: Whether the clocks of the nodes have rate errors.
    """

    def __init__(self, size: int, seed: int, drift: bool = True) -> None:
        self.random = random.Random(seed)
        # Simulated time, in seconds.
        self.now: float = 0
        # Processes that have not crashed, by VM.
        self.nodes: dict[str, SimulatedNode] = {}
        # Requests of crashed processes that the targets still execute.
        self.orphaned_requests: list[RunningRequest] = []
        # Pairs of VMs between which no message passes.
        self.cut_links: set[frozenset[str]] = set()
        # Probability that a message between two VMs is dropped.
        self.loss_rate: float = 0
        # Bounds of the random latency of a message, in seconds.
        self.delay_range = (0.0005, 0.003)
        # Additional latency by sender and receiver, in seconds.
        self.extra_delays: dict[tuple[str, str], float] = {}
        # VM list: states by VM.
        self.vms: dict[str, VmState] = {}
        # Targets to which partitions are to be moved, by partition.
        self.desired_targets: dict[int, str] = {}
        # Simulated time at which each partition was last served, in
        # seconds.
        self.last_served_at: dict[int, float] = {}
        # Longest time without service by partition, in seconds.
        self.max_gaps: dict[int, float] = {}
        self.takeovers = 0
        self._has_drift = drift
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._incarnations = itertools.count(1)
        members = tuple(
            self._make_member(f'vm{number}') for number in range(size)
        )
        self.platform = SimulatedPlatform(make_initial_record(members))
        for member in members:
            self._start_process(member)

    # Fault injection and requested changes.

    def crash(self, vm: str) -> None:
        """End a process; the targets still execute its requests."""
        node = self.nodes.pop(vm)
        node.alive = False
        self.orphaned_requests.extend(node.requests)

    def restart(self, vm: str) -> None:
        """Start a new incarnation on a VM, after a crash of the present one."""
        if vm in self.nodes:
            self.crash(vm)
        self._start_process(self._make_member(vm))

    def pause(self, vm: str) -> None:
        """Freeze a process; its clock keeps running."""
        self.nodes[vm].paused = True

    def resume(self, vm: str) -> None:
        """Resume a frozen process and process what arrived meanwhile."""
        node = self.nodes[vm]
        node.paused = False
        deferred_messages = list(node.deferred_messages)
        node.deferred_messages.clear()
        for step in deferred_messages:
            self._run_or_defer(node, step)
        self.check_ownership()

    def remove_vm(self, vm: str) -> None:
        """Crash the process on a VM and remove the VM from the VM list."""
        if vm in self.nodes:
            self.crash(vm)
        self.vms.pop(vm, None)

    def request_move(self, partition: int, target: str) -> None:
        """Have the planner move a partition to a target."""
        self.desired_targets[partition] = target

    def run(self, duration: float) -> None:
        """Process the events of a period.

        :param duration: Length of the period, in seconds.
        """
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            simulated_time, _, step = heapq.heappop(self._events)
            self.now = simulated_time
            step()
        self.now = end

    # Observation and invariants.

    def check_ownership(self) -> None:
        """Check that at most one running node may dispatch to each target.

        Also updates the times without service of the served partitions.

        :raises Violation: If two nodes may dispatch to the same target.
        """
        holders: dict[str, str] = {}
        for node in self.nodes.values():
            if node.paused:
                continue
            for partition in self._granted_partitions(node):
                target = self._assignment(node, partition).target
                other = holders.setdefault(target, node.vm)
                if other != node.vm:
                    raise Violation(
                        f'{target} may be dispatched to by {other} and '
                        f'{node.vm} at {self.now:.3f} s'
                    )
                self._record_served(partition)

    def is_served(self, partition: int) -> bool:
        """Tell whether a running node may dispatch requests of a partition."""
        return any(
            partition in self._granted_partitions(node)
            for node in self.nodes.values()
            if not node.paused
        )

    def running_vms(self) -> list[str]:
        """List the VMs whose processes are neither crashed nor frozen."""
        running = (node.vm for node in self.nodes.values() if not node.paused)
        return sorted(running)

    def find_coordinator(self) -> str | None:
        """Find the VM of a coordinator that has a quorum, frozen or not."""
        for node in self.nodes.values():
            role = node.zone_node.coordinator
            if role and role.has_quorum(node.local_time(self.now)):
                return node.vm
        return None

    def reset_gaps(self) -> None:
        """Restart the measurement of the time without service."""
        self.max_gaps = {}
        self.last_served_at = dict.fromkeys(range(PARTITIONS), self.now)

    def longest_gaps(self) -> dict[int, float]:
        """Return the longest time without service by partition, in seconds."""
        for partition in range(PARTITIONS):
            self._update_gap(partition)
        return self.max_gaps

    def _record_served(self, partition: int) -> None:
        self._update_gap(partition)
        self.last_served_at[partition] = self.now

    def _update_gap(self, partition: int) -> None:
        gap = self.now - self.last_served_at.get(partition, self.now)
        self.max_gaps[partition] = max(self.max_gaps.get(partition, 0), gap)

    def _granted_partitions(self, node: SimulatedNode) -> list[int]:
        now = node.local_time(self.now)
        member = node.zone_node.member
        if not any(member.lease_expiry(target) > now for target in TARGETS):
            return []
        return [
            partition
            for partition in range(PARTITIONS)
            if self._dispatch_right(node, partition, now) is Right.GRANTED
        ]

    def _assignment(self, node: SimulatedNode, partition: int) -> Assignment:
        record = node.zone_node.record
        assert record is not None
        return record.tables[SERVICE].assignments[partition]

    def _dispatch_right(
        self, node: SimulatedNode, partition: int, now: float
    ) -> Right:
        assignment = self._assignment(node, partition)
        if node.zone_node.member.lease_expiry(assignment.target) <= now:
            return Right.DENIED
        grant = Grant(f'{SERVICE}/{partition}', assignment.fence)
        return node.zone_node.member.right(assignment.target, grant, now)

    def _check_requests(self) -> None:
        targets: dict[int, str] = {}
        running = [
            *self.orphaned_requests,
            *(one for node in self.nodes.values() for one in node.requests),
        ]
        for one in running:
            if one.ends_at <= self.now:
                continue
            other = targets.setdefault(one.partition, one.target)
            if other != one.target:
                raise Violation(
                    f'partition {one.partition} has requests running on both '
                    f'{other} and {one.target} at {self.now:.3f} s'
                )

    # Processes.

    def _make_member(self, vm: str) -> Member:
        number = next(self._incarnations)
        self.vms[vm] = VmState.LIVE
        return Member(vm, f'{number:08d}', Address('127.0.0.1', number))

    def _start_process(self, member: Member) -> None:
        drift = self.random.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        membership = Membership(ZONE)
        zone_node = ZoneNode(member, membership, self._plan_moves)
        node = SimulatedNode(
            member,
            zone_node,
            membership,
            1 + drift if self._has_drift else 1,
            self.random.uniform(0, 1000),
        )
        self.nodes[member.vm] = node
        zone_node.on_targets(
            ZoneTargets(frozenset(TARGETS), MAX_REQUEST_DURATION), frozenset()
        )
        if not self.platform.is_down:
            zone_node.on_record(self.platform.record, node.local_time(self.now))
        for period, step in (
            (TICK_INTERVAL, self._tick),
            (0.1, self._dispatch),
            (1.0, self._poll_platform),
        ):
            self._schedule_periodic(node, period, step)

    def _plan_moves(self, record: ZoneRecord, _now: float) -> ZoneRecord | None:
        table = record.tables[SERVICE]
        for partition, target in self.desired_targets.items():
            if table.assignments[partition].target != target:
                version = record.version + 1
                assignments = {
                    **table.assignments,
                    partition: Assignment(target, version),
                }
                return attrs.evolve(
                    record,
                    version=version,
                    tables={SERVICE: ServiceTable(assignments)},
                )
        return None

    def _schedule_periodic(
        self,
        node: SimulatedNode,
        period: float,
        step: Callable[[SimulatedNode], None],
    ) -> None:
        def run_step() -> None:
            if node.alive:
                if not node.paused:
                    self._run_or_defer(node, lambda: step(node))
                self._schedule(period, run_step)

        self._schedule(self.random.uniform(0, period), run_step)

    def _schedule(self, delay: float, step: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now + delay, next(self._sequence), step)
        )

    def _run_or_defer(
        self, node: SimulatedNode, step: Callable[[], None]
    ) -> None:
        if not node.alive:
            return
        if node.paused:
            node.deferred_messages.append(step)
            return
        step()
        self._perform_actions(node)

    def _tick(self, node: SimulatedNode) -> None:
        node.zone_node.on_tick(node.local_time(self.now))

    def _dispatch(self, node: SimulatedNode) -> None:
        self.check_ownership()
        node.requests = [one for one in node.requests if one.ends_at > self.now]
        for partition in self._granted_partitions(node):
            one = self._assignment(node, partition)
            ends = self.now + self.random.choice(
                (0.002, 0.05, MAX_REQUEST_DURATION)
            )
            node.requests.append(
                RunningRequest(one.target, partition, one.fence, ends)
            )
        self.orphaned_requests = [
            one for one in self.orphaned_requests if one.ends_at > self.now
        ]
        self._check_requests()

    def _poll_platform(self, node: SimulatedNode) -> None:
        now = node.local_time(self.now)
        listing = VmListing(
            tuple(
                Vm(vm, ZONE, VmRole.ENTRY, Address('127.0.0.1', 1), state)
                for vm, state in self.vms.items()
            )
        )
        node.membership.on_listing(listing, node.zone_node.record, now)
        if not self.platform.is_down:
            node.zone_node.on_record(self.platform.record, now)
        self.check_ownership()
        if not node.zone_node.is_listed and not node.zone_node.member.leaving:
            self._join(node)

    def _join(self, node: SimulatedNode) -> None:
        member = node.member
        request = JoinRequest(
            member.vm, member.incarnation, str(member.address)
        )
        for other in list(self.nodes.values()):
            if other is not node:
                self._call(
                    node,
                    other.vm,
                    lambda peer, now: peer.zone_node.on_join(request, now),
                    lambda _answer, _now: None,
                )
        now = node.local_time(self.now)
        record = node.zone_node.record
        recovered_record = record and recover_membership(
            record, member, node.membership, now
        )
        if record and recovered_record:
            self._send_write(
                node, WriteRecord(record, recovered_record, 'reform')
            )

    def _work_status(self, node: SimulatedNode) -> WorkStatus:
        record = node.zone_node.record
        active = [one for one in node.requests if one.ends_at > self.now]
        if record is not None and all(
            record.tables[SERVICE].assignments[one.partition]
            == Assignment(one.target, one.fence)
            for one in active
        ):
            node.settled_version = max(node.settled_version, record.version)
        busy = {one.target for one in active}
        return WorkStatus(
            node.settled_version, lambda target: target not in busy
        )

    # Messages.

    def _perform_actions(self, node: SimulatedNode) -> None:
        for action in node.zone_node.take_actions():
            match action:
                case SendRound():
                    self._send_round(node, action)
                case SendProbe():
                    self._send_probe(node, action)
                case PullFromPeer(address):
                    self._pull(node, address)
                case PublishHolders(version, table):
                    node.holders = (version, table)
                    node.zone_node.on_holders(version, table)
                case WriteRecord():
                    self._send_write(node, action)
                case OfferRole():
                    self._offer(node, action)

    def _send_round(self, node: SimulatedNode, action: SendRound) -> None:
        self._call(
            node,
            action.member.vm,
            lambda peer, now: peer.zone_node.on_round(
                action.message, self._work_status(peer), now
            ),
            lambda answer, now: node.zone_node.role.on_round_answer(
                action, answer, now
            ),
        )

    def _send_probe(self, node: SimulatedNode, action: SendProbe) -> None:
        self._call(
            node,
            action.member.vm,
            lambda peer, now: peer.zone_node.on_probe(action.message, now),
            lambda answer, now: node.zone_node.role.on_probe_answer(
                action, answer, now
            ),
        )

    def _offer(self, node: SimulatedNode, action: OfferRole) -> None:
        self._call(
            node,
            action.member.vm,
            lambda peer, now: peer.zone_node.on_role_offer(action.message, now),
            lambda answer, _now: node.zone_node.role.on_role_taken(answer),
        )

    def _pull(self, node: SimulatedNode, address: Address | None) -> None:
        for peer in list(self.nodes.values()):
            if peer is not node and address in {None, peer.member.address}:
                self._call(
                    node,
                    peer.vm,
                    lambda one, _now: (one.zone_node.record, one.holders),
                    lambda answer, now: self._apply_pulled(node, answer, now),
                )

    def _apply_pulled(
        self, node: SimulatedNode, answer: Any, now: float
    ) -> None:
        record, holders = answer
        if record is not None:
            node.zone_node.on_record(record, now)
            self.check_ownership()
        version, table = holders
        if table is not None and version > node.holders[0]:
            node.holders = holders
            node.zone_node.on_holders(version, table)

    def _call(
        self,
        sender: SimulatedNode,
        vm: str,
        on_request: Callable[[SimulatedNode, float], Any],
        on_answer: Callable[[Any, float], None],
    ) -> None:
        def deliver() -> None:
            peer = self.nodes.get(vm)
            if peer is None or self._is_dropped(sender.vm, vm):
                return

            def respond() -> None:
                answer = on_request(peer, peer.local_time(self.now))
                self.check_ownership()
                self._schedule(
                    self._latency(vm, sender.vm), lambda: return_answer(answer)
                )

            self._run_or_defer(peer, respond)

        def process_answer(answer: Any) -> None:
            if isinstance(answer, (WrongReceiver, JoinAnswer)):
                sender.membership.on_incarnation(answer.vm, answer.incarnation)
            else:
                on_answer(answer, sender.local_time(self.now))

        def return_answer(answer: Any) -> None:
            if not self._is_dropped(sender.vm, vm):
                self._run_or_defer(sender, lambda: process_answer(answer))

        self._schedule(self._latency(sender.vm, vm), deliver)

    def _is_dropped(self, one: str, other: str) -> bool:
        if frozenset((one, other)) in self.cut_links:
            return True
        return one != other and self.random.random() < self.loss_rate

    def _latency(self, one: str, other: str) -> float:
        if one == other:
            return 0
        extra_delay = self.extra_delays.get((one, other), 0)
        return extra_delay + self.random.uniform(*self.delay_range)

    def _send_write(self, node: SimulatedNode, write: WriteRecord) -> None:
        self._schedule(0.003, lambda: self._apply_write(node, write))

    def _apply_write(self, node: SimulatedNode, write: WriteRecord) -> None:
        platform = self.platform
        is_written = not platform.is_down and platform.swap(
            write.base, write.record
        )
        is_answer_lost = platform.is_down or platform.lose_answers
        current = platform.record

        def answer() -> None:
            now = node.local_time(self.now)
            if is_answer_lost:
                node.zone_node.on_write_failed(None, now + 0.3, now)
            elif is_written:
                platform.acknowledged.append(write.record)
                node.zone_node.on_written(write, now)
            else:
                node.zone_node.on_write_failed(current, now, now)

        self._schedule(
            0.5 if is_answer_lost else 0.003,
            lambda: self._run_or_defer(node, answer),
        )
