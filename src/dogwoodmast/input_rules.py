"""Rules for the values in input files.

The attribute ``expected`` of a rule describes a valid value; messages show
it after the word "expected".
"""

from __future__ import annotations

import enum

import attrs

MAX_NAME_LENGTH = 64
"""Maximum length of a name, in characters."""


@attrs.frozen
class Text:
    """Any string."""

    expected = 'text'


@attrs.frozen
class Name:
    """Identifier, such as the name of a zone, service, target or VM."""

    expected = (
        'a name of letters, digits, ".", "_" and "-", '
        f'at most {MAX_NAME_LENGTH} characters'
    )


@attrs.frozen
class AddressText:
    """IP address and port, as text."""

    expected = 'an address such as "10.1.1.11:8080"'


@attrs.frozen
class Endpoint:
    """HTTP URL whose host is an IP address."""

    expected = 'a URL such as "http://10.1.0.2:2379", with an IP address'


@attrs.frozen
class HeaderName:
    """HTTP header name in lower case."""

    expected = 'the name of an HTTP header in lower case'


@attrs.frozen
class PathPrefix:
    """Prefix of an HTTP path, starting with a slash."""

    expected = 'the beginning of a path, such as "/" or "/receipts"'


@attrs.frozen
class Choice:
    """Value of an enumeration."""

    choices: type[enum.StrEnum]
    """Enumeration of the valid values."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for messages."""
        choices = ', '.join(repr(str(choice)) for choice in self.choices)
        return f'one of {choices}'


@attrs.frozen
class Reference:
    """Name of an entry that is defined elsewhere in the file."""

    known: tuple[str, ...]
    """Names that are defined."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for messages."""
        return f'one of {", ".join(map(repr, self.known))}'


@attrs.frozen
class Boolean:
    """Boolean value."""

    expected = 'true or false'


@attrs.frozen
class Integer:
    """Integer within a range."""

    minimum: int
    """Minimum, inclusive."""
    maximum: int
    """Maximum, inclusive."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for messages."""
        return f'an integer from {self.minimum} to {self.maximum}'


@attrs.frozen
class PowerOfTwo:
    """Power of two within a range."""

    maximum: int
    """Maximum, inclusive."""
    minimum: int = 1
    """Minimum, inclusive."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for messages."""
        return f'a power of two from {self.minimum} to {self.maximum}'


@attrs.frozen
class Number:
    """Integer or decimal number within a range."""

    minimum: float
    """Minimum, exclusive unless ``includes_minimum`` is set."""
    maximum: float
    """Maximum, inclusive."""
    unit: str
    """Unit of the number, for messages."""
    includes_minimum: bool = False
    """Whether the minimum itself is a valid value."""

    @property
    def expected(self) -> str:
        """Description of a valid value, for messages."""
        bounds = f'{self.minimum:g} and at most {self.maximum:g}'
        start = 'of at least' if self.includes_minimum else 'greater than'
        return f'a number {start} {bounds} {self.unit}'


TextRule = (
    Text
    | Name
    | AddressText
    | Endpoint
    | HeaderName
    | PathPrefix
    | Choice
    | Reference
)
"""Rule for a string value."""
NumberRule = Boolean | Integer | PowerOfTwo | Number
"""Rule for a number or boolean value."""
Rule = TextRule | NumberRule
"""Rule for any value."""
