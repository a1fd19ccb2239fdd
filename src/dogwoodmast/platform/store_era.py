"""Era of the store, which it tells in a header of each response."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.errors import OutdatedEra, PlatformAnswerUnreadable
from dogwoodmast.events import Event, log_event
from dogwoodmast.store_position import LAST_ERA

if TYPE_CHECKING:
    from dogwoodmast._asgi import RawHeaders

_ERA_HEADER = b'store-era'
_ERA_NUMBER = re.compile(rb'\d{1,9}')
_FIRST_NUMBER = 1
"""Number that a store names in its first era."""
_UNNAMED = 0
"""Number of the era of a store that names none."""


@attrs.define
class EraTracker:
    """Latest era of the store that this process has seen.

    Eras count from 0.  The number that the store names counts from 1, unless
    this process has seen responses with 0 or without a number before any
    other, or another one has told of such responses.
    """

    latest: int = 0
    """Latest era."""
    _first_number: int | None = None
    """Number of the first era; ``None`` before the first response."""

    @property
    def first_number(self) -> int:
        """Number that the store names in the first era."""
        return (
            _FIRST_NUMBER if self._first_number is None else self._first_number
        )

    def count_from(self, number: int) -> None:
        """Count eras from a lower number than before.

        :param number: Number of the first era, which another process has seen.
        """
        earlier = self.first_number - number
        if earlier > 0:
            self._first_number = number
            self.latest += earlier
            log_event(
                Event.STORE_RESTORED,
                previous=self.latest - earlier,
                era=self.latest,
            )

    def read(self, endpoint: str, headers: RawHeaders) -> int:
        """Read the era of a response.

        :param endpoint: Address of the store.
        :param headers: Headers, with names in lower case.
        :return: Era in which the call was executed.
        :raises PlatformAnswerUnreadable: If the header is no era.
        :raises OutdatedEra: If a later era has been seen.
        """
        number = _parse_number(endpoint, headers)
        if self._first_number is None:
            self._first_number = min(number, _FIRST_NUMBER)
            self.latest = number - self._first_number
        era = max(0, number - self._first_number)
        if era < self.latest:
            raise OutdatedEra(endpoint, era, self.latest)
        if era > self.latest:
            log_event(Event.STORE_RESTORED, previous=self.latest, era=era)
            self.latest = era
        return era


def _parse_number(endpoint: str, headers: RawHeaders) -> int:
    named = {field for name, field in headers if name == _ERA_HEADER}
    if not named:
        return _UNNAMED
    field = named.pop()
    if named:
        raise PlatformAnswerUnreadable(endpoint, 'several eras are named')
    number = int(field) if _ERA_NUMBER.fullmatch(field) else LAST_ERA + 1
    if number > LAST_ERA:
        raise PlatformAnswerUnreadable(endpoint, 'the era is not a number')
    return number
