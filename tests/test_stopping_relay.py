"""Relayed requests while the VM that runs them stops."""

from __future__ import annotations

from contextlib import AsyncExitStack

import pytest

from direct_fleet import free_address
from dogwoodmast.clock import SystemClock
from dogwoodmast.direct.call import Delivered, Rejected, Response
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.direct.progress import Progress, Unreachable
from dogwoodmast.direct.reach import ReachTracker
from dogwoodmast.direct.relay_dispatcher import RelayDispatcher
from dogwoodmast.direct.relay_peers import RelayPeers
from dogwoodmast.direct.relay_protocol import problem_headers
from dogwoodmast.direct.statement_book import StatementBook
from dogwoodmast.direct.trace import Trace
from dogwoodmast.problem import Outcome, Problem, ProblemType
from rate_simulation import make_call
from raw_target import RawAnswer, RawTarget, make_response

pytestmark = pytest.mark.anyio


def refusing_vm(kind: ProblemType) -> RawTarget:
    """Make a VM that refuses all relayed requests as not run.

    :param kind: Problem that it tells.
    :return: The VM.
    """
    headers = problem_headers(Problem(kind), is_cut=False, attempt_id=b'a')
    lines = b''.join(b'%b: %b\r\n' % one for one in headers)
    return RawTarget(lambda _: RawAnswer(make_response('', b'', 503, lines)))


async def relay(*others: RawTarget, requests: int = 1) -> list[object]:
    """Relay requests through other VMs, the first of them by preference.

    :param others: The other VMs.
    :param requests: Number of requests, one after another.
    :return: Results of the requests.
    """

    async def deliver(_response: Response) -> None:
        """Take the response."""

    def spend_retry(_call: object) -> bool:
        raise AssertionError('a retry was charged to the budget')

    clock = SystemClock()
    records: list[VmRecord] = []
    results: list[object] = []
    async with AsyncExitStack() as stack:
        for number, other in enumerate(others):
            at = free_address()
            await stack.enter_async_context(other.serving(at))
            capacity = 10 ** (len(others) - number)
            records.append(
                VmRecord(f'vm{number}', 'a', '', 'i', capacity, str(at))
            )
        peers = RelayPeers('own', 'a', lambda: records, clock)
        stack.push_async_callback(peers.aclose)
        dispatcher = RelayDispatcher(
            peers, ReachTracker(), StatementBook(), clock
        )
        for _ in range(requests):
            progress = Progress(make_call(0, clock.monotonic()), Trace(1, 0))
            results.append(
                await dispatcher.run(
                    progress, Unreachable(None), deliver, spend_retry
                )
            )
    return results


@pytest.mark.parametrize('kind', [ProblemType.STOPPING, ProblemType.STARTING])
async def test_refusals_of_stopping_vms_end_a_request_that_a_third_can_run(
    kind: ProblemType,
) -> None:
    """They say nothing of the target, and cost no retry."""
    running = RawTarget(lambda _: RawAnswer(make_response('a')))
    refusing = [refusing_vm(kind) for _ in range(3)]
    assert await relay(*refusing, running) == [Delivered(200, 3)]


async def test_caller_is_not_told_when_to_return_after_all_vms_refused() -> (
    None
):
    """The request has not run, so that it is rejected for now."""
    refusing = [refusing_vm(ProblemType.STOPPING) for _ in range(2)]
    results = await relay(*refusing)
    assert isinstance(results[0], Rejected)
    problem = results[0].problem
    assert problem.outcome is Outcome.NOT_RUN
    assert problem.type.status == 503
    assert problem.retry_after
