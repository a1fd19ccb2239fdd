"""Compression of documents that are sent to many entry VMs."""

from __future__ import annotations

import zlib
from functools import lru_cache

from dogwoodmast.errors import MalformedFrame
from dogwoodmast.frames import MAX_FRAME_BYTES

COMPRESSION_LEVEL = 1
"""Level of zlib; higher ones save little on these documents."""
MAX_CACHED_DOCUMENTS = 8
"""Number of compressed documents that are kept for further receivers."""


@lru_cache(maxsize=MAX_CACHED_DOCUMENTS)
def compress(content: bytes) -> bytes:
    """Compress a document, once for all of its receivers.

    :param content: Document.
    :return: zlib stream.
    """
    return zlib.compress(content, COMPRESSION_LEVEL)


def decompress(stream: bytes) -> bytes:
    """Decompress a document.

    :param stream: Result of :func:`compress`.
    :return: Document.
    :raises MalformedFrame: If the stream is invalid, truncated, or longer than
        the largest frame once it is decompressed.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(stream, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise MalformedFrame(f'compressed document: {error}') from error
    if not decompressor.eof:
        raise MalformedFrame('compressed document: truncated or too large')
    return content
