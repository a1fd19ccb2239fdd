"""Quarantine of requests that crash back ends.

Guards against a request that is retried on one back end after another and
crashes them all.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dispatch_model import CHECK, GRANTS, LEASE_DURATION, DispatchModel
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

POISON_REQUEST = b'poison'
"""Hash, or body, of a request that crashes its target."""


def crash(quarantine: Quarantine, target: str, now: float) -> None:
    """Record that a target crashed while the request was running on it."""
    quarantine.on_broken(target, POISON_REQUEST, now)
    quarantine.on_unreachable(target, now + 0.1)


def test_request_is_quarantined_after_crashes_of_two_targets() -> None:
    """A request is quarantined once it ran on two targets that crashed.

    Repeated crashes of one target count once, and the suspicion expires.
    """
    quarantine = Quarantine()
    crash(quarantine, 'a', 0)
    crash(quarantine, 'a', 1)
    assert not quarantine.is_quarantined(POISON_REQUEST, 2)
    crash(quarantine, 'b', 2)
    assert quarantine.is_quarantined(POISON_REQUEST, 3)
    assert not quarantine.is_quarantined(b'other', 3)
    assert not quarantine.is_quarantined(POISON_REQUEST, 3 + SUSPICION_LIFETIME)


def test_crashes_reported_by_peers_count() -> None:
    """A crash reported by a peer counts like one detected here.

    A retry of the request may be sent through another entry VM, which saw
    only the second crash.
    """
    first, second = Quarantine(), Quarantine()
    crash(first, 'a', 0)
    for notice in first.drain_notices():
        second.on_notice(notice, 1)
    assert not first.drain_notices()
    crash(second, 'b', 1)
    assert second.is_quarantined(POISON_REQUEST, 2)


def test_response_clears_a_suspicion() -> None:
    """A response to a request clears the suspicion against it.

    The earlier crash had another cause.
    """
    quarantine = Quarantine()
    crash(quarantine, 'a', 0)
    quarantine.on_response(POISON_REQUEST)
    crash(quarantine, 'b', 1)
    assert not quarantine.is_quarantined(POISON_REQUEST, 2)


def test_recently_answered_request_is_not_suspected() -> None:
    """A request with a recent response is not suspected after crashes.

    A frequent request is often running on targets that crash for other
    reasons, and must not be refused everywhere.
    """
    quarantine = Quarantine()
    quarantine.on_response(POISON_REQUEST)
    for target in ('a', 'b', 'c'):
        quarantine.on_crash(target, POISON_REQUEST, 1)
    assert not quarantine.is_quarantined(POISON_REQUEST, 2)


def test_closed_connection_without_unreachability_is_no_crash() -> None:
    """A broken exchange alone is not a crash.

    The target is reachable afterwards, or becomes unreachable only after the
    time window within which the two count as a crash.
    """
    quarantine = Quarantine()
    quarantine.on_broken('a', POISON_REQUEST, 0)
    quarantine.on_reachable('a')
    quarantine.on_unreachable('a', 0.1)
    quarantine.on_broken('b', POISON_REQUEST, 1)
    quarantine.on_unreachable('b', 1 + CRASH_WINDOW + 0.1)
    assert quarantine.has_no_suspects


@given(st.sets(st.text(min_size=1, max_size=2), max_size=4))
def test_number_of_different_targets_decides(targets: set[str]) -> None:
    """The number of different targets decides, not the number of notices.

    Several entry VMs may report the same crash.
    """
    quarantine = Quarantine()
    for target in targets:
        quarantine.on_notice(CrashNotice(POISON_REQUEST, target), 0)
        quarantine.on_notice(CrashNotice(POISON_REQUEST, target), 0)
    assert quarantine.is_quarantined(POISON_REQUEST, 1) == (
        len(targets) >= MAX_CRASHES
    )


def test_dispatcher_refuses_a_quarantined_request() -> None:
    """A crash detected here and one reported by a peer quarantine a request.

    Guards against a dispatcher that does not pass broken exchanges and
    health polls to the quarantine, or does not check it.
    """
    model = DispatchModel()
    vm = model.vms['a']
    vm.rights.answer = Right.GRANTED
    vm.rights.expiry = 1000 * LEASE_DURATION
    model.perform('a', vm.dispatcher.on_rights_changed(model.now))
    first = model.submit('a', CHECK, 2.0, '', POISON_REQUEST, '')
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
