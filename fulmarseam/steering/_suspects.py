"""Quarantine of requests that may crash the targets that run them."""

from collections.abc import Iterable
import dataclasses
import enum
import hashlib
from typing import NamedTuple

from fulmarseam import ids

# Number of different targets with a strike that quarantines a request.
STRIKES_TO_QUARANTINE = 2
QUARANTINE_S = 600.0
# Limits the memory that a flood of broken connections can use.
MAX_FINGERPRINTS = 10_000
HASHED_BODY_BYTES = 16 * 1024


class SuspectState(enum.Enum):
    """State of a request by its strikes."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


class Strike(NamedTuple):
    """A connection to `target` that broke while it ran the request."""

    fingerprint: str
    target: ids.TargetId


class SuspectRow(NamedTuple):
    """A suspected or quarantined request; it expires in `left_s`."""

    fingerprint: str
    targets: list[ids.TargetId]
    state: SuspectState
    left_s: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    targets: set[ids.TargetId]
    expires_at: float


def compute_fingerprint(
    request_id: str | None, method: str, host: str, path: str, body: bytes
) -> str:
    """Return a digest that is the same for each retry of a request.

    `body` is the beginning of the body, of which 16 KiB are hashed.
    """
    digest = hashlib.blake2b(digest_size=16)
    parts = [method, host, path]
    if request_id is not None:
        parts = ['request-id', request_id]
        body = b''
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(4, 'big'))
        digest.update(data)
    digest.update(body[:HASHED_BODY_BYTES])
    return digest.hexdigest()


class SuspectTable:
    """Strikes recorded by this entry and its peers.

    At most one suspect runs on a target at a time, so that a crash of the
    target identifies the request that caused it. A complete response clears
    the strikes of a request.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._running: dict[ids.TargetId, str] = {}

    def strike(self, now: float, strike: Strike) -> SuspectState:
        """Record a strike of this entry or a peer; return the new state."""
        suspect = self._suspects.get(strike.fingerprint)
        if suspect is None or suspect.expires_at <= now:
            suspect = _Suspect(set(), 0.0)
            self._evict_oldest(now)
            self._suspects[strike.fingerprint] = suspect
        if strike.target not in suspect.targets:
            suspect.targets.add(strike.target)
            suspect.expires_at = now + QUARANTINE_S
        return self.get_state(now, strike.fingerprint)

    def merge(self, now: float, strikes: Iterable[Strike]) -> None:
        """Record the strikes of a peer; known strikes change nothing."""
        for strike in strikes:
            self.strike(now, strike)

    def clear(self, fingerprint: str) -> bool:
        """Drop the strikes of a request; return whether there were any."""
        return self._suspects.pop(fingerprint, None) is not None

    def get_state(self, now: float, fingerprint: str) -> SuspectState:
        """Return the state of a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_at <= now:
            return SuspectState.CLEAR
        if len(suspect.targets) >= STRIKES_TO_QUARANTINE:
            return SuspectState.QUARANTINED
        return SuspectState.SUSPECT

    def try_start(
        self, now: float, fingerprint: str, target: ids.TargetId
    ) -> bool:
        """Start a request on a target; return False if it must not run there.

        A clear request is always allowed. A suspect that was started must
        be ended with `finish`.
        """
        state = self.get_state(now, fingerprint)
        if state is SuspectState.CLEAR:
            return True
        if state is SuspectState.QUARANTINED or target in self._running:
            return False
        self._running[target] = fingerprint
        return True

    def finish(self, fingerprint: str, target: ids.TargetId) -> None:
        """End a request on a target; does nothing for a clear request."""
        if self._running.get(target) == fingerprint:
            del self._running[target]

    def list_occupied_targets(self) -> frozenset[ids.TargetId]:
        """Return the targets on which a suspect runs."""
        return frozenset(self._running)

    def rows(self, now: float) -> list[SuspectRow]:
        """Return all suspected and quarantined requests."""
        return [
            SuspectRow(
                fingerprint,
                sorted(suspect.targets),
                self.get_state(now, fingerprint),
                suspect.expires_at - now,
            )
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires_at > now
        ]

    def expire(self, now: float) -> None:
        """Drop the requests whose strikes have expired."""
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires_at <= now
        ]
        for fingerprint in expired:
            del self._suspects[fingerprint]

    def _evict_oldest(self, now: float) -> None:
        if len(self._suspects) < MAX_FINGERPRINTS:
            return
        self.expire(now)
        while len(self._suspects) >= MAX_FINGERPRINTS:
            del self._suspects[next(iter(self._suspects))]
