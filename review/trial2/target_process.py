"""Targets in processes of their own, which are back some time after a crash."""

from __future__ import annotations

import asyncio
import os
import pathlib
import subprocess
import sys
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING

import attrs

from trial2.entry_vm import ROOT
from trial2.platform import HEARTBEAT, Listing
from trial2.target import POISON_CALLER
from trial2.waiting import wait_for

if TYPE_CHECKING:
    from metadata_store import StoreContent

MISSED_HEARTBEATS = 3
"""Heartbeats after which the store removes the entry of a silent target."""


@attrs.frozen
class Run:
    """Request that a target began to run."""

    at: float
    """Monotonic time, in seconds."""
    target: str
    """Name of the target."""
    attempt: str
    """Attempt ID."""
    is_crash: bool
    """Whether the target ended then."""


def read_runs(log: pathlib.Path) -> list[Run]:
    """Read what targets began to run.

    :param log: File that they wrote.
    :return: Requests in order.
    """
    if not log.exists():
        return []
    rows = (line.split() for line in log.read_text().splitlines())
    return [
        Run(float(at), target, attempt, kind == 'crash')
        for at, target, attempt, kind in rows
    ]


@attrs.define(eq=False)
class TargetProcess:
    """Target that is started again under its ID and address when it ends."""

    listing: Listing
    """Its entry in the store."""
    log: pathlib.Path
    """File for what it begins to run."""
    is_sharded: bool
    """Whether its service is divided by key."""
    down_time: float
    """Time from its end until it is started again, in seconds."""
    work_time: float = 0.02
    """Time that a request takes, in seconds."""
    crashes: int = 0
    """Number of its ends so far."""

    async def run(self, content: StoreContent) -> None:
        """Run it and write its entry until cancelled.

        :param content: Content of the store.
        """
        with ExitStack() as stack:
            while True:
                self.listing.born = int(time.time() * 1000)
                process = stack.enter_context(self._start())
                stack.callback(process.kill)
                has_ended = False
                while not has_ended:
                    self.listing.write(content)
                    has_ended = await _wait_for_end(process, HEARTBEAT)
                self.crashes += 1
                await self._stay_down(content)

    async def _stay_down(self, content: StoreContent) -> None:
        silence = MISSED_HEARTBEATS * HEARTBEAT
        await asyncio.sleep(min(self.down_time, silence))
        if self.down_time > silence:
            content.write([], [f'servers/{self.listing.name}'])
            await asyncio.sleep(self.down_time - silence)

    def _start(self) -> subprocess.Popen[bytes]:
        command = [sys.executable, '-m', 'trial2.target', self.listing.name]
        command += [str(self.listing.address), str(self.log)]
        command.append(str(self.work_time))
        if self.is_sharded:
            command.append('sharded')
        return subprocess.Popen(command, cwd=ROOT, env=dict(os.environ))


async def _wait_for_end(
    process: subprocess.Popen[bytes], seconds: float
) -> bool:
    async def has_ended() -> bool:
        return process.poll() is not None

    return await wait_for(has_ended, seconds)


@attrs.frozen
class PoisonRule:
    """Rule on requests that crash targets, as the pages state it.

    Such a request reaches targets in no more than three retries that machines
    in touch have sent later than ``contact_s`` after it crashed the third.
    """

    contact: float = 3.0
    """``contact_s``, in seconds."""
    crashes: int = 3
    """Crashes from which on retries count."""
    allowed: int = 3
    """Retries that may reach targets then."""

    def late_retries(self, runs: list[Run]) -> list[str]:
        """List the retries that count.

        :param runs: What targets began to run.
        :return: Attempt IDs of the requests that reached a target later.
        """
        ends = [one for one in runs if one.is_crash]
        if len(ends) < self.crashes:
            return []
        since = ends[self.crashes - 1].at + self.contact
        return sorted({one.attempt for one in ends if one.at > since})

    def is_kept(self, runs: list[Run]) -> bool:
        """Tell whether the rule was kept.

        :param runs: What targets began to run.
        :return: Whether it was.
        """
        return len(self.late_retries(runs)) <= self.allowed


POISON_HEADERS = {'Authorization': POISON_CALLER}
"""Headers of the caller whose requests crash targets."""
