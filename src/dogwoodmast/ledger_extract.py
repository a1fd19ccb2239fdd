"""Messages that carry a partition's ledger to its next leaseholder.

The ledger holds the request ids of the partition and their results, by which
a repeated request is recognised.
"""

from __future__ import annotations

import attrs

from dogwoodmast._wire import decode, encode, wire_message
from dogwoodmast.errors import MalformedFrame
from dogwoodmast.forwarding import (
    ForwardAnswer,
    ForwardProblem,
    pack_result,
    unpack_result,
)
from dogwoodmast.ledger import Ledger, LedgerEntry


@wire_message('ledger')
@attrs.frozen
class LedgerEntryMessage:
    """Ledger entry: one request id and its result."""

    request_id: str
    """Idempotency-Key of the request."""
    fingerprint: bytes
    """Hash of the request, to detect that its id is used for another one."""
    result_kind: str
    """Class name of the encoded result: ForwardAnswer or ForwardProblem."""
    result_payload: bytes
    """Thrift encoding of the result."""

    @classmethod
    def from_entry(cls, entry: LedgerEntry) -> LedgerEntryMessage:
        """Convert an entry of a ledger to its message.

        :param entry: Entry of a ledger.
        :return: The message, with its result encoded.
        """
        packed = pack_result(entry.result)
        return cls(
            request_id=entry.request_id,
            fingerprint=entry.fingerprint,
            result_kind=type(packed).__name__,
            result_payload=encode(packed),
        )

    def to_entry(self) -> LedgerEntry:
        """Convert the message to an entry of a ledger.

        :return: Entry with its result decoded.
        :raises MalformedFrame: If the result cannot be decoded.
        """
        packed = decode(self.result_kind, self.result_payload)
        if not isinstance(packed, (ForwardAnswer, ForwardProblem)):
            raise MalformedFrame(
                'result of a ledger entry is not a response or problem'
            )
        return LedgerEntry(
            request_id=self.request_id,
            fingerprint=self.fingerprint,
            result=unpack_result(packed),
        )


@wire_message('ledger')
@attrs.frozen
class LedgerExtract:
    """Contents of a partition's ledger after its last request has ended."""

    partition: str
    """Name of the partition, as ``service/number``."""
    since: float
    """Wall-clock time since which the ledger is complete, in seconds since
    the Unix epoch."""
    entries: tuple[LedgerEntryMessage, ...]
    """Known request ids and their results."""

    @classmethod
    def from_ledger(cls, partition: str, ledger: Ledger) -> LedgerExtract:
        """Convert a ledger to its message.

        :param partition: Name of the partition, as ``service/number``.
        :param ledger: Ledger of the partition; it must not change any more.
        :return: The message, with all entries encoded.
        """
        entries = tuple(
            LedgerEntryMessage.from_entry(entry) for entry in ledger.entries
        )
        return cls(partition, ledger.since, entries)

    def to_entries(self) -> tuple[LedgerEntry, ...]:
        """Convert the entries to entries of a ledger.

        :return: Entries with their results decoded.
        :raises MalformedFrame: If a result cannot be decoded.
        """
        return tuple(message.to_entry() for message in self.entries)
