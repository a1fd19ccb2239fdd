"""Conversion between attrs classes and JSON documents.

An :class:`~dogwoodmast.address.Address` is written as ``host:port``.
"""

from __future__ import annotations

from typing import Any, TypeVar

from cattrs.errors import BaseValidationError
from cattrs.preconf.orjson import make_converter
from cattrs.v import transform_error
from orjson import JSONDecodeError

from dogwoodmast.address import Address
from dogwoodmast.errors import UnknownField

_Document = TypeVar('_Document')

converter = make_converter()
"""Converter for stored documents.  It ignores unknown fields, since a later
release may have written them."""
strict_converter = make_converter(forbid_extra_keys=True)
"""Converter for files written by operators.  It rejects unknown fields."""


def _structure_address(text: Any, _: type[Address]) -> Address:
    return Address.parse(str(text))


converter.register_unstructure_hook(Address, str)
converter.register_structure_hook(Address, _structure_address)
strict_converter.register_structure_hook(Address, _structure_address)


def dump_document(instance: object) -> bytes:
    """Serialize an attrs instance as JSON.

    :param instance: Instance to serialize.
    :return: JSON document, in UTF-8.
    """
    return converter.dumps(instance)


def load_document(content: bytes, cls: type[_Document]) -> _Document:
    """Deserialize an attrs instance from JSON.

    :param content: JSON document.
    :param cls: Class of the instance.
    :return: Instance of the class; unknown fields are ignored.
    :raises UnknownField: If the content is not JSON or lacks a mandatory
        field, or if a field has an invalid value.
    """
    try:
        return converter.loads(content, cls)
    except JSONDecodeError as error:
        raise UnknownField('$', f'JSON ({error})') from error
    except BaseValidationError as error:
        reasons = '; '.join(transform_error(error))
        raise UnknownField('$', reasons) from error
