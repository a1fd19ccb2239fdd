"""Fixtures that all tests share."""

from __future__ import annotations

import os
import secrets
from typing import TYPE_CHECKING

import pytest
from hypothesis import settings

from fleet import Fleet, make_configuration

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

pytest_plugins = ('known_red',)

pytest.register_assert_rewrite('failure_run')
SOAK_SEEDS = (1, 55_572_538)
"""Seeds of the soak in a usual run; the second failed once, its cause open."""
MOST_SEEDS = 1_000_000_000

settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=100, database=None
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option for the long failure runs."""
    parser.addoption(
        '--long', action='store_true', help='run the long failure runs too'
    )
    parser.addoption(
        '--soak-seed', type=int, action='append', help='soak with this seed'
    )
    parser.addoption(
        '--soak-seeds', type=int, default=0, help='soak with fresh seeds'
    )


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Choose the seeds of soaks."""
    if 'soak_seed' not in metafunc.fixturenames:
        return
    given = metafunc.config.getoption('--soak-seed') or []
    count = metafunc.config.getoption('--soak-seeds')
    fresh = [secrets.randbelow(MOST_SEEDS) for _ in range(count)]
    metafunc.parametrize('soak_seed', given + fresh or SOAK_SEEDS)


def pytest_configure(config: pytest.Config) -> None:
    """Register the mark of long failure runs."""
    config.addinivalue_line('markers', 'long: runs only with --long')


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Leave the long failure runs to ``pytest --long``."""
    if config.getoption('--long'):
        return
    left_out = [item for item in items if item.get_closest_marker('long')]
    config.hook.pytest_deselected(items=left_out)
    for item in left_out:
        items.remove(item)


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio."""
    return 'asyncio'


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    """Start a fleet of separate processes in three zones."""
    with Fleet(tmp_path) as running:
        running.start()
        running.apply(make_configuration(running.plan), base=0)
        running.await_ready()
        yield running


@pytest.fixture
def fleet_of_nine(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    """Start a fleet with three entry VMs and two back ends a zone."""
    with Fleet(tmp_path, entries_per_zone=3) as running:
        running.start()
        running.apply(make_configuration(running.plan), base=0)
        running.await_ready()
        yield running


@pytest.fixture
def relayed_fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    """Start a fleet of nine entry VMs whose connections can be cut."""
    with Fleet(tmp_path, entries_per_zone=3, relayed=True) as running:
        running.start()
        running.apply(make_configuration(running.plan), base=0)
        running.await_ready()
        yield running
