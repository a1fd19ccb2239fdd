"""Requests that crash back ends are held back."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dispatch_model import CHECK, GRANTS, LEASE, DispatchModel
from dogwoodmast.dispatch_messages import FailureCause, Reply, Submission
from dogwoodmast.dispatch_right import Right
from dogwoodmast.problem import Problem, ProblemType
from dogwoodmast.quarantine import (
    CRASH_WINDOW,
    MAX_CRASHES,
    SUSPICION_LIFETIME,
    CrashNotice,
    Quarantine,
)
from dogwoodmast.request_id import fingerprint
from dogwoodmast.target_health import Poll

POISON = b'poison'


def crash(quarantine: Quarantine, target: str, now: float) -> None:
    """Let a target crash while the request runs."""
    quarantine.on_broken(target, POISON, now)
    quarantine.on_unreachable(target, now + 0.1)


def test_second_crash_holds_the_request_back() -> None:
    """A request is refused once it was running at two crashes."""
    quarantine = Quarantine()
    crash(quarantine, 'a', 0)
    crash(quarantine, 'a', 1)
    assert not quarantine.is_quarantined(POISON, 2)
    crash(quarantine, 'b', 2)
    assert quarantine.is_quarantined(POISON, 3)
    assert not quarantine.is_quarantined(b'other', 3)
    assert not quarantine.is_quarantined(POISON, 3 + SUSPICION_LIFETIME)


def test_crashes_seen_by_peers_count() -> None:
    """What one entry VM tells another counts like its own crash."""
    first, second = Quarantine(), Quarantine()
    crash(first, 'a', 0)
    for notice in first.drain_notices():
        second.on_notice(notice, 1)
    assert not first.drain_notices()
    crash(second, 'b', 1)
    assert second.is_quarantined(POISON, 2)


def test_answer_clears_a_suspicion() -> None:
    """A request that was answered is no longer suspected."""
    quarantine = Quarantine()
    crash(quarantine, 'a', 0)
    quarantine.on_response(POISON)
    crash(quarantine, 'b', 1)
    assert not quarantine.is_quarantined(POISON, 2)


def test_what_was_answered_lately_is_not_suspected() -> None:
    """A popular request may run on many targets that crash at once."""
    quarantine = Quarantine()
    quarantine.on_response(POISON)
    for target in ('a', 'b', 'c'):
        quarantine.on_crash(target, POISON, 1)
    assert not quarantine.is_quarantined(POISON, 2)


def test_closed_connection_of_a_living_target_is_no_crash() -> None:
    """A target that still answers, or fails much later, did not crash."""
    quarantine = Quarantine()
    quarantine.on_broken('a', POISON, 0)
    quarantine.on_reachable('a')
    quarantine.on_unreachable('a', 0.1)
    quarantine.on_broken('b', POISON, 1)
    quarantine.on_unreachable('b', 1 + CRASH_WINDOW + 0.1)
    assert quarantine.has_no_suspects


@given(st.sets(st.text(min_size=1, max_size=2), max_size=4))
def test_as_many_targets_as_are_allowed(targets: set[str]) -> None:
    """The number of different targets decides, not that of notices."""
    quarantine = Quarantine()
    for target in targets:
        quarantine.on_notice(CrashNotice(POISON, target), 0)
        quarantine.on_notice(CrashNotice(POISON, target), 0)
    assert quarantine.is_quarantined(POISON, 1) == (len(targets) >= MAX_CRASHES)


def test_dispatcher_refuses_what_crashed_another_target() -> None:
    """One crash here and one told by a peer hold a request back."""
    model = DispatchModel()
    vm = model.vms['a']
    vm.rights.answer = Right.GRANTED
    vm.rights.expiry = 1000 * LEASE
    model.perform('a', vm.dispatcher.on_rights_changed(model.now))
    first = model.submit('a', CHECK, 2.0, '', POISON, '')
    request = model.tickets[first].submission.request
    notice = CrashNotice(fingerprint(request), 'elsewhere')
    vm.quarantine.on_notice(notice, model.now)
    model.fail(model.running[0], FailureCause.CLOSED, ended=True)
    model.perform('a', vm.dispatcher.on_polled(Poll(False), model.now))
    actions = vm.dispatcher.on_submission(
        Submission(99, request, CHECK, next(iter(GRANTS))), model.now
    )
    assert isinstance(actions[-1], Reply)
    assert isinstance(actions[-1].outcome, Problem)
    assert actions[-1].outcome.type is ProblemType.QUARANTINED
    assert not model.running
