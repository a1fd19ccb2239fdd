"""Fencing tokens of one coordinator's term.

Targets reject tokens that are lower than those they have seen, so each term
needs tokens above those of all earlier ones.  Within an era of the store, the
revision of the coordinator's record orders the terms.  A restore of the store
takes revisions back, and each era therefore adds more to them than a restore
can undo.  In the first era the tokens are those of builds without eras, so
that both kinds of builds may follow each other as coordinators.
"""

from __future__ import annotations

import attrs

from dogwoodmast.store_position import era_of, revision_of

FENCES_PER_EPOCH = 1_048_576
"""Number of fencing tokens available to one epoch."""
RESERVED_FENCES = 65_536
"""Number of tokens that are left when another epoch should begin; far more
than are taken until then."""
REVISIONS_PER_RESTORE = 1_048_576
"""Number of revisions that a restore of the store may undo at most; five
minutes of 3,200 changes a second, while copies are some seconds old."""
GREATEST_EXACT_NUMBER = 9_007_199_254_740_992
"""Greatest whole number up to which JSON numbers are exact everywhere: 2 to
the power of 53."""


@attrs.define
class FenceCounter:
    """Source of increasing fencing tokens, all higher than earlier epochs'."""

    epoch: int
    """Epoch of the coordinator's term: the store position of its record."""
    _taken: int = 0

    @property
    def is_exact(self) -> bool:
        """Whether all tokens of the epoch are exact as JSON numbers.

        They are for the first 2**33 revisions, less 2**20 for each restore.
        """
        return self._first + FENCES_PER_EPOCH <= GREATEST_EXACT_NUMBER

    @property
    def is_nearly_used_up(self) -> bool:
        """Whether only the reserved tokens are left."""
        return self._taken >= FENCES_PER_EPOCH - RESERVED_FENCES

    def take(self) -> int:
        """Return a token that is higher than all before it."""
        self._taken += 1
        return self._first + self._taken

    @property
    def _first(self) -> int:
        lifted = era_of(self.epoch) * REVISIONS_PER_RESTORE
        return (revision_of(self.epoch) + lifted) * FENCES_PER_EPOCH
