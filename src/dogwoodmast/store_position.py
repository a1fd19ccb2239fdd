"""Positions in the history of a store that may be restored from a copy.

A store counts its changes by revisions.  A restore undoes the latest changes,
and the store gives their revisions out again.  The history between two
restores is an era.  A position combines era and revision in one integer, so
that each position of a later era is greater than all of an earlier one.

The first era has number 0, in which positions are plain revisions, as builds
without eras know them.
"""

from __future__ import annotations

REVISION_BITS = 40
"""Bits of a position that hold the revision; enough for ten years of 3,200
changes a second."""
LAST_ERA = 1_048_575
"""Greatest number of an era; positions fit into signed integers of 64 bits."""

_REVISION_MASK = (1 << REVISION_BITS) - 1


def make_position(era: int, revision: int) -> int:
    """Combine an era and a revision.

    :param era: Number of the era.
    :param revision: Revision within the era, below ``2**REVISION_BITS``.
    :return: Position.
    """
    return (era << REVISION_BITS) | revision


def era_of(position: int) -> int:
    """Return the era of a position.

    :param position: Position in the store's history.
    :return: Number of the era.
    """
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision of a position within its era.

    :param position: Position in the store's history.
    :return: Revision as the store counts it.
    """
    return position & _REVISION_MASK


def is_later_era(position: int, known: int) -> bool:
    """Check whether the store was restored since a position was read.

    :param position: Position that was read now.
    :param known: Position that was read before; 0 if none was.
    :return: Whether the era of ``position`` is later.
    """
    return known > 0 and era_of(known) < era_of(position)
