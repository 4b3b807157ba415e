"""Requests that may end the targets that run them, and their trials."""

from collections.abc import Iterable
import dataclasses
import hashlib
import ipaddress
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire

# Seconds until the next trial of a suspected request, by its failed trials.
TRIAL_DELAYS_S = (0.0, 20.0, 60.0, 300.0, 600.0)
# A suspect is forgotten this long after its next trial was due.
SUSPECT_LIFETIME_S = 600.0
# A cleared suspect is kept until all entries have learned of it.
CLEARED_LIFETIME_S = 10.0
# Limits the memory that a flood of broken connections can use.
MAX_SUSPECTS = 1_000
MAX_NAMED_TARGETS = 4
HASHED_BODY_BYTES = 16 * 1024
FINGERPRINT_BYTES = 16
# Digests of the content alone are shorter, which tells the two kinds apart.
CONTENT_BYTES = 15
# Number of strikes from which on a request counts as sound only if a target
# has answered it since the last one.
STRIKES_OF_SOUND_REQUESTS = 3
# Number of targets that end under requests of the same content before this
# holds back what other callers send: one may end for reasons of its own.
STRIKES_OF_CONTENT = 2
# Trials in a row that targets answer before a content is cleared. One answer
# shows only that the request of one caller is sound.
ANSWERS_CLEARING_CONTENT = 3


class Fingerprint(NamedTuple):
    """Digests that are the same for each copy of a request.

    `full` covers what the request says about its caller, and `content` does
    not, so that a caller whose copies differ in it is recognised as well.
    """

    full: bytes
    content: bytes


def compute_fingerprint(
    method: str, host: str, path: str, caller: bytes, body: bytes
) -> Fingerprint:
    """Return the digests of a request.

    `caller` is what the request says about its caller, and `body` is the
    beginning of the body, of which 16 KiB are hashed. The id of the request
    is left out, as callers may choose a new one when they repeat it.
    """
    texts = (method, normalize_host(host), path)
    parts = [text.encode() for text in texts]
    hashed_body = body[:HASHED_BODY_BYTES]
    content = _compute_digest(CONTENT_BYTES, parts, hashed_body)
    if caller:
        parts.append(caller)
    return Fingerprint(
        _compute_digest(FINGERPRINT_BYTES, parts, hashed_body), content
    )


def is_content(digest: bytes) -> bool:
    """Return whether a digest covers only the content of requests."""
    return len(digest) == CONTENT_BYTES


def _compute_digest(size: int, parts: list[bytes], body: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=size)
    for part in parts:
        _add_part(digest, part)
    digest.update(body)
    return digest.digest()


def _add_part(digest: hashlib.blake2b, data: bytes) -> None:
    digest.update(len(data).to_bytes(4, 'big'))
    digest.update(data)


def normalize_host(host: str) -> str:
    """Return the lower-case host without port; empty for an IP address.

    A caller that uses addresses names another host when it repeats a request
    through another entry. The fingerprint must be the same nevertheless.
    """
    name = host.partition(']')[0] if host.startswith('[') else host
    name = name.removeprefix('[')
    if not host.startswith('['):
        name = name.partition(':')[0]
    if not name[-1:].isdigit() and ':' not in name:
        return name.lower()
    try:
        ipaddress.ip_address(name)
    except ValueError:
        return name.lower()
    return ''


class TrialPermission(NamedTuple):
    """Whether a suspected request may run now, as a trial.

    It may if `wait_s` is 0. `is_running` is set if another trial runs.
    """

    wait_s: float
    is_running: bool = False


@dataclasses.dataclass(slots=True)
class _Suspect:
    version: int = 0
    strikes: int = 0
    targets: list[ids.TargetId] = dataclasses.field(default_factory=list)
    failed_trials: int = 0
    # Answered trials of a content since its last strike.
    answers: int = 0
    # No trial may start before this time.
    trial_at: float = 0.0
    # A trial runs until this time at the latest.
    trial_until: float = float('-inf')
    expires_at: float = 0.0
    is_cleared: bool = False


class SuspectTable:
    """Strikes of requests; times are in seconds of a monotonic clock.

    After its first strike a request runs as a trial, one at a time. Only a
    trial that breaks another target proves that the request is the cause,
    and delays the next trial. A complete answer clears all strikes. The
    digest of a content needs several strikes before its requests run as
    trials, and several answers to be cleared.
    """

    def __init__(self) -> None:
        self._suspects: dict[bytes, _Suspect] = {}
        # Increases with each change.
        self.version = 0

    def strike(self, now: float, strike: wire.Strike) -> None:
        """Record a strike of an entry; a repeated one changes nothing."""
        suspect = self._find(now, strike.fingerprint)
        if suspect is None:
            suspect = self._create(now, strike.fingerprint)
        if strike.was_trial:
            suspect.trial_until = float('-inf')
        if strike.target in suspect.targets:
            return
        suspect.strikes += 1
        suspect.answers = 0
        if len(suspect.targets) < MAX_NAMED_TARGETS:
            suspect.targets.append(strike.target)
        if strike.was_trial:
            suspect.failed_trials += 1
            step = min(suspect.failed_trials, len(TRIAL_DELAYS_S) - 1)
            suspect.trial_at = now + TRIAL_DELAYS_S[step]
        suspect.expires_at = max(now, suspect.trial_at) + SUSPECT_LIFETIME_S
        self._mark_changed(suspect)

    def _create(self, now: float, fingerprint: bytes) -> _Suspect:
        self._suspects.pop(fingerprint, None)
        if len(self._suspects) >= MAX_SUSPECTS:
            self.expire(now)
        while len(self._suspects) >= MAX_SUSPECTS:
            del self._suspects[self._choose_evicted()]
        suspect = self._suspects[fingerprint] = _Suspect()
        return suspect

    def _choose_evicted(self) -> bytes:
        """Return the oldest of the suspects with the fewest failed trials."""
        return min(
            self._suspects,
            key=lambda fingerprint: self._suspects[fingerprint].failed_trials,
        )

    def _mark_changed(self, suspect: _Suspect) -> None:
        self.version += 1
        suspect.version = self.version

    def _find(self, now: float, fingerprint: bytes) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.is_cleared or suspect.expires_at <= now:
            return None
        return suspect

    def clear(self, now: float, fingerprint: bytes) -> bool:
        """Drop the strikes of a request; return whether there were any."""
        suspect = self._find(now, fingerprint)
        if suspect is None:
            return False
        if is_content(fingerprint):
            suspect.answers += 1
            suspect.trial_until = float('-inf')
            if suspect.answers < ANSWERS_CLEARING_CONTENT:
                return False
        self._mark_cleared(now, suspect)
        return True

    def _mark_cleared(self, now: float, suspect: _Suspect) -> None:
        suspect.is_cleared = True
        suspect.expires_at = now + CLEARED_LIFETIME_S
        self._mark_changed(suspect)

    def is_suspect(self, now: float, fingerprint: bytes) -> bool:
        """Return whether the strikes of a request demand trials."""
        suspect = self._find(now, fingerprint)
        if suspect is None:
            return False
        return (
            not is_content(fingerprint)
            or suspect.strikes >= STRIKES_OF_CONTENT
        )

    def is_proven(self, now: float, fingerprint: bytes) -> bool:
        """Return whether a trial has broken a target."""
        suspect = self._find(now, fingerprint)
        return suspect is not None and suspect.failed_trials > 0

    def may_be_sound(
        self, now: float, fingerprint: bytes, is_answered_since: bool
    ) -> bool:
        """Return whether a request that was sound before may run freely.

        `is_answered_since` tells whether a target has answered it since the
        last strike.
        """
        suspect = self._find(now, fingerprint)
        if suspect is None:
            return True
        if suspect.failed_trials:
            return False
        return is_answered_since or suspect.strikes < STRIKES_OF_SOUND_REQUESTS

    def start_trial(
        self, now: float, fingerprint: bytes, lease_s: float
    ) -> TrialPermission:
        """Start a trial, if one may start now; `lease_s` bounds it."""
        suspect = self._find(now, fingerprint)
        if suspect is None:
            return TrialPermission(0.0)
        permission = self.check_trial(now, fingerprint)
        if not permission.wait_s:
            suspect.trial_until = now + lease_s
        return permission

    def check_trial(self, now: float, fingerprint: bytes) -> TrialPermission:
        """Return whether a trial may start now."""
        suspect = self._find(now, fingerprint)
        if suspect is None:
            return TrialPermission(0.0)
        if suspect.trial_at > now:
            return TrialPermission(suspect.trial_at - now)
        if suspect.trial_until > now:
            return TrialPermission(suspect.trial_until - now, True)
        return TrialPermission(0.0)

    def end_trial(self, fingerprint: bytes) -> None:
        """End a trial without a result."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trial_until = float('-inf')

    def merge(self, now: float, rows: Iterable[wire.SuspectRow]) -> None:
        """Add what another table knows."""
        for row in rows:
            self._merge_row(now, row)

    def _merge_row(self, now: float, row: wire.SuspectRow) -> None:
        suspect = self._find(now, row.fingerprint)
        if row.is_cleared:
            if suspect is not None:
                self._mark_cleared(now, suspect)
            return
        if suspect is None:
            suspect = self._create(now, row.fingerprint)
        unknown = [
            target for target in row.targets if target not in suspect.targets
        ]
        trial_at = now + row.wait_ms / 1_000
        if (
            suspect.version
            and not unknown
            and suspect.strikes >= row.strikes
            and suspect.failed_trials >= row.failed_trials
        ):
            return
        suspect.targets = (suspect.targets + unknown)[:MAX_NAMED_TARGETS]
        suspect.strikes = max(suspect.strikes, row.strikes)
        suspect.failed_trials = max(suspect.failed_trials, row.failed_trials)
        suspect.trial_at = max(suspect.trial_at, trial_at)
        suspect.expires_at = max(now, suspect.trial_at) + SUSPECT_LIFETIME_S
        self._mark_changed(suspect)

    def list_changes(
        self, now: float, since: int, limit: int
    ) -> tuple[int, list[wire.SuspectRow]]:
        """Return the rows changed after a version, the oldest first.

        At most `limit` rows are returned, with the version that they bring
        another table to. If more have changed, those with a single strike
        give way.
        """
        changed = [
            (suspect.version, fingerprint)
            for fingerprint, suspect in self._suspects.items()
            if suspect.version > since and suspect.expires_at > now
        ]
        if len(changed) > limit:
            changed = self._leave_out(changed, limit)
        changed.sort()
        version = self.version
        if len(changed) > limit:
            changed = changed[:limit]
            version = changed[-1][0]
        return version, [
            self._make_row(now, fingerprint) for _, fingerprint in changed
        ]

    def _leave_out(
        self, changed: list[tuple[int, bytes]], limit: int
    ) -> list[tuple[int, bytes]]:
        """Leave out older rows with a single strike, beyond the limit.

        After the loss of many targets such rows are many. A table without
        them lets one more copy run freely.
        """
        repeated = [
            (version, fingerprint)
            for version, fingerprint in changed
            if self._suspects[fingerprint].strikes > 1
        ]
        single = sorted(set(changed) - set(repeated), reverse=True)
        return repeated + single[: max(0, limit - len(repeated))]

    def list_rows(self, now: float) -> list[wire.SuspectRow]:
        """Return the requests that have strikes."""
        return [
            self._make_row(now, fingerprint)
            for fingerprint in self._suspects
            if self._find(now, fingerprint) is not None
        ]

    def _make_row(self, now: float, fingerprint: bytes) -> wire.SuspectRow:
        suspect = self._suspects[fingerprint]
        return wire.SuspectRow(
            fingerprint,
            suspect.strikes,
            suspect.failed_trials,
            max(0, int((suspect.trial_at - now) * 1_000)),
            suspect.is_cleared,
            list(suspect.targets) if suspect.failed_trials else [],
        )

    def list_targets(self, fingerprint: bytes) -> list[ids.TargetId]:
        """Return the targets that a suspect broke, as far as known."""
        suspect = self._suspects.get(fingerprint)
        return [] if suspect is None else list(suspect.targets)

    def get_time_left(self, now: float, fingerprint: bytes) -> float:
        """Return the seconds until a suspect is forgotten."""
        suspect = self._find(now, fingerprint)
        return 0.0 if suspect is None else suspect.expires_at - now

    def count(self) -> int:
        """Return the number of rows, with those that were cleared lately."""
        return len(self._suspects)

    def expire(self, now: float) -> None:
        """Forget the rows whose time is over."""
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires_at <= now
        ]
        for fingerprint in expired:
            del self._suspects[fingerprint]
