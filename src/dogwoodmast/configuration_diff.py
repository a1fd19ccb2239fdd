"""Differences between two configurations."""

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
"""Changes that a summary lists at most."""
MAX_SUMMARY_WIDTH = 100
"""Longest description of one change in a summary, in characters."""
_FIXED_HINTS = (
    ('partitions', 'add a service of another name and move callers to it'),
    ('zone', 'remove the target and add one of another name'),
)
_UNORDERED_LIST = 'targets'
_ORDERED_LIST = 'kinds'
"""List whose order counts, since the first kind that matches does."""

_Fields = dict[str, str]


@attrs.frozen
class Added:
    """An entry that is new."""

    path: str
    """Key path."""
    after: str
    """What it says."""

    def __str__(self) -> str:
        """Return the difference as text.

        :return: One line.
        """
        return f'+ {self.path} ({self.after})'


@attrs.frozen
class Removed:
    """An entry that is gone."""

    path: str
    """Key path."""
    before: str
    """What it said."""

    def __str__(self) -> str:
        """Return the difference as text.

        :return: One line.
        """
        return f'- {self.path} ({self.before})'


@attrs.frozen
class Altered:
    """An answer that is another one."""

    path: str
    """Key path."""
    before: str
    """Answer before."""
    after: str
    """Answer after."""

    def __str__(self) -> str:
        """Return the difference as text.

        :return: One line.
        """
        return f'~ {self.path}: {self.before} -> {self.after}'


Difference = Added | Removed | Altered


def compare_configurations(
    before: Configuration | None, after: Configuration
) -> tuple[Difference, ...]:
    """Find what differs between two configurations.

    :param before: Configuration in force, or ``None``.
    :param after: Configuration that may follow.
    :return: Differences in the order of the answers.
    """
    old = {} if before is None else _entries(before)
    new = _entries(after)
    return tuple(
        difference
        for path in dict.fromkeys((*old, *new))
        for difference in _compare_entries(path, old.get(path), new.get(path))
    )


def check_immutable_values(
    before: Configuration | None, after: Configuration
) -> None:
    """Refuse a change of what must stay as it was.

    Another number of partitions would hash keys anew while their owners
    still serve them, and a target in another zone would be fronted twice.

    :param before: Configuration in force, or ``None``.
    :param after: Configuration that may follow.
    :raises ExceptionGroup: With every such change.
    """
    refused = [
        FixedAnswerChanged(one.path, one.before, one.after, hint)
        for one in compare_configurations(before, after)
        for key, hint in _FIXED_HINTS
        if isinstance(one, Altered) and one.path.endswith(f'.{key}')
    ]
    if refused:
        raise ExceptionGroup('the change is not possible', refused)


def summarize(differences: tuple[Difference, ...]) -> str:
    """Describe differences in one bounded line.

    :param differences: The differences.
    :return: The first few, and the number of the others.
    """
    listed = [
        textwrap.shorten(str(one), MAX_SUMMARY_WIDTH, placeholder=' ...')
        for one in differences[:MAX_SUMMARY_CHANGES]
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
            yield Added(path, _join(after))
        case dict(), None:
            yield Removed(path, _join(before))
        case dict(), dict():
            for key in after:
                if before.get(key) != after[key]:
                    yield Altered(f'{path}.{key}', before[key], after[key])


def _join(fields: _Fields) -> str:
    return ', '.join(
        f'{key} = {answer}' for key, answer in fields.items() if key != 'name'
    )


def _entries(configuration: Configuration) -> dict[str, _Fields]:
    document = converter.unstructure(configuration)
    return {
        **dict(_named_entries('zones', document['zones'])),
        **dict(_named_entries('services', document['services'])),
    }


def _named_entries(path: str, entries: Any) -> Iterator[tuple[str, _Fields]]:
    for entry in entries:
        place = f'{path}[{entry["name"]}]'
        yield (
            place,
            {
                key: _format(answer)
                for key, answer in entry.items()
                if key != _UNORDERED_LIST
            },
        )
        for nested in (_UNORDERED_LIST, _ORDERED_LIST):
            inner = entry.get(nested, ())
            yield from _named_entries(f'{place}.{nested}', inner)


def _format(answer: Any) -> str:
    match answer:
        case [{'name': _}, *_]:
            return ', '.join(entry['name'] for entry in answer)
        case list() | tuple():
            return ', '.join(map(str, answer))
        case _:
            return str(answer)
