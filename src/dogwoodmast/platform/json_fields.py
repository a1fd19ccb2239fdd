"""Checked access to the fields of JSON documents that others have written.

Whatever a document contains, reading it ends in a value of the stated kind and
range, or in :class:`InvalidDocument`.
"""

from __future__ import annotations

import re
from typing import Any

import attrs
import orjson

from dogwoodmast.errors import DogwoodmastError

MAX_INTEGER = 9_223_372_036_854_775_807
"""Greatest whole number that is accepted; messages between entry VMs have
signed integers of 64 bits."""
MAX_NUMBER = 9_007_199_254_740_992
"""Greatest number that may have a fraction, such as a time in seconds or a size
in bytes; whole numbers up to it are exact."""
MAX_NAME_LENGTH = 1000
"""Greatest length of a name, in characters; names are sent in headers."""
MAX_QUOTED_LENGTH = 60
"""Number of characters of a rejected value that a reason quotes."""

_UNSENDABLE = re.compile('[\0-\x1f\x7f\ud800-\udfff]')
"""Characters that headers or UTF-8 cannot carry."""
_REQUIRED: Any = object()


@attrs.define
class InvalidDocument(DogwoodmastError):
    """A document does not have the expected form."""

    reason: str
    """Where the document differs, and what was found there; it is short."""

    @property
    def message(self) -> str:
        """One-sentence description of the failure."""
        return f'invalid document: {self.reason}'


def check_name(where: str, name: str) -> str:
    """Check that a text can be a name in headers, messages and logs.

    :param where: What is named, for the reason.
    :param name: Text to check.
    :return: The same text.
    :raises InvalidDocument: If it is empty or too long, or has control
        characters or surrogates.
    """
    is_valid = 0 < len(name) <= MAX_NAME_LENGTH
    if not is_valid or _UNSENDABLE.search(name):
        raise InvalidDocument(f'{where}: not a name: {describe(name)}')
    return name


def describe(found: object) -> str:
    """Describe a value in a few words, however large or deep it is.

    :param found: Decoded JSON value.
    :return: Its beginning, or its kind if it has elements.
    """
    match found:
        case str():
            return ascii(found[:MAX_QUOTED_LENGTH])
        case list():
            return 'an array'
        case dict():
            return 'an object'
        case _:
            return repr(found)[:MAX_QUOTED_LENGTH]


@attrs.frozen
class JsonFields:
    """Fields of one JSON object."""

    _found: dict[str, Any] = attrs.field(repr=False)
    _where: str = ''
    """Path of the object in its document, for reasons."""

    @classmethod
    def parse(cls, content: bytes) -> JsonFields:
        """Parse a document.

        :param content: JSON text.
        :return: Fields of the object.
        :raises InvalidDocument: If it is no JSON, or no object.
        """
        try:
            document = orjson.loads(content)
        except ValueError as error:
            raise InvalidDocument(str(error)[:MAX_QUOTED_LENGTH]) from None
        return cls.wrap(document, '')

    @classmethod
    def wrap(cls, document: object, where: str) -> JsonFields:
        """Take a decoded value for an object.

        :param document: Decoded JSON value.
        :param where: Path of the value in its document.
        :return: Fields of the object.
        :raises InvalidDocument: If it is no object.
        """
        if not isinstance(document, dict):
            raise _mismatch(where or 'document', 'an object', document)
        return cls(document, where)

    def has(self, name: str) -> bool:
        """Tell whether a field is there and is neither null nor empty.

        :param name: Name of the field.
        :return: Whether its value counts as true.
        """
        return bool(self._found.get(name))

    def read(self, name: str, default: Any = _REQUIRED) -> Any:
        """Return the value of a field of any kind.

        :param name: Name of the field.
        :param default: Value if the field is missing.
        :return: Decoded value, not checked.
        :raises InvalidDocument: If the field is missing without a default.
        """
        found = self._found.get(name, default)
        if found is _REQUIRED:
            raise InvalidDocument(f'{self.path(name)}: missing')
        return found

    def path(self, name: str) -> str:
        """Return the path of a field in the document.

        :param name: Name of the field.
        :return: Path for reasons.
        """
        return f'{self._where}.{name}' if self._where else name

    def text(self, name: str) -> str:
        """Read a text.

        :param name: Name of the field.
        :return: Text, which may be empty.
        :raises InvalidDocument: If the field is missing or is no text.
        """
        found = self.read(name)
        if not isinstance(found, str):
            raise _mismatch(self.path(name), 'a text', found)
        return found

    def name(self, name: str) -> str:
        """Read a name.

        :param name: Name of the field.
        :return: Text that can be sent in headers.
        :raises InvalidDocument: If the field is missing or is no name.
        """
        return check_name(self.path(name), self.text(name))

    def integer(
        self,
        name: str,
        least: int = 0,
        greatest: int = MAX_INTEGER,
        default: Any = _REQUIRED,
    ) -> int:
        """Read a whole number.

        :param name: Name of the field.
        :param least: Least value.
        :param greatest: Greatest value.
        :param default: Value if the field is missing.
        :return: The number.
        :raises InvalidDocument: If the field is missing without a default, or
            is no whole number in the range.
        """
        found = self.read(name, default)
        is_integer = isinstance(found, int) and not isinstance(found, bool)
        if not (is_integer and least <= found <= greatest):
            expected = f'a whole number from {least} to {greatest}'
            raise _mismatch(self.path(name), expected, found)
        return int(found)

    def number(self, name: str, default: Any = _REQUIRED) -> float:
        """Read a number that is finite and not negative.

        :param name: Name of the field.
        :param default: Value if the field is missing.
        :return: The number.
        :raises InvalidDocument: If the field is missing without a default, or
            is no such number.
        """
        found = self.read(name, default)
        is_number = isinstance(found, (int, float))
        if not is_number or isinstance(found, bool):
            raise _mismatch(self.path(name), 'a number', found)
        if not 0 <= found <= MAX_NUMBER:
            expected = f'a number from 0 to {MAX_NUMBER}'
            raise _mismatch(self.path(name), expected, found)
        return float(found)

    def read_objects(self, name: str) -> list[JsonFields]:
        """Read a list of objects.

        :param name: Name of the field.
        :return: Fields of each object.
        :raises InvalidDocument: If the field is missing, or is no list of
            objects.
        """
        found = self.read(name)
        if not isinstance(found, list):
            raise _mismatch(self.path(name), 'an array', found)
        return [
            JsonFields.wrap(one, f'{self.path(name)}[{index}]')
            for index, one in enumerate(found)
        ]


def _mismatch(where: str, expected: str, found: object) -> InvalidDocument:
    return InvalidDocument(
        f'{where}: {expected} was expected, found {describe(found)}'
    )
