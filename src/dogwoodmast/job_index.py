"""Index of one target's jobs by ticket, request id and deadline."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.job import Job, JobState
from dogwoodmast.request_id import fingerprint

if TYPE_CHECKING:
    from dogwoodmast.dispatch_messages import Submission


@attrs.frozen
class _RequestKey:
    partition: str
    request_id: str


@attrs.define(eq=False)
class JobIndex:
    """Index of all jobs that have no final result yet."""

    _tickets: dict[int, Job] = attrs.field(factory=dict)
    _by_request: dict[_RequestKey, Job] = attrs.field(factory=dict)
    _deadlines: list[tuple[float, int]] = attrs.field(factory=list)

    def __len__(self) -> int:
        """Count the submissions that wait for a reply.

        :return: Number of tickets.
        """
        return len(self._tickets)

    @property
    def next_deadline(self) -> float:
        """Earliest deadline of a waiting ticket.

        Monotonic time in seconds; infinite if no ticket is waiting.
        """
        deadlines = self._deadlines
        while deadlines and deadlines[0][1] not in self._tickets:
            heapq.heappop(deadlines)
        return deadlines[0][0] if deadlines else math.inf

    def find(self, submission: Submission) -> Job | None:
        """Find an unfinished job with the same request id.

        :param submission: Submission to look up.
        :return: Job; ``None`` if there is none or the id is not remembered.
        """
        if not _is_remembered(submission):
            return None
        return self._by_request.get(_request_key(submission))

    def add(self, submission: Submission) -> Job:
        """Create and index the job of a submission.

        :param submission: First submission of the request.
        :return: New job, with the submission as its only waiter.
        """
        request = submission.request
        remembered = _is_remembered(submission)
        job = Job(submission, fingerprint(request) if remembered else b'', {})
        if remembered:
            self._by_request[_request_key(submission)] = job
        self.attach(job, submission.ticket, request.deadline)
        return job

    def attach(self, job: Job, ticket: int, deadline: float) -> None:
        """Add a submission to the waiters of a job.

        The job's deadline is extended unless its exchange is running, since
        the target has been sent the earlier one.

        :param job: Job to wait for.
        :param ticket: Number of the submission.
        :param deadline: Deadline of the submission, as monotonic time in
            seconds.
        """
        job.waiters[ticket] = deadline
        if job.state is not JobState.RUNNING:
            job.deadline = max(job.deadline, deadline)
        self._tickets[ticket] = job
        heapq.heappush(self._deadlines, (deadline, ticket))

    def detach(self, ticket: int) -> Job | None:
        """Remove a submission from the waiters of its job.

        :param ticket: Number of the submission.
        :return: Job that it waited for; ``None`` if it was not waiting.
        """
        job = self._tickets.pop(ticket, None)
        if job is not None:
            job.waiters.pop(ticket)
        return job

    def pop_expired(self, now: float) -> list[int]:
        """Remove passed deadlines from the index of deadlines.

        :param now: Monotonic time in seconds.
        :return: Expired tickets, which remain waiters of their jobs.
        """
        expired = []
        while self.next_deadline <= now:
            expired.append(heapq.heappop(self._deadlines)[1])
        return expired

    def finish(self, job: Job) -> tuple[int, ...]:
        """Remove a job that has its final result.

        :param job: Job to mark as done.
        :return: Tickets of the submissions to reply to.
        """
        job.state = JobState.DONE
        tickets = tuple(job.waiters)
        for ticket in tickets:
            self._tickets.pop(ticket)
        job.waiters.clear()
        if job.is_remembered:
            self._by_request.pop(_request_key(job.submission), None)
        return tickets


def _is_remembered(submission: Submission) -> bool:
    return bool(
        submission.request.request_id and not submission.kind.idempotent
    )


def _request_key(submission: Submission) -> _RequestKey:
    return _RequestKey(
        submission.grant.partition, submission.request.request_id
    )
