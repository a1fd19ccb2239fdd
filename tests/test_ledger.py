"""Request ids: what is remembered, refused and handed over."""

from __future__ import annotations

import pytest

from dispatch_model import EPOCH, LEASE, Rights, make_request_id
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

MARK = b'fingerprint'
LATER = EPOCH + 10
GRANT = Grant('balance/0', 1)
PAID = Response(200, (Header('a', 'b'),), b'paid')


def make_entry(created: float, salt: int = 0) -> LedgerEntry:
    """Make an entry of a request that was answered."""
    return LedgerEntry(make_request_id(created, salt), MARK, PAID)


def problem_type(result: object) -> ProblemType | None:
    """Tell the type of a problem."""
    return result.type if isinstance(result, Problem) else None


@pytest.mark.parametrize(
    ('created', 'expected'),
    [
        (EPOCH - 1, ProblemType.REQUEST_ID_EXPIRED),
        (EPOCH + CLOCK_MARGIN - 0.01, ProblemType.REQUEST_ID_EXPIRED),
        (EPOCH + CLOCK_MARGIN + 0.01, None),
        (LATER + FUTURE_TOLERANCE - 0.01, None),
        (
            LATER + FUTURE_TOLERANCE + 0.01,
            ProblemType.REQUEST_ID_FROM_FUTURE,
        ),
    ],
)
def test_age_of_unknown_ids(
    created: float, expected: ProblemType | None
) -> None:
    """An unknown id runs only if it surely never ran."""
    result = Ledger(EPOCH).check(make_request_id(created, 0), MARK, LATER)
    assert problem_type(result) is expected


def test_id_of_a_fast_clock_that_ran_elsewhere() -> None:
    """A new ledger does not call an id unrun that a skewed peer ran."""
    created = EPOCH + FUTURE_TOLERANCE + 0.1
    result = Ledger(EPOCH).check(make_request_id(created, 0), MARK, EPOCH)
    assert isinstance(result, Problem)
    assert result.outcome is Outcome.MAY_HAVE_RUN


def test_known_ids() -> None:
    """A known id gives its result, or is refused for another request."""
    ledger = Ledger(EPOCH)
    entry = make_entry(EPOCH + 5)
    ledger.remember(entry)
    assert ledger.check(entry.request_id, MARK, LATER) == PAID
    other = ledger.check(entry.request_id, b'other', LATER)
    assert problem_type(other) is ProblemType.REQUEST_ID_REUSED


def test_forgotten_ids_are_refused() -> None:
    """Whatever bound makes a ledger forget, the id does not run again."""
    ledger = Ledger(EPOCH)
    entries = [
        make_entry(EPOCH + 2 + number / 1000, number)
        for number in range(MAX_ENTRIES + 3)
    ]
    for entry in entries:
        ledger.remember(entry)
    assert len(ledger.entries) == MAX_ENTRIES
    for entry in entries[:3]:
        result = ledger.check(entry.request_id, MARK, LATER)
        assert problem_type(result) is ProblemType.REQUEST_ID_EXPIRED
    assert ledger.check(entries[3].request_id, MARK, LATER) == PAID
    much_later = LATER + RETENTION_PERIOD
    result = ledger.check(entries[-1].request_id, MARK, much_later)
    assert problem_type(result) is ProblemType.REQUEST_ID_EXPIRED
    assert not ledger.entries


def test_answers_are_bounded_but_not_their_ids() -> None:
    """An answer that is dropped leaves the fact that the request ran."""
    ledger = Ledger(EPOCH)
    first = make_entry(EPOCH + 5)
    ledger.remember(first)
    big = Response(200, body=bytes(MAX_RESPONSE_BYTES))
    request_id = make_request_id(EPOCH + 6, 1)
    ledger.remember(LedgerEntry(request_id, MARK, big))
    result = ledger.check(first.request_id, MARK, LATER)
    assert problem_type(result) is ProblemType.ALREADY_RUN
    assert ledger.check(request_id, MARK, LATER) == big


def make_extract() -> LedgerExtract:
    """Make an extract that has passed a link."""
    ledger = Ledger(EPOCH - 100)
    ledger.remember(make_entry(EPOCH))
    extract = LedgerExtract.from_ledger(GRANT.partition, ledger)
    received = decode('LedgerExtract', encode(extract))
    assert isinstance(received, LedgerExtract)
    return received


@pytest.mark.parametrize(
    ('wait', 'expected'),
    [(IMPORT_LIFETIME / 2, PAID), (IMPORT_LIFETIME * 1.1, None)],
)
def test_handover_without_the_lease(
    wait: float, expected: Response | None
) -> None:
    """A ledger that waited longer than a lease is not trusted."""
    rights = Rights()
    book = PartitionLedgers('t', rights)
    book.observe(10, EPOCH)
    book.stage(make_extract(), GRANT, 10)
    granted = 10 + wait
    rights.answer = Right.GRANTED
    rights.expiry = granted + LEASE
    book.observe(granted, EPOCH + wait)
    ledger = book.ledger(GRANT, granted, EPOCH + wait)
    result = ledger.check(make_entry(EPOCH).request_id, MARK, EPOCH + wait)
    if expected is None:
        assert problem_type(result) is ProblemType.REQUEST_ID_EXPIRED
    else:
        assert result == expected


def test_handover_under_a_lease_that_stands() -> None:
    """A ledger waits as long as nobody else can hold the target."""
    rights = Rights(Right.PENDING, 10 + LEASE)
    book = PartitionLedgers('t', rights)
    book.observe(10, EPOCH)
    book.stage(make_extract(), GRANT, 10)
    for step in range(1, 40):
        rights.expiry = 10 + step / 10 + LEASE
        book.observe(10 + step / 10, EPOCH + step / 10)
    rights.answer = Right.GRANTED
    ledger = book.ledger(GRANT, 14, EPOCH + 4)
    assert ledger.since == EPOCH - 100
    other = book.ledger(Grant(GRANT.partition, 2), 14, EPOCH + 4)
    assert other.since == EPOCH + 4
