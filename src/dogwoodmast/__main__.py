"""Entry point of ``python -m dogwoodmast``."""

from __future__ import annotations

import sys

from dogwoodmast.cli import main

if __name__ == '__main__':
    sys.exit(main())
