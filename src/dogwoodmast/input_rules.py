"""Rules for the values of input files."""

from __future__ import annotations

import enum

import attrs

MAX_NAME_LENGTH = 64
"""Longest name, in characters."""


@attrs.frozen
class Text:
    """Any text."""

    expected = 'text'


@attrs.frozen
class Name:
    """Name of a thing."""

    expected = (
        'a name of letters, digits, ".", "_" and "-", '
        f'at most {MAX_NAME_LENGTH} characters'
    )


@attrs.frozen
class AddressText:
    """IP number with a port."""

    expected = 'an address such as "10.1.1.11:8080"'


@attrs.frozen
class Endpoint:
    """HTTP URL with an IP number."""

    expected = 'a URL such as "http://10.1.0.2:2379", with an IP number'


@attrs.frozen
class HeaderName:
    """Name of an HTTP header in lower case."""

    expected = 'the name of an HTTP header in lower case'


@attrs.frozen
class PathPrefix:
    """Beginning of an HTTP path."""

    expected = 'the beginning of a path, such as "/" or "/receipts"'


@attrs.frozen
class Choice:
    """One of a few values."""

    choices: type[enum.StrEnum]
    """Possible values."""

    @property
    def expected(self) -> str:
        """Words that follow ``expected``."""
        choices = ', '.join(repr(str(choice)) for choice in self.choices)
        return f'one of {choices}'


@attrs.frozen
class Reference:
    """Name of a thing that is described elsewhere in the file."""

    known: tuple[str, ...]
    """Names of such things."""

    @property
    def expected(self) -> str:
        """Words that follow ``expected``."""
        return f'one of {", ".join(map(repr, self.known))}'


@attrs.frozen
class Boolean:
    """True or false."""

    expected = 'true or false'


@attrs.frozen
class Integer:
    """Integer."""

    minimum: int
    """Smallest value."""
    maximum: int
    """Greatest value."""

    @property
    def expected(self) -> str:
        """Words that follow ``expected``."""
        return f'an integer from {self.minimum} to {self.maximum}'


@attrs.frozen
class PowerOfTwo:
    """Integer that is a power of two."""

    maximum: int
    """Greatest value."""
    minimum: int = 1
    """Smallest value."""

    @property
    def expected(self) -> str:
        """Words that follow ``expected``."""
        return f'a power of two from {self.minimum} to {self.maximum}'


@attrs.frozen
class Number:
    """Decimal number."""

    minimum: float
    """Value that it must exceed, or equal if ``includes_minimum``."""
    maximum: float
    """Greatest value."""
    unit: str
    """Unit, for messages."""
    includes_minimum: bool = False
    """Whether the minimum itself is allowed."""

    @property
    def expected(self) -> str:
        """Words that follow ``expected``."""
        bounds = f'{self.minimum:g} to {self.maximum:g}'
        start = 'from' if self.includes_minimum else 'above'
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
"""Rule for a value that is written as text."""
NumberRule = Boolean | Integer | PowerOfTwo | Number
"""Rule for a value that is written as a number or a boolean."""
Rule = TextRule | NumberRule
"""Rule for a value."""
