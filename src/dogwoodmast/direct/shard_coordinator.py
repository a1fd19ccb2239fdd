"""One coordinator's work on the keys of one service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast._wire import decode, encode
from dogwoodmast.direct.directory import SHARD_PREFIX
from dogwoodmast.direct.grant_state_machine import (
    GrantAnswer,
    GrantCall,
    GrantStateMachine,
    divide_keys,
)
from dogwoodmast.direct.leadership import LEASE_TTL
from dogwoodmast.direct.messages import (
    ShardAssignment,
    ShardRecord,
    ShardUpdate,
)
from dogwoodmast.direct.shard import Phase
from dogwoodmast.direct.shard_planner import (
    INITIAL_SHARDS_PER_TARGET,
    KeyLoads,
    ShardPlanner,
)
from dogwoodmast.direct.target_control import GRANT_TIMEOUT, TargetControl
from dogwoodmast.direct.target_latencies import TargetLatencies
from dogwoodmast.errors import PlatformAnswerLost, PlatformError
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import MISSING_REVISION, Expectation, Put

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import TaskGroup

    from dogwoodmast.clock import Clock
    from dogwoodmast.direct.catalog import Target
    from dogwoodmast.direct.grant_state_machine import TargetCall
    from dogwoodmast.direct.leadership import Leadership
    from dogwoodmast.direct.messages import LoadReport
    from dogwoodmast.direct.shard import Shard
    from dogwoodmast.key_value import PolledStore

LOAD_HALF_LIFE = 0.9
"""Time after which a count of requests is worth half, in seconds; busy keys
of the contract change within some seconds."""
PLAN_INTERVAL = 0.3
"""Pause between two looks at the load, in seconds."""
SETTLING_TIME = 1.5
"""Time without a new target after which keys are first dealt out, in seconds;
targets list themselves once a heartbeat and the copy of the store lags."""
KEPT_UPDATES = 256
"""Changes that are kept for entry VMs that lag; others get a whole table."""
EARLIER_REIGN_TIME = LEASE_TTL + GRANT_TIMEOUT
"""Time for which grants of an earlier reign may go on arriving, in seconds:
its lease may have been taken away just after a renewal, and a grant that was
begun at the lease's end may take its whole time."""
RECORD_RETRY = 0.2
"""Pause after a record that could not be written, in seconds."""


@attrs.frozen
class _Change:
    number: int
    assignments: tuple[ShardAssignment, ...]


@attrs.define
class UpdateLog:
    """Changes of a table that entry VMs are told of."""

    service: str
    """Name of the service."""
    epoch: int
    """Number of the reign."""
    number: int = 0
    """Number of the newest version."""
    _changes: deque[_Change] = attrs.field(
        factory=lambda: deque(maxlen=KEPT_UPDATES)
    )

    def add(self, shards: Iterable[Shard]) -> bool:
        """Note changed ranges.

        :param shards: Ranges.
        :return: Whether there were any.
        """
        assignments = tuple(shard.assignment for shard in shards)
        if not assignments:
            return False
        self.number += 1
        self._changes.append(_Change(self.number, assignments))
        return True

    def since(
        self, epoch: int, number: int, shards: Iterable[Shard]
    ) -> ShardUpdate | None:
        """Tell what an entry VM lacks.

        :param epoch: Reign of its table.
        :param number: Number of its table.
        :param shards: All ranges.
        :return: The changes, or ``None`` if it lacks nothing.
        """
        if (epoch, number) >= (self.epoch, self.number) or not self.number:
            return None
        oldest = self._changes[0].number if self._changes else self.number + 1
        if epoch == self.epoch and number > 0 and number + 1 >= oldest:
            changed = tuple(
                assignment
                for change in self._changes
                if change.number > number
                for assignment in change.assignments
            )
            return ShardUpdate(
                self.service, self.epoch, number, self.number, changed
            )
        whole = tuple(shard.assignment for shard in shards)
        return ShardUpdate(self.service, self.epoch, 0, self.number, whole)


class ShardCoordinator:
    """Task that keeps the keys of one service held."""

    def __init__(
        self,
        keeper: GrantStateMachine,
        leadership: Leadership,
        store: PolledStore,
        clock: Clock,
    ) -> None:
        """Create the task.

        :param keeper: Machine that follows the ranges.
        :param leadership: Right to act.
        :param store: The store.
        :param clock: Clock that counts suspended time.
        """
        self._keeper = keeper
        self._leadership = leadership
        self._store = store
        self._clock = clock
        self._loads = KeyLoads(LOAD_HALF_LIFE)
        self._planner = ShardPlanner(self._loads)
        self._paces = TargetLatencies()
        self._log = UpdateLog(keeper.service, keeper.epoch)
        self._controls: dict[tuple[str, int], TargetControl] = {}
        self._record_revision = MISSING_REVISION
        self._recording = False
        self._planned_at = float('-inf')
        self._joined_at = float('inf')
        self._news = anyio.Event()

    @property
    def news(self) -> anyio.Event:
        """Event that is set once entry VMs have to be told of changes."""
        return self._news

    @property
    def key(self) -> str:
        """Key of the record in the store."""
        return f'{SHARD_PREFIX}{self._keeper.service}'

    async def load(self) -> None:
        """Take over the record of earlier reigns.

        :raises PlatformError: If the store does not answer.
        """
        found = (await self._store.read(self.key)).first
        if found is None:
            return
        self._record_revision = found.revision
        record = decode('ShardRecord', found.value)
        if isinstance(record, ShardRecord):
            now = self._clock.monotonic()
            self._keeper.restore(record, now, EARLIER_REIGN_TIME)
            self._log.add(self._keeper.shards)

    def on_targets(self, targets: list[Target], gone: list[Target]) -> None:
        """Learn which targets are listed.

        :param targets: Targets of the service.
        :param gone: Targets of the service that were listed earlier.
        """
        known = set(self._keeper.targets)
        if {target.name for target in targets} - known:
            self._joined_at = self._clock.monotonic()
        self._keeper.on_targets(targets, gone)

    def on_report(self, report: LoadReport) -> ShardUpdate | None:
        """Take an entry VM's report.

        :param report: What it has been asked for.
        :return: What its table lacks, or ``None``.
        """
        self._loads.add((one.key, one.requests) for one in report.keys)
        for pace in report.paces:
            self._paces.add(pace.target, pace.seconds)
        return self.update_for(report.epoch, report.number)

    def update_for(self, epoch: int, number: int) -> ShardUpdate | None:
        """Tell what an entry VM lacks.

        :param epoch: Reign of its table.
        :param number: Number of its table.
        :return: The changes, or ``None`` if it lacks nothing.
        """
        return self._log.since(epoch, number, self._keeper.shards)

    def tick(self, tasks: TaskGroup) -> None:
        """Start what has to be done now.

        :param tasks: Task group of the reign.
        """
        now = self._clock.monotonic()
        self._deal_out(now)
        self._plan(now)
        for call in self._keeper.tick(now):
            tasks.start_soon(self._make, call)
        self._place_free(tasks, now)
        self._publish()

    async def aclose(self) -> None:
        """Close the connections to targets."""
        for control in self._controls.values():
            await control.aclose()

    def _place_free(self, tasks: TaskGroup, now: float) -> None:
        shards = self._keeper.shards
        if self._recording or all(
            one.phase is not Phase.FREE for one in shards
        ):
            return
        placed = self._planner.place_free(self._keeper, self._capacities(), now)
        if placed:
            self._recording = True
            tasks.start_soon(self._record, placed)

    def _deal_out(self, now: float) -> None:
        usable = self._keeper.usable_targets(now)
        is_settled = now >= self._joined_at + SETTLING_TIME
        if not self._keeper.shards and usable and is_settled:
            self._keeper.shards = divide_keys(
                len(usable) * INITIAL_SHARDS_PER_TARGET
            )

    def _plan(self, now: float) -> None:
        if now < self._planned_at + PLAN_INTERVAL or not self._keeper.shards:
            return
        self._planned_at = now
        self._loads.decay(now)
        moves = self._planner.plan_moves(self._keeper, self._capacities(), now)
        for shard in moves:
            log_event(
                Event.KEYS_MOVING,
                first=shard.first,
                last=shard.last,
                source=shard.target,
                destination=shard.destination,
            )

    def _capacities(self) -> dict[str, float]:
        return self._paces.capacities(self._keeper.targets.values())

    async def _make(self, call: TargetCall) -> None:
        control = self._control_of(call.target)
        sent = self._clock.monotonic()
        if self._leadership.term is None:
            return
        result = await control.call(call)
        now = self._clock.monotonic()
        if result.answer is not GrantAnswer.ACCEPTED:
            _log_failure(call, result.answer)
        if isinstance(call, GrantCall):
            self._keeper.on_grant(call, result.answer, sent, now)
        else:
            self._keeper.on_release(call, result.answer, result.handover, now)
        self._publish()

    def _control_of(self, target: Target) -> TargetControl:
        life = (target.name, target.born)
        if life not in self._controls:
            self._controls[life] = TargetControl(target, self._clock)
        return self._controls[life]

    async def _record(self, shards: list[Shard]) -> None:
        assignments = tuple(one.assignment for one in self._keeper.shards)
        record = ShardRecord(
            self._keeper.service,
            self._keeper.epoch,
            self._log.number,
            assignments,
        )
        try:
            await self._write(encode(record))
        finally:
            self._recording = False
        now = self._clock.monotonic()
        self._keeper.on_recorded(shards, now)

    async def _write(self, content: bytes) -> None:
        """Write the record, again until it surely lies in the store."""
        while True:
            try:
                written = await self._try_write(content)
            except PlatformError as error:
                log_event(Event.RECORD_FAILED, reason=error.message)
                await anyio.sleep(RECORD_RETRY)
                continue
            if written:
                return
            await anyio.sleep(RECORD_RETRY)

    async def _try_write(self, content: bytes) -> bool:
        expectations = (
            self._leadership.expectation,
            Expectation(self.key, self._record_revision),
        )
        try:
            swap = await self._store.swap(
                expectations, (Put(self.key, content),)
            )
        except PlatformAnswerLost:
            return await self._find_written(content)
        if swap.succeeded:
            self._record_revision = swap.revision
            return True
        return await self._find_written(content)

    async def _find_written(self, content: bytes) -> bool:
        found = (await self._store.read(self.key)).first
        if found is None or found.value != content:
            return False
        self._record_revision = found.revision
        return True

    def _publish(self) -> None:
        if self._log.add(self._keeper.take_changed()):
            news = self._news
            self._news = anyio.Event()
            news.set()


def _log_failure(call: TargetCall, answer: GrantAnswer) -> None:
    log_event(
        Event.GRANT_FAILED,
        target=call.target.name,
        first=call.shard.first,
        last=call.shard.last,
        fence=call.fence,
        phase=call.shard.phase.value,
        answer=answer.value,
    )
