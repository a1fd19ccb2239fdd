"""Command ``python -m dogwoodmast.direct SETTINGS``, which runs an entry VM."""

from __future__ import annotations

import gc
import importlib
import sys

from dogwoodmast.deferred_imports import defer_imports

DEFERRED_PACKAGES = (
    'prometheus_client',
    'thriftpy2',
    'thriftpy2.protocol',
    'thriftpy2.transport',
    'uvicorn',
)
"""Packages that import much which an entry VM does not need to start."""


def main() -> int:
    """Run an entry VM until a signal stops it.

    :return: Exit code.
    """
    # What is imported is never garbage.
    gc.disable()
    defer_imports(DEFERRED_PACKAGES)
    process = importlib.import_module('dogwoodmast.direct.process')
    return int(process.main())


if __name__ == '__main__':
    sys.exit(main())
