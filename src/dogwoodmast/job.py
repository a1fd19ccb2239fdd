"""Job: a request in a dispatcher, with the callers that wait for it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.dispatch_messages import Submission
from dogwoodmast.problem import Outcome

if TYPE_CHECKING:
    from dogwoodmast.backend import Grant
    from dogwoodmast.configuration import RequestKind
    from dogwoodmast.request import Request


class JobState(enum.Enum):
    """State of a job in the dispatcher."""

    QUEUED = 'queued'
    """The job is in the queue and waits for a free slot."""
    HELD = 'held'
    """The job waits because the right to dispatch it is still pending."""
    DELAYED = 'delayed'
    """The job waits until its next attempt is due."""
    RUNNING = 'running'
    """An exchange of the job is running."""
    DONE = 'done'
    """The job has its final result."""


@attrs.define(eq=False)
class Job:
    """Request and the submissions that wait for its result.

    Submissions with the same remembered request id share one job.
    """

    submission: Submission
    """First submission of the request."""
    fingerprint: bytes
    """Hash of the request if the ledger remembers its id, else empty."""
    waiters: dict[int, float]
    """Deadlines of the waiting submissions as monotonic times in seconds,
    keyed by ticket."""
    state: JobState = JobState.QUEUED
    """Current state."""
    attempts: int = 0
    """Number of exchanges started so far."""
    may_have_run: bool = False
    """Whether an earlier attempt may have run at the target."""
    not_before: float = 0
    """Monotonic time before which a delayed retry must not start, in
    seconds."""
    deadline: float = attrs.field(init=False)
    """Latest deadline of the submissions received while the job was not
    running, as monotonic time in seconds."""

    def __attrs_post_init__(self) -> None:
        """Set the deadline to that of the first submission."""
        self.deadline = self.submission.request.deadline

    @property
    def request(self) -> Request:
        """Request of the first submission."""
        return self.submission.request

    @property
    def kind(self) -> RequestKind:
        """Configured kind of the request."""
        return self.submission.kind

    @property
    def grant(self) -> Grant:
        """Partition and fence under which the request runs."""
        return self.submission.grant

    @property
    def is_remembered(self) -> bool:
        """Whether the ledger remembers the request's id.

        This holds for non-idempotent requests that have an id.
        """
        return bool(self.fingerprint)

    @property
    def outcome(self) -> Outcome:
        """What is known about the effect of the earlier attempts."""
        return Outcome.MAY_HAVE_RUN if self.may_have_run else Outcome.NOT_RUN
