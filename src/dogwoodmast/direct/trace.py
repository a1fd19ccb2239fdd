"""Trace of one request, written to the log as one line at its end."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast.direct.call import (
    AttemptOutcome,
    Broken,
    Delivered,
    Failed,
    Refused,
    Rejected,
    Withheld,
)
from dogwoodmast.direct.relay_protocol import RelayProblem
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from dogwoodmast.direct.call import Call
    from dogwoodmast.direct.catalog import Target
    from dogwoodmast.direct.relay_exchange import RelayOutcome

FAILURE_LINES_PER_SECOND = 40
"""Rate limit of log lines about failed requests, per VM and second."""
SUCCESS_LINES_PER_SECOND = 1
"""Rate limit of log lines about served requests, per VM and second."""


@attrs.define
class LogRateLimit:
    """Rate limit for one kind of log line, in lines per second."""

    _max_lines: int
    _second: int = 0
    _written: int = 0
    _suppressed: int = 0

    def try_acquire(self) -> int | None:
        """Try to claim one line of the current second.

        :return: Number of lines suppressed since the last one that was
            written, or ``None`` if this line must be suppressed too.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= self._max_lines:
            self._suppressed += 1
            return None
        self._written += 1
        left_out = self._suppressed
        self._suppressed = 0
        return left_out


@attrs.define
class RequestLog:
    """Request log with separate rate limits for failures and successes."""

    _failures: LogRateLimit = attrs.field(
        factory=lambda: LogRateLimit(FAILURE_LINES_PER_SECOND)
    )
    _successes: LogRateLimit = attrs.field(
        factory=lambda: LogRateLimit(SUCCESS_LINES_PER_SECOND)
    )

    def write(self, trace: Trace, call: Call, seconds: float) -> None:
        """Log a finished request, unless the rate limit suppresses the line.

        :param trace: Trace of the request.
        :param call: Request of the caller.
        :param seconds: Time since the request arrived, in seconds.
        """
        rate_limit = self._failures if trace.is_failure else self._successes
        left_out = rate_limit.try_acquire()
        if left_out is None:
            return
        log_event(
            Event.REQUEST_ENDED,
            request=call.attempt_id.decode('latin-1'),
            route=call.route.name,
            service=call.service,
            key=call.shard_key,
            seconds=round(seconds, 3),
            left_out=left_out,
            **trace.details,
        )


@attrs.define
class Trace:
    """Facts about one request for the request log."""

    configuration: int
    """Version of the configuration that the request was routed by."""
    age: float
    """Time since the store last confirmed the VM's copy of it, when the
    request arrived, in seconds."""
    _attempts: list[dict[str, Any]] = attrs.field(factory=list)
    _current_target: str | None = None
    target_zone: str = ''
    """Zone of the target of the last attempt."""
    crossing: str = ''
    """Why the last attempt leaves the zone of the VM; empty if it does not, or
    if the target was chosen by its cost or by the request's key."""
    _queue_state: dict[str, Any] = attrs.field(factory=dict)
    _result: dict[str, Any] = attrs.field(factory=dict)
    is_failure: bool = True
    """Whether no response of a target was forwarded to the caller."""

    @property
    def details(self) -> dict[str, Any]:
        """Fields of the log line, as JSON values."""
        return {
            'configuration': self.configuration,
            'age': round(self.age, 3),
            'attempts': self._attempts,
            'running': self._current_target,
            'crossing': self.crossing,
            **self._queue_state,
            **self._result,
        }

    def on_wait(self, waiting: int, expected: float) -> None:
        """Record the state of the queue that rejected the request.

        :param waiting: Number of requests in the queue.
        :param expected: Expected time in the queue, in seconds.
        """
        self._queue_state = {'waiting': waiting, 'expected': round(expected, 3)}

    def on_start(self, target: Target) -> None:
        """Record the start of an attempt.

        :param target: Target that the request is sent to.
        """
        self._current_target = target.name
        self.target_zone = target.zone

    def on_attempt(
        self, target: Target, outcome: AttemptOutcome, seconds: float
    ) -> None:
        """Record the end of an attempt.

        :param target: Target that the request was sent to.
        :param outcome: Outcome of the attempt.
        :param seconds: Duration of the attempt, in seconds.
        """
        self._current_target = None
        self._attempts.append(
            {
                'target': target.name,
                'seconds': round(seconds, 3),
                'outcome': _describe(outcome),
            }
        )

    def on_relay(
        self, peer: str, outcome: RelayOutcome, seconds: float
    ) -> None:
        """Record the end of an attempt through another entry VM.

        :param peer: Name of the VM.
        :param outcome: Outcome of the attempt.
        :param seconds: Duration of the attempt, in seconds.
        """
        described = (
            f'{outcome.problem.outcome}: {outcome.problem.type.slug}'
            if isinstance(outcome, RelayProblem)
            else _describe(outcome)
        )
        self._attempts.append(
            {
                'relay': peer,
                'seconds': round(seconds, 3),
                'outcome': described,
            }
        )

    def on_end(self, result: Rejected | Delivered | None) -> None:
        """Record how the request ended.

        :param result: Result of the dispatch, or ``None`` if the caller
            disconnected or the response was cut off.
        """
        match result:
            case Delivered(status, _):
                self.is_failure = False
                self._result = {'outcome': 'delivered', 'status': status}
            case Rejected(problem):
                self._result = {
                    'outcome': str(problem.outcome),
                    'status': int(problem.type.status),
                    'problem': problem.type.slug,
                    'retry_after': problem.retry_after,
                }
            case None:
                self._result = {'outcome': 'abandoned'}


def _describe(outcome: AttemptOutcome) -> str:
    match outcome:
        case Refused(reason, _):
            return f'refused: {reason}'
        case Withheld(reason):
            return f'withheld: {reason}'
        case Broken(reason):
            return f'broken: {reason}'
        case Failed(reply):
            return f'failed: status {reply.status}'
        case Delivered(status, _):
            return f'delivered: status {status}'
