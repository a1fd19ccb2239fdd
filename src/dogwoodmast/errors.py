"""Root of the error hierarchy.

Every failure raised by this package derives from
:class:`DogwoodmastError` and carries its details as typed fields.
"""

from __future__ import annotations

import attrs


class DogwoodmastError(Exception):
    """Base of every error raised by this package."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return self.__doc__ or type(self).__name__

    def __str__(self) -> str:
        """Return the message.

        :return: The one-sentence description.
        """
        return self.message


class PlatformError(DogwoodmastError):
    """The platform's key-value service failed."""


@attrs.define
class PlatformUnavailable(PlatformError):
    """The platform could not be reached; nothing was written."""

    endpoint: str
    """Endpoint that was tried."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'platform at {self.endpoint} cannot be reached'


@attrs.define
class PlatformAnswerLost(PlatformError):
    """A call was sent but its answer never came; it may have taken effect."""

    endpoint: str
    """Endpoint that was called."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'answer from platform at {self.endpoint} was lost'


@attrs.define
class PlatformRefused(PlatformError):
    """The platform answered with an error status."""

    endpoint: str
    """Endpoint that was called."""
    status: int
    """HTTP status of the answer."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'platform at {self.endpoint} answered {self.status}'


@attrs.define
class HistoryLost(PlatformError):
    """The store no longer has the changes since a revision."""

    revision: int
    """Revision that was asked for."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'the store has dropped the changes since {self.revision}'


class LinkError(DogwoodmastError):
    """A link between two entry VMs failed."""


@attrs.define
class LinkUnavailable(LinkError):
    """A link could not be opened; nothing was sent."""

    peer: str
    """Address of the peer."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'no link to {self.peer} could be opened'


@attrs.define
class LinkLost(LinkError):
    """A link closed while a call was waiting for its answer."""

    peer: str
    """Address of the peer."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'the link to {self.peer} was lost'


@attrs.define
class MalformedFrame(LinkError):
    """A peer sent bytes that are not a valid frame."""

    reason: str
    """What was wrong with the bytes."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'malformed frame: {self.reason}'


class BackendError(DogwoodmastError):
    """An exchange with a back end failed."""


@attrs.define
class ConnectFailed(BackendError):
    """The connection was never made, so the request did not run."""

    target: str
    """Name of the target."""
    is_absent: bool = False
    """Whether its host answered that no process listens there."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'no connection to target {self.target}'


@attrs.define
class ExchangeAborted(BackendError):
    """The exchange broke after the request was sent; it may have run."""

    target: str
    """Name of the target."""
    cause: str
    """Type name of the underlying failure."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'exchange with target {self.target} broke: {self.cause}'


class ConfigurationError(DogwoodmastError):
    """A configuration is not valid or could not be accepted."""


@attrs.define
class UnknownField(ConfigurationError):
    """A document does not have the expected shape."""

    path: str
    """Key path of the offending value."""
    expected: str
    """What was expected there."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'{self.path}: expected {self.expected}'


@attrs.define
class ConfigurationConflict(ConfigurationError):
    """Another operator's version was accepted first."""

    base: int
    """Version that the rejected change was based on."""
    current: int
    """Version that is in force."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return (
            f'change based on version {self.base} conflicts with '
            f'version {self.current}, which is in force; nothing was done. '
            'Look at the differences anew and apply with '
            f'--base {self.current}'
        )


@attrs.define
class FixedAnswerChanged(ConfigurationError):
    """A change touches what must stay as it was first accepted."""

    path: str
    """Key path of the answer."""
    before: str
    """Answer that is in force."""
    after: str
    """Answer that was asked for."""
    hint: str
    """What can be done instead."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return (
            f'{self.path} cannot change from {self.before} to {self.after}; '
            f'{self.hint}'
        )


@attrs.define
class ChangeSuperseded(DogwoodmastError):
    """Another change came first; this one had no effect."""

    what: str
    """What was to be changed."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'{self.what} was changed by another operator; nothing was done'


@attrs.define
class ChangeUncertain(DogwoodmastError):
    """A change was sent, but whether it took effect is not known."""

    what: str
    """What was to be changed."""
    change_id: str
    """Identity of the change."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return (
            f'{self.what}: the platform gave no answer, and the change may '
            'yet take effect; once it answers again, look with: dogwoodmast '
            f'audit --change {self.change_id}'
        )
