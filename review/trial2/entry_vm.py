"""Process of an entry VM, with the command of the deploy file."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address
from trial2.ports import free_addresses

if TYPE_CHECKING:
    import signal
    from types import TracebackType

ROOT = pathlib.Path(__file__).resolve().parents[2]
LISTENERS = ('callers', 'readiness', 'links', 'metrics', 'relay')
STOP_TIMEOUT = 8.0
"""Time that a process has to end, in seconds."""


@attrs.define(eq=False)
class EntryVm:
    """Entry VM that can be started several times at the same addresses."""

    name: str
    """Name of the VM."""
    store: Address
    """Address of the store."""
    folder: pathlib.Path
    """Folder for its settings and its log."""
    listen: dict[str, Address] = attrs.field(
        factory=lambda: dict(
            zip(LISTENERS, free_addresses(len(LISTENERS)), strict=True)
        )
    )
    """Addresses that it listens on, by name."""
    process: subprocess.Popen[bytes] | None = None
    """Its process, once it was started."""

    @property
    def callers(self) -> Address:
        """Address for callers."""
        return self.listen['callers']

    @property
    def settings(self) -> pathlib.Path:
        """Settings file."""
        return self.folder / f'{self.name}.toml'

    @property
    def log(self) -> pathlib.Path:
        """Log of all its processes."""
        return self.folder / f'{self.name}.log'

    def write_settings(self) -> None:
        """Write the settings as the template of the deploy file gives them."""
        listen = '\n'.join(
            f'{name} = "{address}"' for name, address in self.listen.items()
        )
        self.settings.write_text(
            'regions = { "a" = "r" }\n'
            f'[vm]\nname = "{self.name}"\nzone = "a"\n'
            f'[listen]\n{listen}\n'
            f'[store]\naddress = "{self.store}"\n'
            '[capacity]\nlink_mbps = 1000.0\ncpu_share = 0.86\n'
            'memory_mb = 300\ndescriptors = 4100\ncores = 1\n'
        )

    def start(self) -> None:
        """Start its process."""
        self.write_settings()
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'dogwoodmast.direct',
                    str(self.settings),
                ],
                cwd=ROOT,
                env={
                    **os.environ,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                },
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs.

        :param number: Signal.
        """
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also a stopped one, and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait(STOP_TIMEOUT)

    def __enter__(self) -> EntryVm:
        """Return the VM itself, which is not started.

        :return: The VM.
        """
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill the process.

        :param kind: Type of the exception that ended the block, if any.
        :param error: The exception.
        :param traceback: Its traceback.
        """
        self.kill()
