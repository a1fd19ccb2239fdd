"""Router: retries after moves and lost links, and reported outcomes."""

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

LOCAL_VM = Leaseholder('plateau-1', Address('127.0.0.1', 1))
PEER = Leaseholder('plateau-2', Address('127.0.0.1', 2))
OTHER_PEER = Leaseholder('plateau-3', Address('127.0.0.1', 3))
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
RESPONSE = Response(200, (), b'own')
REFUSED = Problem(ProblemType.OVERLOADED, Outcome.NOT_RUN)


def make_view(holder: Leaseholder | None) -> RoutingView:
    """Make a view in which one entry VM holds the only target's lease.

    :param holder: Entry VM with the lease, or ``None`` if there is none.
    :return: Routing view with one service.
    """
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
    """Target proxy that returns prepared results."""

    results: list[Result | Moved]
    grants: list[Grant] = attrs.field(factory=list)

    async def submit(
        self, _request: Request, _kind: RequestKind, grant: Grant
    ) -> Result | Moved:
        """Return the next prepared result."""
        self.grants.append(grant)
        return self.results.pop(0)


@attrs.define(eq=False)
class FakeProxies:
    """Set of one proxy, whose view is replaced when the router waits."""

    view: RoutingView
    proxy: ScriptedProxy
    views: list[RoutingView] = attrs.field(factory=list)

    def find(self, _target: str) -> ScriptedProxy:
        """Return the only proxy."""
        return self.proxy

    async def wait_for_change(
        self, _last_view: RoutingView, _timeout: float
    ) -> None:
        """Switch to the next prepared view, if there is one."""
        await anyio.sleep(0.01)
        if self.views:
            self.view = self.views.pop(0)


@attrs.define(eq=False)
class ScriptedLinks:
    """Links that return prepared responses or raise prepared errors."""

    replies: list[Result | Exception]
    addresses: list[Address] = attrs.field(factory=list)

    async def call(
        self, address: Address, _message: object
    ) -> ForwardAnswer | ForwardProblem:
        """Return the next prepared response or raise the next error."""
        self.addresses.append(address)
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return pack_result(reply)


@pytest.fixture
def make_router(
    monkeypatch: pytest.MonkeyPatch,
) -> Callable[[FakeProxies, ScriptedLinks], Router]:
    """Return a function that makes routers with a short reroute timeout."""
    monkeypatch.setattr(router_module, 'REROUTE_TIMEOUT', 0.2)

    def make_with(proxies: FakeProxies, links: ScriptedLinks) -> Router:
        clock = SystemClock()
        return Router(LOCAL_VM.vm, clock, links, proxies, Metrics(None, ''))  # type: ignore[arg-type]

    return make_with


def make_request(method: str) -> Request:
    """Make a request with an id and two seconds until its deadline."""
    deadline = SystemClock().monotonic() + 2
    return Request('balance', 'm1', method, '/x', deadline, request_id='id')


async def test_moved_request_is_forwarded_to_the_new_leaseholder(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A request whose key moved while it waited goes to the new leaseholder.

    Otherwise every planned move would fail the requests that are queued.
    """
    proxies = FakeProxies(
        make_view(LOCAL_VM), ScriptedProxy([Moved()]), [make_view(PEER)]
    )
    links = ScriptedLinks([RESPONSE])
    result = await make_router(proxies, links).run(make_request('POST'))
    assert result == RESPONSE
    assert links.addresses == [PEER.address]


@pytest.mark.parametrize(
    ('method', 'request_id', 'outcome'),
    [
        ('POST', 'id', Outcome.MAY_HAVE_RUN),
        ('POST', '', Outcome.NOT_RUN),
        ('GET', 'id', Outcome.NOT_RUN),
    ],
)
@pytest.mark.parametrize('hops', [0, MAX_HOPS])
async def test_outcome_when_the_leaseholder_is_unreachable(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
    method: str,
    request_id: str,
    outcome: Outcome,
    hops: int,
) -> None:
    """An unreachable leaseholder leaves open whether a payment ran before.

    Only the leaseholder's ledger knows whether a resent id ran.  Requests
    that are idempotent or without an id are reported as not run.
    """
    unavailable = LinkUnavailable(str(PEER.address))
    proxies = FakeProxies(make_view(PEER), ScriptedProxy([]))
    links = ScriptedLinks([unavailable for _ in range(100)])
    request = attrs.evolve(make_request(method), request_id=request_id)
    result = await make_router(proxies, links).run(request, hops)
    assert isinstance(result, Problem)
    assert result.outcome is outcome
    assert result.retry_after is not None


@pytest.mark.parametrize(
    ('service', 'method'), [('unheard-of', 'POST'), ('balance', 'PUT')]
)
async def test_refusal_by_configuration_may_have_run_before(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
    service: str,
    method: str,
) -> None:
    """A request that is not configured here may have run elsewhere.

    Another entry VM with a newer configuration may have run the same id.
    """
    proxies = FakeProxies(make_view(PEER), ScriptedProxy([]))
    router = make_router(proxies, ScriptedLinks([]))
    request = attrs.evolve(make_request(method), service=service)
    result = await router.run(request)
    assert isinstance(result, Problem)
    assert result.outcome is Outcome.MAY_HAVE_RUN


async def test_not_run_reported_by_the_leaseholder_is_kept(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A leaseholder's "not run" is returned unchanged after unsent attempts.

    Attempts that sent nothing cannot have run the request.
    """
    unavailable = LinkUnavailable(str(PEER.address))
    proxies = FakeProxies(make_view(PEER), ScriptedProxy([]))
    links = ScriptedLinks([unavailable, REFUSED])
    result = await make_router(proxies, links).run(make_request('POST'))
    assert result == REFUSED


async def test_refusal_after_a_lost_link_may_have_run(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A "not run" of the second attempt does not cover the first.

    The first attempt was sent on a link that was lost, and may have run.
    """
    lost_link = LinkLost(str(PEER.address))
    proxies = FakeProxies(
        make_view(PEER), ScriptedProxy([]), [make_view(OTHER_PEER)]
    )
    links = ScriptedLinks([lost_link, REFUSED])
    result = await make_router(proxies, links).run(make_request('POST'))
    assert isinstance(result, Problem)
    assert result.type is ProblemType.OVERLOADED
    assert result.outcome is Outcome.MAY_HAVE_RUN
    assert links.addresses == [PEER.address, OTHER_PEER.address]


async def test_response_after_a_lost_link_is_returned(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """The response to a second attempt is returned after a lost link.

    The second attempt is safe, since the leaseholder's ledger recognises an
    id that has already run.
    """
    lost_link = LinkLost(str(PEER.address))
    proxies = FakeProxies(make_view(PEER), ScriptedProxy([]))
    links = ScriptedLinks([lost_link, RESPONSE])
    result = await make_router(proxies, links).run(make_request('POST'))
    assert result == RESPONSE


async def test_request_moved_while_running_may_have_run(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A request that moved while it was running is reported as maybe run.

    The refusal of a later attempt does not change that.
    """
    proxies = FakeProxies(
        make_view(LOCAL_VM),
        ScriptedProxy([Moved(Outcome.MAY_HAVE_RUN), REFUSED]),
    )
    result = await make_router(proxies, ScriptedLinks([])).run(
        make_request('GET')
    )
    assert isinstance(result, Problem)
    assert result.outcome is Outcome.MAY_HAVE_RUN


async def test_key_without_leaseholder_is_refused_in_time(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A key without a leaseholder is refused in time, with Retry-After.

    Guards against a request that waits for a leaseholder until its deadline.
    """
    proxies = FakeProxies(make_view(None), ScriptedProxy([]))
    with anyio.fail_after(1):
        result = await make_router(proxies, ScriptedLinks([])).run(
            make_request('GET')
        )
    assert isinstance(result, Problem)
    assert result.type is ProblemType.NO_OWNER
    assert result.retry_after is not None


async def test_request_at_the_hop_limit_is_not_forwarded(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A request that has reached the hop limit is not forwarded again.

    Two entry VMs with different views would otherwise forward it to each
    other without end.
    """
    proxies = FakeProxies(make_view(PEER), ScriptedProxy([]))
    links = ScriptedLinks([])
    router = make_router(proxies, links)
    result = await router.run(make_request('GET'), hops=MAX_HOPS)
    assert isinstance(result, Problem)
    assert not links.addresses


async def test_forwarded_request_waits_for_a_local_route(
    make_router: Callable[[FakeProxies, ScriptedLinks], Router],
) -> None:
    """A forwarded request waits until this VM appears as the leaseholder.

    The peer may have received the new view first.  If this VM used its old
    view, it would send the request back to the previous leaseholder.
    """
    proxies = FakeProxies(
        make_view(PEER), ScriptedProxy([RESPONSE]), [make_view(LOCAL_VM)]
    )
    links = ScriptedLinks([])
    for hops in (1, MAX_HOPS):
        proxies.view = make_view(PEER)
        proxies.views = [make_view(LOCAL_VM)]
        proxies.proxy.results = [RESPONSE]
        router = make_router(proxies, links)
        assert await router.run(make_request('GET'), hops) == RESPONSE
    assert not links.addresses
