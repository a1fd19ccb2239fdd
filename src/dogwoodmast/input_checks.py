"""Validation and conversion of values from input files."""

from __future__ import annotations

import ipaddress
import re
from types import MappingProxyType
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

from dogwoodmast.address import Address, InvalidAddress
from dogwoodmast.input_errors import (
    InvalidForm,
    NotPowerOfTwo,
    OutOfRange,
    UnknownChoice,
    WrongType,
)
from dogwoodmast.input_rules import (
    MAX_NAME_LENGTH,
    AddressText,
    Boolean,
    Choice,
    Endpoint,
    HeaderName,
    Integer,
    Name,
    Number,
    NumberRule,
    PathPrefix,
    PowerOfTwo,
    Reference,
    Rule,
    TextRule,
)

if TYPE_CHECKING:
    import enum

_NAME = re.compile(rf'[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}')
"""Letter or digit, then letters, digits, dots, underscores and hyphens."""
_HEADER_NAME = re.compile(r"[a-z0-9!#$%&'*+.^_`|~-]+")
"""Token characters of RFC 9110, without upper-case letters."""
_PATH_PREFIX = re.compile('/[!-~]*')
"""Slash followed by printable ASCII characters without space."""
_TYPE_NAMES = MappingProxyType(
    {
        bool: 'a boolean',
        int: 'an integer',
        float: 'a decimal number',
        str: 'text',
        list: 'a list',
        dict: 'a table',
    }
)
"""Noun phrases for the TOML types; those left out are dates and times."""


def describe_type(found: Any) -> str:
    """Describe the type of a parsed TOML value.

    :param found: Parsed value.
    :return: Noun phrase for messages, such as ``an integer``.
    """
    return _TYPE_NAMES.get(type(found), 'a date or time')


def check_value(rule: Rule, found: Any) -> Any:
    """Check a value and convert it to the type of its rule.

    A value of the right type that breaks the rule raises the ``Mistake`` that
    says why.  The caller sets the place of the error.

    :param rule: Rule that the value must follow.
    :param found: Parsed value.
    :return: Converted value, such as an :class:`Address` for an address.
    :raises WrongType: If the value has the wrong type.
    """
    if not _has_type(rule, found):
        raise WrongType(describe_type(found), rule.expected)
    if isinstance(rule, NumberRule):
        return _check_number(rule, found)
    return _check_text(rule, found)


def _has_type(rule: Rule, found: Any) -> bool:
    match rule:
        case Boolean():
            return isinstance(found, bool)
        case Integer() | PowerOfTwo():
            return isinstance(found, int) and not isinstance(found, bool)
        case Number():
            return isinstance(found, (int, float)) and not isinstance(
                found, bool
            )
        case _:
            return isinstance(found, str)


def _check_number(rule: NumberRule, found: Any) -> Any:
    if not _is_within(rule, found):
        raise OutOfRange(found, rule.expected)
    match rule:
        case PowerOfTwo():
            if found & (found - 1):
                raise NotPowerOfTwo(found)
        case Number():
            return float(found)
    return found


def _is_within(rule: NumberRule, found: Any) -> bool:
    match rule:
        case Boolean():
            return True
        case Number(minimum, maximum, _, includes_minimum):
            reaches_minimum = (
                found >= minimum if includes_minimum else found > minimum
            )
            return bool(reaches_minimum and found <= maximum)
        case Integer(minimum, maximum) | PowerOfTwo(maximum, minimum):
            return bool(minimum <= found <= maximum)


def _check_text(rule: TextRule, found: str) -> Any:
    match rule:
        case AddressText():
            return _check_address(rule, found)
        case Choice(choices):
            return _check_choice(choices, found)
        case Reference(known):
            if found not in known:
                raise UnknownChoice(found, known)
        case _:
            if not _has_form(rule, found):
                raise InvalidForm(found, rule.expected)
    return found


def _has_form(rule: TextRule, found: str) -> bool:
    match rule:
        case Name():
            return _NAME.fullmatch(found) is not None
        case HeaderName():
            return _HEADER_NAME.fullmatch(found) is not None
        case PathPrefix():
            return _PATH_PREFIX.fullmatch(found) is not None
        case Endpoint():
            return _is_endpoint(found)
        case _:
            return True


def _check_address(rule: AddressText, found: str) -> Address:
    try:
        return Address.parse(found)
    except InvalidAddress:
        raise InvalidForm(found, rule.expected) from None


def _check_choice(choices: type[enum.StrEnum], found: str) -> enum.StrEnum:
    try:
        return choices(found)
    except ValueError:
        known = tuple(str(choice) for choice in choices)
        raise UnknownChoice(found, known) from None


def _is_endpoint(text: str) -> bool:
    try:
        parts = urlsplit(text)
        ipaddress.ip_address(parts.hostname or '')
        port = parts.port
    except ValueError:
        return False
    return parts.scheme == 'http' and port != 0
