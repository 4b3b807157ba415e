"""Heartbeats that need no log entry, and the leases of targets."""

import collections
from collections.abc import Mapping
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.catalog import _bounded

# A target has become cold again if its announced cold time exceeds the
# expected one by more than this. Announcements may be a second late.
COLD_MARGIN_MS = 1_000.0
# Shortest time between two announcements that confirm a start, as a share of
# the interval. Announcements may be delayed a little.
MIN_CONFIRMATION_SHARE = 0.5
# Limits the memory for leaves, and for starts that announced themselves once.
MAX_UNCONFIRMED = 1_024


class HeartbeatTracker:
    """Tells changed announcements from renewals; times in seconds."""

    def __init__(self) -> None:
        self._cold_until: dict[ids.TargetId, float] = {}
        self._renewed: set[ids.TargetId] = set()

    def record(
        self,
        now: float,
        current: wire.TargetRecord | None,
        record: wire.TargetRecord,
    ) -> bool:
        """Record an announcement; return whether it must go into the log.

        `current` is the target's record in the catalog, if there is one.
        """
        self._renewed.add(record.target)
        cold_until = now + record.cold_ms / 1_000
        expected = self._cold_until.get(record.target, 0.0)
        is_colder = (
            record.cold_ms > 0.0
            and cold_until > expected + COLD_MARGIN_MS / 1_000
        )
        self._cold_until[record.target] = cold_until
        if current is None or current.born_ms != record.born_ms or is_colder:
            return True
        # An entry that starts later takes the cold time of the record as of
        # its own start, so the end of it is logged too.
        has_warmed_up = current.cold_ms > 0.0 and record.cold_ms <= 0.0
        return has_warmed_up or (
            _get_logged_fields(current) != _get_logged_fields(record)
        )

    def take_renewed(self) -> list[ids.TargetId]:
        """Return and clear the targets announced since the last call."""
        renewed = sorted(self._renewed)
        self._renewed.clear()
        return renewed


def _get_logged_fields(record: wire.TargetRecord) -> tuple[object, ...]:
    return (record.pool, record.address, record.slots, record.phase)


class _FirstAnnouncement(NamedTuple):
    heard_at: float
    born_ms: int
    sequence: int


class RestartConfirmations:
    """Tells a target that runs again from one that has left.

    The first announcements of a start that was not known when the target
    left may be late ones of the process that left. They may come one by one,
    as they were sent, but no later than `max_delay_s` after the leave. A
    running process goes on announcing itself. Times are in seconds.
    """

    def __init__(self, interval_s: float, max_delay_s: float) -> None:
        self._min_gap_s = interval_s * MIN_CONFIRMATION_SHARE
        self._max_delay_s = max_delay_s
        self._first: collections.OrderedDict[
            ids.TargetId, _FirstAnnouncement
        ] = collections.OrderedDict()
        self._left_at: collections.OrderedDict[ids.TargetId, float] = (
            collections.OrderedDict()
        )

    def note_leave(self, now: float, target: ids.TargetId) -> None:
        """Record that a target has just left."""
        _bounded.keep_newest(self._left_at, target, now, MAX_UNCONFIRMED)

    def confirm(self, now: float, record: wire.TargetRecord) -> bool:
        """Return whether an announcement is one of a running process.

        Of a leave that was not recorded here, for example before this member
        led, the first announcement after it is taken for its time.
        """
        first = self._first.get(record.target)
        if first is None or first.born_ms != record.born_ms:
            first = _FirstAnnouncement(now, record.born_ms, record.sequence)
            _bounded.keep_newest(
                self._first, record.target, first, MAX_UNCONFIRMED
            )
            return False
        left_at = self._left_at.get(record.target, first.heard_at)
        return (
            record.sequence > first.sequence
            and now - first.heard_at >= self._min_gap_s
            and now - left_at >= self._max_delay_s
        )


class TargetLeases:
    """When the leader last heard of each target; times in seconds."""

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._heard_at: dict[ids.TargetId, float] = {}

    def renew(self, now: float, targets: list[ids.TargetId]) -> None:
        """Extend the leases of targets that announced themselves."""
        for target in targets:
            self._heard_at[target] = now

    def clear(self) -> None:
        """Clear all leases; called while another member leads."""
        self._heard_at.clear()

    def find_expired(
        self, now: float, records: Mapping[ids.TargetId, wire.TargetRecord]
    ) -> list[tuple[ids.TargetId, int]]:
        """Return pairs of id and incarnation of targets with ended leases.

        None are returned if more than half are silent, because then the
        control members are cut off rather than the targets.
        """
        for target in self._heard_at.keys() - records.keys():
            del self._heard_at[target]
        silent = []
        for target, record in records.items():
            heard_at = self._heard_at.setdefault(target, now)
            if now - heard_at > self._lease_s:
                silent.append((target, record.born_ms))
        if 2 * len(silent) > len(records):
            return []
        return silent
