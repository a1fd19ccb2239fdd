"""Differences between two configurations.

Both are flattened to entries (zones, services, targets and request kinds)
that are identified by key paths such as ``services[balance].targets[b1]``;
entries with the same path are compared field by field.
"""

from __future__ import annotations

import textwrap
from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast._documents import converter
from dogwoodmast.errors import FixedAnswerChanged

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodmast.configuration import Configuration

MAX_SUMMARY_CHANGES = 5
"""Maximum number of differences listed in a summary."""
MAX_SUMMARY_WIDTH = 100
"""Maximum length of a difference listed in a summary, in characters."""
_IMMUTABLE_FIELDS = (
    ('partitions', 'add a service of another name and move callers to it'),
    ('zone', 'remove the target and add one of another name'),
)
"""Fields that cannot change once accepted, each with advice on what to do
instead."""
_UNORDERED_LIST = 'targets'
"""Nested list whose order has no meaning and is not compared."""
_ORDERED_LIST = 'kinds'
"""Nested list whose order has a meaning: the first matching request kind
applies.  A changed order is a difference."""

_Fields = dict[str, str]
"""Formatted values of one entry by their keys."""


@attrs.frozen
class Added:
    """Entry that only the later configuration has."""

    path: str
    """Key path of the entry."""
    after: str
    """Fields of the entry, formatted as text."""

    def __str__(self) -> str:
        """Format the difference for people.

        :return: Text of one line.
        """
        return f'+ {self.path} ({self.after})'


@attrs.frozen
class Removed:
    """Entry that only the earlier configuration has."""

    path: str
    """Key path of the entry."""
    before: str
    """Fields of the entry, formatted as text."""

    def __str__(self) -> str:
        """Format the difference for people.

        :return: Text of one line.
        """
        return f'- {self.path} ({self.before})'


@attrs.frozen
class Altered:
    """Field whose value differs between the configurations."""

    path: str
    """Key path of the field."""
    before: str
    """Value in the earlier configuration, formatted as text."""
    after: str
    """Value in the later configuration, formatted as text."""

    def __str__(self) -> str:
        """Format the difference for people.

        :return: Text of one line.
        """
        return f'~ {self.path}: {self.before} -> {self.after}'


Difference = Added | Removed | Altered
"""One difference between two configurations."""


def compare_configurations(
    before: Configuration | None, after: Configuration
) -> tuple[Difference, ...]:
    """Compare two configurations.

    Versions and change identifiers are not compared.

    :param before: Earlier configuration, or ``None`` if there is none.
    :param after: Later configuration.
    :return: Differences in the order of the entries, those of the earlier
        configuration first.
    """
    old = {} if before is None else _index_entries(before)
    new = _index_entries(after)
    return tuple(
        difference
        for path in dict.fromkeys((*old, *new))
        for difference in _compare_entries(path, old.get(path), new.get(path))
    )


def check_immutable_values(
    before: Configuration | None, after: Configuration
) -> None:
    """Reject changes of values that are immutable once accepted.

    With another number of partitions, keys would hash to new partitions
    while their former owners still serve them.  If a target moved to another
    zone, entry VMs of both zones could hold its dispatch lease at the same
    time.

    :param before: Configuration in force, or ``None`` if there is none.
    :param after: Proposed configuration.
    :raises ExceptionGroup: With a ``FixedAnswerChanged`` per such value.
    """
    rejected = [
        FixedAnswerChanged(
            difference.path, difference.before, difference.after, hint
        )
        for difference in compare_configurations(before, after)
        for key, hint in _IMMUTABLE_FIELDS
        if isinstance(difference, Altered)
        and difference.path.endswith(f'.{key}')
    ]
    if rejected:
        raise ExceptionGroup('the change is not allowed', rejected)


def summarize_differences(differences: tuple[Difference, ...]) -> str:
    """Summarize differences in one line of bounded length.

    :param differences: Differences to summarize.
    :return: The first :data:`MAX_SUMMARY_CHANGES` differences, and the number
        of further ones.
    """
    listed = [
        textwrap.shorten(str(difference), MAX_SUMMARY_WIDTH, placeholder=' ...')
        for difference in differences[:MAX_SUMMARY_CHANGES]
    ]
    rest = len(differences) - len(listed)
    if rest:
        listed.append(f'and {rest} more')
    return '; '.join(listed)


def _compare_entries(
    path: str, before: _Fields | None, after: _Fields | None
) -> Iterator[Difference]:
    match before, after:
        case None, dict():
            yield Added(path, _format_fields(after))
        case dict(), None:
            yield Removed(path, _format_fields(before))
        case dict(), dict():
            for key in after:
                if before.get(key) != after[key]:
                    yield Altered(f'{path}.{key}', before[key], after[key])


def _format_fields(fields: _Fields) -> str:
    return ', '.join(
        f'{key} = {value}' for key, value in fields.items() if key != 'name'
    )


def _index_entries(configuration: Configuration) -> dict[str, _Fields]:
    document = converter.unstructure(configuration)
    return {
        **dict(_flatten('zones', document['zones'])),
        **dict(_flatten('services', document['services'])),
    }


def _flatten(path: str, entries: Any) -> Iterator[tuple[str, _Fields]]:
    for entry in entries:
        place = f'{path}[{entry["name"]}]'
        yield (
            place,
            {
                key: _format_value(value)
                for key, value in entry.items()
                if key != _UNORDERED_LIST
            },
        )
        for nested in (_UNORDERED_LIST, _ORDERED_LIST):
            inner = entry.get(nested, ())
            yield from _flatten(f'{place}.{nested}', inner)


def _format_value(value: Any) -> str:
    match value:
        case [{'name': _}, *_]:
            return ', '.join(entry['name'] for entry in value)
        case list() | tuple():
            return ', '.join(map(str, value))
        case _:
            return str(value)
