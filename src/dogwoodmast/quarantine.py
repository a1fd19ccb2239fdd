"""Quarantine of requests that crash back ends, free of I/O.

A request is suspected when its exchange broke on a target that was found
unreachable right afterwards.  Suspected on enough targets, it is refused
before it reaches another one.  Any answer clears it.  What was answered
lately is not suspected: popular requests run on targets that crash for other
reasons.
"""

from __future__ import annotations

import attrs

from dogwoodmast._wire import wire_message

MAX_CRASHES = 2
"""Targets on which a request may be running when they crash."""
CRASH_WINDOW = 2.0
"""Time after a broken exchange in which an unreachable target is taken to
have crashed, in seconds."""
SUSPICION_LIFETIME = 600.0
"""Time for which a suspicion lasts, in seconds."""
MAX_SUSPECTS = 4096
"""Requests that are suspected at the same time at most."""
MAX_RECENTLY_ANSWERED = 4096
"""Answered requests that are remembered at most; half a megabyte."""


@wire_message('quarantine')
@attrs.frozen
class CrashNotice:
    """Tell that a request was running on a target when it crashed."""

    fingerprint: bytes
    """Hash of the request."""
    target: str
    """Name of the target."""


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
    """What one entry VM knows of requests that crash targets."""

    _broken_exchanges: dict[str, list[_BrokenExchange]] = attrs.field(
        factory=dict
    )
    _suspects: dict[bytes, _Suspicion] = attrs.field(factory=dict)
    _notices: list[CrashNotice] = attrs.field(factory=list)
    _recently_answered: dict[bytes, None] = attrs.field(factory=dict)

    @property
    def has_no_suspects(self) -> bool:
        """Whether no request is suspected."""
        return not self._suspects

    def drain_notices(self) -> list[CrashNotice]:
        """Hand over the notices that peers have not been sent.

        :return: The notices.
        """
        notices = self._notices
        self._notices = []
        return notices

    def on_broken(self, target: str, fingerprint: bytes, now: float) -> None:
        """Take in that an exchange broke after it was sent.

        :param target: Name of the target.
        :param fingerprint: Hash of the request.
        :param now: Monotonic time in seconds.
        """
        broken = self._broken_exchanges.setdefault(target, [])
        broken.append(_BrokenExchange(fingerprint, now))

    def on_unreachable(self, target: str, now: float) -> None:
        """Take in that a target does not accept connections.

        :param target: Name of the target.
        :param now: Monotonic time in seconds.
        """
        for broken in self._broken_exchanges.pop(target, ()):
            if now - broken.broken_at <= CRASH_WINDOW:
                self.on_crash(target, broken.fingerprint, now)

    def on_reachable(self, target: str) -> None:
        """Take in that a target answers, so that it did not crash.

        :param target: Name of the target.
        """
        self._broken_exchanges.pop(target, None)

    def on_response(self, fingerprint: bytes) -> None:
        """Take in that a request was answered.

        :param fingerprint: Hash of the request.
        """
        self._suspects.pop(fingerprint, None)
        self._recently_answered.pop(fingerprint, None)
        self._recently_answered[fingerprint] = None
        if len(self._recently_answered) > MAX_RECENTLY_ANSWERED:
            self._recently_answered.pop(next(iter(self._recently_answered)))

    def on_crash(self, target: str, fingerprint: bytes, now: float) -> None:
        """Take in that a target ended while it ran a request.

        :param target: Name of the target.
        :param fingerprint: Hash of the request.
        :param now: Monotonic time in seconds.
        """
        notice = CrashNotice(fingerprint, target)
        self._notices.append(notice)
        self.on_notice(notice, now)

    def on_notice(self, notice: CrashNotice, now: float) -> None:
        """Take in a crash, seen here or by a peer.

        :param notice: The crash.
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
        """Tell whether a request must not reach another target.

        :param fingerprint: Hash of the request.
        :param now: Monotonic time in seconds.
        :return: ``True`` if it crashed enough targets.
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
