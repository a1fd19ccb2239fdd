"""Dispatch of requests through other entry VMs.

A VM that reaches none of the targets that may run a request sends it to another
VM.  That one is reached over the network between VMs, which may work while the
one to the targets does not.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.direct.call import (
    Broken,
    Call,
    Deliver,
    Delivered,
    Refused,
    Rejected,
)
from dogwoodmast.direct.reach import ReachTracker
from dogwoodmast.direct.rejections import NO_OWNER_RETRY_DELAY, Rejections
from dogwoodmast.direct.relay_exchange import RelayExchange, RelayOutcome
from dogwoodmast.direct.relay_peers import RelayPeers
from dogwoodmast.direct.relay_protocol import (
    MAX_AVOIDED,
    RelayedRequest,
    RelayProblem,
)
from dogwoodmast.direct.statement_book import StatementBook
from dogwoodmast.direct.zones.homes import Homes
from dogwoodmast.problem import Outcome, Problem, ProblemType

if TYPE_CHECKING:
    from dogwoodmast.direct.messages import VmRecord
    from dogwoodmast.direct.progress import Progress, Unreachable

MAX_RELAY_TRIES = 8
"""Number of other VMs that one request is relayed through at most; a VM that
cannot run it says so within a round trip."""
GONE_VOTES = 2
"""Number of VMs that reach the service, but not the target in question, from
which on that target counts as gone."""

_NOT_SERVING = frozenset((ProblemType.STARTING, ProblemType.STOPPING))
_RELAYED_ELSEWHERE = _NOT_SERVING | {ProblemType.OWNER_UNREACHABLE}
"""Problems of another VM after which a request is relayed through a third."""

SpendRetry = Callable[[Call], bool]
"""Callable that spends one retry of the budget, if there is one."""


@attrs.define(eq=False)
class RelayDispatcher:
    """Runs requests through other VMs."""

    _peers: RelayPeers
    _reach: ReachTracker
    _statements: StatementBook
    _clock: Clock
    homes: Homes = attrs.field(factory=Homes)
    """Regions that requests may be sent to."""
    _rejections: Rejections = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: Rejections(self._clock), takes_self=True
        ),
    )

    async def run(
        self,
        progress: Progress,
        unreachable: Unreachable,
        deliver: Deliver,
        spend_retry: SpendRetry,
    ) -> Rejected | Delivered:
        """Run a request whose targets this VM does not reach.

        A request that another VM has relayed is not relayed again.

        :param progress: State of the request.
        :param unreachable: Targets that may run it.
        :param deliver: Forwards a response to the caller.
        :param spend_retry: Spends one retry of the budget.
        :return: ``Delivered`` if a target's response was forwarded, otherwise
            the rejection.
        """
        tried: set[str] = set()
        gone_votes = 0
        is_allowed = functools.partial(self.homes.allows, progress.call.route)
        while gone_votes < GONE_VOTES and len(tried) < MAX_RELAY_TRIES:
            peer = self._peers.choose(progress.call.service, tried, is_allowed)
            if peer is None or progress.call.relayed is not None:
                break
            tried.add(peer.name)
            outcome = await self._send(progress, peer, deliver)
            result = self._conclude(progress, outcome, spend_retry)
            if isinstance(result, Delivered) and unreachable.holder is not None:
                self._reach.on_reached_elsewhere(unreachable.holder)
            if result is not None:
                return result
            gone_votes += _is_vote(outcome)
        return self._rejections.reject(
            progress, ProblemType.OWNER_UNREACHABLE, NO_OWNER_RETRY_DELAY
        )

    def _conclude(
        self,
        progress: Progress,
        outcome: RelayOutcome,
        spend_retry: SpendRetry,
    ) -> Rejected | Delivered | None:
        """Return the result of the request, or ``None`` to try another VM."""
        match outcome:
            case Delivered():
                return outcome
            case RelayProblem(problem):
                if problem.type in _RELAYED_ELSEWHERE:
                    return None
                return self._take_over(progress, problem)
            case Refused():
                return None
            case Broken():
                if _may_repeat(progress) and spend_retry(progress.call):
                    return None
                kind = ProblemType.EXCHANGE_BROKEN
                return self._rejections.give_up(progress, kind)

    async def _send(
        self, progress: Progress, peer: VmRecord, deliver: Deliver
    ) -> RelayOutcome:
        call = progress.call
        exchange = RelayExchange(
            call,
            self._make_request(progress),
            self._peers.pool(peer),
            self._clock,
            deliver,
            self._statements,
        )
        started_at = self._clock.monotonic()
        previous = progress.last_outcome
        progress.on_attempt()
        with self._peers.counting(peer.name):
            outcome = await exchange.run()
        if exchange.is_peer_stopping:
            self._peers.on_stopping(peer)
        progress.last_outcome = previous
        seconds = self._clock.monotonic() - started_at
        progress.trace.on_relay(peer.name, outcome, seconds)
        if isinstance(outcome, Broken):
            progress.on_possible_run()
        if _is_useless(outcome):
            self._peers.avoid(peer.name, call.service)
        elif isinstance(outcome, Delivered):
            self._peers.on_delivered(peer.name, call.service)
        return outcome

    def _make_request(self, progress: Progress) -> RelayedRequest:
        call = progress.call
        attempts_left = max(call.max_attempts - progress.reached_attempts, 1)
        avoid = self._statements.unwilling(self._clock.monotonic())
        return RelayedRequest(
            self._peers.vm,
            call.service,
            attempts_left,
            frozenset(avoid[-MAX_AVOIDED:]),
        )

    def _take_over(self, progress: Progress, problem: Problem) -> Rejected:
        """End a request with the problem that another VM ended it with."""
        if problem.outcome is not Outcome.NOT_RUN or progress.may_have_run:
            progress.may_have_run = True
            return self._rejections.give_up(progress, problem.type)
        if problem.type.status != HTTPStatus.SERVICE_UNAVAILABLE:
            # The other VM has another configuration.
            return self._rejections.reject(
                progress,
                ProblemType.CONFIGURATION_OUTDATED,
                NO_OWNER_RETRY_DELAY,
            )
        return Rejected(problem)


def _may_repeat(progress: Progress) -> bool:
    return (
        progress.call.route.retryable
        and progress.reached_attempts < progress.call.max_attempts
    )


def _is_vote(outcome: RelayOutcome) -> bool:
    """Tell whether another VM says that the target is gone.

    One that starts or stops has not looked for it.
    """
    match outcome:
        case RelayProblem(problem, is_cut):
            return not is_cut and problem.type not in _NOT_SERVING
        case _:
            return False


def _is_useless(outcome: RelayOutcome) -> bool:
    """Tell whether requests should not be relayed through a VM for a while."""
    match outcome:
        case RelayProblem(problem, is_cut):
            return is_cut or problem.type in _NOT_SERVING
        case Delivered():
            return False
        case _:
            return True
