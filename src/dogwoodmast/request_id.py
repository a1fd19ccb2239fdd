"""Identity of requests: Idempotency-Keys and fingerprints."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.request import Request

_TIMESTAMP_SHIFT = 80
_MILLISECONDS = 1000


def creation_time(request_id: str) -> float:
    """Read when a UUID of version 7 was made.

    :param request_id: The UUID.
    :return: Seconds since the Unix epoch, by its maker's clock.
    """
    return (uuid.UUID(request_id).int >> _TIMESTAMP_SHIFT) / _MILLISECONDS


def fingerprint(request: Request) -> bytes:
    """Compute a hash of what a request asks for.

    :param request: The request.
    :return: Hash over service, key, method, path, query and body.
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
    """Compute a hash over parts of a request.

    :param parts: Short parts, told apart by their lengths.
    :param body: Body.
    :return: Hash of 16 bytes.
    """
    hasher = xxhash.xxh3_128()
    for part in parts:
        hasher.update(len(part).to_bytes(4, 'big'))
        hasher.update(part)
    hasher.update(body)
    return hasher.digest()
