"""Costs per partition, member, document and message.

They are measured in this process, without a fleet.
"""

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

PARTITION_COUNTS = (4_096, 16_384)
"""Two numbers of partitions; the cost per partition is the difference quotient
between them."""
MEMBER_COUNTS = (10, 50)
"""Two numbers of members, used likewise."""
DOCUMENT_COUNTS = (50, 500)
"""Two numbers of documents, used likewise."""
REPETITIONS = 5
"""Number of repetitions of a timing, of which the shortest counts."""
CALLS_PER_REPETITION = 20_000
"""Number of calls in one repetition of the timing of a message."""
BODY_BYTES = 300
"""Size of the body of the forwarded request, in bytes."""


@attrs.frozen
class Slopes:
    """Cost of each further partition, member, document or message."""

    record_bytes_per_partition: float
    """Stored size of a zone's record per partition, in bytes."""
    record_bytes_per_member: float
    """Stored size of a zone's record per member, in bytes."""
    record_memory_per_partition: float
    """Memory of a decoded record per partition, in bytes."""
    record_load_per_partition: float
    """Processor time for decoding a record per partition, in seconds."""
    record_dump_per_partition: float
    """Processor time for encoding a record per partition, in seconds."""
    digest_per_document: float
    """Processor time for the digest of a changed document store per document,
    in seconds."""
    pull_bytes_per_document: float
    """Size of the version of one document in a pull, in bytes."""
    memory_per_document: float
    """Memory of a document store per document with empty content, in
    bytes."""
    forward_bytes: float
    """Size of an encoded forwarded request with a small body, in bytes."""
    forward_encode: float
    """Processor time for encoding a forwarded request, in seconds."""
    forward_decode: float
    """Processor time for decoding a forwarded request, in seconds."""
    heartbeat_bytes: float
    """Size of the frame of a heartbeat on a link, in bytes."""
    comparison_bytes: float
    """Size of the frame of a comparison of digests, in bytes."""


def make_record(partitions: int, members: int = 1) -> ZoneRecord:
    """Create a zone's record.

    :param partitions: Number of partitions that the zone owns.
    :param members: Number of members that it lists.
    :return: Record of the zone.
    """
    assignments = {
        number: Assignment(f'balance-plateau-{number % 100}', 1_000 + number)
        for number in range(partitions)
    }
    member_list = tuple(
        Member(
            f'plateau-{number}',
            f'01a23dc1-6787-79ce-9d1e-{number:012x}',
            Address(f'10.1.0.{number}', 7000),
        )
        for number in range(members)
    )
    tables = {'balance': ServiceTable(assignments)}
    return ZoneRecord('plateau', 1, 1, member_list, tables, members_version=1)


def measure_slopes() -> Slopes:
    """Measure all costs.

    :return: Costs per partition, member, document and message.
    """
    forward = make_forward()
    encoded = encode(forward)
    return Slopes(
        record_bytes_per_partition=_cost_per_unit(
            PARTITION_COUNTS,
            lambda count: len(dump_document(make_record(count))),
        ),
        record_bytes_per_member=_cost_per_unit(
            MEMBER_COUNTS,
            lambda count: len(dump_document(make_record(1, count))),
        ),
        record_memory_per_partition=_cost_per_unit(
            PARTITION_COUNTS, _record_memory
        ),
        record_load_per_partition=_cost_per_unit(
            PARTITION_COUNTS, _record_load_time
        ),
        record_dump_per_partition=_cost_per_unit(
            PARTITION_COUNTS, _record_dump_time
        ),
        digest_per_document=_cost_per_unit(DOCUMENT_COUNTS, _digest_time),
        pull_bytes_per_document=_cost_per_unit(DOCUMENT_COUNTS, _pull_bytes),
        memory_per_document=_cost_per_unit(
            DOCUMENT_COUNTS,
            lambda count: _measure_memory(lambda: make_store(count)),
        ),
        forward_bytes=len(encoded),
        forward_encode=_cpu_time_per_call(lambda: encode(forward)),
        forward_decode=_cpu_time_per_call(
            lambda: decode('ForwardRequest', encoded)
        ),
        heartbeat_bytes=len(pack_frame(Ping(0), 0)),
        comparison_bytes=len(pack_frame(CompareDigest(2**62), 1)),
    )


def make_store(documents: int) -> DocumentStore:
    """Create a document store with empty documents.

    :param documents: Number of documents.
    :return: Document store.
    """
    store = DocumentStore()
    for number in range(documents):
        version = DocumentVersion(1, 0, number)
        store.merge(Document(f'homes/service-{number}', version, b'{}'))
    return store


def make_forward() -> ForwardRequest:
    """Create the message that forwards a small POST request.

    :return: Message to another entry VM.
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


def _cost_per_unit(
    counts: tuple[int, int], cost: Callable[[int], float]
) -> float:
    small, large = counts
    return (cost(large) - cost(small)) / (large - small)


def _measure_memory(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    references = [make()]
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    references.clear()
    return used


def _min_cpu_time(action: Callable[[], object]) -> float:
    cpu_times = []
    for _ in range(REPETITIONS):
        start_time = time.process_time()
        action()
        cpu_times.append(time.process_time() - start_time)
    return min(cpu_times)


def _cpu_time_per_call(action: Callable[[], object]) -> float:
    def repeat_calls() -> None:
        for _ in range(CALLS_PER_REPETITION):
            action()

    return _min_cpu_time(repeat_calls) / CALLS_PER_REPETITION


def _record_memory(partitions: int) -> float:
    document = dump_document(make_record(partitions))
    return _measure_memory(lambda: load_document(document, ZoneRecord))


def _record_load_time(partitions: int) -> float:
    document = dump_document(make_record(partitions))
    return _min_cpu_time(lambda: load_document(document, ZoneRecord))


def _record_dump_time(partitions: int) -> float:
    record = make_record(partitions)
    return _min_cpu_time(lambda: dump_document(record))


def _digest_time(documents: int) -> float:
    stores = [make_store(documents) for _ in range(REPETITIONS)]
    return _min_cpu_time(lambda: stores.pop().digest)


def _pull_bytes(documents: int) -> float:
    versions = pack_versions(make_store(documents).versions())
    return sum(len(encode(version)) for version in versions)
