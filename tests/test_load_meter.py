"""Load meter of an entry VM: average rates, hot keys and bounded sizes."""

from __future__ import annotations

import pytest

from dogwoodmast.hot_keys import MAX_COUNTED_KEYS, HotKeyTracker
from dogwoodmast.load_meter import (
    MAX_REPORTED_KEYS,
    MAX_REPORTED_PARTITIONS,
    LoadMeter,
)


def run_load(
    meter: LoadMeter, start: int, seconds: int, rates: dict[str, int]
) -> None:
    """Report finished requests of 20 ms, each key in its own partition.

    :param meter: Meter that measures the requests.
    :param start: Time at which the load starts, in seconds.
    :param seconds: Duration of the load, in seconds.
    :param rates: Requests per second by key.
    """
    for second in range(start, start + seconds):
        for partition, (key, rate) in enumerate(rates.items()):
            for _ in range(rate):
                meter.on_finished('s', partition, key, 0.02, second + 0.5)
        meter.report(second + 1)


def test_rates_are_unbiased_and_decay() -> None:
    """Rates are correct from the start and decay after the load has ended.

    Guards against rates that are too low at the start because the averages
    begin at zero, against a planner that sees an old load for long, and
    against idle partitions that stay in the reports.
    """
    meter = LoadMeter(0)
    run_load(meter, 0, 2, {'a': 50, 'b': 10})
    early = meter.report(2).partitions
    assert [load.partition for load in early] == [0, 1]
    assert early[0].rate == pytest.approx(50)
    assert early[0].busy == pytest.approx(1)
    run_load(meter, 2, 30, {'a': 5, 'b': 10})
    later = meter.report(32).partitions
    assert [load.partition for load in later] == [1, 0]
    assert later[1].rate == pytest.approx(5, rel=0.6)
    run_load(meter, 32, 150, {})
    assert not meter.report(182).partitions


def test_hottest_keys_change() -> None:
    """The hottest keys come first, also after others have become hot.

    Guards against former hot keys that hide new ones, and against rates
    that are overestimated.
    """
    meter = LoadMeter(0)
    cold_keys = {f'c{number}': 1 for number in range(200)}
    run_load(meter, 0, 20, cold_keys | {'x': 30, 'y': 20})
    first = meter.report(20).hot_keys
    assert [load.key for load in first[:2]] == ['x', 'y']
    assert len(first) == MAX_REPORTED_KEYS
    run_load(meter, 20, 20, cold_keys | {'z': 30})
    second = meter.report(40).hot_keys
    assert second[0].key == 'z'
    assert second[0].rate <= 30


def test_memory_and_reports_are_bounded() -> None:
    """Counted keys and reported partitions are bounded in number.

    Guards against memory and reports that grow with the number of different
    keys or partitions, and against a report that leaves out the busiest
    partition.
    """
    tracker = HotKeyTracker()
    for number in range(MAX_COUNTED_KEYS + 100):
        tracker.on_request('s', f'k{number}')
    tracker.on_request('s', f'k{MAX_COUNTED_KEYS + 99}')
    tracker.end_window(1, 0)
    rates = [rate for _, rate in tracker.hottest(MAX_COUNTED_KEYS)]
    assert max(rates) == 1
    meter = LoadMeter(0)
    for number in range(MAX_REPORTED_PARTITIONS + 100):
        meter.on_finished('s', number, 'k', 0.01 + number, 0.5)
    reported = meter.report(1).partitions
    assert len(reported) == MAX_REPORTED_PARTITIONS
    assert reported[0].partition == MAX_REPORTED_PARTITIONS + 99
