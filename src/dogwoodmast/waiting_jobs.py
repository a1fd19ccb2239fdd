"""Waiting jobs of one target: queued, held or delayed."""

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
    """Jobs that wait for a slot, for a dispatch right or for a retry."""

    _queue: FairQueue[Job] = attrs.field(factory=FairQueue)
    _held: list[Job] = attrs.field(factory=list)
    _delayed: list[tuple[float, int, Job]] = attrs.field(factory=list)
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)

    def __len__(self) -> int:
        """Count the waiting jobs.

        :return: Number of queued, held and delayed jobs.
        """
        return len(self._queue) + len(self._held) + len(self._delayed)

    @property
    def queue(self) -> FairQueue[Job]:
        """Fair queue of the jobs that wait for a slot."""
        return self._queue

    @property
    def next_attempt(self) -> float:
        """Monotonic time of the next retry, in seconds; infinite if none."""
        return self._delayed[0][0] if self._delayed else math.inf

    def push(self, job: Job, cost: float) -> None:
        """Queue a job until a slot is free.

        :param job: Job to queue.
        :param cost: Expected service time of the job, in seconds.
        """
        job.state = JobState.QUEUED
        self._queue.push(job.request.customer, job, cost)

    def hold(self, job: Job) -> None:
        """Hold a job until the right to dispatch it is decided.

        :param job: Job whose right is pending.
        """
        job.state = JobState.HELD
        self._held.append(job)

    def delay(self, job: Job, until: float) -> None:
        """Delay a job until its next attempt.

        :param job: Job to retry.
        :param until: Monotonic time of the next attempt, in seconds.
        """
        job.state = JobState.DELAYED
        job.not_before = until
        heapq.heappush(self._delayed, (until, next(self._sequence), job))

    def remove(self, job: Job) -> None:
        """Remove a waiting job.

        :param job: Job that is queued, held or delayed.
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
        """Remove the delayed jobs whose next attempt is due.

        :param now: Monotonic time in seconds.
        :return: Removed jobs, by time of their attempt.
        """
        due = []
        while self.next_attempt <= now:
            due.append(heapq.heappop(self._delayed)[2])
        return due

    def pop_all(self) -> list[Job]:
        """Remove all waiting jobs.

        :return: Removed jobs: queued, then held, then delayed ones.
        """
        delayed = [entry[2] for entry in self._delayed]
        found = [*self._queue.drain(), *self._held, *delayed]
        self._held.clear()
        self._delayed.clear()
        return found
