"""Decisions on the connections of clients, without a network."""

from __future__ import annotations

import math
import resource

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodmast.edge.connection_limits import ConnectionLimits
from dogwoodmast.edge.connection_phase import (
    Discarding,
    EndReason,
    Idle,
    Opened,
    Phase,
    ReadingBody,
    ReadingHead,
    Serving,
    Unread,
    time_limit,
)
from dogwoodmast.edge.connection_table import (
    UNCOUNTED_BYTES,
    ConnectionTable,
    make_connection_table,
)
from dogwoodmast.edge.connection_times import ConnectionTimes
from dogwoodmast.edge.message_meter import (
    FIELD_OVERHEAD_BYTES,
    LINE_ALLOWANCE,
    MessageMeter,
    Stage,
)

LIMITS = ConnectionLimits(
    header_bytes=1000, body_bytes=500, header_time=3, idle_time=15
)
BYTE_LIMIT = 100_000
SINCE = 100.0


@attrs.define(eq=False)
class FakeConnection:
    """Connection that records why it was ended."""

    ended: list[EndReason] = attrs.field(factory=list)
    checked: list[float] = attrs.field(factory=list)
    has_unsent: bool = False

    def end(self, reason: EndReason) -> None:
        """Record the reason."""
        self.ended.append(reason)

    def check_time(self, now: float) -> None:
        """Record the time."""
        self.checked.append(now)


@pytest.fixture
def table(monkeypatch: pytest.MonkeyPatch) -> ConnectionTable:
    """Make a table for three connections that starts no timer."""
    monkeypatch.setattr(ConnectionTable, '_watch', lambda _self: None)
    return ConnectionTable(3, BYTE_LIMIT)


@pytest.fixture
def connections(table: ConnectionTable) -> list[FakeConnection]:
    """Open as many connections as there may be."""
    opened = [FakeConnection() for _ in range(table.connection_limit)]
    for one in opened:
        table.add(one)
    return opened


@pytest.mark.parametrize(
    ('phase', 'seconds'),
    [
        (Opened(SINCE), LIMITS.header_time),
        (ReadingHead(SINCE), LIMITS.header_time),
        (Discarding(SINCE), LIMITS.header_time),
        (ReadingBody(SINCE), LIMITS.idle_time),
        (Unread(SINCE), LIMITS.idle_time),
        (Idle(SINCE), LIMITS.idle_time),
        (Serving(), math.inf),
    ],
)
def test_phase_lasts_beyond_its_limit(phase: Phase, seconds: float) -> None:
    """Each phase in which a client is awaited ends."""
    assert time_limit(phase, LIMITS).ends_at == SINCE + seconds


def test_trickled_head_extends_its_time() -> None:
    """The limit counts from the first byte, not from the latest one."""
    times = ConnectionTimes(SINCE)
    for second in range(5):
        times.read_at = SINCE + second
        times.on_head_bytes()
    phase = times.phase(Stage.HEAD, is_served=False, is_paused=False)
    assert phase == ReadingHead(SINCE)


def test_request_in_service_is_ended_for_a_pause_in_reading() -> None:
    """A body is awaited only while the connection reads."""
    times = ConnectionTimes(SINCE)
    awaited = times.phase(Stage.BODY, is_served=True, is_paused=False)
    paused = times.phase(Stage.BODY, is_served=True, is_paused=True)
    assert (awaited, paused) == (ReadingBody(SINCE), Serving())


def test_slow_reader_counts_as_stalled() -> None:
    """Each look finds that a few more bytes have been taken."""
    times = ConnectionTimes(SINCE)
    written = 1000
    for second in range(20):
        times.check_unread(SINCE + second, written, written - second)
    phase = times.phase(Stage.BETWEEN, is_served=False, is_paused=False)
    assert phase == Opened(SINCE)
    for second in range(20, 30):
        times.check_unread(SINCE + second, written, written - 19)
    phase = times.phase(Stage.BETWEEN, is_served=False, is_paused=False)
    assert phase == Unread(SINCE + 20)


@given(st.lists(st.integers(0, 200), max_size=30))
def test_headers_within_the_limit_are_refused(sizes: list[int]) -> None:
    """Headers exceed the limit exactly when their sum does."""
    meter = MessageMeter()
    meter.on_begin()
    total = 0
    for size in sizes:
        meter.unreported += size + FIELD_OVERHEAD_BYTES
        meter.on_field(b'', bytes(size))
        total += size + FIELD_OVERHEAD_BYTES
    is_refused = meter.excess(LIMITS) is EndReason.HEADER_BYTES
    assert is_refused is (total > LIMITS.header_bytes)


def test_endless_line_is_read() -> None:
    """The parser reports nothing of it."""
    meter = MessageMeter()
    allowed = LIMITS.header_bytes + LINE_ALLOWANCE
    meter.unreported += allowed
    assert meter.excess(LIMITS) is None
    meter.unreported += 1
    assert meter.excess(LIMITS) is EndReason.HEADER_BYTES


def test_long_body_counts_as_a_line() -> None:
    """What is reported of a body is kept elsewhere."""
    meter = MessageMeter()
    meter.on_begin()
    meter.on_head_end()
    for _ in range(100):
        meter.on_body_bytes(LINE_ALLOWANCE, is_discarded=False)
        meter.on_body(LINE_ALLOWANCE)
    assert meter.excess(LIMITS) is None


def test_rest_of_a_body_is_read_without_end() -> None:
    """Its response is complete."""
    meter = MessageMeter()
    meter.on_begin()
    meter.on_head_end()
    meter.on_body_bytes(LIMITS.body_bytes, is_discarded=True)
    assert meter.excess(LIMITS) is None
    meter.on_body_bytes(1, is_discarded=True)
    assert meter.excess(LIMITS) is EndReason.DISCARDED_BYTES
    meter.on_end()
    assert meter.excess(LIMITS) is None


def test_heads_behind_a_body_are_parsed_with_it() -> None:
    """A piece ends with the body, however many requests follow."""
    meter = MessageMeter()
    headers = [(b'content-length', b'5000')]
    assert meter.piece_size(100_000, headers) < 1000
    meter.on_begin()
    meter.on_head_end()
    assert meter.piece_size(100_000, headers) == 5000
    meter.on_body(4999)
    assert meter.piece_size(100_000, headers) < 1000


def test_connection_that_is_served_is_ended_for_a_new_one(
    table: ConnectionTable, connections: list[FakeConnection]
) -> None:
    """The one that has waited longest is ended instead."""
    table.on_served(connections[0])
    table.on_served(connections[1])
    table.on_waiting(connections[1])
    table.add(FakeConnection())
    assert [one.ended for one in connections] == [
        [],
        [],
        [EndReason.CONNECTIONS],
    ]


def test_response_is_lost_to_a_new_connection(
    table: ConnectionTable, connections: list[FakeConnection]
) -> None:
    """The connection that has waited longest has yet to send a part of it."""
    connections[0].has_unsent = True
    table.add(FakeConnection())
    assert [one.ended for one in connections] == [
        [],
        [EndReason.CONNECTIONS],
        [],
    ]


def test_unread_responses_keep_new_connections_out(
    table: ConnectionTable, connections: list[FakeConnection]
) -> None:
    """All that wait have something left to send."""
    for one in connections:
        one.has_unsent = True
    table.add(FakeConnection())
    assert connections[0].ended == [EndReason.CONNECTIONS]


def test_new_connection_is_taken_beyond_the_limit(
    table: ConnectionTable, connections: list[FakeConnection]
) -> None:
    """All others are served."""
    for one in connections:
        table.on_served(one)
    refused = FakeConnection()
    table.add(refused)
    assert refused.ended == [EndReason.CONNECTIONS]
    assert table.open_count == table.connection_limit
    assert not any(one.ended for one in connections)


def test_small_holder_is_ended_for_a_large_one(
    table: ConnectionTable, connections: list[FakeConnection]
) -> None:
    """Those that hold most are ended until the others fit."""
    small, larger, largest = connections
    table.hold(small, 20_000)
    table.hold(largest, 50_000)
    table.hold(larger, 40_000)
    assert largest.ended == [EndReason.MEMORY]
    assert not small.ended + larger.ended
    assert table.held == 60_000


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 2 * BYTE_LIMIT)),
        max_size=50,
    )
)
def test_held_bytes_exceed_the_limit(steps: list[tuple[int, int]]) -> None:
    """They are the sum of what the open connections hold."""
    table = ConnectionTable(3, BYTE_LIMIT)
    opened = [FakeConnection() for _ in range(3)]
    held = {}
    for one in opened:
        table._open[one] = None
    for index, count in steps:
        table.hold(opened[index], count)
        held[index] = count if count > UNCOUNTED_BYTES else 0
        rest = [held.get(at, 0) for at in range(3) if not opened[at].ended]
        assert table.held <= BYTE_LIMIT
        assert table.held == sum(rest)


def test_table_ignores_the_limit_of_the_operating_system() -> None:
    """The smaller one of both limits counts."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert make_connection_table(0.5).connection_limit <= soft / 2
    assert make_connection_table(0.5, descriptors=100).connection_limit == 50
    table = make_connection_table(memory=160)
    assert table.byte_limit == 20_000_000


def test_check_leaves_connections_out(
    table: ConnectionTable, connections: list[FakeConnection]
) -> None:
    """Each is checked with the same time."""
    table.check(SINCE)
    assert all(one.checked == [SINCE] for one in connections)
