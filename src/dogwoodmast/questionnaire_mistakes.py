"""Mistakes and cautions that are specific to questionnaires."""

from __future__ import annotations

import attrs

from dogwoodmast.input_errors import Mistake


@attrs.define
class TooFewConnections(Mistake):
    """A target has more slots than connections."""

    slots: int
    """Maximum number of concurrent requests of the target."""
    connections: int
    """Maximum number of connections of the target."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return (
            f'{self.slots} slots need at least as many connections, but '
            f'the target accepts {self.connections}'
        )

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake."""
        return 'lower slots or raise connections'


@attrs.define
class TooFewPartitions(Mistake):
    """A service has more targets than partitions."""

    partitions: int
    """Number of partitions of the service."""
    targets: int
    """Number of targets of the service."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return (
            f'{self.partitions} partitions cannot be spread over '
            f'{self.targets} targets'
        )

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake."""
        needed = 1 << (8 * self.targets - 1).bit_length()
        return f'at least 8 partitions per target are recommended: {needed}'


@attrs.define
class RetriedNonIdempotent(Mistake):
    """A non-idempotent request kind allows more than one attempt."""

    kind: str
    """Name of the request kind."""
    attempts: int
    """Configured number of attempts."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return (
            f'kind {self.kind!r} is not idempotent and cannot have '
            f'{self.attempts} attempts; expected 1'
        )

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake."""
        return 'remove attempts, or set idempotent = true if repeating is safe'


@attrs.define
class UnmatchableKind(Mistake):
    """A request kind never applies, since earlier kinds match first."""

    kind: str
    """Name of the request kind."""
    earlier: tuple[str, ...]
    """Names of the earlier kinds that match all its requests."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        earlier = ', '.join(repr(name) for name in self.earlier)
        return (
            f'kind {self.kind!r} never matches, since {earlier} '
            'matches all its requests first'
        )

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake."""
        return 'put the kind with the longer path first'


class Caution(Mistake):
    """A valid value that is probably unintended."""


@attrs.define
class NonIdempotentGet(Caution):
    """A non-idempotent request kind has a safe HTTP method."""

    kind: str
    """Name of the request kind."""
    method: str
    """Safe HTTP method, such as GET."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return (
            f'kind {self.kind!r} declares {self.method} as non-idempotent; '
            'HTTP clients and caches may repeat it automatically'
        )

    @property
    def hint(self) -> str:
        """Advice on how to correct the mistake."""
        return 'use POST for requests that must run at most once'


@attrs.define
class ZoneWithoutTarget(Caution):
    """A service has no target in some zones."""

    service: str
    """Name of the service."""
    zones: tuple[str, ...]
    """Names of the zones without a target of the service."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        zones = ', '.join(self.zones)
        return (
            f'service {self.service!r} has no target in {zones}; these '
            'zones cannot serve it while disconnected from the others'
        )


@attrs.define
class NowhereToMove(Caution):
    """Keys must move on the loss of a zone, but only one has targets."""

    service: str
    """Name of the service."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return (
            f'service {self.service!r} must move its keys when a zone is lost, '
            'but all its targets are in one zone'
        )


@attrs.define
class NotInThisRelease(Caution):
    """A valid value is not implemented in this release."""

    answer: str
    """Configured value."""
    treated_as: str
    """Value that is used in its place."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return (
            f'{str(self.answer)!r} is not implemented in this release; '
            f'it is treated as {str(self.treated_as)!r}'
        )


@attrs.define
class UnusedAttempts(Caution):
    """A request kind has several attempts, but the retry budget is zero."""

    kind: str
    """Name of the request kind."""

    @property
    def problem(self) -> str:
        """Description of the mistake, without its place."""
        return (
            f'kind {self.kind!r} has several attempts, but the '
            "service's retry_budget of 0 allows no retry"
        )
