"""Mistakes in files written by operators: settings and questionnaires.

All mistakes of a file are raised together as one exception group.
"""

from __future__ import annotations

import difflib
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast.errors import DogwoodmastError

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_SIMILARITY = 0.6
"""Minimum similarity of a suggested word, as the ratio from 0 to 1 that
:func:`difflib.get_close_matches` uses."""


@attrs.frozen
class Place:
    """Location of a value in an input file."""

    path: str
    """Key path such as ``services[balance].slots``; ``$`` for the root."""
    line: int
    """Line number, counted from one; zero if the line is not known."""

    def __str__(self) -> str:
        """Format the place for messages.

        :return: Line number, if known, and key path.
        """
        return f'line {self.line}: {self.path}' if self.line else self.path


def suggest(found: str, known: Iterable[str]) -> str:
    """Suggest the valid word that is most similar to an invalid one.

    :param found: Invalid word.
    :param known: Valid words.
    :return: Question for a message; empty if no word is similar enough.
    """
    matches = difflib.get_close_matches(found, list(known), 1, MIN_SIMILARITY)
    return f'did you mean {matches[0]!r}?' if matches else ''


@attrs.define
class Mistake(DogwoodmastError):
    """An input file contains an invalid value."""

    place: Place = attrs.field(default=Place('', 0), kw_only=True)
    """Location of the mistake; set when the mistake is recorded."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return self.__doc__ or ''

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake; empty if there is none."""
        return ''

    @property
    def message(self) -> str:
        """One-sentence description of the failure."""
        text = f'{self.place}: {self.problem}'
        return f'{text}; {self.hint}' if self.hint else text

    def to_document(self) -> dict[str, Any]:
        """Convert the mistake to a JSON object for ``--json`` output.

        :return: Error class, place, description and advice.
        """
        return {
            'type': type(self).__name__,
            'line': self.place.line,
            'path': self.place.path,
            'problem': self.problem,
            'hint': self.hint,
        }


@attrs.define
class UnreadableFile(Mistake):
    """The input file cannot be read."""

    reason: str
    """Message of the operating system or of the UTF-8 decoder."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return f'the file cannot be read: {self.reason}'


@attrs.define
class InvalidToml(Mistake):
    """The input file is not valid TOML."""

    reason: str
    """Message of the TOML parser."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return f'not valid TOML: {self.reason}'


@attrs.define
class MissingValue(Mistake):
    """A mandatory value is missing."""

    key: str
    """Key of the missing value."""
    expected: str
    """Description of a valid value."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return f'{self.key!r} is missing; expected {self.expected}'

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake."""
        return f'add a line {self.key} = ...'


@attrs.define
class MissingTable(Mistake):
    """A mandatory table is missing."""

    key: str
    """Key of the missing table."""
    expected: str
    """Keys that the table must have."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return (
            f'the table [{self.key}] is missing; it must have {self.expected}'
        )


@attrs.define
class UnknownKey(Mistake):
    """A table has a key that is not defined for it."""

    key: str
    """Key that is not defined."""
    known: Sequence[str]
    """Keys that are defined for the table."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return f'unknown key {self.key!r}'

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake."""
        known = ', '.join(sorted(self.known))
        return suggest(self.key, self.known) or f'known keys are {known}'


@attrs.define
class WrongType(Mistake):
    """A value has the wrong type."""

    found: str
    """Type of the value, with its article."""
    expected: str
    """Description of a valid value."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return f'found {self.found}; expected {self.expected}'


@attrs.define
class OutOfRange(Mistake):
    """A number is outside its valid range."""

    found: float
    """Number in the file."""
    expected: str
    """Description of a valid value."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return f'{self.found} is out of range; expected {self.expected}'


@attrs.define
class NotPowerOfTwo(Mistake):
    """A number must be a power of two."""

    found: int
    """Number in the file."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return f'{self.found} is not a power of two'

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake."""
        next_power = 1 << self.found.bit_length()
        return f'the nearest ones are {next_power // 2} and {next_power}'


@attrs.define
class InvalidForm(Mistake):
    """A string does not have the required format."""

    found: str
    """String in the file."""
    expected: str
    """Description of a valid value."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return f'{self.found!r} is not valid; expected {self.expected}'


@attrs.define
class UnknownChoice(Mistake):
    """A value is not one of the valid choices."""

    found: str
    """Value in the file."""
    choices: Sequence[str]
    """Valid values."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        choices = ', '.join(repr(choice) for choice in self.choices)
        return f'{self.found!r} is unknown; expected one of {choices}'

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake."""
        return suggest(self.found, self.choices)


@attrs.define
class EmptyList(Mistake):
    """A list must have at least one entry."""

    expected: str
    """Noun for an entry of the list."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return f'the list is empty; expected at least one {self.expected}'


@attrs.define
class Duplicate(Mistake):
    """A value must be unique but occurs twice."""

    what: str
    """Kind of the value, such as ``zone`` or ``address``."""
    found: str
    """Repeated value."""
    first: Place
    """Place of the first occurrence."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return f'{self.what} {self.found!r} is used twice'

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake."""
        return f'it is first used at {self.first}'


class InvalidInput(ExceptionGroup[Mistake]):
    """All mistakes of one input file; the message is the file name."""

    @property
    def mistakes(self) -> tuple[Mistake, ...]:
        """The mistakes, in the order in which they were given."""
        return tuple(
            mistake
            for mistake in self.exceptions
            if isinstance(mistake, Mistake)
        )

    def derive(self, excs: Sequence[Mistake]) -> InvalidInput:  # type: ignore[override]
        """Create a group for a subset, as ``split`` and ``subgroup`` require.

        :param excs: Mistakes of the new group.
        :return: Group of the same class, with the same message.
        """
        return InvalidInput(self.message, excs)
