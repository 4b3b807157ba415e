"""The entries that poll a member, and which of them callers should use."""

import dataclasses
import zlib

from fulmarseam import ids
from fulmarseam import wire

# Look-ups leave out an entry that has not polled for this long. Entries
# poll twice a second; a dead one has to be left out within 6 s.
ENTRY_LEASE_S = 2.5
# A dead entry may still have requests in flight, so it counts for this long
# when the entries share bounds.
SENDER_RETENTION_S = 60.0
# Entries poll every member at least each 0.8 s. A member that has been heard
# for this long knows all entries that can reach it.
LISTEN_S = 2.5
# Entries poll the leader each 0.2 s. One that gets no answers for 1 s no
# longer waits for the leader's permits.
SILENCE_S = 0.8
# Entries that reach few targets are left out of look-ups if this share of the
# entries that a caller may use remains.
MIN_REACHING_SHARE = 0.5
# Entries that an entry is told to relay requests through.
RELAYS_OF_REGION = 12
RELAYS_OF_OTHER_REGION = 4


@dataclasses.dataclass
class _Row:
    poll: wire.EntryPoll
    heard_at: float
    # When its process started, by the clock of this member, if it told.
    started_at: float | None


class EntryRegistry:
    """Latest polls by entry; times in seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._rows: dict[ids.EntryId, _Row] = {}
        # Start of the time in which polls arrived without a long gap.
        self._listening_since = float('-inf')
        self._polled_at = float('-inf')

    def record_poll(self, now: float, poll: wire.EntryPoll) -> bool:
        """Record a poll; return whether the entry's state changed.

        A late poll of a process that has ended is ignored; see `_is_late`.
        """
        if now - self._polled_at > LISTEN_S:
            self._listening_since = now
        self._polled_at = now
        current = self._rows.get(poll.entry)
        if current is not None and _is_late(current, poll, now):
            return False
        is_changed = (
            current is None
            or current.poll.state is not poll.state
            or current.poll.incarnation != poll.incarnation
        )
        self._rows[poll.entry] = _Row(
            poll, now, _find_start(current, poll, now)
        )
        return is_changed

    def count_senders(self, now: float) -> int:
        """Return the number of entries that may send requests to targets."""
        for entry, row in list(self._rows.items()):
            if now - row.heard_at > SENDER_RETENTION_S:
                del self._rows[entry]
        return len(self._rows)

    def is_count_partial(self, now: float) -> bool:
        """Return whether some senders may not have polled yet.

        So it is after a start, and after a pause or a time without polls.
        """
        return now - self._listening_since < LISTEN_S

    def count_offline(self, now: float) -> int:
        """Return how many senders may act without the leader's consent."""
        return sum(
            row.poll.is_offline or now - row.heard_at > SILENCE_S
            for row in self._rows.values()
        )

    def find_relays(
        self, now: float, entry: ids.EntryId, region: ids.RegionName
    ) -> list[wire.EntryAddress]:
        """Return the entries through which another one relays requests.

        Each entry gets others, those of its region first.
        """
        candidates = [
            row.poll
            for row in self._rows.values()
            if row.poll.state is wire.EntryState.READY
            and now - row.heard_at <= ENTRY_LEASE_S
            and not row.poll.is_cut_off
            and row.poll.entry != entry
        ]
        candidates.sort(
            key=lambda poll: (
                poll.region != region,
                zlib.crc32(f'{entry} {poll.entry}'.encode()),
            )
        )
        return [
            wire.EntryAddress(poll.address, poll.region)
            for poll in _pick_relays(candidates, region)
        ]

    def find_entries(
        self,
        now: float,
        region: ids.RegionName,
        domain: ids.DomainName,
        limit: int,
    ) -> list[str]:
        """Return the addresses of the entries that a caller should use.

        These are the ready entries of the caller's region, or of all regions
        if it has none. Those of the caller's failure domain come first.
        Entries that reach few targets are left out, unless the others would
        be overloaded.
        """
        ready = [
            row.poll
            for row in self._rows.values()
            if row.poll.state is wire.EntryState.READY
            and now - row.heard_at <= ENTRY_LEASE_S
        ]
        candidates = [poll for poll in ready if poll.region == region] or ready
        reaching = [poll for poll in candidates if not poll.is_cut_off]
        if len(reaching) >= MIN_REACHING_SHARE * len(candidates):
            candidates = reaching
        candidates.sort(
            key=lambda poll: (poll.failure_domain != domain, poll.entry)
        )
        return [poll.address for poll in candidates[:limit]]


def _pick_relays(
    candidates: list[wire.EntryPoll], region: ids.RegionName
) -> list[wire.EntryPoll]:
    """Return some entries of the region and some of each other region."""
    by_region: dict[ids.RegionName, list[wire.EntryPoll]] = {}
    for poll in candidates:
        by_region.setdefault(poll.region, []).append(poll)
    return [
        poll
        for found, polls in by_region.items()
        for poll in polls[
            : RELAYS_OF_REGION if found == region else RELAYS_OF_OTHER_REGION
        ]
    ]


def _find_start(
    current: _Row | None, poll: wire.EntryPoll, now: float
) -> float | None:
    """Return when the process of a poll started, by the earliest estimate.

    A delay on the way or a pause of the host makes it look younger.
    """
    if poll.uptime_s is None:
        return None
    started_at = now - poll.uptime_s
    if (
        current is not None
        and current.started_at is not None
        and current.poll.incarnation == poll.incarnation
    ):
        return min(started_at, current.started_at)
    return started_at


def _is_late(current: _Row, poll: wire.EntryPoll, now: float) -> bool:
    """Return whether a poll is of a process before the current one.

    The process that started last is the current one. Without its uptime, an
    earlier incarnation is late while the current one is alive: the clock that
    numbers incarnations may have been set back.
    """
    if current.poll.incarnation == poll.incarnation:
        return False
    started_at = _find_start(None, poll, now)
    if started_at is not None and current.started_at is not None:
        return started_at <= current.started_at
    return (
        current.poll.incarnation > poll.incarnation
        and now - current.heard_at <= ENTRY_LEASE_S
    )
