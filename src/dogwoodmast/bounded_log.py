"""Stream for log lines that never makes the writer wait."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING, TextIO

if TYPE_CHECKING:
    from types import TracebackType

QUEUED_LINES = 2000
"""Lines that may wait to be written; at 500 bytes each, a megabyte."""
CLOSE_TIMEOUT = 0.5
"""Time in which the rest is written at a stop, in seconds."""


class BoundedStream:
    """Stream whose lines a thread of its own writes.

    Lines that find the queue full are dropped; how many is told with the
    next line that is written.
    """

    def __init__(self, stream: TextIO) -> None:
        """Wrap a stream.

        :param stream: Stream that may block.
        """
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(QUEUED_LINES)
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> BoundedStream:
        """Start writing.

        :return: The stream.
        """
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Write what is left, within a bound."""
        try:
            self._lines.put(None, timeout=CLOSE_TIMEOUT)
        except queue.Full:
            return
        self._thread.join(CLOSE_TIMEOUT)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last that was written."""
        return self._dropped

    def write(self, text: str) -> int:
        """Queue text.

        :param text: One line.
        :return: Its length.
        """
        if self._dropped:
            text = (
                f'{{"event":"LINES_DROPPED","lines":{self._dropped}}}\n{text}'
            )
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self._dropped += 1
        else:
            self._dropped = 0
        return len(text)

    def flush(self) -> None:
        """Do nothing; the thread flushes."""

    def _run(self) -> None:
        while True:
            text = self._lines.get()
            if text is None:
                break
            self._stream.write(text)
            self._stream.flush()
