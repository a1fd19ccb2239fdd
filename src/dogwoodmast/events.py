"""Numbered log events and the JSON log that they are written to.

The operators' reference of the events is ``docs/events.md``.
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
    """Log events, each with its number and its Logbook level.

    Number and name are written to the log and must not change.
    """

    VM_STARTED = (100, logbook.INFO)
    VM_STOPPING = (101, logbook.INFO)
    VM_STOPPED = (102, logbook.INFO)
    SETTINGS_RELOADED = (103, logbook.INFO)
    SETTINGS_REJECTED = (104, logbook.ERROR)
    EVENT_LOOP_LATE = (105, logbook.WARNING)
    REQUESTS_STOPPED = (106, logbook.WARNING)
    CONNECTIONS_ENDED = (107, logbook.WARNING)
    CONFIGURATION_IN_FORCE = (200, logbook.INFO)
    CONFIGURATION_STALE = (201, logbook.WARNING)
    ZONE_EVACUATED = (210, logbook.INFO)
    ZONE_RETURNED = (211, logbook.INFO)
    ZONE_RECORD_WRITTEN = (300, logbook.INFO)
    ROLE_TAKEN = (310, logbook.INFO)
    ROLE_GIVEN_UP = (311, logbook.INFO)
    RENEWAL_FAILED = (312, logbook.WARNING)
    KEYS_MOVING = (320, logbook.INFO)
    RECORD_FAILED = (321, logbook.WARNING)
    GRANT_FAILED = (322, logbook.WARNING)
    KEYS_FREED = (323, logbook.INFO)
    GRANT_REPEATED = (324, logbook.INFO)
    GRANT_WITHHELD = (325, logbook.INFO)
    HOLDERS_UNKNOWN = (326, logbook.WARNING)
    PLATFORM_FAILED = (400, logbook.WARNING)
    PLATFORM_BACK = (401, logbook.INFO)
    RECORD_INVALID = (403, logbook.ERROR)
    VM_LIST_FAILED = (402, logbook.WARNING)
    DIRECTORY_RELOADED = (404, logbook.INFO)
    LISTING_FAILED = (405, logbook.WARNING)
    SOURCE_CHANGED = (406, logbook.INFO)
    COPY_OUTDATED = (407, logbook.WARNING)
    COPY_CURRENT = (408, logbook.INFO)
    STORE_RESTORED = (409, logbook.WARNING)
    TARGET_LISTED = (410, logbook.INFO)
    TARGET_LEAVING = (411, logbook.INFO)
    TARGET_GONE = (412, logbook.INFO)
    TARGET_LIMIT_NAMED = (413, logbook.INFO)
    TARGET_LIMIT_ENDED = (414, logbook.INFO)
    TARGET_LIMIT_UNREADABLE = (415, logbook.WARNING)
    TARGET_LIMIT_USED = (416, logbook.INFO)
    TARGETS_UNREACHABLE = (417, logbook.WARNING)
    TARGETS_REACHABLE = (418, logbook.INFO)
    TARGET_SAYS_LEAVING = (419, logbook.INFO)
    TARGET_PAUSED = (420, logbook.INFO)
    TARGET_PAUSE_UNREADABLE = (421, logbook.WARNING)
    TARGET_COLD = (422, logbook.INFO)
    TARGET_WARM = (423, logbook.INFO)
    TARGET_WARMUP_USED = (424, logbook.INFO)
    TARGET_LOAD_UNREADABLE = (425, logbook.WARNING)
    ROOM_KEPT = (430, logbook.INFO)
    ROOM_LEFT = (431, logbook.INFO)
    TARGET_SILENT = (432, logbook.WARNING)
    LINK_OPENED = (500, logbook.INFO)
    LINK_LOST = (501, logbook.WARNING)
    LINK_MALFORMED = (502, logbook.WARNING)
    PULL_FAILED = (503, logbook.INFO)
    LEDGER_GIVEN_UP = (504, logbook.WARNING)
    PEER_NOT_TOLD = (505, logbook.INFO)
    TARGET_CRASHED = (506, logbook.WARNING)
    LINK_TRAFFIC = (507, logbook.INFO)
    REQUEST_FAILED = (600, logbook.ERROR)
    REQUEST_ENDED = (601, logbook.INFO)

    def __init__(self, number: int, level: int) -> None:
        """Define an event.

        :param number: Unique number, which identifies the event in the log.
        :param level: Logbook level that the event is logged at.
        """
        self.number = number
        self.level = level


class LineStream(Protocol):
    """Text stream that log lines can be written to."""

    def write(self, text: str, /) -> int:
        """Write text to the stream.

        :param text: Log line, or its line terminator.
        :return: Number of characters written.
        """

    def flush(self) -> None:
        """Flush buffered lines to their destination."""


def log_event(event: Event, **details: Any) -> None:
    """Log an event.

    :param event: Event to log.
    :param details: Further fields of the log line; values that JSON cannot
        represent are written as strings.
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
    try:
        return orjson.dumps(document, default=str).decode()
    except orjson.JSONEncodeError:
        # A number or a text that JSON cannot carry, from outside.
        plain = {name: ascii(value) for name, value in document.items()}
        return orjson.dumps(plain).decode()


def start_logging(level: str, stream: LineStream | None = None) -> ExitStack:
    """Start writing log events to a stream, as one JSON object per line.

    :param level: Name of the lowest level to write; its case is ignored.
    :param stream: Stream to write to, by default standard error.
    :return: Context that stops the logging when it is closed.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    handler.formatter = _format_record
    stack = ExitStack()
    stack.enter_context(handler.applicationbound())
    return stack
