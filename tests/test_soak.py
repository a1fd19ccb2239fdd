"""Soak: drawn troubles in overlapping series, and what must hold in them.

``--soak-seeds COUNT`` plays that many fresh seeds, which are printed; a seed
that failed is played again with ``--soak-seed SEED``.
"""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import hypothesis

from history import Call, CallOutcome, Run, Violation
from metadata_store import StoreFault
from soak_environment import check_drains, check_in_time, check_stops, play
from soak_plan import (
    OnStore,
    OnTarget,
    OnVm,
    Step,
    TargetTrouble,
    VmTrouble,
    plans,
)
from soak_target import KEYS, Ledger, SoakTarget

if TYPE_CHECKING:
    from collections.abc import MutableMapping, Sequence

PLANS_A_SEED = 2
"""Plans that are played for each seed."""

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
STOP = Step(0, 1, OnVm(0, VmTrouble.STOP))
KILL = Step(0, 1, OnVm(0, VmTrouble.KILL))
FREEZE = Step(0, 1, OnVm(0, VmTrouble.FREEZE))
DRAIN = Step(0, 1, OnTarget(0, TargetTrouble.DRAIN))


def test_plans_keep_every_promise(soak_seed: int) -> None:
    """Nothing is broken, and everything is served again."""

    @hypothesis.seed(soak_seed)
    @hypothesis.settings(
        max_examples=PLANS_A_SEED,
        deadline=None,
        database=None,
        derandomize=False,
        phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(plan=plans)
    def check(plan: Sequence[Step]) -> None:
        with tempfile.TemporaryDirectory() as folder:
            broken = anyio.run(play, plan, Path(folder))
        assert not broken, _first_of_each(broken)

    check()


def test_late_answer_is_found() -> None:
    """Unless its VM stood still."""
    late = [attrs.evolve(CALL, ended=10)]
    assert check_in_time([], late)
    assert not check_in_time([FREEZE], late)


def test_cut_request_is_found() -> None:
    """If it ran, and its VM was only stopped."""
    ledger = Ledger()
    assert not check_stops([STOP], [CALL], ledger)
    ledger.runs.append(Run('s', 'k', 'GET', 'r', '', 0, 0, 1))
    assert check_stops([STOP], [CALL], ledger)
    assert not check_stops([STOP, KILL], [CALL], ledger)
    replaced = [attrs.evolve(CALL, outcome=CallOutcome.MAY_HAVE_RUN)]
    assert check_stops([STOP], replaced, ledger)
    assert not check_stops([STOP, DRAIN], replaced, ledger)


def test_request_to_a_target_that_left_is_found() -> None:
    """If every VM reached store and targets."""
    ledger = Ledger(late=[Violation('drained', '')])
    assert check_drains([DRAIN], ledger)
    outage = Step(0, 1, OnStore(None, StoreFault.BUSY))
    assert not check_drains([DRAIN, outage], ledger)


def test_two_holders_are_found() -> None:
    """Only while both live."""
    ledger = Ledger()
    for name in ('a', 'b'):
        target = SoakTarget(name, True, ledger)
        target._holds[1_000] = (1, float('inf'))
        ledger.targets.append(target)
    ledger.check_holds(ledger.targets[0])
    assert ledger.violations
    ledger.violations.clear()
    ledger.targets[1].end()
    ledger.check_holds(ledger.targets[0])
    assert not ledger.violations


def test_released_key_is_not_run_from_the_queue() -> None:
    """A request that waited for a slot while its key left is refused."""
    target = SoakTarget('a', True, Ledger())
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
    assert not target.ledger.runs


def _first_of_each(broken: list[Violation]) -> dict[str, str]:
    found: dict[str, str] = {}
    for violation in broken:
        found.setdefault(violation.invariant, violation.detail)
    return found
