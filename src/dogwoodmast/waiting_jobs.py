"""Jobs of one target that wait: for a slot, a right or their next attempt."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterator

import attrs

from dogwoodmast.fair_queue import FairQueue
from dogwoodmast.job import Job, JobState


@attrs.define(eq=False)
class WaitingJobs:
    """All jobs that wait."""

    _queue: FairQueue[Job] = attrs.field(factory=FairQueue)
    _held: list[Job] = attrs.field(factory=list)
    _delayed: list[tuple[float, int, Job]] = attrs.field(factory=list)
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)

    def __len__(self) -> int:
        """Count the jobs.

        :return: Number of jobs that wait for whatever reason.
        """
        return len(self._queue) + len(self._held) + len(self._delayed)

    @property
    def queue(self) -> FairQueue[Job]:
        """Jobs that wait for a slot."""
        return self._queue

    @property
    def next_attempt(self) -> float:
        """Monotonic time of the next delayed attempt, in seconds."""
        return self._delayed[0][0] if self._delayed else math.inf

    def push(self, job: Job, cost: float) -> None:
        """Let a job wait for a slot.

        :param job: The job.
        :param cost: Time that it is expected to take, in seconds.
        """
        job.state = JobState.QUEUED
        self._queue.push(job.request.customer, job, cost)

    def hold(self, job: Job) -> None:
        """Let a job wait for the right to run.

        :param job: The job.
        """
        job.state = JobState.HELD
        self._held.append(job)

    def delay(self, job: Job, until: float) -> None:
        """Let a job wait for its next attempt.

        :param job: The job.
        :param until: Monotonic time of the attempt, in seconds.
        """
        job.state = JobState.DELAYED
        job.not_before = until
        heapq.heappush(self._delayed, (until, next(self._sequence), job))

    def remove(self, job: Job) -> None:
        """Let a job wait no longer.

        :param job: The job.
        """
        match job.state:
            case JobState.QUEUED:
                self._queue.remove(job.request.customer, job)
            case JobState.HELD:
                self._held.remove(job)
            case JobState.DELAYED:
                self._delayed = [
                    entry for entry in self._delayed if entry[2] is not job
                ]
                heapq.heapify(self._delayed)

    def pop_due(self, now: float) -> list[Job]:
        """Take the jobs whose next attempt is due.

        :param now: Monotonic time in seconds.
        :return: The jobs.
        """
        due = []
        while self.next_attempt <= now:
            due.append(heapq.heappop(self._delayed)[2])
        return due

    def pop_all(self) -> list[Job]:
        """Take every job.

        :return: The jobs.
        """
        delayed = [entry[2] for entry in self._delayed]
        found = [*self._queue.drain(), *self._held, *delayed]
        self._held.clear()
        self._delayed.clear()
        return found
