"""The load tool: schedules, measured latencies and limits."""

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
MIX = LoadPlan(
    urls=('http://127.0.0.1:9',),
    rate=500,
    duration=10,
    kinds=(KindLoad('check', weight=3), KindLoad('pay', method='POST')),
    customers=(CustomerLoad('a'), CustomerLoad('b', weight=4)),
    keys=KeyLoad(count=100, zipf=1),
)


@pytest.fixture
def backend_url(tmp_path: pathlib.Path) -> Iterator[str]:
    """Start one stand-in back end."""
    address = free_addresses(1)[0]
    with Fleet(tmp_path) as fleet:
        options = ('--name', 'one', '--service-time', str(SERVICE_TIME))
        fleet.spawn('one', 'standin', 'backend', address, *options)
        wait_until(lambda: send(address, 'GET', '/-/load').status == 200)
        yield f'http://{address}'


def test_schedule_follows_its_plan() -> None:
    """Draws repeat with their seed and have the planned shares."""
    schedule = list(make_schedule(MIX))
    assert schedule == list(make_schedule(MIX))
    assert schedule != list(make_schedule(attrs.evolve(MIX, seed=2)))
    assert len(schedule) == pytest.approx(5000, rel=0.05)
    kinds = Counter(planned.kind.name for planned in schedule)
    assert kinds['check'] / kinds['pay'] == pytest.approx(3, rel=0.2)
    customers = Counter(planned.customer for planned in schedule)
    assert customers['b'] / customers['a'] == pytest.approx(4, rel=0.2)
    keys = Counter(planned.key for planned in schedule)
    assert keys['key-0'] / keys['key-1'] == pytest.approx(2, rel=0.3)


def test_latency_counts_from_intended_start(backend_url: str) -> None:
    """Waiting behind slow requests counts as their callers' latency."""
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


def test_foreign_answer_is_seen(backend_url: str) -> None:
    """An answer about another key counts as wrong, not as answered."""
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
    """A request that cannot be sent is tried again a limited time."""
    address = free_addresses(1)[0]
    plan = LoadPlan(
        urls=(f'http://{address}',), rate=50, duration=0.2, resends=2
    )
    total = anyio.run(LoadRun(plan).run).total
    assert total.requests > 0
    assert total.attempts == 3 * total.requests
    assert total.outcomes['ConnectError/failure'] == total.requests


@pytest.mark.parametrize(
    'broken',
    [
        attrs.evolve(MIX, urls=('http://192.0.2.1:80',)),
        attrs.evolve(MIX, urls=('http://example.org:80',)),
        attrs.evolve(MIX, backends=('http://192.0.2.1:80',)),
        attrs.evolve(MIX, urls=()),
        attrs.evolve(MIX, duration=601),
        attrs.evolve(MIX, rate=0),
        attrs.evolve(MIX, keys=KeyLoad(count=2, names=('only',))),
    ],
)
def test_limits_hold(broken: LoadPlan) -> None:
    """A plan beyond the limits is refused before anything is sent."""
    with pytest.raises(InvalidLoadPlan):
        anyio.run(LoadRun(broken).run)


def test_command_writes_report(
    backend_url: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The command reads a plan, lets flags override it and reports."""
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
