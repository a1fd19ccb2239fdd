"""Compressed encoding of shard records, in the store and on links.

Neighbouring assignments resemble each other, so that a table takes a fifth of
its plain size.
"""

from __future__ import annotations

import zlib

from dogwoodmast._wire import decode, encode
from dogwoodmast.direct.messages import ShardRecord
from dogwoodmast.errors import MalformedFrame
from dogwoodmast.frames import MAX_FRAME_BYTES

COMPRESSION_LEVEL = 1
"""Level of zlib; higher ones save little on these records."""

_ZLIB_FIRST_BYTE = b'\x78'
"""First byte of all zlib streams with a window of 32 KiB; encoded records
begin with another one."""


def pack_record(record: ShardRecord) -> bytes:
    """Encode and compress a record.

    :param record: Shard assignments of a service.
    :return: Compressed encoding.
    """
    return zlib.compress(encode(record), COMPRESSION_LEVEL)


def unpack_record(content: bytes) -> ShardRecord:
    """Decompress and decode a record.

    :param content: Result of :func:`pack_record`, or a plain encoding, which
        earlier releases stored.
    :return: Shard assignments of a service.
    :raises MalformedFrame: If the content is not a record.
    """
    record = decode('ShardRecord', _decompress(content))
    assert isinstance(record, ShardRecord)
    return record


def _decompress(content: bytes) -> bytes:
    if not content.startswith(_ZLIB_FIRST_BYTE):
        return content
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(content, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise MalformedFrame(f'shard record: {error}') from error
    if not decompressor.eof:
        raise MalformedFrame('shard record: truncated or too large')
    return plain
