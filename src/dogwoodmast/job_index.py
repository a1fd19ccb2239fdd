"""Jobs of one target by ticket, by request id and by deadline."""

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
    """All jobs whose result is not known."""

    _tickets: dict[int, Job] = attrs.field(factory=dict)
    _by_request: dict[_RequestKey, Job] = attrs.field(factory=dict)
    _deadlines: list[tuple[float, int]] = attrs.field(factory=list)

    def __len__(self) -> int:
        """Count the tickets.

        :return: Number of tickets that have no reply.
        """
        return len(self._tickets)

    @property
    def next_deadline(self) -> float:
        """Earliest deadline of a ticket, in seconds; infinite for none."""
        deadlines = self._deadlines
        while deadlines and deadlines[0][1] not in self._tickets:
            heapq.heappop(deadlines)
        return deadlines[0][0] if deadlines else math.inf

    def find(self, submission: Submission) -> Job | None:
        """Find the job that runs a submission's request already.

        :param submission: The submission.
        :return: The job, or ``None``.
        """
        if not _is_remembered(submission):
            return None
        return self._by_request.get(_request_key(submission))

    def add(self, submission: Submission) -> Job:
        """Make the job of a submission.

        :param submission: The submission.
        :return: The job.
        """
        request = submission.request
        remembered = _is_remembered(submission)
        job = Job(submission, fingerprint(request) if remembered else b'', {})
        if remembered:
            self._by_request[_request_key(submission)] = job
        self.attach(job, submission.ticket, request.deadline)
        return job

    def attach(self, job: Job, ticket: int, deadline: float) -> None:
        """Let a ticket wait for a job.

        :param job: The job.
        :param ticket: The ticket.
        :param deadline: Its deadline in seconds.
        """
        job.waiters[ticket] = deadline
        if job.state is not JobState.RUNNING:
            job.deadline = max(job.deadline, deadline)
        self._tickets[ticket] = job
        heapq.heappush(self._deadlines, (deadline, ticket))

    def detach(self, ticket: int) -> Job | None:
        """Let a ticket wait no longer.

        :param ticket: The ticket.
        :return: Job that it waited for, or ``None``.
        """
        job = self._tickets.pop(ticket, None)
        if job is not None:
            job.waiters.pop(ticket)
        return job

    def pop_expired(self, now: float) -> list[int]:
        """Find the tickets whose deadline has passed.

        :param now: Monotonic time in seconds.
        :return: The tickets, which still wait.
        """
        expired = []
        while self.next_deadline <= now:
            expired.append(heapq.heappop(self._deadlines)[1])
        return expired

    def finish(self, job: Job) -> tuple[int, ...]:
        """Forget a job whose result is known.

        :param job: The job.
        :return: Tickets that wait for it.
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
