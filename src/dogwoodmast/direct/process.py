"""Process of an entry VM: command line, settings, log and event loop."""

from __future__ import annotations

import argparse
import gc
import pathlib
import sys
from contextlib import ExitStack

import anyio

from dogwoodmast.bounded_log import BoundedStream
from dogwoodmast.direct.daemon import DirectVm
from dogwoodmast.direct.settings import load_direct_settings
from dogwoodmast.events import start_logging
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.input_errors import InvalidInput


def main() -> int:
    """Run an entry VM until a signal stops it.

    :return: Exit code; ``INVALID`` if the settings file has mistakes.
    """
    parser = argparse.ArgumentParser(
        prog='python -m dogwoodmast.direct',
        description='Run an entry VM that sends requests directly to targets.',
    )
    parser.add_argument(
        'settings', type=pathlib.Path, help='settings file (TOML)'
    )
    path = parser.parse_args().settings
    try:
        settings = load_direct_settings(path)
    except InvalidInput as mistakes:
        for mistake in mistakes.exceptions:
            print(f'dogwoodmast: {mistake}', file=sys.stderr)
        return ExitCode.INVALID
    with ExitStack() as stack:
        stream = stack.enter_context(BoundedStream(sys.stdout))
        stack.enter_context(start_logging(settings.log.level, stream))
        anyio.run(
            _run,
            DirectVm(settings, path),
            backend='asyncio',
            backend_options={'use_uvloop': True},
        )
    return ExitCode.OK


async def _run(vm: DirectVm) -> None:
    # Modules and classes are never garbage; later collections skip them.
    gc.freeze()
    gc.enable()
    await vm.run()
