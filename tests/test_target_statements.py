"""What targets have said of themselves, and what may be sent to them then."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, cast

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dogwoodmast.address import Address
from dogwoodmast.clock import ManualClock
from dogwoodmast.direct.catalog import CallerLimits, RouteTable, Target
from dogwoodmast.direct.rate_gate import Permit
from dogwoodmast.direct.statement_book import (
    MAX_DELAYED_LEVELS,
    MAX_REMEMBERED,
    PRIORITY_DELAY,
    RESUME_SPREAD,
    Paused,
    StatementBook,
    Unrestricted,
)
from dogwoodmast.direct.target_set import TargetSet
from dogwoodmast.direct.target_statement import (
    NoPause,
    PauseRequest,
    PauseStatement,
    TargetStatement,
    UnreadablePause,
)
from dogwoodmast.platform.headers import parse_response_headers

if TYPE_CHECKING:
    from dogwoodmast.direct.catalog import TargetKey

ADDRESS = Address('10.0.0.1', 80)
TABLE = RouteTable(1, (), {}, CallerLimits(1, 1, 1, 1))
NAMES = ('t0', 't1', 't2')
KEY = ('t0', 1)
LONGEST_DELAY = RESUME_SPREAD + MAX_DELAYED_LEVELS * PRIORITY_DELAY
"""Longest time after a pause until requests of any priority are admitted, in
seconds."""
LEAVING = TargetStatement(is_leaving=True)
names = st.sampled_from(NAMES)
priorities = st.integers(0, 9)


def make_target(name: str, born: int, *, leaving: bool = False) -> Target:
    """List a target; all have the same address.

    :param name: Name of the target.
    :param born: Incarnation of the target.
    :param leaving: Whether the store lists it as leaving.
    :return: Target as the store lists it.
    """
    return Target(name, 's', ADDRESS, 'z', 4, leaving, born)


class _Tasks:
    """Task group that runs nothing."""

    def start_soon(self, *_unused: Any) -> None:
        """Drop a task."""


class Statements(RuleBasedStateMachine):
    """Targets that leave, ask for pauses, restart, lapse and return."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.book = StatementBook(random=random.Random(0))
        self.targets = TargetSet('z', self.clock, self.book)
        self.listed = {name: make_target(name, 1) for name in NAMES}
        self.lapsed: dict[str, Target] = {}
        self.left: set[TargetKey] = set()
        self.paused_until: dict[TargetKey, float] = {}
        self.update()

    def update(self) -> None:
        """Apply the list of targets, as after each change of the store."""
        self.targets.update(self.listed, TABLE, 1, cast('Any', _Tasks()))
        self.book.retain([one.key for one in self.listed.values()])

    @rule(name=names, pause=st.floats(0, 5), leaves=st.booleans())
    def respond(self, name: str, pause: float, *, leaves: bool) -> None:
        """Let a listed target make a statement in a response."""
        target = self.listed.get(name)
        if target is None:
            return
        now = self.clock.monotonic()
        said: PauseStatement = PauseRequest(pause) if pause else NoPause()
        statement = TargetStatement(pause=said, is_leaving=leaves)
        self.book.on_response(target.key, statement, now, now)
        until = self.paused_until.get(target.key, 0)
        self.paused_until[target.key] = max(until, now + pause)
        if leaves:
            self.left.add(target.key)

    @rule(name=names)
    def be_told_by_another_vm(self, name: str) -> None:
        """Let another VM tell that a target leaves, also an unlisted one."""
        target = self.listed.get(name) or self.lapsed.get(name)
        if target is not None:
            self.book.on_leaving(target.key)
            self.left.add(target.key)

    @rule(name=names)
    def restart(self, name: str) -> None:
        """Start a new incarnation of a target at the same address."""
        target = self.listed.get(name)
        if target is not None:
            self.listed[name] = make_target(name, target.born + 1)
            self.update()

    @rule(name=names)
    def lapse(self, name: str) -> None:
        """Lose a target's entry with the store."""
        if name in self.listed:
            self.lapsed[name] = self.listed.pop(name)
            self.update()

    @rule(name=names)
    def come_back(self, name: str) -> None:
        """Get a lapsed entry back, which lists the target as ready."""
        if name in self.lapsed:
            self.listed[name] = self.lapsed.pop(name)
            self.update()

    @rule(seconds=st.floats(0, 3))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.advance(seconds)

    @rule(priority=priorities)
    def ask_for_candidates(self, priority: int) -> None:
        """Look for targets of a request without a key."""
        now = self.clock.monotonic()
        found = self.targets.service_candidates('s')
        admitting = (
            set()
            if found is None
            else {
                limiter.target.key
                for limiter in found.admitting(priority, now).limiters
            }
        )
        for target in self.listed.values():
            until = self.paused_until.get(target.key, 0)
            if target.key in self.left or now < until:
                assert target.key not in admitting
            elif now >= until + LONGEST_DELAY:
                assert target.key in admitting

    @invariant()
    def nothing_is_sent_against_a_statement(self) -> None:
        """The check right before the send knows each statement."""
        now = self.clock.monotonic()
        for key in self.left | self.paused_until.keys():
            objection = self.book.of(key).find_objection(Permit(), now)
            is_unwanted = key in self.left or now < self.paused_until.get(
                key, 0
            )
            assert (objection is not None) == is_unwanted

    @invariant()
    def keys_of_leaving_targets_have_no_holder(self) -> None:
        """A keyed request does not find a target that leaves."""
        for name, born in self.left:
            assert self.targets.target_candidates(name, born) is None


TestStatements = Statements.TestCase


@pytest.mark.parametrize(
    ('status', 'text', 'pause'),
    [
        (503, b'1.5', PauseRequest(1.5)),
        (503, b'2', PauseRequest(2)),
        (503, b' 2 ', PauseRequest(2)),
        (503, b'-1', UnreadablePause()),
        (503, b'soon', UnreadablePause()),
        (503, b'Fri, 04 Dec 2026 12:00:00 GMT', UnreadablePause()),
        (503, b'9' * 400, UnreadablePause()),
        (429, b'1.5', NoPause()),
        (200, b'1.5', NoPause()),
    ],
)
def test_pause_is_read_wrongly(
    status: int, text: bytes, pause: PauseStatement
) -> None:
    """Only a refusal with status 503 and a number of seconds asks for one."""
    fields = parse_response_headers(status, [(b'retry-after', text)])
    assert fields.statement.pause == pause


@pytest.mark.parametrize('text', [b'0', b'', b'yes', b'11'])
def test_other_value_is_read_as_leaving(text: bytes) -> None:
    """Only 1 says that the target leaves."""
    fields = parse_response_headers(200, [(b'server-leaving', text)])
    assert not fields.statement.is_leaving
    said = parse_response_headers(421, [(b'server-leaving', b'1')])
    assert said.statement.is_leaving


def test_requests_return_together_after_a_pause() -> None:
    """Urgent ones return first, and each VM after a time of its own."""
    returns: set[float] = set()
    for seed in range(8):
        book = StatementBook(random=random.Random(seed))
        statement = TargetStatement(pause=PauseRequest(1))
        book.on_response(KEY, statement, 0, 0)
        restrictions = [book.of(KEY).restriction(level, 0) for level in (0, 1)]
        urgent, other = (cast('Paused', one).until for one in restrictions)
        assert 1 <= urgent < other
        assert other <= 1 + LONGEST_DELAY
        returns.add(urgent)
    assert len(returns) > 1


def test_statements_of_ended_targets_fill_the_memory() -> None:
    """Those of unlisted targets are forgotten, those of listed ones are not."""
    book = StatementBook()
    book.on_leaving(KEY)
    for number in range(2 * MAX_REMEMBERED):
        book.on_leaving((f'gone{number}', 1))
        book.retain([KEY])
    assert book.is_leaving(KEY)
    assert len(book.unwilling(0)) <= MAX_REMEMBERED
    assert book.is_leaving((f'gone{2 * MAX_REMEMBERED - 1}', 1))


def test_shorter_pause_ends_a_longer_one() -> None:
    """A second refusal, sent before the first one, does not."""
    book = StatementBook()
    for seconds in (3, 1):
        statement = TargetStatement(pause=PauseRequest(seconds))
        book.on_response(KEY, statement, 0, 0)
    assert isinstance(book.of(KEY).restriction(0, 2), Paused)
    assert isinstance(
        book.of(KEY).restriction(9, 3 + LONGEST_DELAY), Unrestricted
    )
