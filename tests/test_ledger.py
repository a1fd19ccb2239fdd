"""Ledgers: known and unknown request ids, eviction and handover."""

from __future__ import annotations

import pytest

from dispatch_model import (
    LEASE_DURATION,
    START_TIME,
    FakeRights,
    make_request_id,
)
from dogwoodmast._wire import decode, encode
from dogwoodmast.backend import Grant
from dogwoodmast.dispatch_right import Right
from dogwoodmast.ledger import (
    CLOCK_MARGIN,
    FUTURE_TOLERANCE,
    MAX_ENTRIES,
    MAX_RESPONSE_BYTES,
    RETENTION_PERIOD,
    Ledger,
    LedgerEntry,
)
from dogwoodmast.ledger_extract import LedgerExtract
from dogwoodmast.partition_ledgers import IMPORT_LIFETIME, PartitionLedgers
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.request import Header, Response

FINGERPRINT = b'fingerprint'
NOW = START_TIME + 10
"""Wall-clock time at which most ids are checked, in seconds since the Unix
epoch."""
GRANT = Grant('balance/0', 1)
PAID = Response(200, (Header('a', 'b'),), b'paid')


def make_entry(created: float, salt: int = 0) -> LedgerEntry:
    """Make an entry of an answered request.

    :param created: Creation time of the id, in seconds since the Unix epoch.
    :param salt: Number that makes ids of the same time differ.
    :return: Entry with the response ``PAID``.
    """
    return LedgerEntry(make_request_id(created, salt), FINGERPRINT, PAID)


def problem_type(result: object) -> ProblemType | None:
    """Return the type of a problem, or ``None`` for another result."""
    return result.type if isinstance(result, Problem) else None


@pytest.mark.parametrize(
    ('created', 'expected'),
    [
        (START_TIME - 1, ProblemType.REQUEST_ID_EXPIRED),
        (START_TIME + CLOCK_MARGIN - 0.01, ProblemType.REQUEST_ID_EXPIRED),
        (START_TIME + CLOCK_MARGIN + 0.01, None),
        (NOW + FUTURE_TOLERANCE - 0.01, None),
        (
            NOW + FUTURE_TOLERANCE + 0.01,
            ProblemType.REQUEST_ID_FROM_FUTURE,
        ),
    ],
)
def test_unknown_ids_by_age(
    created: float, expected: ProblemType | None
) -> None:
    """An unknown id may run only if its age shows that it has never run.

    An older id may have run on another entry VM before this ledger was
    opened.  An id too far in the future is refused, since with an unlimited
    lead an older id would look new.
    """
    result = Ledger(START_TIME).check(
        make_request_id(created, 0), FINGERPRINT, NOW
    )
    assert problem_type(result) is expected


def test_id_with_a_fast_clock_may_have_run_elsewhere() -> None:
    """A new ledger does not report an id as not run that a peer may have run.

    The caller's clock and the peer's clock may both be fast, so that the id
    looks newer than the ledger although it ran before.
    """
    created = START_TIME + FUTURE_TOLERANCE + 0.1
    result = Ledger(START_TIME).check(
        make_request_id(created, 0), FINGERPRINT, START_TIME
    )
    assert isinstance(result, Problem)
    assert result.outcome is Outcome.MAY_HAVE_RUN


def test_known_ids() -> None:
    """A known id returns its stored result, but not for another request.

    Otherwise a caller that reuses an id would get the result of the wrong
    request.
    """
    ledger = Ledger(START_TIME)
    entry = make_entry(START_TIME + 5)
    ledger.remember(entry)
    assert ledger.check(entry.request_id, FINGERPRINT, NOW) == PAID
    other_result = ledger.check(entry.request_id, b'other', NOW)
    assert problem_type(other_result) is ProblemType.REQUEST_ID_REUSED


def test_evicted_ids_are_refused() -> None:
    """Ids evicted by number or by age are refused.

    If an evicted id counted as unknown and new, a resent request would run
    twice.
    """
    ledger = Ledger(START_TIME)
    entries = [
        make_entry(START_TIME + 2 + number / 1000, number)
        for number in range(MAX_ENTRIES + 3)
    ]
    for entry in entries:
        ledger.remember(entry)
    assert len(ledger.entries) == MAX_ENTRIES
    for entry in entries[:3]:
        result = ledger.check(entry.request_id, FINGERPRINT, NOW)
        assert problem_type(result) is ProblemType.REQUEST_ID_EXPIRED
    assert ledger.check(entries[3].request_id, FINGERPRINT, NOW) == PAID
    after_retention = NOW + RETENTION_PERIOD
    result = ledger.check(entries[-1].request_id, FINGERPRINT, after_retention)
    assert problem_type(result) is ProblemType.REQUEST_ID_EXPIRED
    assert not ledger.entries


def test_id_is_kept_when_its_response_is_evicted() -> None:
    """An id whose response was evicted is still known to have run.

    The size limit of responses must not let a resent request run again.
    """
    ledger = Ledger(START_TIME)
    first = make_entry(START_TIME + 5)
    ledger.remember(first)
    largest = Response(200, body=bytes(MAX_RESPONSE_BYTES))
    request_id = make_request_id(START_TIME + 6, 1)
    ledger.remember(LedgerEntry(request_id, FINGERPRINT, largest))
    result = ledger.check(first.request_id, FINGERPRINT, NOW)
    assert problem_type(result) is ProblemType.ALREADY_RUN
    assert ledger.check(request_id, FINGERPRINT, NOW) == largest


def make_extract() -> LedgerExtract:
    """Make an extract of a ledger, encoded and decoded as on a link."""
    ledger = Ledger(START_TIME - 100)
    ledger.remember(make_entry(START_TIME))
    extract = LedgerExtract.from_ledger(GRANT.partition, ledger)
    received = decode('LedgerExtract', encode(extract))
    assert isinstance(received, LedgerExtract)
    return received


@pytest.mark.parametrize(
    ('delay', 'expected'),
    [(IMPORT_LIFETIME / 2, PAID), (IMPORT_LIFETIME * 1.1, None)],
)
def test_handover_before_the_lease(
    delay: float, expected: Response | None
) -> None:
    """A staged ledger expires unless the lease is granted in time.

    In a longer gap another entry VM may have held the lease and run requests
    that the ledger does not contain.
    """
    rights = FakeRights()
    ledgers = PartitionLedgers('t', rights)
    ledgers.observe(10, START_TIME)
    ledgers.stage(make_extract(), GRANT, 10)
    granted_at = 10 + delay
    rights.answer = Right.GRANTED
    rights.expiry = granted_at + LEASE_DURATION
    ledgers.observe(granted_at, START_TIME + delay)
    ledger = ledgers.ledger(GRANT, granted_at, START_TIME + delay)
    result = ledger.check(
        make_entry(START_TIME).request_id, FINGERPRINT, START_TIME + delay
    )
    if expected is None:
        assert problem_type(result) is ProblemType.REQUEST_ID_EXPIRED
    else:
        assert result == expected


def test_handover_under_an_unbroken_lease() -> None:
    """A staged ledger stays complete while the lease is held without a gap.

    It is used only for its own grant: a ledger for another fence starts
    empty.
    """
    rights = FakeRights(Right.PENDING, 10 + LEASE_DURATION)
    ledgers = PartitionLedgers('t', rights)
    ledgers.observe(10, START_TIME)
    ledgers.stage(make_extract(), GRANT, 10)
    for step in range(1, 40):
        rights.expiry = 10 + step / 10 + LEASE_DURATION
        ledgers.observe(10 + step / 10, START_TIME + step / 10)
    rights.answer = Right.GRANTED
    ledger = ledgers.ledger(GRANT, 14, START_TIME + 4)
    assert ledger.since == START_TIME - 100
    other_ledger = ledgers.ledger(Grant(GRANT.partition, 2), 14, START_TIME + 4)
    assert other_ledger.since == START_TIME + 4
