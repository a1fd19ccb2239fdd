"""Clients that do not keep to the limits, many at a time.

Each client has a thread of its own, which sends and reads with a blocking
socket, so that the event loop of the test stays free.
"""

from __future__ import annotations

import contextlib
import os
import pathlib
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address

if TYPE_CHECKING:
    from collections.abc import Iterator

CONNECT_TIMEOUT = 10.0
"""Time limit for a connection, in seconds."""
PIECE_BYTES = 65_536
"""Least number of bytes that a client sends at a time."""
SAMPLE_INTERVAL = 0.02
"""Pause between two samples of a process, in seconds."""
BLOCKED_INTERVAL = 0.001
"""Pause of a client whose connection takes no bytes, in seconds."""
ABANDONED_BYTES = 1_048_576
"""Bytes that a client sends before it leaves."""
READ_BYTES = 1024
"""Bytes that a client reads at a time."""


@attrs.frozen
class Flood:
    """What a client sends as fast as it is taken."""

    repeated: bytes
    """Bytes that are sent again and again."""
    start: bytes = b''
    """Bytes that are sent first."""
    read_interval: float = 0
    """Pause between two reads in seconds, or 0 to read nothing."""
    is_abandoned: bool = False
    """Whether the client leaves after a megabyte, and connects again."""


@attrs.frozen
class Trickle:
    """What a client sends slowly."""

    repeated: bytes = b''
    """Bytes that are sent after each pause."""
    start: bytes = b''
    """Bytes that are sent first."""
    interval: float = 0.5
    """Pause in seconds."""


@attrs.define(eq=False)
class Crowd:
    """Clients that all do the same to one address."""

    address: Address
    """Address that they connect to."""
    behaviour: Flood | Trickle
    """What each client sends."""
    connections: int
    """Number of clients."""
    seconds: float
    """Longest time for which they send, in seconds."""
    byte_limit: int = 67_108_864
    """Largest number of bytes that each client sends."""
    ended: int = 0
    """Number of clients whose connection the server has closed."""
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def run(self) -> None:
        """Run all clients until they have ended."""
        with ThreadPoolExecutor(self.connections) as pool:
            until = time.monotonic() + self.seconds
            for _ in range(self.connections):
                pool.submit(self._run_client, until)

    def _run_client(self, until: float) -> None:
        match self.behaviour:
            case Flood(is_abandoned=True):
                self._flood_again(self.behaviour, until)
            case Flood():
                with contextlib.suppress(OSError):
                    self._flood(self.behaviour, until, self.byte_limit)
            case Trickle():
                self._trickle(self.behaviour, until)

    def _connect(self) -> socket.socket:
        address = (self.address.host, self.address.port)
        return socket.create_connection(address, CONNECT_TIMEOUT)

    def _flood(self, flood: Flood, until: float, limit: int) -> None:
        size = len(flood.repeated)
        piece = memoryview(flood.repeated * (PIECE_BYTES // size + 1))
        with self._connect() as opened:
            opened.sendall(flood.start)
            opened.setblocking(False)
            sent = 0
            read_at = time.monotonic()
            while sent < limit and time.monotonic() < until:
                # A piece that was taken in part goes on where it was cut.
                taken = _try_send(opened, piece[sent % size :])
                sent += taken
                if flood.read_interval and time.monotonic() >= read_at:
                    read_at = time.monotonic() + flood.read_interval
                    _try_read(opened)
                if not taken:
                    time.sleep(BLOCKED_INTERVAL)

    def _flood_again(self, flood: Flood, until: float) -> None:
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                self._flood(flood, until, ABANDONED_BYTES)

    def _trickle(self, trickle: Trickle, until: float) -> None:
        # An error says that the server has closed or refused the connection.
        with contextlib.suppress(OSError), self._connect() as opened:
            opened.settimeout(trickle.interval)
            opened.sendall(trickle.start)
            while not _is_closed(opened):
                opened.sendall(trickle.repeated)
                if time.monotonic() >= until:
                    return
        with self._lock:
            self.ended += 1


def _try_send(opened: socket.socket, piece: memoryview) -> int:
    """Send what a connection takes at once."""
    with contextlib.suppress(BlockingIOError):
        return opened.send(piece)
    return 0


def _try_read(opened: socket.socket) -> None:
    """Read what has arrived on a connection."""
    with contextlib.suppress(BlockingIOError):
        opened.recv(READ_BYTES)


def _is_closed(opened: socket.socket) -> bool:
    """Read for a while, and tell whether the connection has ended."""
    try:
        return not opened.recv(READ_BYTES)
    except TimeoutError:
        return False


@attrs.define(eq=False)
class ProcessUsage:
    """Memory and descriptors that a process takes."""

    pid: int
    """Process."""
    descriptors: int = 0
    """Largest number of descriptors that were open at a time."""

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        status = pathlib.Path(f'/proc/{self.pid}/status')
        with contextlib.suppress(OSError):
            return 'State:\tZ' not in status.read_text()
        return False

    @property
    def peak_memory(self) -> int:
        """Largest resident memory so far, in bytes."""
        lines = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        for line in lines.splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * 1024
        raise AssertionError(lines)

    @contextlib.contextmanager
    def sampled(self) -> Iterator[None]:
        """Count descriptors until the block ends."""
        has_ended = threading.Event()
        sampler = threading.Thread(target=self._sample, args=(has_ended,))
        sampler.start()
        try:
            yield
        finally:
            has_ended.set()
            sampler.join()

    def _sample(self, has_ended: threading.Event) -> None:
        while not has_ended.wait(SAMPLE_INTERVAL):
            with contextlib.suppress(OSError):
                count = len(os.listdir(f'/proc/{self.pid}/fd'))
                self.descriptors = max(self.descriptors, count)
