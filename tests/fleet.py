"""A fleet of separate processes for tests of failures."""

from __future__ import annotations

import json
import os
import random
import socket
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
from relay import Network, Relay

if TYPE_CHECKING:
    import pathlib
    import signal
    from collections.abc import Iterator

HOST = '127.0.0.1'
ZONES = ('plateau', 'pikine', 'almadies')
FLEET_PORTS = range(10_000, 30_000)
READY_TIMEOUT = 20.0
"""Time allowed for the fleet to come up, in seconds."""
POLL_INTERVAL = 0.05
SETTINGS = """\
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
    """Addresses of the relays that one entry VM is reached by or uses."""

    links: Address
    platform: Address
    vm_list: Address


@attrs.frozen
class EntryPlan:
    """Addresses of one entry VM."""

    name: str
    zone: str
    http: Address
    links: Address
    relays: RelayPlan | None = None

    @property
    def advertised(self) -> Address:
        """Address that other entry VMs reach it by."""
        return self.links if self.relays is None else self.relays.links


@attrs.frozen
class FleetPlan:
    """Addresses of all processes."""

    platform: Address
    vm_list: Address
    entries: tuple[EntryPlan, ...]
    targets: tuple[Target, ...]


@attrs.frozen
class Reply:
    """Answer that a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> dict[str, object]:
        """Body as a JSON object."""
        parsed: dict[str, object] = json.loads(self.body)
        return parsed


def free_addresses(count: int) -> list[Address]:
    """Find addresses below the ephemeral ports that nobody listens on."""
    ports = random.Random(f'{os.getpid()} {time.monotonic_ns()}').sample(
        FLEET_PORTS, len(FLEET_PORTS)
    )
    found: list[Address] = []
    with ExitStack() as stack:
        while len(found) < count:
            probe = stack.enter_context(socket.socket())
            port = ports.pop()
            with suppress(OSError):
                probe.bind((HOST, port))
                found.append(Address(HOST, port))
    return found


def make_plan(
    entries_per_zone: int, backends_per_zone: int, relayed: bool = False
) -> FleetPlan:
    """Choose addresses for a fleet."""
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
    """Describe a service on the fleet's back ends."""
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
    """Make an Idempotency-Key."""
    return str(uuid6.uuid7())


class Fleet:
    """Processes of one fleet, by name."""

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
        """Start every process."""
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
        self, name: str, command: str, kind: str, listen: Address, *rest: str
    ) -> None:
        """Start a stand-in."""
        self._spawn(name, command, kind, '--listen', str(listen), *rest)

    def start_backend(self, name: str) -> None:
        """Start one back end."""
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
        """Start one entry VM."""
        entry = self.entry(name)
        outside = entry.relays or self.plan
        path = self._directory / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=entry.name,
                zone=entry.zone,
                http=entry.http,
                links=entry.links,
                advertised=entry.advertised,
                platform=outside.platform,
                vm_list=outside.vm_list,
            )
        )
        self._spawn(name, 'serve', str(path))

    def entry(self, name: str) -> EntryPlan:
        """Find an entry VM's addresses."""
        return next(one for one in self.plan.entries if one.name == name)

    def target(self, name: str) -> Target:
        """Find a target."""
        return next(one for one in self.plan.targets if one.name == name)

    def entries_of(self, zone: str) -> list[str]:
        """Name the entry VMs of a zone."""
        return [one.name for one in self.plan.entries if one.zone == zone]

    def callers_entries(self) -> dict[str, Address]:
        """Give callers the addresses of all entry VMs."""
        return {entry.name: entry.http for entry in self.plan.entries}

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process without warning."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(READY_TIMEOUT)

    def pid(self, name: str) -> int:
        """Give the process id of a process."""
        return self._processes[name].pid

    def alive(self, name: str) -> bool:
        """Tell whether a process runs."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def apply(self, configuration: Configuration, base: int) -> None:
        """Put a configuration in force."""
        path = self._directory / 'configuration.json'
        path.write_bytes(dump_document(configuration))
        wait_until(
            lambda: self._command('config', 'apply', str(path), base) == 0
        )

    def apply_next(self) -> None:
        """Put a second version in force that only differs in its number."""
        self.apply(make_configuration(self.plan), base=1)

    def await_version(self, version: int) -> None:
        """Wait until every entry VM uses a version or a later one."""
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
        """Send a non-idempotent request."""
        headers = {'idempotency-key': request_id}
        path = f'/balance/{key}/pay'
        return self.request(entry, 'POST', path, b'1', headers)

    def history(self, target: str) -> list[dict[str, object]]:
        """Read what a back end executed."""
        reply = send(self.target(target).address, 'GET', '/-/history')
        rows: list[dict[str, object]] = json.loads(reply.body)
        return rows

    def journal(self) -> list[dict[str, object]]:
        """Read what all back ends executed, also those that were killed."""
        return [
            json.loads(line)
            for path in self._directory.glob('*.journal')
            for line in path.read_text().splitlines()
        ]

    def list_vm(self, vm: Vm) -> None:
        """Add a VM to the VM list or change it."""
        path = f'/vms/{vm.name}'
        send(self.plan.vm_list, 'PUT', path, dump_document(vm))

    def unlist_vm(self, name: str) -> None:
        """Take a VM off the VM list."""
        send(self.plan.vm_list, 'DELETE', f'/vms/{name}')

    def set_fault(self, fault: str, delay: float = 0) -> None:
        """Make the platform fail in some way."""
        body = json.dumps({'fault': fault, 'delay': delay}).encode()
        send(self.plan.platform, 'PUT', '/-/fault', body)

    def drain(self, target: str) -> None:
        """Show a back end as leaving on the VM list."""
        found = self.target(target)
        role = VmRole.BACKEND
        self.list_vm(
            Vm(target, found.zone, role, found.address, VmState.LEAVING)
        )

    def status(self, entry: str) -> StatusReport:
        """Ask an entry VM for its status."""
        reply = self.request(entry, 'GET', STATUS_PATH)
        return load_document(reply.body, StatusReport)

    def coordinator(self, zone: str) -> str:
        """Find the entry VM that coordinates a zone."""
        for entry in self.entries_of(zone):
            with suppress(OSError, HTTPException):
                found = self.status(entry).own_zone
                if found is not None and found.coordinator:
                    return found.coordinator
        raise AssertionError(f'{zone} has no coordinator')

    def serves(self, name: str) -> bool:
        """Tell whether an entry VM serves requests."""
        return self.request(name, 'GET', '/balance/ready/x').status == 200

    def await_ready(self) -> None:
        """Wait until every entry VM serves, also new request ids."""
        for entry in self.plan.entries:
            wait_until(lambda name=entry.name: self.serves(name))
        time.sleep(CLOCK_MARGIN)

    def _start_relays(self, entry: EntryPlan) -> None:
        relays = entry.relays
        if relays is None:
            return
        names = frozenset((entry.name, entry.zone))
        plan = self.plan
        outside = (
            (relays.platform, plan.platform, 'platform'),
            (relays.vm_list, plan.vm_list, 'vm-list'),
        )
        for listen, forward, name in outside:
            self.network.add(Relay(listen, forward, frozenset((name,)), names))
        self.network.add(Relay(relays.links, entry.links, names))

    def _command(self, *words: object) -> int:
        platform = f'http://{self.plan.platform}'
        command, verb, path, base = (str(word) for word in words)
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
    """Send one HTTP request on a fresh connection."""
    connection = HTTPConnection(address.host, address.port, timeout=timeout)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        found = {name.lower(): text for name, text in response.getheaders()}
        return Reply(response.status, found, response.read())
    finally:
        connection.close()


def make_listing(plan: FleetPlan) -> VmListing:
    """Describe the fleet's VMs."""
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
    """Wait until a condition holds; a refused connection does not."""
    assert callable(condition)
    give_up = time.monotonic() + timeout
    while time.monotonic() < give_up:
        with suppress(OSError, HTTPException):
            if condition():
                return
        time.sleep(POLL_INTERVAL)
    raise AssertionError('the condition did not hold in time')
