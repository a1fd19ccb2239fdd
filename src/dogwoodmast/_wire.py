"""Thrift encoding of the messages between processes.

A message class is an attrs class with the fields of the struct of the same
name in one of the package's IDL files, whose field tables are kept as JSON.
Decoded values are checked against the types of the IDL, and against the ranges
that the class states; lists become tuples.
"""

from __future__ import annotations

import types
from typing import TYPE_CHECKING, Any, TypeVar

import attrs
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.thrift import TPayload, TType
from thriftpy2.transport.memory import TCyMemoryBuffer

from dogwoodmast._wire_scan import check_structure
from dogwoodmast.errors import MalformedFrame
from dogwoodmast.idl import load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

_Message = TypeVar('_Message')

_PROTOCOL = TCyBinaryProtocolFactory()
_STOP_FIELD = b'\0'
"""Last byte of every struct in the thrift binary protocol."""
_PYTHON_TYPES = types.MappingProxyType(
    {
        TType.BOOL: bool,
        TType.I32: int,
        TType.I64: int,
        TType.DOUBLE: float,
        TType.STRING: str,
        TType.BINARY: bytes,
        TType.LIST: list,
    }
)
"""Type of the decoded value of each thrift type that the IDL files use."""

Range = tuple[float, float]
"""Least and greatest value of a field, both included."""
ANY_NUMBER: Range = (float('-inf'), float('inf'))
"""Range that only leaves out what is not a number."""
NOT_NEGATIVE: Range = (0, float('inf'))
"""Range of numbers that are not negative."""


@attrs.frozen
class _Field:
    """Field of a message class, and what its decoded values have to be."""

    name: str
    expected: type
    element: type | None
    """Type of the elements of a list; ``None`` for other fields."""
    limits: Range | None
    """Range of a number; ``None`` if all numbers are valid."""

    @classmethod
    def of(cls, spec: tuple[Any, ...], ranges: dict[str, Range]) -> _Field:
        """Describe a field by its thrift specification and its range."""
        kind, name = spec[:2]
        default = ANY_NUMBER if kind == TType.DOUBLE else None
        element = _element_type(spec[2]) if kind == TType.LIST else None
        return cls(
            name, _PYTHON_TYPES[kind], element, ranges.get(name, default)
        )

    def find_defect(self, value: Any) -> str:
        """Tell in which way a value is invalid; empty if it is valid."""
        if not isinstance(value, self.expected):
            return f'not of type {self.expected.__name__}'
        if self.limits is not None and not _is_within(value, self.limits):
            return f'not from {self.limits[0]} to {self.limits[1]}'
        element = self.element
        elements: Any = value
        if element and not all(isinstance(one, element) for one in elements):
            return f'not a list of {element.__name__}'
        return ''


def _is_within(number: Any, limits: Range) -> bool:
    least, greatest = limits
    return bool(least <= number <= greatest)


def _element_type(spec: Any) -> type:
    """Return the type of the elements of a list."""
    if isinstance(spec, tuple):
        struct: type = spec[1]
        return struct
    return _PYTHON_TYPES[spec]


@attrs.frozen
class _Codec:
    """Message class, its thrift struct, and its fields."""

    cls: type
    struct: Any
    fields: tuple[_Field, ...]


_codecs: dict[str, _Codec] = {}
_field_tables = load_structs()
_structs: dict[tuple[str, str], Any] = {}


class _Struct(TPayload):  # type: ignore[misc]
    """Struct that is being decoded; subclasses have the table of its fields."""

    defaults: types.MappingProxyType[str, Any]

    def __init__(self) -> None:
        """Set all fields to their defaults."""
        self.__dict__.update(self.defaults)


def _make_struct(idl: str, name: str) -> Any:
    """Return the class of a struct, with those of its elements."""
    if (idl, name) not in _structs:
        fields = _field_tables[idl][name]
        spec = {
            number: _field_spec(idl, *described)
            for number, *described, _ in fields
        }
        defaults = {field[2]: field[-1] for field in fields}
        _structs[(idl, name)] = type(
            name,
            (_Struct,),
            {
                'thrift_spec': spec,
                'defaults': types.MappingProxyType(defaults),
            },
        )
    return _structs[(idl, name)]


def _field_spec(
    idl: str, field_type: int, name: str, element: int | str | None
) -> tuple[Any, ...]:
    match element:
        case None:
            return (field_type, name, False)
        case str():
            struct = _make_struct(idl, element)
            return (field_type, name, (TType.STRUCT, struct), False)
        case _:
            return (field_type, name, element, False)


def wire_message(
    idl: str, **ranges: Range
) -> Callable[[type[_Message]], type[_Message]]:
    """Make a decorator that registers a message class.

    The class is encoded as the struct of the same name.

    :param idl: Name of the IDL file without ``.thrift``.
    :param ranges: Ranges of fields by name, for what other processes send.
    :return: Decorator that returns the class with a table of its fields, by
        which its instances are encoded.
    """

    def register(cls: type[_Message]) -> type[_Message]:
        struct = _make_struct(idl, cls.__name__)
        fields = tuple(
            _Field.of(spec, ranges) for spec in struct.thrift_spec.values()
        )
        _codecs[cls.__name__] = _Codec(cls, struct, fields)
        type.__setattr__(cls, 'thrift_spec', struct.thrift_spec)
        return cls

    return register


def _from_struct(value: Any) -> Any:
    if isinstance(value, list):
        return tuple(_from_struct(element) for element in value)
    codec = _codecs.get(type(value).__name__)
    if codec is None:
        return value
    return codec.cls(**_checked_fields(codec, value))


def _checked_fields(codec: _Codec, struct: Any) -> dict[str, Any]:
    found = {}
    for field in codec.fields:
        value = getattr(struct, field.name)
        defect = field.find_defect(value)
        if defect:
            kind = codec.cls.__name__
            raise MalformedFrame(f'{kind}: field {field.name} is {defect}')
        found[field.name] = _from_struct(value)
    return found


def encode(message: object) -> bytes:
    """Encode a message.

    :param message: Instance of a registered class.
    :return: Encoding in the thrift binary protocol.
    :raises MalformedFrame: If a field has a value that the IDL cannot carry.
    """
    buffer = TCyMemoryBuffer()
    try:
        _PROTOCOL.get_protocol(buffer).write_struct(message)
    except Exception as error:
        kind = type(message).__name__
        raise MalformedFrame(
            f'{kind}: cannot be encoded: {type(error).__name__}'
        ) from error
    return bytes(buffer.getvalue())


def decode(kind: str, payload: bytes) -> object:
    """Decode a message.

    :param kind: Name of the message class.
    :param payload: Encoding in the thrift binary protocol.
    :return: Instance of the registered class.
    :raises MalformedFrame: If no class of that name is registered, or the
        payload is truncated or does not match the IDL.
    """
    codec = _codecs.get(kind)
    if codec is None:
        raise MalformedFrame('message class is not registered')
    if not payload.endswith(_STOP_FIELD):
        raise MalformedFrame(f'{kind}: payload is truncated')
    check_structure(payload)
    try:
        struct = codec.struct()
        struct.read(_PROTOCOL.get_protocol(TCyMemoryBuffer(payload)))
    except Exception as error:
        raise MalformedFrame(
            f'{kind}: payload cannot be decoded: {type(error).__name__}'
        ) from error
    return _from_struct(struct)
