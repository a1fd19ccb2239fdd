"""Creation time of Idempotency-Keys, and fingerprints of requests."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.request import Request

_TIMESTAMP_SHIFT = 80
"""Bits of a UUID of version 7 that follow its timestamp in milliseconds."""
_MILLISECONDS_PER_SECOND = 1000


def creation_time(request_id: str) -> float:
    """Return the time that is encoded in a UUID of version 7.

    :param request_id: Idempotency-Key, a UUID of version 7.
    :return: Seconds since the Unix epoch by the clock of its creator.
    """
    return (
        uuid.UUID(request_id).int >> _TIMESTAMP_SHIFT
    ) / _MILLISECONDS_PER_SECOND


def fingerprint(request: Request) -> bytes:
    """Hash the parts of a request that a repetition must not change.

    :param request: Request to hash.
    :return: Hash over service, key, method, path, query and body; headers
        and deadline are left out.
    """
    parts = (
        request.service,
        request.key,
        request.method,
        request.path,
        request.query,
    )
    return hash_parts((part.encode() for part in parts), request.body)


def hash_parts(parts: Iterable[bytes], body: bytes) -> bytes:
    """Hash the parts and the body of a request.

    Each part is preceded by its length, so that the bounds between parts
    count as well.

    :param parts: Method, path and the like, in a fixed order.
    :param body: Request body, hashed without its length.
    :return: XXH3 hash of 16 bytes.
    """
    hasher = xxhash.xxh3_128()
    for part in parts:
        hasher.update(len(part).to_bytes(4, 'big'))
        hasher.update(part)
    hasher.update(body)
    return hasher.digest()
