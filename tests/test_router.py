"""The router: routing anew, lost links, and what a refusal may claim."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
import pytest

from dogwoodmast import router as router_module
from dogwoodmast.address import Address
from dogwoodmast.backend import Grant
from dogwoodmast.clock import SystemClock
from dogwoodmast.configuration import (
    Configuration,
    RequestKind,
    Service,
    Target,
    Zone,
)
from dogwoodmast.dispatch_messages import Moved
from dogwoodmast.errors import LinkLost, LinkUnavailable
from dogwoodmast.forwarding import ForwardAnswer, ForwardProblem, pack_result
from dogwoodmast.metrics import Metrics
from dogwoodmast.ownership import (
    Assignment,
    HomeRecord,
    ServiceTable,
    ZoneRecord,
)
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.request import Request, Response, Result
from dogwoodmast.router import MAX_HOPS, Router
from dogwoodmast.routing import Leaseholder, RoutingView

if TYPE_CHECKING:
    from collections.abc import Callable


pytestmark = pytest.mark.anyio

HERE = Leaseholder('plateau-1', Address('127.0.0.1', 1))
THERE = Leaseholder('plateau-2', Address('127.0.0.1', 2))
ELSEWHERE = Leaseholder('plateau-3', Address('127.0.0.1', 3))
TARGET = Target('balance-0', 'plateau', Address('127.0.0.1', 9), 6, 130)
SERVICE = Service(
    'balance',
    1,
    (TARGET,),
    (
        RequestKind('check', ('GET',), True, 2.0),
        RequestKind('pay', ('POST',), False, 5.0),
    ),
)
ANSWER = Response(200, (), b'own')
REFUSED = Problem(ProblemType.OVERLOADED, Outcome.NOT_RUN)


def make_view(holder: Leaseholder | None) -> RoutingView:
    """Make a view in which one entry VM fronts the only target."""
    table = ServiceTable({0: Assignment(TARGET.name, 1)})
    record = ZoneRecord('plateau', 1, 1, (), {'balance': table})
    return RoutingView(
        Configuration(1, (Zone('plateau'),), (SERVICE,)),
        {'balance': HomeRecord('balance', ('plateau',))},
        {'plateau': record},
        {} if holder is None else {TARGET.name: holder},
    )


@attrs.define(eq=False)
class ScriptedProxy:
    """Front that gives prepared results."""

    results: list[Result | Moved]
    grants: list[Grant] = attrs.field(factory=list)

    async def submit(
        self, _request: Request, _kind: RequestKind, grant: Grant
    ) -> Result | Moved:
        """Give the next result."""
        self.grants.append(grant)
        return self.results.pop(0)


@attrs.define(eq=False)
class FakeProxies:
    """Fronts whose view changes when it is waited for."""

    view: RoutingView
    proxy: ScriptedProxy
    views: list[RoutingView] = attrs.field(factory=list)

    def find(self, _target: str) -> ScriptedProxy:
        """Give the only front."""
        return self.proxy

    async def wait_for_change(
        self, _seen: RoutingView, _longest: float
    ) -> None:
        """Give the next prepared view."""
        await anyio.sleep(0.01)
        if self.views:
            self.view = self.views.pop(0)


@attrs.define(eq=False)
class ScriptedLinks:
    """Links that give prepared answers or failures."""

    replies: list[Result | Exception]
    addresses: list[Address] = attrs.field(factory=list)

    async def call(
        self, address: Address, _message: object
    ) -> ForwardAnswer | ForwardProblem:
        """Give the next answer."""
        self.addresses.append(address)
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return pack_result(reply)


@pytest.fixture
def make_router(
    monkeypatch: pytest.MonkeyPatch,
) -> Callable[[FakeProxies, ScriptedLinks], Router]:
    """Make routers that give up soon."""
    monkeypatch.setattr(router_module, 'REROUTE_TIMEOUT', 0.2)

    def make(proxies: FakeProxies, links: ScriptedLinks) -> Router:
        clock = SystemClock()
        return Router(HERE.vm, clock, links, proxies, Metrics(None, ''))  # type: ignore[arg-type]

    return make


def make_request(method: str) -> Request:
    """Make a request with two seconds left."""
    deadline = SystemClock().monotonic() + 2
    return Request('balance', 'm1', method, '/x', deadline, request_id='id')


async def test_moved_request_follows_the_new_holder(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A request that moved while it waited is run by the new holder."""
    proxies = FakeProxies(
        make_view(HERE), ScriptedProxy([Moved()]), [make_view(THERE)]
    )
    links = ScriptedLinks([ANSWER])
    result = await make_router(proxies, links).run(make_request('POST'))
    assert result == ANSWER
    assert links.addresses == [THERE.address]


@pytest.mark.parametrize(
    ('method', 'request_id', 'outcome'),
    [
        ('POST', 'id', Outcome.MAY_HAVE_RUN),
        ('POST', '', Outcome.NOT_RUN),
        ('GET', 'id', Outcome.NOT_RUN),
    ],
)
@pytest.mark.parametrize('hops', [0, MAX_HOPS])
async def test_unreached_holder_does_not_speak_for_a_resent_id(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
    method: str,
    request_id: str,
    outcome: Outcome,
    hops: int,
) -> None:
    """Unless a holder spoke, an id that runs once may have run before."""
    unsent = LinkUnavailable(str(THERE.address))
    proxies = FakeProxies(make_view(THERE), ScriptedProxy([]))
    links = ScriptedLinks([unsent for _ in range(100)])
    request = attrs.evolve(make_request(method), request_id=request_id)
    result = await make_router(proxies, links).run(request, hops)
    assert isinstance(result, Problem)
    assert result.outcome is outcome
    assert result.retry_after is not None


@pytest.mark.parametrize(
    ('service', 'method'), [('unheard-of', 'POST'), ('balance', 'PUT')]
)
async def test_outdated_configuration_does_not_speak_for_a_resent_id(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
    service: str,
    method: str,
) -> None:
    """Another entry VM may have known what this one does not."""
    proxies = FakeProxies(make_view(THERE), ScriptedProxy([]))
    router = make_router(proxies, ScriptedLinks([]))
    request = attrs.evolve(make_request(method), service=service)
    result = await router.run(request)
    assert isinstance(result, Problem)
    assert result.outcome is Outcome.MAY_HAVE_RUN


async def test_holder_speaks_for_a_resent_id(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A holder's "not run" is given, also after tries that sent nothing."""
    unsent = LinkUnavailable(str(THERE.address))
    proxies = FakeProxies(make_view(THERE), ScriptedProxy([]))
    links = ScriptedLinks([unsent, REFUSED])
    result = await make_router(proxies, links).run(make_request('POST'))
    assert result == REFUSED


async def test_refusal_after_a_lost_link_may_have_run(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A second try's "not run" does not speak for the first one."""
    lost = LinkLost(str(THERE.address))
    proxies = FakeProxies(
        make_view(THERE), ScriptedProxy([]), [make_view(ELSEWHERE)]
    )
    links = ScriptedLinks([lost, REFUSED])
    result = await make_router(proxies, links).run(make_request('POST'))
    assert isinstance(result, Problem)
    assert result.type is ProblemType.OVERLOADED
    assert result.outcome is Outcome.MAY_HAVE_RUN
    assert links.addresses == [THERE.address, ELSEWHERE.address]


async def test_answer_after_a_lost_link_is_given(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A second try's answer is the caller's whole answer."""
    lost = LinkLost(str(THERE.address))
    proxies = FakeProxies(make_view(THERE), ScriptedProxy([]))
    links = ScriptedLinks([lost, ANSWER])
    result = await make_router(proxies, links).run(make_request('POST'))
    assert result == ANSWER


async def test_moved_after_running_is_not_told_as_not_run(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """An idempotent request that moved while it ran may have run."""
    proxies = FakeProxies(
        make_view(HERE),
        ScriptedProxy([Moved(Outcome.MAY_HAVE_RUN), REFUSED]),
    )
    result = await make_router(proxies, ScriptedLinks([])).run(
        make_request('GET')
    )
    assert isinstance(result, Problem)
    assert result.outcome is Outcome.MAY_HAVE_RUN


async def test_key_without_holder_is_answered_in_time(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A key that nobody fronts is refused with a time to come back."""
    proxies = FakeProxies(make_view(None), ScriptedProxy([]))
    with anyio.fail_after(1):
        result = await make_router(proxies, ScriptedLinks([])).run(
            make_request('GET')
        )
    assert isinstance(result, Problem)
    assert result.type is ProblemType.NO_OWNER
    assert result.retry_after is not None


async def test_request_does_not_travel_in_circles(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A request that has passed its hops is not forwarded again."""
    proxies = FakeProxies(make_view(THERE), ScriptedProxy([]))
    links = ScriptedLinks([])
    router = make_router(proxies, links)
    result = await router.run(make_request('GET'), hops=MAX_HOPS)
    assert isinstance(result, Problem)
    assert not links.addresses


async def test_request_sent_here_too_early_waits_for_its_view(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A new holder with an old view runs the request, not the old holder."""
    proxies = FakeProxies(
        make_view(THERE), ScriptedProxy([ANSWER]), [make_view(HERE)]
    )
    links = ScriptedLinks([])
    for hops in (1, MAX_HOPS):
        proxies.view = make_view(THERE)
        proxies.views = [make_view(HERE)]
        proxies.proxy.results = [ANSWER]
        router = make_router(proxies, links)
        assert await router.run(make_request('GET'), hops) == ANSWER
    assert not links.addresses
