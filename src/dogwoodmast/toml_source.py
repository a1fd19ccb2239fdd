"""Parsed TOML text that maps key paths to line numbers.

:mod:`tomllib` does not expose line numbers.  The line of a key path is the
length in lines of the shortest prefix of the text that can be parsed and
that contains the path.
"""

from __future__ import annotations

import bisect
import functools
import re
import tomllib
from contextlib import suppress
from typing import Any

from dogwoodmast.input_errors import InvalidToml, Place

KeyPath = tuple[str | int, ...]
"""Table keys and zero-based list positions from the root to a value."""

_CLOSINGS = ('', ']', ']]')
"""Brackets that complete a prefix which ends inside an array or inside an
array of arrays."""
_PARSER_LINE = re.compile(r'\(at line (\d+), column \d+\)')
"""Line number in the error messages of :mod:`tomllib`."""


def format_path(path: KeyPath, document: Any) -> str:
    """Format a key path for messages.

    List entries are shown by their ``name`` if they have one, otherwise by
    their position, counted from one.

    :param path: Key path to format.
    :param document: Root table of the document, for the names of entries.
    :return: Text such as ``services[balance].slots``; ``$`` for the root.
    """
    text = ''
    value = document
    for step in path:
        value = _child(value, step)
        if isinstance(step, int):
            text = f'{text}[{_entry_label(value, step)}]'
        else:
            text = f'{text}.{step}' if text else step
    return text or '$'


class TomlSource:
    """TOML text together with its parsed document."""

    def __init__(self, text: str) -> None:
        """Parse a TOML text.

        :param text: TOML text.
        :raises InvalidToml: If the text cannot be parsed; its place is the
            line that the parser names, or the last line.
        """
        self._lines = text.splitlines(keepends=True)
        self._parse = functools.cache(self._parse_prefix)
        try:
            self._document = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            found = _PARSER_LINE.search(str(error))
            line = int(found.group(1)) if found else len(self._lines)
            raise InvalidToml(str(error), place=Place('$', line)) from None

    @property
    def document(self) -> dict[str, Any]:
        """Root table of the parsed text."""
        return self._document

    def place(self, path: KeyPath) -> Place:
        """Locate a value in the text.

        :param path: Key path of the value, which may be absent.
        :return: Place with the full key path, and the line of the value or,
            if it is absent, of the innermost enclosing value that exists.
        """
        return Place(format_path(path, self._document), self._line(path))

    def _line(self, path: KeyPath) -> int:
        while path and not _has_path(self._document, path):
            path = path[:-1]
        lines = range(len(self._lines) + 1)
        return max(
            1,
            bisect.bisect_left(
                lines,
                x=True,
                key=lambda line: _has_path(self._parse(line), path),
            ),
        )

    def _parse_prefix(self, line_count: int) -> dict[str, Any]:
        # A prefix that ends inside a value cannot always be completed; then
        # the longest shorter prefix that can be parsed is used instead.
        for last in range(line_count, 0, -1):
            prefix = ''.join(self._lines[:last])
            for closing in _CLOSINGS:
                with suppress(tomllib.TOMLDecodeError):
                    return tomllib.loads(prefix + closing)
        return {}


def _has_path(document: Any, path: KeyPath) -> bool:
    value = document
    for step in path:
        value = _child(value, step)
        if value is None:
            return False
    return True


def _child(value: Any, step: str | int) -> Any:
    match value, step:
        case dict(), str():
            return value.get(step)
        case list(), int() if step < len(value):
            return value[step]
        case _:
            return None


def _entry_label(value: Any, position: int) -> str:
    name = value.get('name') if isinstance(value, dict) else None
    return name if isinstance(name, str) else str(position + 1)
