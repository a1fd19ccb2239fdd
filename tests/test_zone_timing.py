"""Rules of time that random faults seldom put to the test."""

from __future__ import annotations

import attrs

from dogwoodmast.address import Address
from dogwoodmast.ownership import Member, ZoneRecord
from dogwoodmast.zone_coordinator import ZoneCoordinator, ZoneTargets
from dogwoodmast.zone_member import WorkStatus, ZoneMember
from dogwoodmast.zone_messages import LeaseRound, RoundAck, RoundRefusal
from dogwoodmast.zone_protocol import (
    ACK_LEASE,
    DISPATCH_LEASE,
    CoordinatorEpoch,
)

MEMBERS = tuple(
    Member(f'vm{number}', f'{number:04d}', Address('127.0.0.1', number + 1))
    for number in range(3)
)
RECORD = ZoneRecord('pikine', 1, 1, MEMBERS, {}, members_version=1)
STATUS = WorkStatus(1, lambda _target: True)
LOW = CoordinatorEpoch(1, 0, MEMBERS[0].number)
HIGH = CoordinatorEpoch(2, 0, MEMBERS[1].number)


def make_member(record: ZoneRecord = RECORD) -> ZoneMember:
    """Make a member that knows the record."""
    member = ZoneMember()
    member.on_record(record)
    return member


def make_coordinator(
    epoch: CoordinatorEpoch = LOW,
    now: float = 0,
    plan: dict[str, int] | None = None,
) -> ZoneCoordinator:
    """Make a coordinator of one target."""
    coordinator = ZoneCoordinator(epoch, RECORD, now, plan or {})
    coordinator.on_targets(ZoneTargets(frozenset(('t0',)), 1), frozenset())
    return coordinator


def acked(message: LeaseRound, member: ZoneMember, now: float) -> RoundAck:
    """Have a member acknowledge a round."""
    answer = member.on_round(message, STATUS, now)
    assert isinstance(answer, RoundAck)
    return answer


def exchange(
    coordinator: ZoneCoordinator, members: dict[int, ZoneMember], now: float
) -> None:
    """Pass one round to some members and their answers back, at once."""
    for one in coordinator.rounds(now):
        member = members.get(one.member.number)
        if member is not None:
            answer = acked(one.message, member, now)
            coordinator.on_ack(one.member.number, answer, now)


def test_acknowledgements_count_from_the_sending_of_rounds() -> None:
    """Late acknowledgements do not let a coordinator act."""
    coordinator = make_coordinator()
    rounds = coordinator.rounds(0)
    members = [make_member() for _ in rounds]
    answers = [
        acked(one.message, member, 0.01)
        for one, member in zip(rounds, members, strict=True)
    ]
    late = ACK_LEASE + 0.01
    for one, answer in zip(rounds, answers, strict=True):
        coordinator.on_ack(one.member.number, answer, late)
    assert not coordinator.has_quorum(late)


def test_leases_count_from_the_sending_of_acknowledgements() -> None:
    """A late round renews a lease only from the acknowledgement on."""
    members = {one.number: make_member() for one in MEMBERS}
    coordinator = make_coordinator()
    exchange(coordinator, members, 0)
    late_rounds = coordinator.rounds(0.1)
    granted = [
        (members[one.member.number], one.message)
        for one in late_rounds
        if any(target.granted for target in one.message.targets)
    ]
    member, message = granted[0]
    acked(message, member, 1)
    assert member.lease_expiry('t0') == DISPATCH_LEASE


def test_short_claim_waits_for_silent_members() -> None:
    """A claim that ends before an earlier epoch does is not granted."""
    claimant = MEMBERS[1].number
    for lease_left, at_once in ((1000, True), (100, False)):
        coordinator = make_coordinator(HIGH, plan={'t0': claimant})
        for one in coordinator.rounds(0):
            if one.member == MEMBERS[0]:
                continue
            held = ('t0',) if one.member == MEMBERS[1] else ()
            ack = acked(one.message, make_member(), 0)
            claim = attrs.evolve(ack, lease_left=lease_left, held=held)
            coordinator.on_ack(one.member.number, claim, 0)
        assert _is_granted(coordinator, 0.01) is at_once


def _is_granted(coordinator: ZoneCoordinator, now: float) -> bool:
    return any(
        target.granted
        for one in coordinator.rounds(now)
        for target in one.message.targets
    )


def test_older_member_list_is_refused() -> None:
    """A member that knows a newer list refuses even a higher epoch."""
    newer = attrs.evolve(RECORD, version=2, members_version=2)
    coordinator = make_coordinator(HIGH)
    message = coordinator.rounds(0)[0].message
    answer = make_member(newer).on_round(message, STATUS, 0)
    assert isinstance(answer, RoundRefusal)


def test_lower_authority_is_refused() -> None:
    """A member that follows an epoch refuses a lower one."""
    member = make_member()
    high = make_coordinator(HIGH).rounds(0)[0].message
    acked(high, member, 0)
    low = make_coordinator(LOW).rounds(0)[0].message
    answer = member.on_round(low, STATUS, 0)
    assert isinstance(answer, RoundRefusal)
    assert answer.epoch == HIGH


def test_member_with_an_old_record_is_not_granted() -> None:
    """Only members that know what the majority settled at are granted."""
    old = ZoneMember()
    fresh = {one.number: make_member() for one in MEMBERS[1:]}
    coordinator = make_coordinator(plan={'t0': MEMBERS[0].number})
    exchange(coordinator, {MEMBERS[0].number: old, **fresh}, 0)
    assert not _is_granted(coordinator, 0.03)
    old.on_record(RECORD)
    exchange(coordinator, {MEMBERS[0].number: old, **fresh}, 0.02)
    assert _is_granted(coordinator, 0.03)


def test_target_that_is_taken_away_keeps_its_lease_until_released() -> None:
    """What runs under a lease may end before the lease passes on."""
    coordinator = make_coordinator()
    member = make_member()
    members = {one.number: make_member() for one in MEMBERS[1:]}
    members[MEMBERS[0].number] = member
    for now in (0, 0.2, 0.4):
        exchange(coordinator, members, now)
    holder = next(one for one in members.values() if one.lease_expiry('t0') > 1)
    coordinator.on_targets(ZoneTargets(frozenset(), 1), frozenset())
    rounds = {one.member.number: one.message for one in coordinator.rounds(0.6)}
    number = next(key for key, one in members.items() if one is holder)
    busy = WorkStatus(1, lambda _target: False)
    holder.on_round(rounds[number], busy, 0.6)
    assert holder.lease_expiry('t0') > 1
    holder.on_round(rounds[number], STATUS, 0.7)
    assert holder.lease_expiry('t0') < 0
