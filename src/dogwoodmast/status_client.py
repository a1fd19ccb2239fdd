"""HTTP client that fetches the status reports of entry VMs."""

from __future__ import annotations

from http import HTTPStatus

import anyio
import attrs
import httpcore

from dogwoodmast._documents import load_document
from dogwoodmast.errors import DogwoodmastError, UnknownField
from dogwoodmast.status import STATUS_PATH, StatusReport

STATUS_TIMEOUT = 2.0
"""Time-out of connecting, of each read and of waiting for a connection, in
seconds."""

_UNREACHABLE = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    UnknownField,
)


@attrs.define
class StatusUnavailable(DogwoodmastError):
    """An entry VM returned no status report."""

    entry: str
    """Base URL of the entry VM."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'entry VM at {self.entry} returned no status report'


@attrs.frozen
class StatusResponses:
    """Status reports of several entry VMs."""

    reports: tuple[StatusReport, ...]
    """Reports that were received, in the order of the URLs queried."""
    silent: tuple[str, ...]
    """Base URLs of the entry VMs that returned no report."""


async def fetch_status(entry: str) -> StatusReport:
    """Fetch the status report of one entry VM.

    :param entry: Base URL of the entry VM.
    :return: The report.
    :raises StatusUnavailable: If the entry VM cannot be reached, or if its
        response is not a status report.
    """
    timeout = dict.fromkeys(('connect', 'read', 'pool'), STATUS_TIMEOUT)
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request(
                'GET',
                entry.rstrip('/') + STATUS_PATH,
                extensions={'timeout': timeout},
            )
            if response.status == HTTPStatus.OK:
                return load_document(response.content, StatusReport)
        except _UNREACHABLE:
            raise StatusUnavailable(entry) from None
    raise StatusUnavailable(entry)


async def fetch_statuses(entries: tuple[str, ...]) -> StatusResponses:
    """Fetch the status reports of several entry VMs concurrently.

    :param entries: Base URLs of the entry VMs.
    :return: The reports and the URLs that returned none.
    """
    reports: dict[str, StatusReport] = {}

    async def fetch(entry: str) -> None:
        try:
            reports[entry] = await fetch_status(entry)
        except StatusUnavailable:
            return

    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(fetch, entry)
    return StatusResponses(
        reports=tuple(reports[one] for one in entries if one in reports),
        silent=tuple(one for one in entries if one not in reports),
    )
