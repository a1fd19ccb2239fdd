"""Benchmarks, one module per command.

Those that need a fleet of processes start it with the classes of the tests.
"""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).parents[1] / 'tests'))
