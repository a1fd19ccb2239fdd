"""Timing rules of leases and rounds that random faults seldom exercise."""

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
"""Record with three members and no assignments."""
RELEASED_STATUS = WorkStatus(1, lambda _target: True)
"""Status of a member that has settled at the record and released all
targets."""
LOWER_EPOCH = CoordinatorEpoch(1, 0, MEMBERS[0].number)
"""Epoch of the first member, in the term of the record."""
HIGHER_EPOCH = CoordinatorEpoch(2, 0, MEMBERS[1].number)
"""Epoch of the second member, in the following term."""


def make_member(record: ZoneRecord = RECORD) -> ZoneMember:
    """Make a member that has received a record."""
    member = ZoneMember()
    member.on_record(record)
    return member


def make_coordinator(
    epoch: CoordinatorEpoch = LOWER_EPOCH,
    now: float = 0,
    plan: dict[str, int] | None = None,
) -> ZoneCoordinator:
    """Make a coordinator of a zone whose only target is ``t0``.

    :param epoch: Epoch of the coordinator.
    :param now: Time at which the epoch begins, in seconds.
    :param plan: Number of the planned holder by target.
    :return: Coordinator that has not sent any round.
    """
    coordinator = ZoneCoordinator(epoch, RECORD, now, plan or {})
    coordinator.on_targets(ZoneTargets(frozenset(('t0',)), 1), frozenset())
    return coordinator


def deliver_round(
    message: LeaseRound, member: ZoneMember, now: float
) -> RoundAck:
    """Deliver a round to a member and return its acknowledgement.

    :param message: Round of the coordinator.
    :param member: Receiver of the round.
    :param now: Time of the acknowledgement, in seconds.
    :return: Acknowledgement of the member.
    """
    answer = member.on_round(message, RELEASED_STATUS, now)
    assert isinstance(answer, RoundAck)
    return answer


def exchange_round(
    coordinator: ZoneCoordinator, members: dict[int, ZoneMember], now: float
) -> None:
    """Exchange one round with some members without latency.

    :param coordinator: Sender of the round.
    :param members: Members that answer, by number.
    :param now: Time of the exchange, in seconds.
    """
    for one in coordinator.rounds(now):
        member = members.get(one.member.number)
        if member is not None:
            answer = deliver_round(one.message, member, now)
            coordinator.on_ack(one.member.number, answer, now)


def test_quorum_counts_from_sending_of_rounds() -> None:
    """Acknowledgements of old rounds do not give a coordinator a quorum.

    Guards against a coordinator that counts an acknowledgement from its
    arrival.  Members may follow another coordinator :data:`ACK_LEASE` after
    the round was sent, so a late answer must not count.
    """
    coordinator = make_coordinator()
    rounds = coordinator.rounds(0)
    members = [make_member() for _ in rounds]
    answers = [
        deliver_round(one.message, member, 0.01)
        for one, member in zip(rounds, members, strict=True)
    ]
    late = ACK_LEASE + 0.01
    for one, answer in zip(rounds, answers, strict=True):
        coordinator.on_ack(one.member.number, answer, late)
    assert not coordinator.has_quorum(late)


def test_leases_count_from_sending_of_acknowledgements() -> None:
    """A late round renews a lease from the acknowledgement that it refers to.

    Guards against a member that counts its lease from the arrival of a
    round.  A delayed round would then extend the lease beyond the time that
    the coordinator computes for its expiry.
    """
    members = {one.number: make_member() for one in MEMBERS}
    coordinator = make_coordinator()
    exchange_round(coordinator, members, 0)
    late_rounds = coordinator.rounds(0.1)
    granted = [
        (members[one.member.number], one.message)
        for one in late_rounds
        if any(target.granted for target in one.message.targets)
    ]
    member, message = granted[0]
    deliver_round(message, member, 1)
    assert member.lease_expiry('t0') == DISPATCH_LEASE


def test_short_reported_lease_is_not_granted_at_once() -> None:
    """A target is granted at once only if the reported lease lasts long enough.

    A new coordinator knows nothing about a silent member.  It may grant a
    target to the member that reports its lease only if that lease lasts
    until earlier coordinators have lost their quorum.  Guards against a
    grant under a shorter lease, after whose expiry an earlier coordinator
    may have granted the target to the silent member.
    """
    claimant = MEMBERS[1].number
    for lease_left, granted_at_once in ((1000, True), (100, False)):
        coordinator = make_coordinator(HIGHER_EPOCH, plan={'t0': claimant})
        for one in coordinator.rounds(0):
            if one.member == MEMBERS[0]:
                continue
            held = ('t0',) if one.member == MEMBERS[1] else ()
            ack = deliver_round(one.message, make_member(), 0)
            claim = attrs.evolve(ack, lease_left=lease_left, held=held)
            coordinator.on_ack(one.member.number, claim, 0)
        assert _is_granted(coordinator, 0.01) is granted_at_once


def _is_granted(coordinator: ZoneCoordinator, now: float) -> bool:
    return any(
        target.granted
        for one in coordinator.rounds(now)
        for target in one.message.targets
    )


def test_older_member_list_is_refused() -> None:
    """A member refuses rounds with an older member list in any epoch.

    Guards against a coordinator that gains a quorum among members that have
    been removed from the member list.
    """
    newer_record = attrs.evolve(RECORD, version=2, members_version=2)
    coordinator = make_coordinator(HIGHER_EPOCH)
    message = coordinator.rounds(0)[0].message
    answer = make_member(newer_record).on_round(message, RELEASED_STATUS, 0)
    assert isinstance(answer, RoundRefusal)


def test_lower_epoch_is_refused() -> None:
    """A member that has acknowledged an epoch refuses rounds of lower ones.

    Guards against two coordinators that have a quorum at the same time.
    """
    member = make_member()
    high = make_coordinator(HIGHER_EPOCH).rounds(0)[0].message
    deliver_round(high, member, 0)
    low = make_coordinator(LOWER_EPOCH).rounds(0)[0].message
    answer = member.on_round(low, RELEASED_STATUS, 0)
    assert isinstance(answer, RoundRefusal)
    assert answer.epoch == HIGHER_EPOCH


def test_member_with_old_record_gets_no_lease() -> None:
    """A member is granted leases only once it has the coordinator's record.

    Guards against a member that dispatches requests under assignments of an
    older record, which other members consider as replaced.
    """
    outdated_member = ZoneMember()
    up_to_date_members = {one.number: make_member() for one in MEMBERS[1:]}
    coordinator = make_coordinator(plan={'t0': MEMBERS[0].number})
    exchange_round(
        coordinator,
        {MEMBERS[0].number: outdated_member, **up_to_date_members},
        0,
    )
    assert not _is_granted(coordinator, 0.03)
    outdated_member.on_record(RECORD)
    exchange_round(
        coordinator,
        {MEMBERS[0].number: outdated_member, **up_to_date_members},
        0.02,
    )
    assert _is_granted(coordinator, 0.03)


def test_lease_of_removed_target_is_kept_until_release() -> None:
    """A member keeps the lease of a removed target until it has released it.

    Guards against a lease that ends while requests are running under it,
    when the coordinator takes the target away.
    """
    coordinator = make_coordinator()
    member = make_member()
    members = {one.number: make_member() for one in MEMBERS[1:]}
    members[MEMBERS[0].number] = member
    for now in (0, 0.2, 0.4):
        exchange_round(coordinator, members, now)
    holder = next(one for one in members.values() if one.lease_expiry('t0') > 1)
    coordinator.on_targets(ZoneTargets(frozenset(), 1), frozenset())
    rounds = {one.member.number: one.message for one in coordinator.rounds(0.6)}
    number = next(key for key, one in members.items() if one is holder)
    busy = WorkStatus(1, lambda _target: False)
    holder.on_round(rounds[number], busy, 0.6)
    assert holder.lease_expiry('t0') > 1
    holder.on_round(rounds[number], RELEASED_STATUS, 0.7)
    assert holder.lease_expiry('t0') < 0
