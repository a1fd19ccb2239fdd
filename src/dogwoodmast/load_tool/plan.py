"""Load plan: the requests that a load run sends, and its limits."""

from __future__ import annotations

import ipaddress
import tomllib
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import attrs
from cattrs.errors import BaseValidationError
from cattrs.v import transform_error

from dogwoodmast._documents import converter
from dogwoodmast.errors import DogwoodmastError

if TYPE_CHECKING:
    import pathlib

MAX_DURATION = 600.0
"""Upper limit of the duration of a run, in seconds."""
MAX_RATE = 50_000.0
"""Upper limit of the rate, in requests per second."""
MAX_CONNECTIONS = 4096
"""Upper limit of the number of concurrent requests."""
MAX_KEYS = 5_000_000
"""Upper limit of the number of keys."""
MAX_CUSTOMERS = 64
"""Upper limit of the number of customers."""
MAX_RESENDS = 10
"""Upper limit of the number of resends of one request."""


@attrs.define
class InvalidLoadPlan(DogwoodmastError):
    """The load plan is not valid."""

    mistakes: tuple[str, ...]
    """Descriptions of all errors found in the plan."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'invalid load plan: {"; ".join(self.mistakes)}'


@attrs.frozen
class KindLoad:
    """Share and properties of one kind of request."""

    name: str
    """Name of the kind in the summary."""
    method: str = 'GET'
    """HTTP method."""
    path: str = 'load'
    """Path that follows the key, without a leading slash."""
    body: str = ''
    """Body of each request."""
    weight: float = 1.0
    """Weight in the random choice among the kinds."""
    deadline: float = 2.0
    """Time within which a response counts as in time, in seconds; also sent
    to the router as the time-out of the request."""
    request_id: bool = False
    """Whether each request carries an Idempotency-Key."""


@attrs.frozen
class CustomerLoad:
    """Share of one customer in the requests."""

    name: str
    """Name of the customer."""
    weight: float = 1.0
    """Weight in the random choice among the customers."""


@attrs.frozen
class KeyLoad:
    """Distribution of the requests over keys."""

    count: int = 10_000
    """Number of different keys."""
    zipf: float = 0
    """Exponent of the Zipf distribution; with zero, all keys are equally
    likely."""
    prefix: str = 'key-'
    """Prefix of the numbered keys."""
    names: tuple[str, ...] = ()
    """Keys by rank, used instead of numbered ones; ``count`` must equal their
    number."""

    def name(self, rank: int) -> str:
        """Return the key of a rank.

        :param rank: Rank of the key, from zero for the most frequent one.
        :return: Key.
        """
        return self.names[rank] if self.names else f'{self.prefix}{rank}'


@attrs.frozen
class LoadPlan:
    """Settings of a load run."""

    urls: tuple[str, ...] = ()
    """Base URLs to which requests are sent in rotation; a resend goes to the
    next one."""
    service: str = ''
    """First segment of each path; omitted if empty."""
    rate: float = 100.0
    """Mean arrival rate, in requests per second."""
    duration: float = 10.0
    """Time during which requests start, in seconds."""
    seed: int = 1
    """Seed for the random choice of start times, kinds, customers and keys."""
    connections: int = 64
    """Upper limit of concurrent requests. Further requests wait, and their
    waiting time is part of their latency."""
    kinds: tuple[KindLoad, ...] = (KindLoad('get'),)
    """Kinds of request, at least one."""
    customers: tuple[CustomerLoad, ...] = (CustomerLoad('all'),)
    """Customers that send the requests, at least one."""
    customer_header: str = 'customer-id'
    """Name of the request header that holds the name of the customer."""
    keys: KeyLoad = KeyLoad()
    """Distribution of the requests over keys."""
    resends: int = 0
    """Number of times that a failed request is resent with the same request
    id."""
    check_answers: bool = False
    """Whether a response counts as wrong if it does not echo the number and
    key of its request, as stand-in back ends do."""
    backends: tuple[str, ...] = ()
    """Base URLs of stand-in back ends whose executions are counted."""
    stop_at_end: bool = False
    """Whether requests that are queued or in flight at the end of the
    duration are cancelled."""
    allow_remote: bool = False
    """Whether the hosts of URLs may be other than loopback IP addresses."""

    def check(self) -> None:
        """Check the plan against its limits.

        :raises InvalidLoadPlan: If a value is out of range or a URL is not
            allowed.
        """
        mistakes = [*_check_limits(self), *_check_urls(self)]
        if mistakes:
            raise InvalidLoadPlan(tuple(mistakes))


def load_plan(path: pathlib.Path) -> LoadPlan:
    """Read a load plan from a TOML file.

    :param path: Path of the file.
    :return: Load plan, not yet checked against its limits.
    :raises InvalidLoadPlan: If the file cannot be read or parsed.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise InvalidLoadPlan((str(error),)) from error
    try:
        return converter.structure(document, LoadPlan)
    except BaseValidationError as error:
        raise InvalidLoadPlan(tuple(transform_error(error))) from error


def _check_limits(plan: LoadPlan) -> list[str]:
    limits = {
        'rate': (plan.rate, MAX_RATE),
        'duration': (plan.duration, MAX_DURATION),
        'connections': (plan.connections, MAX_CONNECTIONS),
        'keys.count': (plan.keys.count, MAX_KEYS),
        'customers': (len(plan.customers), MAX_CUSTOMERS),
    }
    mistakes = [
        f'{name} must be greater than 0 and at most {maximum}'
        for name, (actual, maximum) in limits.items()
        if not 0 < actual <= maximum
    ]
    if plan.keys.names and len(plan.keys.names) != plan.keys.count:
        mistakes.append('keys.count must equal the number of keys.names')
    if not 0 <= plan.resends <= MAX_RESENDS:
        mistakes.append(f'resends must be from 0 to {MAX_RESENDS}')
    if plan.keys.zipf < 0:
        mistakes.append('keys.zipf must not be negative')
    return [*mistakes, *_check_kinds_and_weights(plan)]


def _check_kinds_and_weights(plan: LoadPlan) -> list[str]:
    weights = {kind.name: kind.weight for kind in plan.kinds}
    weights.update(
        {customer.name: customer.weight for customer in plan.customers}
    )
    mistakes = [
        f'deadline of kind {kind.name} must be greater than 0 s'
        for kind in plan.kinds
        if kind.deadline <= 0
    ]
    mistakes.extend(
        f'weight of {name} must be greater than 0'
        for name, weight in weights.items()
        if weight <= 0
    )
    if not plan.kinds:
        mistakes.append('kinds must have at least one entry')
    return mistakes


def _check_urls(plan: LoadPlan) -> list[str]:
    mistakes = [] if plan.urls else ['urls must have at least one entry']
    for url in (*plan.urls, *plan.backends):
        if not _is_base_url(url):
            mistakes.append(
                f'{url} is not a base URL such as http://127.0.0.1:8080'
            )
        elif not (plan.allow_remote or _is_loopback(url)):
            mistakes.append(
                f'{url} is not at a loopback IP address; see allow_remote'
            )
    return mistakes


def _is_base_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError:
        return False
    return parts.scheme == 'http' and bool(parts.hostname) and bool(port)


def _is_loopback(url: str) -> bool:
    try:
        return ipaddress.ip_address(urlsplit(url).hostname or '').is_loopback
    except ValueError:
        return False
