"""Changes by operators: conflicts, lost answers and audit entries."""

from __future__ import annotations

import itertools
from contextlib import suppress
from typing import TYPE_CHECKING, cast

import anyio
import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodmast.address import Address
from dogwoodmast.audit import AuditTrail, new_entry
from dogwoodmast.change_writer import ChangeWriter, PendingChange
from dogwoodmast.configuration import (
    Configuration,
    RequestKind,
    Service,
    Target,
    Zone,
)
from dogwoodmast.configuration_store import (
    KEPT_VERSIONS,
    ConfigurationStore,
    ConfigurationTooLarge,
)
from dogwoodmast.errors import (
    ChangeSuperseded,
    ChangeUncertain,
    ConfigurationConflict,
    DogwoodmastError,
    FixedAnswerChanged,
    PlatformUnavailable,
)
from dogwoodmast.key_value import Put
from dogwoodmast.operator_changes import OrderStore
from dogwoodmast.operator_order import ORDER_PREFIX
from memory_platform import MemoryPlatform, SwapFault

if TYPE_CHECKING:
    from dogwoodmast.key_value import Platform

TARGET = Target('a1', 'north', Address('10.1.1.1', 80), 6, 130)
CONFIGURATION = Configuration(
    0,
    (Zone('north'), Zone('south')),
    (
        Service(
            name='accounts',
            partitions=64,
            targets=(TARGET,),
            kinds=(RequestKind('read', ('GET',), True, 2.0),),
        ),
    ),
)
FAULTS = st.lists(st.sampled_from(SwapFault), max_size=14)
"""Faults of consecutive swaps; later swaps succeed."""
OPERATORS = ('awa', 'fatou', 'moussa')
"""Names of the operators that make changes at the same time."""


@attrs.frozen
class ReportedOutcome:
    """Outcome of a change as reported to its operator."""

    who: str
    """Name of the operator."""
    base: int
    """Version that the change was based on."""
    error: DogwoodmastError | None = None
    """Reported error, or ``None`` if the change was reported as made."""


def make_store(memory: MemoryPlatform) -> ConfigurationStore:
    """Make a configuration store on an in-memory platform."""
    return ConfigurationStore(cast('Platform', memory), retry_delay=0)


async def try_change(
    memory: MemoryPlatform, who: str, base: int
) -> ReportedOutcome:
    """Try to accept a new version and return the reported outcome."""
    try:
        await make_store(memory).accept(CONFIGURATION, base, who)
    except DogwoodmastError as error:
        return ReportedOutcome(who, base, error)
    return ReportedOutcome(who, base)


async def make_concurrent_changes(
    memory: MemoryPlatform, base: int
) -> list[ReportedOutcome]:
    """Apply changes of all operators to the same base concurrently."""
    outcomes: list[ReportedOutcome] = []

    async def apply(who: str) -> None:
        outcomes.append(await try_change(memory, who, base))

    async with anyio.create_task_group() as tasks:
        for who in OPERATORS:
            tasks.start_soon(apply, who)
    return outcomes


@given(faults=FAULTS)
def test_concurrent_changes_have_one_winner(faults: list[SwapFault]) -> None:
    """Of concurrent changes to one version, at most one takes effect.

    Guards against an operator who is told that a change was made, or was
    not made, while the audit trail shows the opposite.  This can happen when
    answers of the platform are lost and the change is written again.
    """

    async def run() -> None:
        memory = MemoryPlatform(faults)
        trail = AuditTrail(cast('Platform', memory))
        for round_number in range(2):
            current = await make_store(memory).current()
            base = 0 if current is None else current.version
            outcomes = await make_concurrent_changes(memory, base)
            entries = await trail.entries()
            check_outcomes(outcomes, [entry.who for entry in entries])
            versions = [entry.after.split()[1] for entry in entries]
            assert versions == [str(one + 1) for one in range(len(entries))]
            assert len(entries) <= round_number + 1

    anyio.run(run)


def check_outcomes(outcomes: list[ReportedOutcome], winners: list[str]) -> None:
    """Compare the reported outcomes with the audit trail.

    :param outcomes: Reported outcomes.
    :param winners: Operators of the accepted versions, from version 1 on.
    """
    for one in outcomes:
        won = len(winners) > one.base and winners[one.base] == one.who
        match one.error:
            case None:
                assert won
            case ChangeUncertain():
                assert len(winners) <= one.base + 1
            case _:
                assert not won


@pytest.mark.anyio
@pytest.mark.parametrize(
    'fault', [SwapFault.LOST_AFTER, SwapFault.REFUSED_AFTER]
)
async def test_change_with_lost_answer_is_made_once(fault: SwapFault) -> None:
    """A change whose answer was lost is recognised by its change ID.

    Guards against a change that is reported as a conflict with itself, or
    that is made twice.
    """
    memory = MemoryPlatform([fault])
    accepted = await make_store(memory).accept(CONFIGURATION, 0, 'awa')
    entries = await AuditTrail(cast('Platform', memory)).entries()
    assert accepted.version == 1
    assert [entry.change_id for entry in entries] == [accepted.change_id]
    assert await make_store(memory).current() == accepted


@pytest.mark.anyio
async def test_missing_answer_is_reported_as_uncertain() -> None:
    """A change without any answer is reported as uncertain.

    Guards against a change that is reported as failed although it may still
    take effect, and against one that is reported as uncertain although it
    was never sent.  The message names the command that shows the outcome.
    """
    memory = MemoryPlatform(itertools.repeat(SwapFault.LOST_BEFORE, 50))
    with pytest.raises(ChangeUncertain, match='audit --change'):
        await make_store(memory).accept(CONFIGURATION, 0, 'awa')
    unsent = MemoryPlatform([SwapFault.UNSENT])
    with pytest.raises(PlatformUnavailable):
        await make_store(unsent).accept(CONFIGURATION, 0, 'awa')


@pytest.mark.anyio
async def test_immutable_values_cannot_change() -> None:
    """All changes of immutable values are reported together.

    Guards against a new number of partitions or a new zone of a target,
    which would give keys a second owner, and against a report that stops at
    the first such change.
    """
    memory = MemoryPlatform()
    await make_store(memory).accept(CONFIGURATION, 0, 'awa')
    service = attrs.evolve(
        CONFIGURATION.services[0],
        partitions=128,
        targets=(attrs.evolve(TARGET, zone='south'),),
    )
    configuration = attrs.evolve(CONFIGURATION, services=(service,))
    with pytest.RaisesGroup(
        pytest.RaisesExc(FixedAnswerChanged, match='partitions cannot'),
        pytest.RaisesExc(FixedAnswerChanged, match=r'\[a1\].zone cannot'),
    ):
        await make_store(memory).accept(configuration, 1, 'awa')


@pytest.mark.anyio
async def test_stale_base_is_a_conflict() -> None:
    """A change to an outdated version is refused and names the current one.

    Guards against an operator who overwrites a version without having seen
    it.
    """
    memory = MemoryPlatform()
    await make_store(memory).accept(CONFIGURATION, 0, 'awa')
    with pytest.raises(ConfigurationConflict, match='with version 1'):
        await make_store(memory).accept(CONFIGURATION, 0, 'fatou')


@pytest.mark.anyio
async def test_too_large_configuration_is_refused() -> None:
    """A configuration that is too large is refused before anything is written.

    Guards against a write that the platform refuses because of its size.
    """
    targets = tuple(
        attrs.evolve(TARGET, name=f'{number:0>60}') for number in range(7000)
    )
    service = attrs.evolve(CONFIGURATION.services[0], targets=targets)
    configuration = attrs.evolve(CONFIGURATION, services=(service,))
    memory = MemoryPlatform()
    with pytest.raises(ConfigurationTooLarge, match='at most 700000'):
        await make_store(memory).accept(configuration, 0, 'awa')
    assert not memory.values


@pytest.mark.anyio
async def test_history_and_trail_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A change removes the oldest versions and audit entries.

    Guards against a history and an audit trail that grow without limit.
    """
    monkeypatch.setattr('dogwoodmast.configuration_store.KEPT_VERSIONS', 3)
    monkeypatch.setattr(AuditTrail.make_prune_writes, '__defaults__', (4,))
    memory = MemoryPlatform()
    for base in range(8):
        await make_store(memory).accept(CONFIGURATION, base, 'awa')
    versions = [key[-8:] for key in memory.keys_containing('/versions/')]
    entries = await AuditTrail(cast('Platform', memory)).entries()
    assert KEPT_VERSIONS > 3
    assert versions == ['00000006', '00000007', '00000008']
    assert [entry.before for entry in entries] == [
        f'version {base}' for base in range(4, 8)
    ]


@given(
    faults=FAULTS,
    actions=st.lists(
        st.sampled_from(['drain', 'undo_drain', 'declare_lost', 'undo_loss']),
        max_size=6,
    ),
)
def test_orders_match_their_audit_entries(
    faults: list[SwapFault], actions: list[str]
) -> None:
    """An order exists if and only if its latest audit entry gives it.

    Guards against an order without an audit entry, or an audit entry without
    effect, when answers of the platform are lost.
    """

    async def run() -> None:
        memory = MemoryPlatform(faults)
        store = OrderStore(cast('Platform', memory), 'awa', retry_delay=0)
        for action in actions:
            with suppress(ChangeUncertain, PlatformUnavailable):
                await getattr(store, action)('north')
        entries = await AuditTrail(cast('Platform', memory)).entries()
        latest = {entry.what.split()[0]: entry.after for entry in entries}
        existing = {
            key.removeprefix(ORDER_PREFIX).split('/')[0]
            for key in memory.keys_containing(ORDER_PREFIX)
        }
        assert existing == {
            kind for kind, after in latest.items() if after == 'given'
        }

    anyio.run(run)


@pytest.mark.anyio
async def test_change_is_written_once() -> None:
    """A change that has taken effect is not written again.

    Guards against a second write after the answer of the first was lost,
    which would overwrite later changes.
    """
    memory = MemoryPlatform([SwapFault.LOST_AFTER])
    entry = new_entry('awa', 'drain a1', 'none', 'given')
    change = PendingChange((), (Put('order', b'1'),), entry)
    writer = ChangeWriter(cast('Platform', memory), retry_delay=0)
    await writer.write(change)
    assert [one.revision for one in memory.values.values()] == [2, 2]


@pytest.mark.anyio
async def test_superseded_change_has_no_effect() -> None:
    """A change whose condition no longer holds has no effect.

    Guards against a change that is written although its condition fails, and
    against an audit entry for a change that was not made.
    """
    memory = MemoryPlatform()
    writer = ChangeWriter(cast('Platform', memory), retry_delay=0)
    first = PendingChange((), (), new_entry('awa', 'drain', 'none', 'given'))
    superseded = PendingChange(
        (first.not_applied,), (), new_entry('fatou', 'drain', 'none', 'given')
    )
    await writer.write(first)
    with pytest.raises(ChangeSuperseded):
        await writer.write(superseded)
    assert memory.keys_containing('/audit/') == (first.not_applied.key,)
