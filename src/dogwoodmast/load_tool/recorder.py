"""Histograms and counters of the requests of a load run."""

from __future__ import annotations

from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram

from dogwoodmast.load_tool.schedule import PlannedRequest

ANSWERED = 'answered'
"""Outcome of a request that received a complete response of status 2xx."""
WRONG_ANSWER = 'wrong-answer'
"""Outcome of a request whose response does not echo its number and key."""
MAX_LATENCY_US = 1_000_000_000
"""Highest latency that the histograms distinguish, in microseconds; higher
ones are recorded as this one."""
SIGNIFICANT_DIGITS = 3
"""Decimal digits to which the histograms are accurate."""
US_PER_SECOND = 1_000_000


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@attrs.frozen
class CompletedRequest:
    """Outcome and times of one request."""

    planned: PlannedRequest
    """Request from the schedule."""
    outcome: str
    """``answered``, ``wrong-answer``, a problem type and its outcome (such as
    ``overloaded/not_run``), ``status-`` with the HTTP status of a response
    that is no problem document, or the class of a transport error followed
    by ``/failure``."""
    latency: float
    """Time from the scheduled start to the end of the last attempt, in
    seconds."""
    lag: float
    """Delay of the load tool itself: time from the scheduled start to the
    first attempt, in seconds."""
    attempts: int
    """Number of times that the request was sent."""


@attrs.define
class Tally:
    """Histograms and counters of one group of requests."""

    latencies: HdrHistogram = attrs.field(factory=_new_histogram)
    """Latencies of answered requests, in microseconds."""
    failures: HdrHistogram = attrs.field(factory=_new_histogram)
    """Latencies of requests that were not answered, in microseconds."""
    outcomes: Counter[str] = attrs.field(factory=Counter)
    """Number of requests per outcome."""
    in_time: int = 0
    """Number of requests answered within their deadline."""
    late: int = 0
    """Number of requests that ended after their deadline, with any outcome."""
    attempts: int = 0
    """Number of times that requests were sent, resends included."""

    def add(self, other: Tally) -> None:
        """Add the histograms and counters of another group.

        :param other: Tally of the other group.
        """
        self.latencies.add(other.latencies)
        self.failures.add(other.failures)
        self.outcomes.update(other.outcomes)
        self.in_time += other.in_time
        self.late += other.late
        self.attempts += other.attempts

    def record(self, completed: CompletedRequest) -> None:
        """Record a completed request.

        :param completed: Outcome and times of the request.
        """
        answered = completed.outcome == ANSWERED
        in_time = completed.latency <= completed.planned.kind.deadline
        self.outcomes[completed.outcome] += 1
        self.attempts += completed.attempts
        self.in_time += answered and in_time
        self.late += not in_time
        histogram = self.latencies if answered else self.failures
        histogram.record_value(_to_microseconds(completed.latency))


@attrs.frozen
class Group:
    """Key of a group of requests: one kind and one customer."""

    kind: str
    """Name of the kind of request."""
    customer: str
    """Name of the customer."""


@attrs.define
class Recorder:
    """Tallies of a run by kind and customer."""

    tallies: dict[Group, Tally] = attrs.field(factory=dict)
    """Tally of each group that has completed requests."""
    lags: HdrHistogram = attrs.field(factory=_new_histogram)
    """Times from the scheduled start to the first attempt, in microseconds."""

    def record(self, completed: CompletedRequest) -> None:
        """Record a completed request.

        :param completed: Outcome and times of the request.
        """
        planned = completed.planned
        group = Group(planned.kind.name, planned.customer)
        tally = self.tallies.get(group)
        if tally is None:
            tally = Tally()
            self.tallies[group] = tally
        tally.record(completed)
        self.lags.record_value(_to_microseconds(completed.lag))

    def total(self, kind: str = '', customer: str = '') -> Tally:
        """Combine the tallies of a kind, of a customer, or of all requests.

        :param kind: Name of the kind; empty for every kind.
        :param customer: Name of the customer; empty for every customer.
        :return: Sum of the tallies.
        """
        combined = Tally()
        for group, tally in self.tallies.items():
            if kind in {'', group.kind} and customer in {'', group.customer}:
                combined.add(tally)
        return combined


def _to_microseconds(seconds: float) -> int:
    return min(max(round(seconds * US_PER_SECOND), 1), MAX_LATENCY_US)
