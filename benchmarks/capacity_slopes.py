"""Costs per partition, document, message and link, measured in process."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

import attrs

from dogwoodmast._documents import dump_document, load_document
from dogwoodmast._wire import decode, encode
from dogwoodmast.address import Address
from dogwoodmast.document_messages import CompareDigest, pack_versions
from dogwoodmast.document_store import Document, DocumentStore, DocumentVersion
from dogwoodmast.forwarding import ForwardRequest
from dogwoodmast.frames import Ping, pack_frame
from dogwoodmast.ownership import (
    Assignment,
    Member,
    ServiceTable,
    ZoneRecord,
)
from dogwoodmast.request import Header

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = (4_096, 16_384)
"""Numbers of partitions between which slopes are taken."""
MEMBERS = (10, 50)
"""Numbers of members between which slopes are taken."""
DOCUMENTS = (50, 500)
"""Numbers of documents between which slopes are taken."""
REPEATS = 5
MESSAGES = 20_000
BODY_BYTES = 300


@attrs.frozen
class Slopes:
    """What one more of each thing costs."""

    record_bytes_per_partition: float
    """Bytes of a zone's record as it is stored."""
    record_bytes_per_member: float
    """Bytes of a zone's record as it is stored."""
    record_memory_per_partition: float
    """Bytes of memory of a record that was read."""
    record_load_per_partition: float
    """Processor time to read a record, in seconds."""
    record_dump_per_partition: float
    """Processor time to write a record, in seconds."""
    digest_per_document: float
    """Processor time of a digest after a change, in seconds."""
    pull_bytes_per_document: float
    """Bytes by which a pull names one known document."""
    memory_per_document: float
    """Bytes of memory per known document, its content not counted."""
    forward_bytes: float
    """Bytes of a forwarded request with a small body."""
    forward_encode: float
    """Processor time to write a forwarded request, in seconds."""
    forward_decode: float
    """Processor time to read a forwarded request, in seconds."""
    heartbeat_bytes: float
    """Bytes of one heartbeat on a link."""
    comparison_bytes: float
    """Bytes of one comparison of digests."""


def make_record(partitions: int, members: int = 1) -> ZoneRecord:
    """Make a zone's record of some size.

    :param partitions: Partitions that the zone owns.
    :param members: Members that it lists.
    :return: The record.
    """
    assignments = {
        number: Assignment(f'balance-plateau-{number % 100}', 1_000 + number)
        for number in range(partitions)
    }
    listed = tuple(
        Member(
            f'plateau-{number}',
            f'01a23dc1-6787-79ce-9d1e-{number:012x}',
            Address(f'10.1.0.{number}', 7000),
        )
        for number in range(members)
    )
    tables = {'balance': ServiceTable(assignments)}
    return ZoneRecord('plateau', 1, 1, listed, tables, members_version=1)


def measure_slopes() -> Slopes:
    """Measure every slope.

    :return: The slopes.
    """
    forward = make_forward()
    encoded = encode(forward)
    return Slopes(
        record_bytes_per_partition=_slope(
            SIZES, lambda size: len(dump_document(make_record(size)))
        ),
        record_bytes_per_member=_slope(
            MEMBERS, lambda size: len(dump_document(make_record(1, size)))
        ),
        record_memory_per_partition=_slope(SIZES, _record_memory),
        record_load_per_partition=_slope(SIZES, _record_load_time),
        record_dump_per_partition=_slope(SIZES, _record_dump_time),
        digest_per_document=_slope(DOCUMENTS, _digest_time),
        pull_bytes_per_document=_slope(DOCUMENTS, _pull_bytes),
        memory_per_document=_slope(
            DOCUMENTS, lambda size: _memory(lambda: make_store(size))
        ),
        forward_bytes=len(encoded),
        forward_encode=_time_each(lambda: encode(forward)),
        forward_decode=_time_each(lambda: decode('ForwardRequest', encoded)),
        heartbeat_bytes=len(pack_frame(Ping(0), 0)),
        comparison_bytes=len(pack_frame(CompareDigest(2**62), 1)),
    )


def make_store(documents: int) -> DocumentStore:
    """Make a knowledge base of empty documents.

    :param documents: Number of documents.
    :return: The knowledge base.
    """
    store = DocumentStore()
    for number in range(documents):
        version = DocumentVersion(1, 0, number)
        store.merge(Document(f'homes/service-{number}', version, b'{}'))
    return store


def make_forward() -> ForwardRequest:
    """Make a small payment that is forwarded.

    :return: The message.
    """
    return ForwardRequest(
        service_name='balance',
        key='member-1234567',
        method='POST',
        path='/payments',
        query='',
        headers=(
            Header('content-type', 'application/json'),
            Header('accept', 'application/json'),
        ),
        body=bytes(BODY_BYTES),
        customer='laveurs',
        request_id='01a23dc1-6787-79ce-9d1e-f432b4378de5',
        time_left=1.5,
        hops=1,
    )


def _slope(sizes: tuple[int, int], cost: Callable[[int], float]) -> float:
    small, large = sizes
    return (cost(large) - cost(small)) / (large - small)


def _memory(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = [make()]
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return used


def _shortest(action: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        began = time.process_time()
        action()
        times.append(time.process_time() - began)
    return min(times)


def _time_each(action: Callable[[], object]) -> float:
    def repeat() -> None:
        for _ in range(MESSAGES):
            action()

    return _shortest(repeat) / MESSAGES


def _record_memory(partitions: int) -> float:
    document = dump_document(make_record(partitions))
    return _memory(lambda: load_document(document, ZoneRecord))


def _record_load_time(partitions: int) -> float:
    document = dump_document(make_record(partitions))
    return _shortest(lambda: load_document(document, ZoneRecord))


def _record_dump_time(partitions: int) -> float:
    record = make_record(partitions)
    return _shortest(lambda: dump_document(record))


def _digest_time(documents: int) -> float:
    stores = [make_store(documents) for _ in range(REPEATS)]
    return _shortest(lambda: stores.pop().digest)


def _pull_bytes(documents: int) -> float:
    versions = pack_versions(make_store(documents).versions())
    return sum(len(encode(version)) for version in versions)
