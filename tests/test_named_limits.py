"""What an entry VM knows of the rate limits that targets name."""

from __future__ import annotations

import pytest

from dogwoodmast.direct.named_limits import (
    LAPSE_TIME,
    NO_LIMIT,
    NamedLimit,
    NamedLimits,
)
from dogwoodmast.direct.target_statement import (
    LimitStatement,
    RateLimit,
    Unlimited,
    UnreadableLimit,
)
from dogwoodmast.platform.headers import parse_response_headers

TARGET = ('s0', 1)


@pytest.mark.parametrize(
    ('text', 'statement'),
    [
        (b'4.9', RateLimit(4.9)),
        (b'0', RateLimit(0)),
        (b'12', RateLimit(12)),
        (b'.5', RateLimit(0.5)),
        (b'', UnreadableLimit()),
        (b'-1', UnreadableLimit()),
        (b'nan', UnreadableLimit()),
        (b'inf', UnreadableLimit()),
        (b'1e9', UnreadableLimit()),
        (b'5/s', UnreadableLimit()),
        (b'9' * 400, UnreadableLimit()),
    ],
)
def test_limit_is_read_or_told_to_be_unreadable(
    text: bytes, statement: LimitStatement
) -> None:
    """A value that is no rate is neither a limit nor the end of one."""
    named = parse_response_headers(200, [(b'server-limit', text)])
    assert named.statement.limit == statement
    assert parse_response_headers(200, []).statement.limit == Unlimited()


def test_delayed_response_does_not_raise_or_end_a_limit() -> None:
    """It may have been made before the limit was named."""
    limits = NamedLimits()
    limits.on_response(TARGET, RateLimit(5), 1.0, 1.1)
    limits.on_response(TARGET, RateLimit(50), 0.5, 4.0)
    assert limits.rate(TARGET) == 5
    limits.on_response(TARGET, Unlimited(), 1.05, 4.0)
    assert limits.rate(TARGET) == 5
    limits.on_response(TARGET, RateLimit(50), 1.1, 4.1)
    assert limits.rate(TARGET) == 50


def test_stricter_limit_of_a_slow_response_applies() -> None:
    """The target may have named it just before the response arrived."""
    limits = NamedLimits()
    limits.on_response(TARGET, RateLimit(50), 1.0, 1.1)
    limits.on_response(TARGET, RateLimit(5), 0.2, 1.2)
    assert limits.rate(TARGET) == 5


def test_limit_that_single_responses_leave_out_stays() -> None:
    """It ends only after it has not been named for ``LAPSE_TIME``."""
    limits = NamedLimits()
    limits.on_response(TARGET, RateLimit(5), 1.0, 1.1)
    limits.on_response(TARGET, Unlimited(), 1.2, 1.3)
    limits.on_response(TARGET, UnreadableLimit(), 1.2, 9.0)
    assert limits.rate(TARGET) == 5
    ended_at = 1.2 + LAPSE_TIME
    news: list[tuple[str, int]] = []
    limits.subscribe(news.append)
    limits.on_response(TARGET, Unlimited(), 1.2, ended_at)
    assert limits.rate(TARGET) == NO_LIMIT
    limits.on_response(TARGET, RateLimit(5), 1.1, ended_at + 0.1)
    assert news == [TARGET, TARGET]


def test_statement_of_another_vm_counts_by_its_age() -> None:
    """News overtake each other between VMs."""
    limits = NamedLimits()
    limits.on_stated(TARGET, NamedLimit(5, 2.0, 2.1))
    limits.on_stated(TARGET, NamedLimit(3, 1.0, 1.1))
    limits.on_stated(TARGET, NamedLimit(NO_LIMIT, 1.0, 1.5))
    assert limits.rate(TARGET) == 5
    limits.on_stated(TARGET, NamedLimit(NO_LIMIT, 2.2, 2.5))
    assert limits.rate(TARGET) == NO_LIMIT


def test_restarted_target_has_no_limit() -> None:
    """A limit belongs to one incarnation, and is forgotten with it."""
    limits = NamedLimits()
    limits.on_response(TARGET, RateLimit(5), 1.0, 1.1)
    assert limits.rate(('s0', 2)) == NO_LIMIT
    limits.retain([('s0', 2)])
    assert not limits.rates
