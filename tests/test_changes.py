"""Operators' changes: written once, in order, with their audit entries."""

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
OPERATORS = ('awa', 'fatou', 'moussa')


@attrs.frozen
class Attempt:
    """What an operator was told of a change."""

    who: str
    base: int
    error: DogwoodmastError | None = None


def store_on(memory: MemoryPlatform) -> ConfigurationStore:
    """Make a store on a platform in memory."""
    return ConfigurationStore(cast('Platform', memory), retry_delay=0)


async def attempt(memory: MemoryPlatform, who: str, base: int) -> Attempt:
    """Try to put a version in force."""
    try:
        await store_on(memory).accept(CONFIGURATION, base, who)
    except DogwoodmastError as error:
        return Attempt(who, base, error)
    return Attempt(who, base)


async def race(memory: MemoryPlatform, base: int) -> list[Attempt]:
    """Let all operators apply at once on the same base."""
    told: list[Attempt] = []

    async def apply(who: str) -> None:
        told.append(await attempt(memory, who, base))

    async with anyio.create_task_group() as tasks:
        for who in OPERATORS:
            tasks.start_soon(apply, who)
    return told


@given(faults=FAULTS)
def test_racing_changes_have_one_winner(faults: list[SwapFault]) -> None:
    """Who is told of a win has won, whatever answers are lost."""

    async def run() -> None:
        memory = MemoryPlatform(faults)
        trail = AuditTrail(cast('Platform', memory))
        for round_number in range(2):
            current = await store_on(memory).current()
            base = 0 if current is None else current.version
            told = await race(memory, base)
            entries = await trail.entries()
            check_told(told, [entry.who for entry in entries])
            versions = [entry.after.split()[1] for entry in entries]
            assert versions == [str(one + 1) for one in range(len(entries))]
            assert len(entries) <= round_number + 1

    anyio.run(run)


def check_told(told: list[Attempt], winners: list[str]) -> None:
    """Compare what operators were told with the audit trail."""
    for one in told:
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
async def test_lost_answer_is_not_doubled(fault: SwapFault) -> None:
    """A change whose answer was lost is recognised as one's own."""
    memory = MemoryPlatform([fault])
    accepted = await store_on(memory).accept(CONFIGURATION, 0, 'awa')
    entries = await AuditTrail(cast('Platform', memory)).entries()
    assert accepted.version == 1
    assert [entry.change_id for entry in entries] == [accepted.change_id]
    assert await store_on(memory).current() == accepted


@pytest.mark.anyio
async def test_silence_is_told_as_uncertain() -> None:
    """Without any answer the operator is told how to find out."""
    memory = MemoryPlatform(itertools.repeat(SwapFault.LOST_BEFORE, 50))
    with pytest.raises(ChangeUncertain, match='audit --change'):
        await store_on(memory).accept(CONFIGURATION, 0, 'awa')
    unsent = MemoryPlatform([SwapFault.UNSENT])
    with pytest.raises(PlatformUnavailable):
        await store_on(unsent).accept(CONFIGURATION, 0, 'awa')


@pytest.mark.anyio
async def test_fixed_answers_cannot_change() -> None:
    """Every change that would break ownership is refused together."""
    memory = MemoryPlatform()
    await store_on(memory).accept(CONFIGURATION, 0, 'awa')
    service = attrs.evolve(
        CONFIGURATION.services[0],
        partitions=128,
        targets=(attrs.evolve(TARGET, zone='south'),),
    )
    wanted = attrs.evolve(CONFIGURATION, services=(service,))
    with pytest.RaisesGroup(
        pytest.RaisesExc(FixedAnswerChanged, match='partitions cannot'),
        pytest.RaisesExc(FixedAnswerChanged, match=r'\[a1\].zone cannot'),
    ):
        await store_on(memory).accept(wanted, 1, 'awa')


@pytest.mark.anyio
async def test_stale_base_is_a_conflict() -> None:
    """A change on an old base tells the version in force."""
    memory = MemoryPlatform()
    await store_on(memory).accept(CONFIGURATION, 0, 'awa')
    with pytest.raises(ConfigurationConflict, match='with version 1'):
        await store_on(memory).accept(CONFIGURATION, 0, 'fatou')


@pytest.mark.anyio
async def test_configuration_fits_into_one_call() -> None:
    """A configuration that the platform cannot hold is refused by size."""
    targets = tuple(
        attrs.evolve(TARGET, name=f'{number:0>60}') for number in range(7000)
    )
    service = attrs.evolve(CONFIGURATION.services[0], targets=targets)
    wanted = attrs.evolve(CONFIGURATION, services=(service,))
    memory = MemoryPlatform()
    with pytest.raises(ConfigurationTooLarge, match='at most 700000'):
        await store_on(memory).accept(wanted, 0, 'awa')
    assert not memory.values


@pytest.mark.anyio
async def test_history_and_trail_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Old versions and entries go with the changes that follow them."""
    monkeypatch.setattr('dogwoodmast.configuration_store.KEPT_VERSIONS', 3)
    monkeypatch.setattr(AuditTrail.make_prune_writes, '__defaults__', (4,))
    memory = MemoryPlatform()
    for base in range(8):
        await store_on(memory).accept(CONFIGURATION, base, 'awa')
    versions = [key[-8:] for key in memory.keys_containing('/versions/')]
    entries = await AuditTrail(cast('Platform', memory)).entries()
    assert KEPT_VERSIONS > 3
    assert versions == ['00000006', '00000007', '00000008']
    assert [entry.before for entry in entries] == [
        f'version {base}' for base in range(4, 8)
    ]


@given(
    faults=FAULTS,
    wishes=st.lists(
        st.sampled_from(['drain', 'undo_drain', 'declare_lost', 'undo_loss']),
        max_size=6,
    ),
)
def test_orders_match_their_audit_entries(
    faults: list[SwapFault], wishes: list[str]
) -> None:
    """An order stands exactly if its latest audit entry gives it."""

    async def run() -> None:
        memory = MemoryPlatform(faults)
        book = OrderStore(cast('Platform', memory), 'awa', retry_delay=0)
        for wish in wishes:
            with suppress(ChangeUncertain, PlatformUnavailable):
                await getattr(book, wish)('north')
        entries = await AuditTrail(cast('Platform', memory)).entries()
        latest = {entry.what.split()[0]: entry.after for entry in entries}
        standing = {
            key.removeprefix(ORDER_PREFIX).split('/')[0]
            for key in memory.keys_containing(ORDER_PREFIX)
        }
        assert standing == {
            sort for sort, after in latest.items() if after == 'given'
        }

    anyio.run(run)


@pytest.mark.anyio
async def test_change_is_written_once() -> None:
    """A change that took effect is not written again by a later try."""
    memory = MemoryPlatform([SwapFault.LOST_AFTER])
    entry = new_entry('awa', 'drain a1', 'none', 'given')
    change = PendingChange((), (Put('order', b'1'),), entry)
    writer = ChangeWriter(cast('Platform', memory), retry_delay=0)
    await writer.write(change)
    assert [one.revision for one in memory.values.values()] == [2, 2]


@pytest.mark.anyio
async def test_change_of_lost_state_has_no_effect() -> None:
    """A change on a state that is gone leaves no entry."""
    memory = MemoryPlatform()
    writer = ChangeWriter(cast('Platform', memory), retry_delay=0)
    first = PendingChange((), (), new_entry('awa', 'drain', 'none', 'given'))
    late = PendingChange(
        (first.not_applied,), (), new_entry('fatou', 'drain', 'none', 'given')
    )
    await writer.write(first)
    with pytest.raises(ChangeSuperseded):
        await writer.write(late)
    assert memory.keys_containing('/audit/') == (first.not_applied.key,)
