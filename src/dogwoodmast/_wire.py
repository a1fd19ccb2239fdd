"""Thrift encoding of the messages between processes.

A message class is an attrs class with the fields of the struct of the same
name in one of the package's IDL files.  Decoded values are checked against the
types of the IDL; lists become tuples.
"""

from __future__ import annotations

import pathlib
import types
from typing import TYPE_CHECKING, Any, TypeVar

import attrs
import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.thrift import TType
from thriftpy2.utils import deserialize, serialize

from dogwoodmast.errors import MalformedFrame

if TYPE_CHECKING:
    from collections.abc import Callable

_Message = TypeVar('_Message')

IDL_DIRECTORY = pathlib.Path(__file__).parent / 'idl'
"""Directory of the thrift files."""

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


@attrs.frozen
class _Codec:
    """Message class, its thrift struct, and the names and types of fields."""

    cls: type
    struct: Any
    fields: tuple[tuple[str, type], ...]


_codecs: dict[str, _Codec] = {}
_modules: dict[str, Any] = {}


def _load_idl(name: str) -> Any:
    if name not in _modules:
        _modules[name] = thriftpy2.load(
            str(IDL_DIRECTORY / f'{name}.thrift'),
            module_name=f'dogwoodmast_{name}_thrift',
        )
    return _modules[name]


def wire_message(idl: str) -> Callable[[type[_Message]], type[_Message]]:
    """Make a decorator that registers a message class.

    The class is encoded as the struct of the same name.

    :param idl: Name of the IDL file without ``.thrift``.
    :return: Decorator that returns the class unchanged.
    """

    def register(cls: type[_Message]) -> type[_Message]:
        struct = getattr(_load_idl(idl), cls.__name__)
        fields = tuple(
            (spec[1], _PYTHON_TYPES[spec[0]])
            for spec in struct.thrift_spec.values()
        )
        _codecs[cls.__name__] = _Codec(cls, struct, fields)
        return cls

    return register


def _to_struct(value: Any) -> Any:
    if isinstance(value, (tuple, list)):
        return [_to_struct(element) for element in value]
    codec = _codecs.get(type(value).__name__)
    if codec is None:
        return value
    return codec.struct(
        **{name: _to_struct(getattr(value, name)) for name, _ in codec.fields}
    )


def _from_struct(value: Any) -> Any:
    if isinstance(value, list):
        return tuple(_from_struct(element) for element in value)
    codec = _codecs.get(type(value).__name__)
    if codec is None:
        return value
    return codec.cls(**_checked_fields(codec, value))


def _checked_fields(codec: _Codec, struct: Any) -> dict[str, Any]:
    found = {}
    for name, expected in codec.fields:
        value = getattr(struct, name)
        if not isinstance(value, expected):
            kind = codec.cls.__name__
            raise MalformedFrame(
                f'{kind}: field {name} is not of type {expected.__name__}'
            )
        found[name] = _from_struct(value)
    return found


def encode(message: object) -> bytes:
    """Encode a message.

    :param message: Instance of a registered class.
    :return: Encoding in the thrift binary protocol.
    """
    payload: bytes = serialize(_to_struct(message), _PROTOCOL)
    return payload


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
    try:
        struct = deserialize(codec.struct(), payload, _PROTOCOL)
    except Exception as error:
        raise MalformedFrame(
            f'{kind}: payload cannot be decoded: {type(error).__name__}'
        ) from error
    return _from_struct(struct)
