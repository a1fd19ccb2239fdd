"""Text stream for log lines whose writes never block."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING, TextIO

if TYPE_CHECKING:
    from types import TracebackType

MAX_QUEUED_LINES = 2000
"""Capacity of the queue, in lines; about one megabyte at 500 bytes a line."""
CLOSE_TIMEOUT = 0.5
"""Time limit for writing the queued lines on exit, in seconds.  It applies
twice: to queue the end mark, and to write the lines before it."""


class BoundedStream:
    """Text stream whose lines are written by a background thread.

    A line is dropped if the queue is full.  The number of dropped lines is
    reported in a line of its own before the next line that is queued.
    """

    def __init__(self, stream: TextIO) -> None:
        """Create a stream; nothing is written before it is entered.

        :param stream: Underlying stream, whose writes may block.
        """
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> BoundedStream:
        """Start the background thread.

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
        """Write the queued lines, within a time limit, and end the thread."""
        try:
            self._lines.put(None, timeout=CLOSE_TIMEOUT)
        except queue.Full:
            return
        self._thread.join(CLOSE_TIMEOUT)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since a line was last queued."""
        return self._dropped

    def write(self, text: str) -> int:
        """Queue a line, or drop it if the queue is full.

        :param text: Log line with its newline.
        :return: Length of what was queued or dropped, in characters.
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
        """Do nothing; the thread flushes the stream after each line."""

    def _run(self) -> None:
        while True:
            text = self._lines.get()
            if text is None:
                break
            self._stream.write(text)
            self._stream.flush()
