"""Hashing of keys to partitions, and rendezvous hashing."""

from __future__ import annotations

import xxhash


def partition_of(key: str, partitions: int) -> int:
    """Compute the partition that a key hashes to.

    :param key: Key of a request.
    :param partitions: Number of the service's partitions, a power of two.
    :return: Number of the partition, counted from zero.
    """
    digest: int = xxhash.xxh3_64_intdigest(key.encode())
    return digest & (partitions - 1)


def rendezvous_score(*parts: object) -> int:
    """Compute a score for rendezvous hashing.

    :param parts: Values that are hashed, such as a partition and a target
        name; equal values give equal scores in every process.
    :return: Uniformly distributed unsigned 64-bit integer.
    """
    text = '\x1f'.join(str(part) for part in parts)
    score: int = xxhash.xxh3_64_intdigest(text.encode())
    return score
