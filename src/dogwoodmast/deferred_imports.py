"""Packages that run when an attribute of theirs is needed, not on import.

Load: a fleet of small VMs that are charged for the processor time of their
starts.  A package whose parts are imported one by one runs no more than these
parts; without that, its ``__init__`` imports the others too.
"""

from __future__ import annotations

import sys
from importlib import import_module
from importlib.util import find_spec, module_from_spec
from types import ModuleType
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable
    from importlib.machinery import ModuleSpec


class _DeferredPackage(ModuleType):
    """Package that has not run yet; its submodules can be imported."""

    __spec__: ModuleSpec

    def __getattr__(self, name: str) -> Any:
        """Import a submodule, or run the package.

        :param name: Attribute that the package doesn't have yet.
        :return: Value of the attribute.
        """
        submodule = f'{self.__name__}.{name}'
        if find_spec(submodule) is not None:
            return import_module(submodule)
        self.__class__ = ModuleType  # type: ignore[assignment]
        if self.__spec__.loader is not None:
            self.__spec__.loader.exec_module(self)
        return getattr(self, name)


def defer_imports(names: Iterable[str]) -> None:
    """Put off the code of packages until an attribute of theirs is needed.

    Packages that are imported already stay as they are.

    :param names: Packages, each after the one that it is in.
    """
    for name in names:
        spec = find_spec(name)
        if spec is not None and name not in sys.modules:
            _add_package(spec)


def _add_package(spec: ModuleSpec) -> None:
    module = module_from_spec(spec)
    module.__class__ = _DeferredPackage
    sys.modules[spec.name] = module
    parent, _, child = spec.name.rpartition('.')
    if parent:
        setattr(sys.modules[parent], child, module)
