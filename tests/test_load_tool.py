"""Load tool: schedules, measured latencies, limits and its command."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import attrs
import pytest

from dogwoodmast.cli import main
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.load_tool.plan import (
    CustomerLoad,
    InvalidLoadPlan,
    KeyLoad,
    KindLoad,
    LoadPlan,
)
from dogwoodmast.load_tool.runner import LoadRun
from dogwoodmast.load_tool.schedule import make_schedule
from fleet import Fleet, free_addresses, send, wait_until

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

SERVICE_TIME = 0.02
"""Time that the stand-in back end takes per request, in seconds."""
MIXED_PLAN = LoadPlan(
    urls=('http://127.0.0.1:9',),
    rate=500,
    duration=10,
    kinds=(KindLoad('check', weight=3), KindLoad('pay', method='POST')),
    customers=(CustomerLoad('a'), CustomerLoad('b', weight=4)),
    keys=KeyLoad(count=100, zipf=1),
)
"""Plan with two request kinds, two customers and Zipf-distributed keys."""


@pytest.fixture
def backend_url(tmp_path: pathlib.Path) -> Iterator[str]:
    """Start a stand-in back end and return its URL."""
    address = free_addresses(1)[0]
    with Fleet(tmp_path) as fleet:
        options = ('--name', 'one', '--service-time', str(SERVICE_TIME))
        fleet.spawn('one', 'standin', 'backend', address, *options)
        wait_until(lambda: send(address, 'GET', '/-/load').status == 200)
        yield f'http://{address}'


def test_schedule_follows_its_plan() -> None:
    """A schedule is determined by its seed and has the planned proportions.

    Guards against runs that cannot be repeated, and against rates, request
    kinds, customers and keys that do not follow the plan.
    """
    schedule = list(make_schedule(MIXED_PLAN))
    assert schedule == list(make_schedule(MIXED_PLAN))
    assert schedule != list(make_schedule(attrs.evolve(MIXED_PLAN, seed=2)))
    assert len(schedule) == pytest.approx(5000, rel=0.05)
    kinds = Counter(planned.kind.name for planned in schedule)
    assert kinds['check'] / kinds['pay'] == pytest.approx(3, rel=0.2)
    customers = Counter(planned.customer for planned in schedule)
    assert customers['b'] / customers['a'] == pytest.approx(4, rel=0.2)
    keys = Counter(planned.key for planned in schedule)
    assert keys['key-0'] / keys['key-1'] == pytest.approx(2, rel=0.3)


def test_latency_counts_from_planned_start(backend_url: str) -> None:
    """Latency is measured from the planned start of a request.

    Guards against coordinated omission: if a slow back end delays the
    sending of later requests, the delay must count as their latency.
    """
    plan = LoadPlan(
        urls=(backend_url,),
        backends=(backend_url,),
        rate=100,
        duration=1,
        connections=1,
        kinds=(KindLoad('check', deadline=30),),
        check_answers=True,
    )
    summary = anyio.run(LoadRun(plan).run)
    answered = summary.total.answered
    assert summary.total.outcomes == {'answered': answered.count}
    assert summary.amplification == 1
    assert answered.p99 > SERVICE_TIME * 1000 * 20
    assert answered.p99 == pytest.approx(summary.lag.p99, rel=0.2)


def test_answer_to_other_request_is_wrong(backend_url: str) -> None:
    """An answer that belongs to another request counts as wrong.

    Guards against a router that mixes up answers without the load tool
    noticing.
    """
    plan = LoadPlan(
        urls=(backend_url,),
        service='wrong',
        rate=50,
        duration=0.2,
        connections=1,
        check_answers=True,
    )
    total = anyio.run(LoadRun(plan).run).total
    assert total.requests > 0
    assert total.outcomes == {'answered': 0, 'wrong-answer': total.requests}


def test_resends_stop_at_the_limit() -> None:
    """A request that cannot be sent is sent again a limited number of times.

    Guards against resends without limit, and against requests that are lost
    from the summary.
    """
    address = free_addresses(1)[0]
    plan = LoadPlan(
        urls=(f'http://{address}',), rate=50, duration=0.2, resends=2
    )
    total = anyio.run(LoadRun(plan).run).total
    assert total.requests > 0
    assert total.attempts == 3 * total.requests
    assert total.outcomes['ConnectError/failure'] == total.requests


@pytest.mark.parametrize(
    'invalid_plan',
    [
        attrs.evolve(MIXED_PLAN, urls=('http://192.0.2.1:80',)),
        attrs.evolve(MIXED_PLAN, urls=('http://example.org:80',)),
        attrs.evolve(MIXED_PLAN, backends=('http://192.0.2.1:80',)),
        attrs.evolve(MIXED_PLAN, urls=()),
        attrs.evolve(MIXED_PLAN, duration=601),
        attrs.evolve(MIXED_PLAN, rate=0),
        attrs.evolve(MIXED_PLAN, keys=KeyLoad(count=2, names=('only',))),
    ],
)
def test_plan_beyond_limits_is_refused(invalid_plan: LoadPlan) -> None:
    """A plan that violates a limit is refused.

    Guards against load on remote hosts without the flag that allows it, and
    against plans that run for too long or contradict themselves.
    """
    with pytest.raises(InvalidLoadPlan):
        anyio.run(LoadRun(invalid_plan).run)


def test_command_writes_report(
    backend_url: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The command runs a plan with overriding flags and writes a report.

    Guards against flags that are ignored, against an incomplete report, and
    against a success exit code for an invalid plan or for executions that
    could not be counted.
    """
    plan = tmp_path / 'plan.toml'
    plan.write_text(
        'duration = 9.0\n[[kinds]]\nname = "pay"\nmethod = "POST"\n'
        'body = "1"\nrequest_id = true\n'
    )
    report = tmp_path / 'report.json'
    flags = ('--rate', '50', '--duration', '0.3', '--report', str(report))
    code = main(['load', str(plan), '--url', backend_url, *flags])
    assert code == ExitCode.OK
    document = json.loads(report.read_text())
    assert document['kinds'][0]['name'] == 'pay'
    assert document['total']['outcomes']['answered'] > 0
    assert 'goodput' in capsys.readouterr().out
    wrong = main(['load', str(plan), '--url', 'http://192.0.2.1:80'])
    assert wrong == ExitCode.INVALID
    silent = f'http://{free_addresses(1)[0]}'
    uncounted = main(['load', '--url', backend_url, '--backend', silent])
    assert uncounted == ExitCode.FAILED
