"""Run one entry VM with ``python -m dogwoodmast.direct SETTINGS``."""

from __future__ import annotations

import argparse
import pathlib
import sys
from contextlib import ExitStack

import anyio

from dogwoodmast.bounded_log import BoundedStream
from dogwoodmast.direct.daemon import DirectVm
from dogwoodmast.direct.settings import load_direct_settings
from dogwoodmast.events import install_log
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.input_errors import InvalidInput


def main() -> int:
    """Run an entry VM until it is told to stop.

    :return: Exit code.
    """
    parser = argparse.ArgumentParser(
        prog='python -m dogwoodmast.direct',
        description='Run one entry VM that sends requests straight to targets.',
    )
    parser.add_argument('settings', type=pathlib.Path, help='TOML file')
    path = parser.parse_args().settings
    try:
        settings = load_direct_settings(path)
    except InvalidInput as mistakes:
        for mistake in mistakes.exceptions:
            print(f'dogwoodmast: {mistake}', file=sys.stderr)
        return ExitCode.INVALID
    with ExitStack() as stack:
        stream = stack.enter_context(BoundedStream(sys.stdout))
        stack.enter_context(install_log(settings.log.level, stream))
        anyio.run(
            DirectVm(settings, path).run,
            backend='asyncio',
            backend_options={'use_uvloop': True},
        )
    return ExitCode.OK


if __name__ == '__main__':
    sys.exit(main())
