"""Small fleet: entry VMs as processes, store and targets as stand-ins."""

from __future__ import annotations

import contextlib
import os
import pathlib
import signal
import tempfile
import traceback
from typing import TYPE_CHECKING, Any

import anyio
import attrs

from metadata_store import StoreContent, StoreServer, serving
from platform_target import PlatformTarget
from trial2.client import Client
from trial2.entry_vm import EntryVm
from trial2.platform import Listing, beat
from trial2.ports import free_addresses
from trial2.record import Record
from trial2.target_process import TargetProcess
from trial2.waiting import wait_for

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from dogwoodmast.address import Address

BROKEN = 1
"""Exit code if the rule was broken."""
HELD = 0
"""Exit code if the rule held."""
NOT_RUN = 2
"""Exit code if the case couldn't run."""
READY_TIME = 30.0
"""Time for a fleet to serve requests, in seconds."""
TIME_LIMIT = 115.0
"""Time for a whole case, in seconds."""


class CaseNotRun(Exception):
    """The case couldn't run."""


@attrs.define(eq=False)
class Fleet:
    """Running fleet."""

    content: StoreContent
    """Content of the store."""
    store: StoreServer
    """Server of the store."""
    targets: dict[str, PlatformTarget]
    """Targets by name."""
    listings: list[Listing]
    """Entries of the targets, which they write again and again."""
    vms: list[EntryVm]
    """Entry VMs."""
    record: Record
    """Record of the case."""
    runs: pathlib.Path
    """What targets in processes of their own began to run."""

    async def await_served(self, path: str, **options: Any) -> None:
        """Wait until each entry VM serves a request.

        :param path: Path of the request.
        :param options: Further arguments of the client.
        :raises CaseNotRun: If one does not in time.
        """
        client = Client('warm-up')
        for vm in self.vms:

            async def is_served(address: Address = vm.callers) -> bool:
                answer = await client.send(address, path, **options)
                return answer.is_served

            if not await wait_for(is_served, READY_TIME):
                raise CaseNotRun(f'{vm.name} does not serve')
        self.record.add('all entry VMs serve')


@contextlib.asynccontextmanager
async def running_fleet(
    folder: pathlib.Path,
    configuration: dict[str, Any],
    targets: dict[str, list[PlatformTarget]],
    *,
    vms: int,
    crashing: dict[str, int] | None = None,
    down_time: float = 2.0,
    work_time: float = 0.02,
    slots: int = 4,
    revision: int = 10,
    store: StoreServer | None = None,
) -> AsyncIterator[Fleet]:
    """Run a fleet until the block ends.

    :param folder: Folder of the case, for its record.
    :param configuration: First configuration.
    :param targets: Targets by service.
    :param vms: Number of entry VMs, which are started.
    :param crashing: Number of further targets by service, in processes of
        their own, that crash on poisonous requests.
    :param down_time: Time for which these are down after a crash, in seconds.
    :param work_time: Time that these work on a request, in seconds.
    :param slots: Slots of each target.
    :param revision: Revision of the store at first.
    :param store: Server of the store, by default one of an empty store.
    :return: The fleet.
    """
    store = store or StoreServer(StoreContent(revision=revision))
    content = store.content
    flat = [one for group in targets.values() for one in group]
    at, *addresses = free_addresses(len(flat) + 1)
    by_name = dict(zip((one.name for one in flat), addresses, strict=True))
    listings = [
        Listing(one.name, service, by_name[one.name], slots)
        for service, group in targets.items()
        for one in group
    ]
    content.put_document('op/config', configuration)
    async with contextlib.AsyncExitStack() as stack:
        record = stack.enter_context(Record.create(folder))
        scratch = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        await stack.enter_async_context(
            serving((store, at), *((one, by_name[one.name]) for one in flat))
        )
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        tasks.start_soon(beat, listings, content)
        entry_vms = [
            stack.enter_context(EntryVm(f'v{number}', at, scratch))
            for number in range(1, vms + 1)
        ]
        processes = _make_processes(
            crashing or {}, configuration, scratch, slots, down_time, work_time
        )
        for process in processes:
            tasks.start_soon(process.run, content)
        for vm in entry_vms:
            vm.start()
        yield Fleet(
            content,
            store,
            {one.name: one for one in flat},
            listings,
            entry_vms,
            record,
            scratch / 'runs',
        )


def _make_processes(
    numbers: dict[str, int],
    configuration: dict[str, Any],
    folder: pathlib.Path,
    slots: int,
    down_time: float,
    work_time: float,
) -> list[TargetProcess]:
    sharded = {
        one['name']: bool(one.get('sharded'))
        for one in configuration['services']
    }
    return [
        TargetProcess(
            Listing(f'{service}-{number}', service, address, slots),
            folder / 'runs',
            sharded[service],
            down_time,
            work_time,
        )
        for service, count in numbers.items()
        for number, address in enumerate(free_addresses(count))
    ]


def run_case(play: Callable[[bool], Awaitable[bool]]) -> int:
    """Play a case and tell its exit code.

    :param play: Plays it, with or without its disruption, and tells whether
        the rule held.
    :return: Exit code.
    """

    async def limited() -> bool:
        with anyio.fail_after(TIME_LIMIT):
            return await play(os.environ.get('TROUBLE') != '0')

    # The processes that were started are ended also if this one is.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        has_held = anyio.run(limited)
    except KeyboardInterrupt:
        return NOT_RUN
    except Exception as error:  # an error must not pass for a broken rule
        traceback.print_exception(error)
        return NOT_RUN
    return HELD if has_held else BROKEN
