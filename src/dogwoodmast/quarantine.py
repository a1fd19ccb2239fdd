"""Quarantine of requests that crash back-end servers, without I/O.

A request becomes a suspect when the connection of its exchange is closed and
its target turns out to be unreachable shortly afterwards. Once suspected of
crashing several targets, it is refused instead of being sent to another one.
Any response to it clears the suspicion. Requests with a recent response are
never suspected: a frequent request is often running on targets that crash
for other reasons.
"""

from __future__ import annotations

import attrs

from dogwoodmast._wire import wire_message

MAX_CRASHES = 2
"""Number of crashed targets at which a request is quarantined."""
CRASH_WINDOW = 2.0
"""Maximum time between a broken exchange and the detection that its target
is unreachable for the two to count as a crash, in seconds."""
SUSPICION_LIFETIME = 600.0
"""Time after the last crash at which a suspicion expires, in seconds."""
MAX_SUSPECTS = 4096
"""Maximum number of suspected requests; the one suspected first is evicted."""
MAX_RECENTLY_ANSWERED = 4096
"""Maximum number of requests kept as recently answered; the table takes about
half a megabyte."""


@wire_message('quarantine')
@attrs.frozen
class CrashNotice:
    """Message: a request was running on a target when the target crashed."""

    fingerprint: bytes
    """Hash of the request."""
    target: str
    """Name of the crashed target."""


@attrs.frozen
class _BrokenExchange:
    fingerprint: bytes
    broken_at: float


@attrs.define
class _Suspicion:
    targets: set[str]
    last_crash: float


@attrs.define(eq=False)
class Quarantine:
    """Suspected and recently answered requests, as known to one entry VM."""

    _broken_exchanges: dict[str, list[_BrokenExchange]] = attrs.field(
        factory=dict
    )
    _suspects: dict[bytes, _Suspicion] = attrs.field(factory=dict)
    _notices: list[CrashNotice] = attrs.field(factory=list)
    _recently_answered: dict[bytes, None] = attrs.field(factory=dict)

    @property
    def has_no_suspects(self) -> bool:
        """Whether no request is suspected; expired suspects still count."""
        return not self._suspects

    def drain_notices(self) -> list[CrashNotice]:
        """Remove and return the crash notices not yet sent to peers.

        :return: Notices of crashes that this entry VM detected.
        """
        notices = self._notices
        self._notices = []
        return notices

    def on_broken(self, target: str, fingerprint: bytes, now: float) -> None:
        """Record that an exchange broke after its request was sent.

        :param target: Name of the target.
        :param fingerprint: Hash of the request.
        :param now: Monotonic time in seconds.
        """
        broken = self._broken_exchanges.setdefault(target, [])
        broken.append(_BrokenExchange(fingerprint, now))

    def on_unreachable(self, target: str, now: float) -> None:
        """Treat a target as crashed if its exchanges broke just before.

        :param target: Name of the target that accepts no connections.
        :param now: Monotonic time in seconds.
        """
        for broken in self._broken_exchanges.pop(target, ()):
            if now - broken.broken_at <= CRASH_WINDOW:
                self.on_crash(target, broken.fingerprint, now)

    def on_reachable(self, target: str) -> None:
        """Discard a target's broken exchanges, since it did not crash.

        :param target: Name of the target that accepted a connection.
        """
        self._broken_exchanges.pop(target, None)

    def on_response(self, fingerprint: bytes) -> None:
        """Clear the suspicion against a request that got a response.

        :param fingerprint: Hash of the request.
        """
        self._suspects.pop(fingerprint, None)
        self._recently_answered.pop(fingerprint, None)
        self._recently_answered[fingerprint] = None
        if len(self._recently_answered) > MAX_RECENTLY_ANSWERED:
            self._recently_answered.pop(next(iter(self._recently_answered)))

    def on_crash(self, target: str, fingerprint: bytes, now: float) -> None:
        """Record a crash that this entry VM detected, and queue its notice.

        :param target: Name of the crashed target.
        :param fingerprint: Hash of a request that was running on it.
        :param now: Monotonic time in seconds.
        """
        notice = CrashNotice(fingerprint, target)
        self._notices.append(notice)
        self.on_notice(notice, now)

    def on_notice(self, notice: CrashNotice, now: float) -> None:
        """Record a crash detected by this entry VM or by a peer.

        :param notice: Request and crashed target.
        :param now: Monotonic time in seconds.
        """
        if notice.fingerprint in self._recently_answered:
            return
        self._evict(now)
        suspicion = self._suspects.setdefault(
            notice.fingerprint, _Suspicion(set(), now)
        )
        suspicion.targets.add(notice.target)
        suspicion.last_crash = now

    def is_quarantined(self, fingerprint: bytes, now: float) -> bool:
        """Check whether a request must not be sent to any target.

        :param fingerprint: Hash of the request.
        :param now: Monotonic time in seconds.
        :return: ``True`` if it is suspected of :data:`MAX_CRASHES` crashes
            on different targets and the suspicion has not expired.
        """
        suspicion = self._suspects.get(fingerprint)
        if suspicion is None or now - suspicion.last_crash > SUSPICION_LIFETIME:
            return False
        return len(suspicion.targets) >= MAX_CRASHES

    def _evict(self, now: float) -> None:
        self._suspects = {
            fingerprint: suspicion
            for fingerprint, suspicion in self._suspects.items()
            if now - suspicion.last_crash <= SUSPICION_LIFETIME
        }
        while len(self._suspects) >= MAX_SUSPECTS:
            self._suspects.pop(next(iter(self._suspects)))
