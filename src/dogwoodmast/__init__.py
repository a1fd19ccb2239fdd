"""Router for servers that hold keys exclusively."""

from __future__ import annotations

from dogwoodmast.errors import DogwoodmastError

__all__ = ['DogwoodmastError']
