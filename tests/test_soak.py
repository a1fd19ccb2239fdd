"""Soak: random overlapping faults, and the invariants that must hold.

``--soak-seeds COUNT`` runs that many new seeds, which are printed;
``--soak-seed SEED`` repeats a seed that failed.
"""

from __future__ import annotations

import random
import signal
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import hypothesis
import pytest

from answer_fault import REPEATING, AnswerFault, AnswerFilter
from cut_path import Cut
from dogwoodmast.problem import PROBLEM_MEDIA_TYPE
from fleet import Reply
from history import Call, CallOutcome, Run, Violation
from metadata_store import StoreFault
from soak_checks import (
    check_answers,
    check_configuration_times,
    check_cut_vms,
    check_drains,
    check_graceful_stops,
    check_limits,
    check_promises,
    check_response_times,
    check_warmups,
)
from soak_entries import OddEntry
from soak_environment import is_clean_stop, run_plan
from soak_plan import (
    AnswerInjection,
    ConfigurationChange,
    CutInjection,
    Injection,
    LeaseInjection,
    OddEntryInjection,
    RestoreInjection,
    ScheduledFault,
    SoakTargetFault,
    StoreInjection,
    TargetInjection,
    VmFault,
    VmInjection,
    plans,
)
from soak_target import KEYS, WORK_TIME, Observations, SoakTarget

if TYPE_CHECKING:
    from collections.abc import MutableMapping, Sequence

PLANS_PER_SEED = 2
"""Number of plans that are run for each seed."""

CALL = Call(
    entry='vm0',
    key='',
    method='GET',
    request_id='r',
    echo='r',
    began=0,
    ended=1,
    outcome=CallOutcome.LOST,
)
"""Call without a response; tests change single fields of it."""
STOP = ScheduledFault(0, 1, VmInjection(0, VmFault.STOP))
"""Graceful stop of the VM that ``CALL`` was sent to."""
KILL = ScheduledFault(0, 1, VmInjection(0, VmFault.KILL))
"""Kill of the VM that ``CALL`` was sent to."""
FREEZE = ScheduledFault(0, 1, VmInjection(0, VmFault.FREEZE))
"""Suspension of the VM that ``CALL`` was sent to."""
DRAIN = ScheduledFault(0, 1, TargetInjection(0, SoakTargetFault.DRAIN))
"""Draining of a target."""


def _at(start: float, duration: float, injection: Injection) -> ScheduledFault:
    return ScheduledFault(start, duration, injection)


def test_plans_keep_every_promise(soak_seed: int) -> None:
    """Faults of VMs, targets, paths and the store break no invariant.

    Guards against failures that only overlapping faults cause: keys with two
    holders, requests that run twice or are cut off, late responses, reverted
    configurations, VMs that exit and VMs that do not recover.
    """

    @hypothesis.seed(soak_seed)
    @hypothesis.settings(
        max_examples=PLANS_PER_SEED,
        deadline=None,
        database=None,
        derandomize=False,
        phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(plan=plans)
    def check(plan: Sequence[ScheduledFault]) -> None:
        with tempfile.TemporaryDirectory() as folder:
            broken = anyio.run(run_plan, plan, Path(folder))
        assert not broken, _first_violations(broken)

    check()


@pytest.mark.parametrize(
    'plan',
    [
        pytest.param(
            [
                _at(0.3, 4, AnswerInjection(None, AnswerFault.REPEAT_NAMELESS)),
                _at(0.5, 1, TargetInjection(0, SoakTargetFault.RESTART)),
                _at(1, 0.5, TargetInjection(1, SoakTargetFault.DRAIN)),
            ],
            id='repeated answers',
        ),
        pytest.param(
            [
                _at(0.1, 3, OddEntryInjection(OddEntry.HUGE_BORN)),
                _at(0.3, 3, AnswerInjection(None, AnswerFault.CLOSE_HEAD)),
            ],
            id='odd entry and stopped heads',
        ),
        pytest.param(
            [
                _at(0.1, 3, LeaseInjection()),
                _at(0.5, 2, TargetInjection(0, SoakTargetFault.RESTART_LAPSED)),
                _at(0.5, 3, TargetInjection(1, SoakTargetFault.REPLACE)),
                _at(1, 0.1, ConfigurationChange()),
            ],
            id='revoked lease and restarts',
        ),
        pytest.param(
            [
                _at(2.5, 0.1, ConfigurationChange()),
                _at(3, 1, RestoreInjection(2)),
                _at(3.2, 0.1, ConfigurationChange()),
                _at(4.5, 0.1, ConfigurationChange()),
                _at(4.5, 1, TargetInjection(5, SoakTargetFault.DRAIN)),
            ],
            id='restored store and changes',
        ),
        pytest.param(
            [
                _at(1, 1, TargetInjection(1, SoakTargetFault.RESTART)),
                _at(1.5, 1, VmInjection(0, VmFault.STOP)),
                _at(2.5, 1, TargetInjection(0, SoakTargetFault.DRAIN)),
                _at(3, 1, RestoreInjection(3)),
                _at(5, 0.5, RestoreInjection(1)),
            ],
            id='store restored twice while keys move',
        ),
    ],
)
def test_answers_entries_and_leases_break_a_promise(
    plan: Sequence[ScheduledFault], tmp_path: Path
) -> None:
    """Odd answers and entries, restarts, lost leases and restored stores."""
    broken = anyio.run(run_plan, plan, tmp_path)
    assert not broken, _first_violations(broken)


def test_late_response_is_detected() -> None:
    """The soak's check finds late responses.

    Without it a request held past its deadline would go unnoticed.  Late
    responses of a suspended VM are allowed.
    """
    late_calls = [attrs.evolve(CALL, ended=10)]
    assert check_response_times([], late_calls)
    assert not check_response_times([FREEZE], late_calls)


def test_cut_off_request_is_detected() -> None:
    """The soak's check finds requests that a graceful stop cut off.

    A lost response counts only if the request ran and its VM was not killed. An
    error in place of the response counts only if no target failed.
    """
    observations = Observations()
    assert not check_graceful_stops([STOP], [CALL], observations)
    observations.runs.append(Run('s', 'k', 'GET', 'r', '', 0, 0, 1))
    assert check_graceful_stops([STOP], [CALL], observations)
    assert not check_graceful_stops([STOP, KILL], [CALL], observations)
    replaced = [attrs.evolve(CALL, outcome=CallOutcome.MAY_HAVE_RUN)]
    assert check_graceful_stops([STOP], replaced, observations)
    assert not check_graceful_stops([STOP, DRAIN], replaced, observations)


@pytest.mark.parametrize(
    ('status', 'events', 'is_clean'),
    [
        (0, 'VM_STARTED VM_STOPPING VM_STOPPED', True),
        (-signal.SIGTERM, '', True),
        (-signal.SIGTERM, 'VM_STARTED', False),
        (-signal.SIGTERM, 'VM_STARTED VM_STOPPING VM_STOPPED', False),
        (-signal.SIGHUP, '', False),
        (1, '', False),
    ],
)
def test_stop_by_a_signal_after_the_start_is_detected(
    status: int, events: str, is_clean: bool
) -> None:
    """The soak's check finds processes that SIGTERM ended after their start.

    SIGTERM may end a process while its interpreter loads, since nothing is lost
    then.  No other status may be passed over with it.
    """
    assert is_clean_stop(status, events.encode()) == is_clean


def test_request_after_draining_is_detected() -> None:
    """The soak's check finds requests to targets that have drained.

    They count only if no fault kept a VM from learning of the draining.
    """
    observations = Observations(
        late_requests=[Violation('no requests after draining', '')]
    )
    assert check_drains([DRAIN], observations)
    outage = ScheduledFault(0, 1, StoreInjection(None, StoreFault.BUSY))
    assert not check_drains([DRAIN, outage], observations)


def test_limit_that_is_exceeded_is_detected() -> None:
    """The soak's check finds windows with too many requests."""
    target = SoakTarget('a', False, Observations())
    target.arrivals = [number / 20 for number in range(200)]
    assert check_limits([], [(target, 0, 10)])
    assert not check_limits([KILL], [(target, 0, 10)])
    target.arrivals = [number / 5 for number in range(50)]
    assert not check_limits([], [(target, 0, 10)])


def test_request_rate_over_a_warm_up_is_detected() -> None:
    """The soak's check finds seconds with too many requests."""
    target = SoakTarget('a', False, Observations())
    target.counted = [number / 15 for number in range(150)]
    assert check_warmups([KILL], [(target, 0, 10)])
    assert not check_warmups([FREEZE], [(target, 0, 10)])
    target.counted = [number / 13 for number in range(130)]
    assert not check_warmups([], [(target, 0, 10)])


def test_cut_vm_that_serves_nobody_is_detected() -> None:
    """The soak's check finds callers that only cut VMs do not serve."""
    served = attrs.evolve(
        CALL, entry='vm1', outcome=CallOutcome.ANSWERED, began=4
    )
    calls = [served, *(attrs.evolve(CALL, began=4) for _ in range(20))]
    cut = ScheduledFault(0, 5, CutInjection(0, Cut.RESET))
    assert check_cut_vms([cut], 0, calls)
    assert not check_cut_vms([cut, FREEZE], 0, calls)
    assert not check_cut_vms([cut], 0, [served for _ in range(20)])


@pytest.mark.parametrize(
    ('reply', 'is_own'),
    [
        (Reply(200, {'response-seal': 's'}, b'{"echo": "r"}'), True),
        (Reply(200, {}, b'{"echo": "r"}'), False),
        (Reply(200, {'response-seal': 's'}, b'{"echo": "q"}'), False),
        (Reply(200, {'response-seal': 's'}, b''), False),
        (Reply(503, {'response-seal': 's'}, b'{"echo": "r"}'), False),
        (Reply(200, {'content-type': PROBLEM_MEDIA_TYPE}, b'{}'), False),
    ],
)
def test_answer_that_is_not_the_targets_own_is_detected(
    reply: Reply, *, is_own: bool
) -> None:
    """The soak's check finds 2xx responses without seal or whole body."""
    call = attrs.evolve(CALL, reply=reply, outcome=CallOutcome.ANSWERED)
    assert bool(check_answers([call])) is not is_own


def test_broken_promise_is_detected() -> None:
    """The soak's check finds refusals of non-idempotent requests that ran."""
    refused = attrs.evolve(CALL, method='POST', reply=Reply(429, {}, b''))
    ran = [Run('s', 'k', 'POST', 'r', '', 0, 0, 1)]
    assert check_promises([refused], ran)
    assert not check_promises([refused], [])
    assert not check_promises(
        [attrs.evolve(refused, reply=Reply(502, {}, b''))], ran
    )


def test_configuration_that_is_late_is_detected() -> None:
    """The soak's check finds routes that are unknown after the bound."""
    unknown = attrs.evolve(CALL, began=6, ended=7, reply=Reply(404, {}, b''))
    calls = [(2, unknown)]
    assert check_configuration_times([], 0, {2: 3.9}, calls)
    assert not check_configuration_times([], 0, {2: 4.1}, calls)
    assert not check_configuration_times([], 0, {2: 3.9, 3: 6.5}, calls)
    assert not check_configuration_times([KILL], 0, {2: 3.9}, calls)
    outage = ScheduledFault(3, 1, StoreInjection(None, StoreFault.BUSY))
    assert not check_configuration_times([outage], 0, {2: 3.9}, calls)
    assert check_configuration_times([outage], -2, {2: 3.9}, calls)


def test_answer_faults_reach_the_router() -> None:
    """The stand-in repeats whole earlier responses, and stops in heads."""
    answers = AnswerFilter(random.Random(1))
    repeated = set()
    for number in range(50):
        repeated.add(answers.on_request(AnswerFault.REPEAT))
        answers.on_response(AnswerFault.REPEAT, b'HTTP/1.1 200 OK\r\n')
        answers.on_response(AnswerFault.REPEAT, b'%d' % number)
    assert len(repeated) > 5
    assert all(one.startswith(b'HTTP/1.1') for one in repeated if one)
    head = b'HTTP/1.1 200 OK\r\na: b\r\nc: d\r\n\r\n'
    for fault in set(AnswerFault) - {AnswerFault.NONE, *REPEATING}:
        parts = [
            AnswerFilter(random.Random(seed)).on_response(fault, head)
            for seed in range(50)
        ]
        assert {len(one.content) < len(head) - 6 for one in parts} == {
            True,
            False,
        }
        has_end = fault is not AnswerFault.HANG_IN_HEAD
        assert any(one.is_end for one in parts) is has_end


def test_early_end_of_a_release_is_detected() -> None:
    """The soak's check finds keys that are granted during released work."""
    observations = Observations()
    for name in ('a', 'b'):
        observations.targets.append(SoakTarget(name, True, observations))
    working, granted = observations.targets
    granted._holds[1_000] = (2, float('inf'))
    working._released[1_000] = float('inf')
    observations.check_exclusive_holds(granted)
    assert not observations.violations
    working._busy[1_000] += 1
    observations.check_exclusive_holds(granted)
    assert observations.violations


def test_fence_that_goes_back_is_detected() -> None:
    """The soak's check finds grants below another target's fence."""
    observations = Observations()
    observations.check_fences('a', [1], 5)
    observations.check_fences('a', [1], 5)
    observations.check_fences('b', [1], 6)
    assert not observations.violations
    observations.check_fences('a', [1], 6)
    assert observations.violations


def test_key_with_two_holders_is_detected() -> None:
    """The soak's check finds keys that two running targets hold.

    A hold ends with its process, so that of a stopped target does not count.
    """
    observations = Observations()
    for name in ('a', 'b'):
        target = SoakTarget(name, True, observations)
        target._holds[1_000] = (1, float('inf'))
        observations.targets.append(target)
    observations.check_exclusive_holds(observations.targets[0])
    assert observations.violations
    observations.violations.clear()
    observations.targets[1].stop()
    observations.check_exclusive_holds(observations.targets[0])
    assert not observations.violations


def test_queued_request_is_refused_after_its_key_is_released() -> None:
    """The stand-in refuses a queued request whose key was released.

    Guards against a fault of the stand-in itself: the key was released while
    the request waited for a slot, the request still ran, and the soak saw it as
    a run with fence 0.
    """
    target = SoakTarget('a', True, Observations())
    key = KEYS[0]
    target._holds[key] = (1, float('inf'))
    headers = {'request-attempt-id': 'r', 'shard-key': str(key)}
    sent: list[MutableMapping[str, Any]] = []

    async def send(message: MutableMapping[str, Any]) -> None:
        sent.append(message)

    async def release_while_queued() -> None:
        async with anyio.create_task_group() as tasks, target._limit:
            target._limit.total_tokens = 1
            tasks.start_soon(target._run, 'GET', headers, key, send)
            await anyio.wait_all_tasks_blocked()
            target._holds.clear()

    anyio.run(release_while_queued)
    assert sent[0]['status'] == 421
    assert not target.observations.runs


def test_running_request_is_answered_though_its_key_is_released() -> None:
    """The stand-in finishes what runs before it answers a release.

    Guards against a fault of the stand-in itself: it answered such a request
    with 500, which the soak saw as a request that a VM had cut off.
    """
    target = SoakTarget('a', True, Observations())
    key = KEYS[0]
    target._holds[key] = (1, float('inf'))
    headers = {'request-attempt-id': 'r', 'shard-key': str(key)}
    sent: list[MutableMapping[str, Any]] = []

    async def send(message: MutableMapping[str, Any]) -> None:
        sent.append(message)

    async def release_while_running() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(target._run, 'GET', headers, key, send)
            await anyio.sleep(WORK_TIME / 2)
            await target._release({'from': key, 'target': key}, send)

    anyio.run(release_while_running)
    assert [one['status'] for one in sent if 'status' in one] == [200, 200]


def _first_violations(broken: list[Violation]) -> dict[str, str]:
    """Return the detail of the first violation of each invariant.

    :param broken: All violations.
    :return: Details by the name of the invariant.
    """
    found: dict[str, str] = {}
    for violation in broken:
        found.setdefault(violation.invariant, violation.detail)
    return found
