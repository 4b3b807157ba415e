"""Requests that may crash the targets that run them."""

from collections.abc import Iterable
import dataclasses
import enum
import hashlib
from typing import NamedTuple

from fulmarseam import ids

# Strikes on two different targets quarantine a request.
STRIKES_TO_QUARANTINE = 2
QUARANTINE_S = 600.0
# Bounds the memory that a flood of broken connections can take.
MAX_FINGERPRINTS = 10_000
BODY_BYTES_HASHED = 16 * 1024


class SuspectState(enum.Enum):
    """What strikes say about a request."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


class Strike(NamedTuple):
    """A connection to `target` broke while the request ran there."""

    fingerprint: str
    target: ids.TargetId


class SuspectRow(NamedTuple):
    """A suspected or quarantined request; `left_s` until it is forgotten."""

    fingerprint: str
    targets: list[ids.TargetId]
    state: SuspectState
    left_s: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    targets: set[ids.TargetId]
    until: float


def compute_fingerprint(
    request_id: str | None, method: str, host: str, path: str, body: bytes
) -> str:
    """Return the same text for the same request sent again.

    `body` is the beginning of the body; 16 KiB of it count.
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
    digest.update(body[:BODY_BYTES_HASHED])
    return digest.hexdigest()


class SuspectTable:
    """Strikes of this entry and its peers.

    A suspect runs on a target only while no other suspect does there, so
    that a crash of the target tells which of them did it. A full answer
    clears the strikes.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._running: dict[ids.TargetId, str] = {}

    def strike(self, now: float, strike: Strike) -> SuspectState:
        """Count a strike, own or of a peer, and return the new state."""
        suspect = self._suspects.get(strike.fingerprint)
        if suspect is None or suspect.until <= now:
            suspect = _Suspect(set(), 0.0)
            self._make_room(now)
            self._suspects[strike.fingerprint] = suspect
        if strike.target not in suspect.targets:
            suspect.targets.add(strike.target)
            suspect.until = now + QUARANTINE_S
        return self.get_state(now, strike.fingerprint)

    def merge(self, now: float, strikes: Iterable[Strike]) -> None:
        """Count the strikes that a peer has sent; repeats change nothing."""
        for strike in strikes:
            self.strike(now, strike)

    def clear(self, fingerprint: str) -> bool:
        """Forget the strikes after a full answer; True if there were any."""
        return self._suspects.pop(fingerprint, None) is not None

    def get_state(self, now: float, fingerprint: str) -> SuspectState:
        """Return what is known about a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.until <= now:
            return SuspectState.CLEAR
        if len(suspect.targets) >= STRIKES_TO_QUARANTINE:
            return SuspectState.QUARANTINED
        return SuspectState.SUSPECT

    def try_start(
        self, now: float, fingerprint: str, target: ids.TargetId
    ) -> bool:
        """Start a request on a target; False when it must not run there.

        A clear request always may. A suspect that was started must be
        ended with `finish`.
        """
        state = self.get_state(now, fingerprint)
        if state is SuspectState.CLEAR:
            return True
        if state is SuspectState.QUARANTINED or target in self._running:
            return False
        self._running[target] = fingerprint
        return True

    def finish(self, fingerprint: str, target: ids.TargetId) -> None:
        """End a request on a target; harmless for clear requests."""
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
                suspect.until - now,
            )
            for fingerprint, suspect in self._suspects.items()
            if suspect.until > now
        ]

    def expire(self, now: float) -> None:
        """Forget strikes that are older than the quarantine."""
        ended = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.until <= now
        ]
        for fingerprint in ended:
            del self._suspects[fingerprint]

    def _make_room(self, now: float) -> None:
        if len(self._suspects) < MAX_FINGERPRINTS:
            return
        self.expire(now)
        while len(self._suspects) >= MAX_FINGERPRINTS:
            del self._suspects[next(iter(self._suspects))]
