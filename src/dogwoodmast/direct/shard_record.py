"""Compressed encoding of shard records, in the store and on links.

Neighbouring assignments resemble each other, so that a table takes a fifth of
its plain size.
"""

from __future__ import annotations

from dogwoodmast._wire import decode, encode
from dogwoodmast.direct.compression import compress, decompress
from dogwoodmast.direct.key_loads import KEY_COUNT
from dogwoodmast.direct.messages import ShardRecord

_ZLIB_FIRST_BYTE = b'\x78'
"""First byte of all zlib streams with a window of 32 KiB; encoded records
begin with another one."""


def pack_record(record: ShardRecord) -> bytes:
    """Encode and compress a record.

    :param record: Shard assignments of a service.
    :return: Compressed encoding.
    """
    return compress(encode(record))


def unpack_record(content: bytes) -> ShardRecord:
    """Decompress and decode a record.

    :param content: Result of :func:`pack_record`, or a plain encoding, which
        earlier releases stored.
    :return: Shard assignments of a service.
    :raises MalformedFrame: If the content is not a record.
    """
    is_compressed = content.startswith(_ZLIB_FIRST_BYTE)
    plain = decompress(content) if is_compressed else content
    record = decode('ShardRecord', plain)
    assert isinstance(record, ShardRecord)
    return record


def covers_all_keys(record: ShardRecord) -> bool:
    """Check that each key of the service is in one shard of a record.

    :param record: Shard assignments of a service.
    :return: Whether the shards are in order, without gaps or overlaps.
    """
    following = 0
    for shard in record.assignments:
        if shard.first != following or shard.last < shard.first:
            return False
        following = shard.last + 1
    return following == KEY_COUNT
