"""Structs of the messages between processes, and their field tables."""

from __future__ import annotations

import pathlib
from typing import Any

import orjson

IDL_DIRECTORY = pathlib.Path(__file__).parent
"""Directory of the thrift files."""
STRUCTS_FILE = IDL_DIRECTORY / 'structs.json'
"""Field tables, which ``python -m dogwoodmast.idl_compiler`` writes."""

Field = list[Any]
"""Number, type, name, type of the elements of a list or ``None``, default."""


def load_structs() -> dict[str, dict[str, list[Field]]]:
    """Read the field tables.

    :return: Fields by IDL file and struct.
    """
    structs: dict[str, dict[str, list[Field]]] = orjson.loads(
        STRUCTS_FILE.read_bytes()
    )
    return structs
