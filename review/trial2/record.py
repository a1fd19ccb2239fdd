"""Record of what was sent, answered and run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, TextIO

import attrs

if TYPE_CHECKING:
    import pathlib
    from types import TracebackType


@attrs.define(eq=False)
class Record:
    """Text file with one line for each event; a context manager."""

    _file: TextIO
    _began_at: float = attrs.field(factory=time.monotonic)

    @classmethod
    def create(cls, folder: pathlib.Path) -> Record:
        """Create the record of a case.

        :param folder: Folder of the case.
        :return: Empty record.
        """
        return cls((folder / 'record.txt').open('w', encoding='utf-8'))

    def __enter__(self) -> Record:
        """Return the record itself.

        :return: The record.
        """
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the file.

        :param kind: Type of the exception that ended the block, if any.
        :param error: The exception.
        :param traceback: Its traceback.
        """
        self._file.close()

    def add(self, text: str) -> None:
        """Add a line with the time since the start.

        :param text: Event.
        """
        seconds = time.monotonic() - self._began_at
        self._file.write(f'{seconds:8.3f} {text}\n')
        self._file.flush()
