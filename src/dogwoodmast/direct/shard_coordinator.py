"""Work of the coordinator on one sharded service, for one term.

It makes the calls of the grant state machine, stores assignments, plans moves
from load reports, and keeps the updates that entry VMs have to be sent.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.direct.directory import SHARD_PREFIX
from dogwoodmast.direct.grant_state_machine import (
    GrantAnswer,
    GrantCall,
    GrantStateMachine,
    divide_keys,
)
from dogwoodmast.direct.hold_bound import (
    EARLIER_TERM_GRANT_WINDOW,
    HoldBound,
)
from dogwoodmast.direct.key_loads import KeyLoads
from dogwoodmast.direct.messages import ShardRecord
from dogwoodmast.direct.record_writer import RecordWriter
from dogwoodmast.direct.shard import Phase, Shard
from dogwoodmast.direct.shard_planner import (
    INITIAL_SHARDS_PER_TARGET,
    ShardPlanner,
)
from dogwoodmast.direct.shard_record import covers_all_keys, unpack_record
from dogwoodmast.direct.target_control import ControlResult, TargetControl
from dogwoodmast.direct.target_latencies import (
    TargetLatencies,
    limited_capacity,
)
from dogwoodmast.direct.update_log import UpdateLog
from dogwoodmast.errors import MalformedFrame, PlatformAnswerLost
from dogwoodmast.events import Event, log_event
from dogwoodmast.store_position import era_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import TaskGroup

    from dogwoodmast.clock import Clock
    from dogwoodmast.direct.catalog import Target, TargetKey
    from dogwoodmast.direct.grant_state_machine import TargetCall
    from dogwoodmast.direct.leadership import Leadership
    from dogwoodmast.direct.messages import (
        LoadReport,
        ShardImage,
        ShardUpdate,
        ShardVersion,
    )
    from dogwoodmast.direct.reach import ReachTracker
    from dogwoodmast.direct.statement_book import StatementBook
    from dogwoodmast.key_value import PolledStore

LOAD_HALF_LIFE = 0.9
"""Time in seconds after which the weight of a counted request has halved; in
the load of the platform contract the hot keys change within a few seconds."""
PLAN_INTERVAL = 0.3
"""Pause between two runs of the planner, in seconds."""
SETTLING_TIME = 1.5
"""Time in seconds without a new target before keys are first assigned, so that
they are spread over all targets: each target is listed with its next heartbeat,
and the copy of the store lags behind."""
UNKNOWN_SHARDS = 64
"""Number of shards that the keys are divided into if the stored record cannot
be read."""


class ShardCoordinator:
    """Grants the keys of one service to targets for the current term."""

    def __init__(
        self,
        state_machine: GrantStateMachine,
        leadership: Leadership,
        store: PolledStore,
        clock: Clock,
        statements: StatementBook,
        reach: ReachTracker,
    ) -> None:
        """Create it without shards; ``load`` restores the stored ones.

        :param state_machine: State machine of the service's shards.
        :param leadership: Source of the current term; without one, no calls
            are sent.
        :param store: Client of the platform's store.
        :param clock: Monotonic clock that also advances while the machine is
            suspended.
        :param statements: What targets have said of themselves.
        :param reach: Which targets new connections reach; the calls' own
            connections count too.
        """
        self._state_machine = state_machine
        self._leadership = leadership
        self._clock = clock
        self._statements = statements
        self._reach = reach
        self._loads = KeyLoads(LOAD_HALF_LIFE)
        self._planner = ShardPlanner(self._loads)
        self._latencies = TargetLatencies()
        self._update_log = UpdateLog(state_machine.service, state_machine.epoch)
        self._controls: dict[tuple[str, int], TargetControl] = {}
        self._records = RecordWriter(
            self.key, state_machine.epoch, leadership, store
        )
        self._recording = False
        self._planned_at = float('-inf')
        self._last_joined_at = float('inf')
        self._holds = HoldBound(state_machine.hold)
        self._copy_age: float = 0
        self._changed = anyio.Event()

    @property
    def changed(self) -> anyio.Event:
        """Event that is set at the next change of the shard table."""
        return self._changed

    @property
    def is_out_of_fences(self) -> bool:
        """Whether another term has to begin, with fencing tokens of its own."""
        return self._state_machine.fences.is_nearly_used_up

    @property
    def key(self) -> str:
        """Store key of the service's shard record."""
        return f'{SHARD_PREFIX}{self._state_machine.service}'

    async def load(self) -> None:
        """Restore the shards that an earlier term has stored, if any.

        If the record cannot be read, or is missing or older than a restore of
        the store, any target may hold any key, so that all keys wait until the
        grants of earlier terms have expired.  After a restore the tables of
        the earlier era stay in use meanwhile, since targets refuse requests for
        keys that they do not hold.

        :raises PlatformError: If a call to the store fails.
        """
        found = await self._records.read()
        record = None
        if found is not None:
            record = _read_record(self.key, found.value)
        era = era_of(self._state_machine.epoch)
        is_restored = record is None or era_of(record.epoch) < era
        is_restored = is_restored and era > 0
        now = self._clock.monotonic()
        self._holds = HoldBound.of(
            record,
            self._state_machine,
            now,
            is_readable=found is None or record is not None,
        )
        held_until = self._holds.earlier_until
        if record is not None and not is_restored:
            await self._store_longer_hold(record, now)
            self._state_machine.restore(record, now, EARLIER_TERM_GRANT_WINDOW)
        elif found is not None or is_restored:
            self._state_machine.shards = _unknown_shards(held_until, record)
        if is_restored:
            log_event(
                Event.HOLDERS_UNKNOWN,
                service=self._state_machine.service,
                era=era,
                seconds=round(held_until - now, 3),
            )
        else:
            self._log_changes(self._state_machine.shards)

    async def _store_longer_hold(self, record: ShardRecord, now: float) -> None:
        """Store how long holds last before grants exceed what is stored.

        :param record: Stored record.
        :param now: Monotonic time in seconds.
        :raises PlatformError: If the record cannot be written now.
        """
        if record.hold >= self._holds.own:
            return
        updated = attrs.evolve(record, hold=self._holds.longest(now))
        if not await self._records.try_write(updated):
            raise PlatformAnswerLost('store')

    def on_targets(
        self,
        targets: list[Target],
        gone: list[Target],
        *,
        is_current: bool = True,
        longest_work: float = 0,
        copy_age: float = 0,
    ) -> None:
        """Update the targets of the service.

        :param targets: Targets that are listed.
        :param gone: Targets that were listed at some time.
        :param is_current: Whether the listing is no older than the term.
        :param longest_work: Longest time for which a request may run at a
            target, in seconds.
        :param copy_age: Age of the copy of the store that lists them, in
            seconds.
        """
        self._copy_age = copy_age
        self._state_machine.longest_work = longest_work
        known = set(self._state_machine.targets)
        if {target.name for target in targets} - known:
            self._last_joined_at = self._clock.monotonic()
        self._state_machine.on_targets(
            [_with_statement(one, self._statements) for one in targets],
            gone,
            is_current=is_current,
        )

    def on_report(self, report: LoadReport) -> None:
        """Process the load report of an entry VM.

        :param report: Report that was received.
        """
        for leaving in report.leaving:
            self._statements.on_leaving((leaving.target, leaving.born))
        self._loads.add((one.key, one.requests) for one in report.keys)
        for latency in report.paces:
            self._latencies.add(latency.target, latency.seconds, report.vm)

    def update_since(
        self, version: ShardVersion
    ) -> ShardUpdate | ShardImage | None:
        """Build what brings an entry VM's table up to date.

        :param version: Version of the VM's table.
        :return: Update or image; ``None`` if the VM's table is up to date, or
            if there are no shards yet.
        """
        if not self._update_log.number:
            return None
        assignments = (one.assignment for one in self._state_machine.shards)
        return self._update_log.since(
            version.epoch, version.number, assignments
        )

    def tick(self, tasks: TaskGroup) -> None:
        """Plan moves, and start the calls and writes that are due.

        :param tasks: Task group of the coordinator's term.
        """
        now = self._clock.monotonic()
        self._create_shards(now)
        self._plan_moves(now)
        for call in self._state_machine.tick(now):
            tasks.start_soon(self._make_call, call)
        self._place_free(tasks, now)
        self._publish()

    async def record_assignments(self, shards: list[Shard]) -> None:
        """Store all assignments.

        :param shards: Shards that are granted once the record is stored.
        """
        assignments = tuple(
            one.assignment for one in self._state_machine.shards
        )
        record = ShardRecord(
            self._state_machine.service,
            self._state_machine.epoch,
            self._update_log.number,
            assignments,
            self._holds.longest(self._clock.monotonic()),
        )
        try:
            await self._records.write(record)
        finally:
            self._recording = False
        now = self._clock.monotonic()
        self._state_machine.on_recorded(shards, now)

    async def aclose(self) -> None:
        """Close all connections to targets."""
        for control in self._controls.values():
            await control.aclose()

    def _place_free(self, tasks: TaskGroup, now: float) -> None:
        shards = self._state_machine.shards
        if self._recording or all(
            one.phase is not Phase.FREE for one in shards
        ):
            return
        placed = self._planner.place_free(
            self._state_machine, self._capacities(), now
        )
        if placed:
            self._recording = True
            tasks.start_soon(self.record_assignments, placed)

    def _create_shards(self, now: float) -> None:
        usable = self._state_machine.usable_targets(now)
        is_settled = now >= self._last_joined_at + SETTLING_TIME
        if not self._state_machine.shards and usable and is_settled:
            self._state_machine.shards = divide_keys(
                len(usable) * INITIAL_SHARDS_PER_TARGET
            )

    def _plan_moves(self, now: float) -> None:
        if (
            now < self._planned_at + PLAN_INTERVAL
            or not self._state_machine.shards
        ):
            return
        self._planned_at = now
        self._loads.decay(now)
        moves = self._planner.plan_moves(
            self._state_machine, self._capacities(), now
        )
        for shard in moves:
            log_event(
                Event.KEYS_MOVING,
                first=shard.first,
                last=shard.last,
                source=shard.target,
                goal=shard.destination,
                copy_age=round(self._copy_age, 3),
            )

    def _capacities(self) -> dict[str, float]:
        targets = self._state_machine.targets
        capacities = self._latencies.capacities(targets.values())
        return {
            name: limited_capacity(
                capacity, self._statements.rate(targets[name].key)
            )
            for name, capacity in capacities.items()
        }

    async def _make_call(self, call: TargetCall) -> None:
        control = self._get_control(call.target)
        sent = self._clock.monotonic()
        if self._leadership.may_act:
            result = await control.call(
                call, lambda: self._leadership.may_act, self._leadership.confirm
            )
        else:
            result = ControlResult(GrantAnswer.WITHHELD)
        now = self._clock.monotonic()
        if result.answer is not GrantAnswer.ACCEPTED:
            _log_failure(call, result.answer)
        if isinstance(call, GrantCall):
            self._state_machine.on_grant(
                call, result.answer, sent, now, result.is_proven
            )
        else:
            self._state_machine.on_release(
                call, result.answer, result.handover, now
            )
        self._publish()

    def _get_control(self, target: Target) -> TargetControl:
        incarnation = (target.name, target.born)
        if incarnation not in self._controls:
            self._controls[incarnation] = TargetControl(
                target,
                self._clock,
                self._statements,
                functools.partial(_report_connect, self._reach, incarnation),
            )
        return self._controls[incarnation]

    def _publish(self) -> None:
        for freed in self._state_machine.freed.drain():
            log_event(
                Event.KEYS_FREED,
                first=freed.first,
                last=freed.last,
                target=freed.target,
                fence=freed.fence,
                reason=freed.reason.value,
                copy_age=round(self._copy_age, 3),
            )
        if self._log_changes(self._state_machine.drain_changed()):
            changed = self._changed
            self._changed = anyio.Event()
            changed.set()

    def _log_changes(self, shards: Iterable[Shard]) -> bool:
        assignments = tuple(shard.assignment for shard in shards)
        if assignments:
            self._update_log.add(self._update_log.number + 1, assignments)
        return bool(assignments)


def _read_record(key: str, content: bytes) -> ShardRecord | None:
    """Read a stored record; ``None`` if it cannot be used."""
    try:
        record = unpack_record(content)
    except MalformedFrame as error:
        log_event(Event.RECORD_INVALID, key=key, reason=error.message)
        return None
    if covers_all_keys(record):
        return record
    log_event(Event.RECORD_INVALID, key=key, reason='not each key once')
    return None


def _unknown_shards(
    held_until: float, record: ShardRecord | None
) -> list[Shard]:
    """Make shards whose holders are not known.

    :param held_until: Monotonic time at which no target holds them any more,
        in seconds.
    :param record: Record that tells how the keys were divided, if there is one.
    :return: Shards that become free then.
    """
    shards = divide_keys(UNKNOWN_SHARDS)
    if record is not None:
        shards = [Shard(one.first, one.last) for one in record.assignments]
    for shard in shards:
        shard.phase = Phase.EXPIRING
        shard.held_until = held_until
    return shards


def _log_failure(call: TargetCall, answer: GrantAnswer) -> None:
    is_withheld = answer is GrantAnswer.WITHHELD
    log_event(
        Event.GRANT_WITHHELD if is_withheld else Event.GRANT_FAILED,
        target=call.target.name,
        first=call.shard.first,
        last=call.shard.last,
        fence=call.fence,
        phase=call.shard.phase.value,
        answer=answer.value,
    )


def _report_connect(
    reach: ReachTracker, target: TargetKey, is_open: bool
) -> None:
    reach.on_connect(target, is_open=is_open)


def _with_statement(target: Target, statements: StatementBook) -> Target:
    """Count a target that has said that it leaves as leaving."""
    if statements.is_leaving(target.key):
        return attrs.evolve(target, leaving=True)
    return target
