"""Compiler of the IDL files into field tables, run by developers.

Parsing the IDL takes a third of the start of a process, so the field tables of
all structs are kept in a JSON file.  A test compares it with the IDL files.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import orjson
import thriftpy2

from dogwoodmast.exit_code import ExitCode
from dogwoodmast.idl import IDL_DIRECTORY, STRUCTS_FILE

if TYPE_CHECKING:
    import pathlib

    from dogwoodmast.idl import Field


def compile_idl() -> dict[str, dict[str, list[Field]]]:
    """Parse all IDL files.

    :return: Fields by file and struct.
    """
    return {
        path.stem: _compile_file(path)
        for path in sorted(IDL_DIRECTORY.glob('*.thrift'))
    }


def main() -> int:
    """Write the field tables beside the IDL files.

    :return: Exit code.
    """
    options = orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    STRUCTS_FILE.write_bytes(orjson.dumps(compile_idl(), option=options))
    return ExitCode.OK


def _compile_file(path: pathlib.Path) -> dict[str, list[Field]]:
    module: Any = thriftpy2.load(
        str(path), module_name=f'dogwoodmast_{path.stem}_thrift'
    )
    return {
        struct.__name__: _compile_struct(struct)
        for struct in module.__thrift_meta__['structs']
    }


def _compile_struct(struct: Any) -> list[Field]:
    defaults = dict(struct.default_spec)
    return [
        [number, spec[0], spec[1], _element(spec), defaults[spec[1]]]
        for number, spec in struct.thrift_spec.items()
    ]


def _element(spec: tuple[Any, ...]) -> int | str | None:
    """Return the type number, or the struct's name, of a list's elements."""
    match spec:
        case (_, _, (_, struct), _):
            return str(struct.__name__)
        case (_, _, int() as element, _):
            return element
        case _:
            return None


if __name__ == '__main__':
    sys.exit(main())
