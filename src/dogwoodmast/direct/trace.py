"""Notes on one request, written to the log as one line at its end."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast.direct.call import (
    Attempt,
    Broken,
    Delivered,
    Failed,
    Refused,
    Rejected,
)
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from dogwoodmast.direct.call import Call
    from dogwoodmast.direct.catalog import Target

FAILURES_A_SECOND = 40
"""Lines on failed requests that a VM writes in a second at most."""
SUCCESSES_A_SECOND = 1
"""Lines on served requests that a VM writes in a second at most."""


@attrs.define
class LineQuota:
    """Number of lines of one kind that may be written in a second."""

    _highest: int
    _second: int = 0
    _written: int = 0
    _left_out: int = 0

    def take(self) -> int | None:
        """Take the right to write a line.

        :return: Lines left out since the last, or ``None`` for no right.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= self._highest:
            self._left_out += 1
            return None
        self._written += 1
        left_out = self._left_out
        self._left_out = 0
        return left_out


@attrs.define
class RequestLog:
    """Bounded log of requests."""

    _failures: LineQuota = attrs.field(
        factory=lambda: LineQuota(FAILURES_A_SECOND)
    )
    _successes: LineQuota = attrs.field(
        factory=lambda: LineQuota(SUCCESSES_A_SECOND)
    )

    def write(self, trace: Trace, call: Call, seconds: float) -> None:
        """Write the end of a request, if there is room for it.

        :param trace: Its notes.
        :param call: What the caller asked for.
        :param seconds: Time since it arrived.
        """
        quota = self._failures if trace.is_failure else self._successes
        left_out = quota.take()
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
    """Notes on one request."""

    configuration: int
    """Version of the configuration that it was routed by."""
    age: float
    """Age of the copy of the store, in seconds."""
    _attempts: list[dict[str, Any]] = attrs.field(factory=list)
    _running: str | None = None
    _line: dict[str, Any] = attrs.field(factory=dict)
    _end: dict[str, Any] = attrs.field(factory=dict)
    is_failure: bool = True
    """Whether the caller got no answer of a target."""

    @property
    def details(self) -> dict[str, Any]:
        """All notes, as JSON values."""
        return {
            'configuration': self.configuration,
            'age': round(self.age, 3),
            'attempts': self._attempts,
            'running': self._running,
            **self._line,
            **self._end,
        }

    def on_wait(self, waiting: int, expected: float) -> None:
        """Note why there was no room.

        :param waiting: Requests that waited.
        :param expected: Expected wait in seconds.
        """
        self._line = {'waiting': waiting, 'expected': round(expected, 3)}

    def on_start(self, target: Target) -> None:
        """Note that a target is being asked.

        :param target: The target.
        """
        self._running = target.name

    def on_attempt(
        self, target: Target, attempt: Attempt, seconds: float
    ) -> None:
        """Note an attempt.

        :param target: Target that was asked.
        :param attempt: How it ended.
        :param seconds: Time that it took.
        """
        self._running = None
        self._attempts.append(
            {
                'target': target.name,
                'seconds': round(seconds, 3),
                'outcome': _words(attempt),
            }
        )

    def on_end(self, end: Rejected | Delivered | None) -> None:
        """Note what the caller was told.

        :param end: The end, or ``None`` if the caller left or was cut off.
        """
        match end:
            case Delivered(status, _):
                self.is_failure = False
                self._end = {'outcome': 'delivered', 'status': status}
            case Rejected(problem):
                self._end = {
                    'outcome': str(problem.outcome),
                    'status': int(problem.type.status),
                    'problem': problem.type.slug,
                    'retry_after': problem.retry_after,
                }
            case None:
                self._end = {'outcome': 'abandoned'}


def _words(attempt: Attempt) -> str:
    match attempt:
        case Refused(reason, _):
            return f'refused: {reason}'
        case Broken(reason):
            return f'broken: {reason}'
        case Failed(reply):
            return f'failed: status {reply.status}'
        case Delivered(status, _):
            return f'delivered: status {status}'
