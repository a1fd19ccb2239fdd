"""Summary of a load run and its tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from tabulate import tabulate

from dogwoodmast.load_tool.recorder import ANSWERED

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

    from dogwoodmast.load_tool.plan import LoadPlan
    from dogwoodmast.load_tool.recorder import Recorder, Tally

US_PER_MS = 1000
# Percentile ranks of the reported latencies.
MEDIAN = 50
P90 = 90
P99 = 99
P999 = 99.9


@attrs.frozen
class Latency:
    """Distribution of latencies since the scheduled starts."""

    count: int
    """Number of requests."""
    mean: float
    """Mean, in milliseconds."""
    p50: float
    """Median, in milliseconds."""
    p90: float
    """90th percentile, in milliseconds."""
    p99: float
    """99th percentile, in milliseconds."""
    p999: float
    """99.9th percentile, in milliseconds."""
    most: float
    """Maximum, in milliseconds."""


@attrs.frozen
class GroupSummary:
    """Summary of all requests, of one kind or of one customer."""

    name: str
    """Name of the kind or customer, or ``all``."""
    requests: int
    """Number of completed requests."""
    attempts: int
    """Number of times that the requests were sent, resends included."""
    in_time: int
    """Number of requests answered within their deadline."""
    late: int
    """Number of requests that ended after their deadline, with any
    outcome."""
    answered: Latency
    """Latencies of the requests with the outcome ``answered``."""
    not_answered: Latency
    """Latencies of the requests with any other outcome."""
    outcomes: dict[str, int]
    """Number of requests per outcome."""


@attrs.frozen
class LoadSummary:
    """Summary of a load run."""

    offered_rate: float
    """Completed requests per second of the planned duration."""
    duration: float
    """Time from the start of the run to its end, in seconds."""
    goodput: float
    """Requests answered in time per second of the planned duration."""
    answered_rate: float
    """Answered requests per second, until the end of the run or of the
    planned duration, whichever is later."""
    total: GroupSummary
    """Summary of all requests."""
    kinds: tuple[GroupSummary, ...]
    """Summary per kind."""
    customers: tuple[GroupSummary, ...]
    """Summary per customer."""
    lag: Latency
    """Delays of the load tool itself: times from the scheduled start to the
    first attempt."""
    executions: int | None = None
    """Number of executions reported by the back ends; ``None`` if the plan
    lists no back ends."""
    amplification: float | None = None
    """Executions per request; ``None`` if unknown."""


def summarize(
    plan: LoadPlan, recorder: Recorder, duration: float, executions: int | None
) -> LoadSummary:
    """Summarize a load run.

    :param plan: Load plan of the run.
    :param recorder: Tallies of the completed requests.
    :param duration: Time from the start of the run to its end, in seconds.
    :param executions: Number of executions reported by the back ends, or
        ``None`` if the plan lists no back ends.
    :return: Summary of the run.
    """
    total = _summarize_group('all', recorder.total())
    amplification = None
    if executions is not None and total.requests:
        amplification = executions / total.requests
    return LoadSummary(
        offered_rate=total.requests / plan.duration,
        duration=duration,
        goodput=total.in_time / plan.duration,
        answered_rate=total.answered.count / max(duration, plan.duration),
        total=total,
        kinds=tuple(
            _summarize_group(kind.name, recorder.total(kind=kind.name))
            for kind in plan.kinds
        ),
        customers=tuple(
            _summarize_group(
                customer.name, recorder.total(customer=customer.name)
            )
            for customer in plan.customers
        ),
        lag=_summarize_latencies(recorder.lags),
        executions=executions,
        amplification=amplification,
    )


def format_tables(summary: LoadSummary) -> str:
    """Format a summary as plain-text tables.

    :param summary: Summary of a load run.
    :return: Tables of the groups and outcomes, and a line of totals.
    """
    groups = (summary.total, *summary.kinds, *summary.customers)
    rows = [_make_row(group) for group in groups]
    outcomes = sorted(summary.total.outcomes.items())
    totals = (
        f'offered {summary.offered_rate:.1f}/s, '
        f'goodput {summary.goodput:.1f}/s, '
        f'answered {summary.answered_rate:.1f}/s, '
        f'own delay p99 {summary.lag.p99:.2f} ms'
    )
    if summary.amplification is not None:
        totals = f'{totals}, amplification {summary.amplification:.3f}'
    return '\n\n'.join(
        (
            tabulate(rows, headers='keys', floatfmt='.2f'),
            tabulate(outcomes, headers=('outcome', 'requests')),
            totals,
        )
    )


def _make_row(group: GroupSummary) -> dict[str, str | float]:
    answered = group.answered
    return {
        'group': group.name,
        'requests': group.requests,
        'attempts': group.attempts,
        'in time': group.in_time,
        'late': group.late,
        'p50 ms': answered.p50,
        'p90 ms': answered.p90,
        'p99 ms': answered.p99,
        'max ms': answered.most,
        'others p99 ms': group.not_answered.p99,
    }


def _summarize_group(name: str, tally: Tally) -> GroupSummary:
    return GroupSummary(
        name=name,
        requests=tally.outcomes.total(),
        attempts=tally.attempts,
        in_time=tally.in_time,
        late=tally.late,
        answered=_summarize_latencies(tally.latencies),
        not_answered=_summarize_latencies(tally.failures),
        outcomes={ANSWERED: 0, **tally.outcomes},
    )


def _summarize_latencies(histogram: HdrHistogram) -> Latency:
    return Latency(
        count=histogram.get_total_count(),
        mean=histogram.get_mean_value() / US_PER_MS,
        p50=histogram.get_value_at_percentile(MEDIAN) / US_PER_MS,
        p90=histogram.get_value_at_percentile(P90) / US_PER_MS,
        p99=histogram.get_value_at_percentile(P99) / US_PER_MS,
        p999=histogram.get_value_at_percentile(P999) / US_PER_MS,
        most=histogram.get_max_value() / US_PER_MS,
    )
