"""Fleet of processes whose processor time is measured under load."""

from __future__ import annotations

import os
import pathlib
import tempfile
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.load_tool.plan import KeyLoad, LoadPlan
from dogwoodmast.load_tool.runner import LoadRun
from dogwoodmast.load_tool.summary import LoadSummary
from fleet import Fleet, make_configuration

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from dogwoodmast.configuration import Configuration

CANDIDATE_KEYS = 400
"""Number of keys that are looked up to find some of each target."""
CALIBRATION_STEPS = 1_000_000
"""Number of additions by which the speed of the machine is measured."""
USER_TIME_FIELD = 11
"""Index of the user time in ``/proc/PID/stat``, counted after the name of the
process; the system time follows."""


@attrs.frozen
class Measurement:
    """Measurement of one load run against the fleet."""

    summary: LoadSummary
    """Summary of the load run, as seen by the caller."""
    cpu: dict[str, float]
    """Processor time per process during the run, in seconds; this process is
    named ``caller``."""

    def cpu_per_request(self, *names: str) -> float:
        """Compute the processor time per request of some processes together.

        :param names: Names of the processes.
        :return: Processor time in microseconds.
        """
        cpu_used = sum(self.cpu[name] for name in names)
        return cpu_used * 1e6 / max(self.summary.total.requests, 1)


class MeasuredFleet(Fleet):
    """Fleet against which load plans are run."""

    @property
    def urls(self) -> dict[str, str]:
        """Base URL of each entry VM and target, by name."""
        plan = self.plan
        entries = {entry.name: f'http://{entry.http}' for entry in plan.entries}
        backends = {
            target.name: f'http://{target.address}' for target in plan.targets
        }
        return entries | backends

    def keys_per_target(self) -> dict[str, tuple[str, ...]]:
        """Request keys to find out which target owns them.

        :return: Keys per target.
        """
        keys_by_target: dict[str, list[str]] = {}
        entry = self.plan.entries[0].name
        for number in range(CANDIDATE_KEYS):
            key = f'key-{number}'
            response = self.request(entry, 'GET', f'/balance/{key}/x').document
            keys_by_target.setdefault(str(response['target']), []).append(key)
        return {target: tuple(keys) for target, keys in keys_by_target.items()}

    def measure(self, plan: LoadPlan) -> Measurement:
        """Run a load plan in this process.

        :param plan: Load plan.
        :return: Measurement of the run.
        """
        cpu_before = self._read_cpu_times()
        summary = anyio.run(
            LoadRun(plan).run,
            backend='asyncio',
            backend_options={'use_uvloop': True},
        )
        cpu_used = {
            name: seconds - cpu_before[name]
            for name, seconds in self._read_cpu_times().items()
            if name in cpu_before
        }
        return Measurement(summary, cpu_used)

    def _read_cpu_times(self) -> dict[str, float]:
        seconds = {
            name: _read_cpu_time(process.pid)
            for name, process in self._processes.items()
        }
        caller_times = os.times()
        seconds['caller'] = caller_times.user + caller_times.system
        return seconds


@contextmanager
def start_fleet(
    backends_per_zone: int,
    backend_options: tuple[str, ...] = (),
    modify: Callable[[Configuration], Configuration] | None = None,
) -> Iterator[MeasuredFleet]:
    """Start a fleet with one entry VM per zone and wait until it is ready.

    :param backends_per_zone: Number of stand-in back ends per zone.
    :param backend_options: Command-line flags of each stand-in back end.
    :param modify: Function that modifies the configuration before it is
        applied, or ``None``.
    :yield: Running fleet.
    """
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory)
        fleet = MeasuredFleet(path, 1, backends_per_zone, backend_options)
        with fleet:
            configuration = make_configuration(fleet.plan)
            if modify is not None:
                configuration = modify(configuration)
            fleet.start()
            fleet.apply(configuration, base=0)
            fleet.await_ready()
            yield fleet


def describe_machine() -> str:
    """Measure the speed and load of the machine, so that runs can be compared.

    :return: Time per addition and the load average of the last minute, as
        text.
    """
    start_time = time.perf_counter()
    sum(range(CALIBRATION_STEPS))
    nanoseconds = (time.perf_counter() - start_time) / CALIBRATION_STEPS * 1e9
    load = os.getloadavg()[0]
    return f'sum step {nanoseconds:.0f} ns, load average {load:.1f}'


def uniform_key_load(keys: tuple[str, ...]) -> KeyLoad:
    """Create a uniform distribution over keys.

    :param keys: Keys of the requests.
    :return: Key distribution for a load plan.
    """
    return KeyLoad(count=len(keys), names=keys)


def _read_cpu_time(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = fields[USER_TIME_FIELD : USER_TIME_FIELD + 2]
    return sum(int(tick) for tick in ticks) / os.sysconf('SC_CLK_TCK')
