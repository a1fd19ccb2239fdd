"""Numbered log events and the structured log.

``docs/events.md`` explains each event to operators.
"""

from __future__ import annotations

import enum
import sys
from contextlib import ExitStack
from typing import Any, Protocol

import logbook
import orjson

_logger = logbook.Logger('dogwoodmast')


class Event(enum.Enum):
    """Catalogue of log events."""

    VM_STARTED = (100, logbook.INFO)
    VM_STOPPING = (101, logbook.INFO)
    VM_STOPPED = (102, logbook.INFO)
    SETTINGS_RELOADED = (103, logbook.INFO)
    SETTINGS_REJECTED = (104, logbook.ERROR)
    CONFIGURATION_IN_FORCE = (200, logbook.INFO)
    CONFIGURATION_STALE = (201, logbook.WARNING)
    ZONE_RECORD_WRITTEN = (300, logbook.INFO)
    ROLE_TAKEN = (310, logbook.INFO)
    ROLE_GIVEN_UP = (311, logbook.INFO)
    RENEWAL_FAILED = (312, logbook.WARNING)
    KEYS_MOVING = (320, logbook.INFO)
    RECORD_FAILED = (321, logbook.WARNING)
    GRANT_FAILED = (322, logbook.WARNING)
    PLATFORM_FAILED = (400, logbook.WARNING)
    PLATFORM_BACK = (401, logbook.INFO)
    RECORD_INVALID = (403, logbook.ERROR)
    VM_LIST_FAILED = (402, logbook.WARNING)
    DIRECTORY_RELOADED = (404, logbook.INFO)
    LISTING_FAILED = (405, logbook.WARNING)
    TARGET_LISTED = (410, logbook.INFO)
    TARGET_LEAVING = (411, logbook.INFO)
    TARGET_GONE = (412, logbook.INFO)
    LINK_OPENED = (500, logbook.INFO)
    LINK_LOST = (501, logbook.WARNING)
    LINK_MALFORMED = (502, logbook.WARNING)
    PULL_FAILED = (503, logbook.INFO)
    LEDGER_GIVEN_UP = (504, logbook.WARNING)
    PEER_NOT_TOLD = (505, logbook.INFO)
    TARGET_CRASHED = (506, logbook.WARNING)
    REQUEST_FAILED = (600, logbook.ERROR)
    REQUEST_ENDED = (601, logbook.INFO)

    def __init__(self, number: int, level: int) -> None:
        """Name an event.

        :param number: Number in the catalogue.
        :param level: Logbook level.
        """
        self.number = number
        self.level = level


class LineStream(Protocol):
    """Stream that takes the log's lines."""

    def write(self, text: str, /) -> int:
        """Take text.

        :param text: One line.
        :return: Its length.
        """

    def flush(self) -> None:
        """Pass on what was written."""


def log_event(event: Event, **details: Any) -> None:
    """Write an event to the log.

    :param event: Entry of the catalogue.
    :param details: Details, as JSON values.
    """
    _logger.log(event.level, event.name, extra={'event': event, **details})


def _format_record(record: Any, handler: Any) -> str:
    details = dict(record.extra)
    event = details.pop('event', None)
    document = {
        'time': f'{record.time.isoformat()}Z',
        'level': record.level_name,
        'number': event.number if event else 0,
        'event': record.message,
        **details,
    }
    return orjson.dumps(document, default=str).decode()


def start_logging(level: str, stream: LineStream | None = None) -> ExitStack:
    """Send the log to a stream, one JSON document a line.

    :param level: Name of the lowest level that is written.
    :param stream: Where the lines go; standard error if left out.
    :return: Stack that ends the log when closed.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    handler.formatter = _format_record
    stack = ExitStack()
    stack.enter_context(handler.applicationbound())
    return stack
