"""State of one target's dispatcher, shared by the classes that make it up."""

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
    """Configuration, jobs, slots and statistics of one target's dispatcher."""

    service: Service
    """Service that the target belongs to."""
    target: Target
    """Target that the requests are sent to."""
    rights: DispatchRights
    """Source of leases and of the right to dispatch."""
    wall_offset: float
    """Seconds to add to monotonic time to get seconds since the Unix
    epoch."""
    meter: LoadMeter
    """Load meter that counts executed requests."""
    quarantine: Quarantine
    """Requests suspected of crashing targets; shared by all targets."""
    draining: bool = False
    """Whether the dispatcher has stopped admitting requests."""
    slots: SlotTable = attrs.field(init=False)
    """Execution slots and connections."""
    limit: SlotLimit = attrs.field(init=False)
    """Current limit of concurrently used slots."""
    budget: RetryBudget = attrs.field(init=False)
    """Token bucket that limits retries."""
    ledgers: PartitionLedgers = attrs.field(init=False)
    """Remembered request ids, by partition."""
    health: HealthTracker = attrs.field(init=False)
    """Reachability of the target and whether it is draining."""
    jobs: JobIndex = attrs.field(factory=JobIndex)
    """Jobs without a final result, by ticket and by request id."""
    waiting: WaitingJobs = attrs.field(factory=WaitingJobs)
    """Jobs that are queued, held or delayed."""
    service_times: ServiceTimes = attrs.field(factory=ServiceTimes)
    """Estimated service times, by kind of request."""

    def __attrs_post_init__(self) -> None:
        """Create the parts that depend on the service and the target."""
        name = self.target.name
        self.slots = SlotTable(self.target)
        self.limit = SlotLimit(self.target.slots)
        self.budget = RetryBudget(self.service.retry_budget)
        self.ledgers = PartitionLedgers(name, self.rights)
        self.health = HealthTracker(name)

    def wall_time(self, now: float) -> float:
        """Convert monotonic time to wall-clock time.

        :param now: Monotonic time in seconds.
        :return: Wall-clock time in seconds since the Unix epoch.
        """
        return now + self.wall_offset

    def on_unreachable(self, now: float) -> None:
        """Record that the target accepted no connection.

        :param now: Monotonic time in seconds.
        """
        self.health.on_failed(now)
        self.limit.on_unreachable()
        self.quarantine.on_unreachable(self.target.name, now)

    def on_broken(self, job: Job, now: float) -> None:
        """Record that an exchange broke after its request was sent.

        :param job: Job of the exchange.
        :param now: Monotonic time in seconds.
        """
        self.quarantine.on_broken(
            self.target.name, fingerprint(job.request), now
        )

    def on_executed(self, job: Job, busy: float, now: float) -> None:
        """Record the execution of a request in the statistics.

        The quarantine is told of the response only while any request is
        suspected.

        :param job: Job that got a response.
        :param busy: Time for which it occupied its slot, in seconds.
        :param now: Monotonic time in seconds.
        """
        if not self.quarantine.has_no_suspects:
            self.quarantine.on_response(fingerprint(job.request))
        self.service_times.add(job.kind.name, busy)
        self.meter.on_finished(
            self.service.name, job.grant.number, job.request.key, busy, now
        )

    def right(self, grant: Grant, now: float) -> Right:
        """Check whether requests may be dispatched under a grant.

        :param grant: Partition and fence.
        :param now: Monotonic time in seconds.
        :return: Right under this grant.
        """
        return self.rights.right(self.target.name, grant, now)

    def enqueue(self, job: Job) -> None:
        """Add a job to the queue, at the cost of its expected service time.

        :param job: Job that may be dispatched.
        """
        self.waiting.push(job, self.service_times.expected(job.kind.name))
