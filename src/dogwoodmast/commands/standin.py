"""Command ``standin``: run a stand-in for an external system.

The stand-ins replace the platform, the VM list and back-end servers in tests
and in local fleets.
"""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import anyio

from dogwoodmast._documents import load_document
from dogwoodmast.commands._common import (
    Subparsers,
    add_parser,
    add_subcommands,
    address,
)
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.standins._http import serve_app
from dogwoodmast.standins.backend import BackendStandIn
from dogwoodmast.standins.platform import PlatformStandIn
from dogwoodmast.standins.vm_list import VmListStandIn
from dogwoodmast.vm_list import VmListing

if TYPE_CHECKING:
    import argparse


def register(subparsers: Subparsers) -> None:
    """Add the parsers of ``standin`` and its subcommands.

    :param subparsers: Subparsers of the program.
    """
    subcommands = add_subcommands(
        subparsers, 'standin', 'run a stand-in for an external system'
    )
    platform = add_parser(
        subcommands,
        'platform',
        'run an etcd JSON gateway with an in-memory key-value store',
        'standin platform --listen 127.0.0.1:2379',
    )
    platform.set_defaults(run=run_platform)
    vm_list = add_parser(
        subcommands,
        'vm-list',
        'serve a VM list over HTTP',
        'standin vm-list --listen 127.0.0.1:2380 --vms vms.json',
    )
    vm_list.add_argument(
        '--vms', type=pathlib.Path, help='JSON file with the VMs'
    )
    vm_list.set_defaults(run=run_vm_list)
    backend = add_parser(
        subcommands,
        'backend',
        'run a back-end server that records the requests it executes',
        'standin backend --name balance-1 --listen 127.0.0.1:8080',
    )
    backend.add_argument('--name', required=True, help='name of the target')
    backend.add_argument('--slots', type=int, default=6)
    backend.add_argument('--service-time', type=float, default=0)
    backend.add_argument('--checks-fences', action='store_true')
    backend.add_argument(
        '--journal',
        type=pathlib.Path,
        help='file that executions are appended to',
    )
    backend.set_defaults(run=run_backend)
    for parser in (platform, vm_list, backend):
        parser.add_argument('--listen', type=address, required=True)


def run_platform(arguments: argparse.Namespace) -> int:
    """Run the stand-in for the platform, including the expiry of leases.

    :param arguments: Parsed arguments.
    :return: Exit code ``OK`` after the server has stopped.
    """

    async def serve() -> None:
        app = PlatformStandIn()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(app.expire_leases)
            await serve_app(app, arguments.listen)
            tasks.cancel_scope.cancel()

    return _run(serve)


def run_vm_list(arguments: argparse.Namespace) -> int:
    """Run the stand-in for the VM list, which is empty without a file.

    :param arguments: Parsed arguments.
    :return: Exit code ``OK`` after the server has stopped.
    """
    listing = VmListing(())
    if arguments.vms is not None:
        listing = load_document(arguments.vms.read_bytes(), VmListing)

    async def serve() -> None:
        await serve_app(VmListStandIn(listing.vms), arguments.listen)

    return _run(serve)


def run_backend(arguments: argparse.Namespace) -> int:
    """Run the stand-in for one back-end server.

    :param arguments: Parsed arguments.
    :return: Exit code ``OK`` after the server has stopped.
    """
    app = BackendStandIn(
        arguments.name,
        arguments.slots,
        arguments.service_time,
        arguments.checks_fences,
        arguments.journal,
    )

    async def serve() -> None:
        await serve_app(app, arguments.listen)

    return _run(serve)


def _run(serve: object) -> int:
    anyio.run(
        serve,  # type: ignore[arg-type]
        backend='asyncio',
        backend_options={'use_uvloop': True},
    )
    return ExitCode.OK
