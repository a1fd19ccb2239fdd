"""State of one target's dispatcher, shared by its steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.configuration import Service, Target
from dogwoodmast.dispatch_right import DispatchRights, Right
from dogwoodmast.job_index import JobIndex
from dogwoodmast.load_meter import LoadMeter
from dogwoodmast.partition_ledgers import PartitionLedgers
from dogwoodmast.quarantine import Quarantine
from dogwoodmast.request_id import fingerprint
from dogwoodmast.retry_budget import RetryBudget
from dogwoodmast.service_time import ServiceTimes
from dogwoodmast.slot_limit import SlotLimit
from dogwoodmast.slot_table import SlotTable
from dogwoodmast.target_health import HealthTracker
from dogwoodmast.waiting_jobs import WaitingJobs

if TYPE_CHECKING:
    from dogwoodmast.backend import Grant
    from dogwoodmast.job import Job


@attrs.define(eq=False)
class DispatchState:
    """Everything that a dispatcher knows."""

    service: Service
    """Service of the target."""
    target: Target
    """The target."""
    rights: DispatchRights
    """What may be dispatched."""
    wall_offset: float
    """What to add to monotonic time for seconds since the Unix epoch."""
    meter: LoadMeter
    """Meter of the requests that were run."""
    quarantine: Quarantine
    """Requests that crash targets."""
    draining: bool = False
    """Whether nothing new is admitted."""
    slots: SlotTable = attrs.field(init=False)
    """Slots and connections."""
    limit: SlotLimit = attrs.field(init=False)
    """Slots that may be in use."""
    budget: RetryBudget = attrs.field(init=False)
    """Retries that are allowed."""
    ledgers: PartitionLedgers = attrs.field(init=False)
    """Request ids per partition."""
    health: HealthTracker = attrs.field(init=False)
    """Signs of life."""
    jobs: JobIndex = attrs.field(factory=JobIndex)
    """Jobs whose result is not known."""
    waiting: WaitingJobs = attrs.field(factory=WaitingJobs)
    """Jobs that wait."""
    service_times: ServiceTimes = attrs.field(factory=ServiceTimes)
    """How long requests take."""

    def __attrs_post_init__(self) -> None:
        """Begin with an idle target."""
        name = self.target.name
        self.slots = SlotTable(self.target)
        self.limit = SlotLimit(self.target.slots)
        self.budget = RetryBudget(self.service.retry_budget)
        self.ledgers = PartitionLedgers(name, self.rights)
        self.health = HealthTracker(name)

    def wall_time(self, now: float) -> float:
        """Convert a time.

        :param now: Monotonic time in seconds.
        :return: Seconds since the Unix epoch.
        """
        return now + self.wall_offset

    def on_unreachable(self, now: float) -> None:
        """Take in that the target accepted no connection.

        :param now: Monotonic time in seconds.
        """
        self.health.on_failed(now)
        self.limit.on_unreachable()
        self.quarantine.on_unreachable(self.target.name, now)

    def on_broken(self, job: Job, now: float) -> None:
        """Take in that an exchange broke after it was sent.

        :param job: The request.
        :param now: Monotonic time in seconds.
        """
        self.quarantine.on_broken(
            self.target.name, fingerprint(job.request), now
        )

    def on_executed(self, job: Job, busy: float, now: float) -> None:
        """Count a request that the target has answered.

        :param job: The request.
        :param busy: Time that it kept the slot, in seconds.
        :param now: Monotonic time in seconds.
        """
        if not self.quarantine.has_no_suspects:
            self.quarantine.on_response(fingerprint(job.request))
        self.service_times.add(job.kind.name, busy)
        self.meter.on_finished(
            self.service.name, job.grant.number, job.request.key, busy, now
        )

    def right(self, grant: Grant, now: float) -> Right:
        """Ask whether a request may be dispatched.

        :param grant: Partition and fence.
        :param now: Monotonic time in seconds.
        :return: The right.
        """
        return self.rights.right(self.target.name, grant, now)

    def enqueue(self, job: Job) -> None:
        """Let a job wait for a slot.

        :param job: The job.
        """
        self.waiting.push(job, self.service_times.expected(job.kind.name))
