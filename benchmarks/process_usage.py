"""Processor time, memory and output of running processes, from ``/proc``."""

from __future__ import annotations

import os
import pathlib

import attrs

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
# Indexes in /proc/PID/stat, counted after the name of the process.
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12
_BYTES_PER_KIB = 1024


@attrs.frozen
class ProcessUsage:
    """Resources that a process has used since it started."""

    cpu: float
    """Processor time, in seconds."""
    resident: int
    """Resident memory, in bytes."""
    written: int
    """Number of bytes written to sockets and files."""

    @classmethod
    def read(cls, pid: int) -> ProcessUsage:
        """Read the usage of a process of the same user.

        :param pid: Process ID.
        :return: Usage up to now.
        """
        process = pathlib.Path('/proc') / str(pid)
        stat = (process / 'stat').read_text().rpartition(')')[2].split()
        ticks = int(stat[_USER_TIME_FIELD]) + int(stat[_SYSTEM_TIME_FIELD])
        return cls(
            cpu=ticks / _TICKS_PER_SECOND,
            resident=_read_field(process / 'status', 'VmRSS') * _BYTES_PER_KIB,
            written=_read_field(process / 'io', 'wchar'),
        )

    def rate_since(self, earlier: ProcessUsage, seconds: float) -> ProcessUsage:
        """Compute the usage per second since an earlier reading.

        :param earlier: Earlier reading of the same process.
        :param seconds: Time between the two readings, in seconds.
        :return: Processor time and written bytes per second, and the current
            resident memory.
        """
        return ProcessUsage(
            cpu=(self.cpu - earlier.cpu) / seconds,
            resident=self.resident,
            written=round((self.written - earlier.written) / seconds),
        )


def _read_field(path: pathlib.Path, name: str) -> int:
    for line in path.read_text().splitlines():
        field, _, amount = line.partition(':')
        if field == name:
            return int(amount.split()[0])
    return 0
