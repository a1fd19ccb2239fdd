"""Fleet of entry VMs, back ends and the platform as separate processes."""

from __future__ import annotations

import atexit
import json
import os
import subprocess
import sys
import time
from contextlib import ExitStack, suppress
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING

import attrs
import uuid6

from dogwoodmast._documents import dump_document, load_document
from dogwoodmast.address import Address
from dogwoodmast.configuration import (
    Configuration,
    RequestKind,
    Service,
    Target,
    Zone,
)
from dogwoodmast.ledger import CLOCK_MARGIN
from dogwoodmast.status import STATUS_PATH, StatusReport
from dogwoodmast.vm_list import Vm, VmListing, VmRole, VmState
from port_pool import HOST, PortPool
from relay import Network, Relay

if TYPE_CHECKING:
    import pathlib
    import signal
    from collections.abc import Iterator

ZONES = ('plateau', 'pikine', 'almadies')
READY_TIMEOUT = 20.0
"""Default time limit of requests, stops and waits, in seconds."""
POLL_INTERVAL = 0.05
"""Time between two checks of a condition, in seconds."""
SETTINGS_TEMPLATE = """\
[vm]
name = "{name}"
zone = "{zone}"

[listen]
http = "{http}"
links = "{links}"
advertised_links = "{advertised}"

[platform]
endpoint = "http://{platform}"

[vm_list]
endpoint = "http://{vm_list}/vms"
"""


@attrs.frozen
class RelayPlan:
    """Listen addresses of the relays to and from one entry VM."""

    links: Address
    """Relay through which peers reach the entry VM."""
    platform: Address
    """Relay through which it reaches the platform."""
    vm_list: Address
    """Relay through which it reaches the VM list."""


@attrs.frozen
class EntryPlan:
    """Name, zone and addresses of one entry VM."""

    name: str
    """Name of the VM."""
    zone: str
    """Name of its availability zone."""
    http: Address
    """Address at which it accepts callers."""
    links: Address
    """Address at which it accepts links of other entry VMs."""
    relays: RelayPlan | None = None
    """Its relays, or ``None`` if its connections are direct."""

    @property
    def advertised(self) -> Address:
        """Address for links that is advertised to other entry VMs."""
        return self.links if self.relays is None else self.relays.links


@attrs.frozen
class FleetPlan:
    """Addresses of all processes of a fleet."""

    platform: Address
    """Address of the platform stand-in."""
    vm_list: Address
    """Address of the VM list stand-in."""
    entries: tuple[EntryPlan, ...]
    """All entry VMs."""
    targets: tuple[Target, ...]
    """All back ends."""


@attrs.frozen
class Reply:
    """HTTP response that a caller received."""

    status: int
    """HTTP status code."""
    headers: dict[str, str]
    """Headers by lower-case name."""
    body: bytes
    """Complete body."""

    @property
    def document(self) -> dict[str, object]:
        """Body parsed as a JSON object."""
        parsed: dict[str, object] = json.loads(self.body)
        return parsed


_pool = PortPool()
"""Ports of this process, until it ends."""
atexit.register(_pool.close)


def free_addresses(count: int) -> list[Address]:
    """Find loopback addresses that no process uses.

    No address is returned twice, also by later calls, until all others of this
    process were: what is to listen at an address may not do so yet when the
    next is found.  Other processes find none of them until this one ends.

    :param count: Number of addresses.
    :return: Addresses with ports of ``FLEET_PORTS``.
    """
    return [Address(HOST, port) for port in _pool.find(count)]


def make_plan(
    entries_per_zone: int, backends_per_zone: int, relayed: bool = False
) -> FleetPlan:
    """Choose the addresses of a fleet in three zones.

    :param entries_per_zone: Number of entry VMs in each zone.
    :param backends_per_zone: Number of back ends in each zone.
    :param relayed: Whether each entry VM's links and its connections to the
        platform and the VM list pass through relays.
    :return: Addresses of all processes.
    """
    names = [
        (f'{zone}-{number}', zone)
        for zone in ZONES
        for number in range(entries_per_zone)
    ]
    backends = backends_per_zone * len(ZONES)
    addresses = iter(free_addresses(2 + 5 * len(names) + backends))
    return FleetPlan(
        platform=next(addresses),
        vm_list=next(addresses),
        entries=tuple(
            EntryPlan(
                name,
                zone,
                next(addresses),
                next(addresses),
                _make_relays(addresses) if relayed else None,
            )
            for name, zone in names
        ),
        targets=tuple(
            Target(f'balance-{zone}-{number}', zone, next(addresses), 6, 130)
            for zone in ZONES
            for number in range(backends_per_zone)
        ),
    )


def _make_relays(addresses: Iterator[Address]) -> RelayPlan:
    return RelayPlan(next(addresses), next(addresses), next(addresses))


def make_configuration(plan: FleetPlan, partitions: int = 64) -> Configuration:
    """Make a configuration with one service on all back ends.

    :param plan: Fleet that runs the service.
    :param partitions: Number of partitions of the service.
    :return: Configuration with version 0, as for an operator's file.
    """
    service = Service(
        name='balance',
        partitions=partitions,
        targets=plan.targets,
        kinds=(
            RequestKind('check', ('GET', 'HEAD'), True, 2.0, attempts=3),
            RequestKind('pay', ('POST',), False, 5.0),
        ),
    )
    return Configuration(0, tuple(Zone(name) for name in ZONES), (service,))


def new_request_id() -> str:
    """Make a value for the header Idempotency-Key."""
    return str(uuid6.uuid7())


class Fleet:
    """Running processes of one fleet, addressed by name."""

    def __init__(
        self,
        directory: pathlib.Path,
        entries_per_zone: int = 1,
        backends_per_zone: int = 2,
        backend_options: tuple[str, ...] = (),
        relayed: bool = False,
    ) -> None:
        self._directory = directory
        self._backend_options = backend_options
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._stack = ExitStack()
        self.plan = make_plan(entries_per_zone, backends_per_zone, relayed)
        self.network = Network()

    def __enter__(self) -> Fleet:
        self._stack.enter_context(self.network)
        return self

    def __exit__(self, *exc_info: object) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()
        self._stack.close()

    def start(self) -> None:
        """Start the stand-ins, the back ends, the relays and the entry VMs."""
        plan = self.plan
        self._directory.joinpath('vms.json').write_bytes(
            dump_document(make_listing(plan))
        )
        self.spawn('platform', 'standin', 'platform', plan.platform)
        self.spawn(
            'vm-list',
            'standin',
            'vm-list',
            plan.vm_list,
            '--vms',
            str(self._directory / 'vms.json'),
        )
        for target in plan.targets:
            self.start_backend(target.name)
        for entry in plan.entries:
            self._start_relays(entry)
            self.start_entry(entry.name)

    def spawn(
        self, name: str, command: str, kind: str, listen: Address, *options: str
    ) -> None:
        """Start a process that takes a listen address, such as a stand-in."""
        self._spawn(name, command, kind, '--listen', str(listen), *options)

    def start_backend(self, name: str) -> None:
        """Start one back end, which records its executions in a journal."""
        target = self.target(name)
        options = ('--name', name, '--slots', str(target.slots))
        self.spawn(
            name,
            'standin',
            'backend',
            target.address,
            *options,
            '--journal',
            str(self._directory / f'{name}.journal'),
            *self._backend_options,
        )

    def start_entry(self, name: str) -> None:
        """Write the settings of one entry VM and start it."""
        entry = self.entry(name)
        upstream = entry.relays or self.plan
        path = self._directory / f'{name}.toml'
        path.write_text(
            SETTINGS_TEMPLATE.format(
                name=entry.name,
                zone=entry.zone,
                http=entry.http,
                links=entry.links,
                advertised=entry.advertised,
                platform=upstream.platform,
                vm_list=upstream.vm_list,
            )
        )
        self._spawn(name, 'serve', str(path))

    def entry(self, name: str) -> EntryPlan:
        """Return the plan of an entry VM."""
        return next(one for one in self.plan.entries if one.name == name)

    def target(self, name: str) -> Target:
        """Return the configuration of a target."""
        return next(one for one in self.plan.targets if one.name == name)

    def entries_in_zone(self, zone: str) -> list[str]:
        """Return the names of a zone's entry VMs."""
        return [one.name for one in self.plan.entries if one.zone == zone]

    def entry_addresses(self) -> dict[str, Address]:
        """Return the addresses for callers by the name of the entry VM."""
        return {entry.name: entry.http for entry in self.plan.entries}

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(READY_TIMEOUT)

    def pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes[name].pid

    def alive(self, name: str) -> bool:
        """Check whether a process was started and has not ended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def apply(self, configuration: Configuration, base: int) -> None:
        """Apply a configuration, and retry until the command succeeds.

        :param configuration: Configuration to apply.
        :param base: Version that it replaces.
        """
        path = self._directory / 'configuration.json'
        path.write_bytes(dump_document(configuration))
        wait_until(
            lambda: self._command('config', 'apply', str(path), base) == 0
        )

    def apply_next(self) -> None:
        """Apply version 2, which differs from version 1 only in its number."""
        self.apply(make_configuration(self.plan), base=1)

    def await_version(self, version: int) -> None:
        """Wait until every entry VM uses this or a later configuration."""
        for entry in self.plan.entries:
            wait_until(
                lambda name=entry.name: (
                    self.status(name).configuration_version >= version
                )
            )

    def request(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one request to an entry VM."""
        return send(self.entry(entry).http, method, path, body, headers)

    def pay(self, entry: str, key: str, request_id: str) -> Reply:
        """Send a non-idempotent request, which adds 1 to the value of a key."""
        headers = {'idempotency-key': request_id}
        path = f'/balance/{key}/pay'
        return self.request(entry, 'POST', path, b'1', headers)

    def history(self, target: str) -> list[dict[str, object]]:
        """Read the executions of a running back end."""
        reply = send(self.target(target).address, 'GET', '/-/history')
        rows: list[dict[str, object]] = json.loads(reply.body)
        return rows

    def journal(self) -> list[dict[str, object]]:
        """Read the executions of all back ends, including those killed."""
        return [
            json.loads(line)
            for path in self._directory.glob('*.journal')
            for line in path.read_text().splitlines()
        ]

    def put_vm(self, vm: Vm) -> None:
        """Add a VM to the VM list or replace its entry."""
        path = f'/vms/{vm.name}'
        send(self.plan.vm_list, 'PUT', path, dump_document(vm))

    def delete_vm(self, name: str) -> None:
        """Remove a VM from the VM list."""
        send(self.plan.vm_list, 'DELETE', f'/vms/{name}')

    def set_fault(self, fault: str, delay: float = 0) -> None:
        """Set the fault of the platform stand-in.

        :param fault: Name of the fault; ``none`` ends it.
        :param delay: Delay of each response if the fault is ``slow``, in
            seconds.
        """
        body = json.dumps({'fault': fault, 'delay': delay}).encode()
        send(self.plan.platform, 'PUT', '/-/fault', body)

    def drain(self, target: str) -> None:
        """Mark a back end as leaving in the VM list."""
        found = self.target(target)
        role = VmRole.BACKEND
        self.put_vm(
            Vm(target, found.zone, role, found.address, VmState.LEAVING)
        )

    def status(self, entry: str) -> StatusReport:
        """Request the status report of an entry VM."""
        reply = self.request(entry, 'GET', STATUS_PATH)
        return load_document(reply.body, StatusReport)

    def coordinator(self, zone: str) -> str:
        """Return the name of the entry VM that coordinates a zone."""
        for entry in self.entries_in_zone(zone):
            with suppress(OSError, HTTPException):
                found = self.status(entry).own_zone
                if found is not None and found.coordinator:
                    return found.coordinator
        raise AssertionError(f'no entry VM reports a coordinator of {zone}')

    def serves(self, name: str) -> bool:
        """Check whether an entry VM gets a request answered."""
        return self.request(name, 'GET', '/balance/ready/x').status == 200

    def await_ready(self) -> None:
        """Wait until every entry VM serves requests and accepts new ids.

        A ledger that has just been opened refuses unknown request ids that
        are not newer than its start by the clock margin.
        """
        for entry in self.plan.entries:
            wait_until(lambda name=entry.name: self.serves(name))
        time.sleep(CLOCK_MARGIN)

    def _start_relays(self, entry: EntryPlan) -> None:
        relays = entry.relays
        if relays is None:
            return
        names = frozenset((entry.name, entry.zone))
        plan = self.plan
        upstream = (
            (relays.platform, plan.platform, 'platform'),
            (relays.vm_list, plan.vm_list, 'vm-list'),
        )
        for listen, forward, name in upstream:
            self.network.add(Relay(listen, forward, frozenset((name,)), names))
        self.network.add(Relay(relays.links, entry.links, names))

    def _command(self, *arguments: object) -> int:
        platform = f'http://{self.plan.platform}'
        command, verb, path, base = (str(word) for word in arguments)
        return subprocess.run(
            [
                *(sys.executable, '-m', 'dogwoodmast', command, verb, path),
                *('--base', base, '--platform', platform),
            ],
            check=False,
            capture_output=True,
        ).returncode

    def _spawn(self, name: str, *arguments: str) -> None:
        log = self._stack.enter_context(
            (self._directory / f'{name}.log').open('ab')
        )
        self._processes[name] = subprocess.Popen(
            [sys.executable, '-m', 'dogwoodmast', *arguments],
            stdout=log,
            stderr=log,
            env=os.environ,
        )


def send(
    address: Address,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout: float = READY_TIMEOUT,
) -> Reply:
    """Send one HTTP request on a new connection.

    :param address: Address of the server.
    :param method: HTTP method.
    :param path: Path with an optional query.
    :param body: Body of the request.
    :param headers: Headers besides those of the HTTP client.
    :param timeout: Limit of each socket operation, in seconds.
    :return: Response to the request.
    :raises OSError: If the connection fails or the time limit is exceeded.
    :raises HTTPException: If the response is malformed or incomplete.
    """
    connection = HTTPConnection(address.host, address.port, timeout=timeout)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        found = {name.lower(): text for name, text in response.getheaders()}
        return Reply(response.status, found, response.read())
    finally:
        connection.close()


def make_listing(plan: FleetPlan) -> VmListing:
    """Make the VM list of a fleet with all its entry VMs and back ends."""
    entries = tuple(
        Vm(entry.name, entry.zone, VmRole.ENTRY, entry.advertised)
        for entry in plan.entries
    )
    backends = tuple(
        Vm(target.name, target.zone, VmRole.BACKEND, target.address)
        for target in plan.targets
    )
    return VmListing(entries + backends)


def wait_until(condition: object, timeout: float = READY_TIMEOUT) -> None:
    """Poll a condition until it holds.

    Failed connections and malformed responses count as a condition that
    does not hold.

    :param condition: Function without arguments that checks it.
    :param timeout: Time limit, in seconds.
    :raises AssertionError: If it does not hold within the time limit.
    """
    assert callable(condition)
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        with suppress(OSError, HTTPException):
            if condition():
                return
        time.sleep(POLL_INTERVAL)
    raise AssertionError('the condition did not hold within the time limit')
