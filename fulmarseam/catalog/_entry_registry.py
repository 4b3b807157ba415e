"""The entries that poll a member, and which of them callers should use."""

import dataclasses

from fulmarseam import ids
from fulmarseam import wire

# Look-ups leave out an entry that has not polled for this long. Entries
# poll twice a second; a dead one has to be left out within 6 s.
ENTRY_LEASE_S = 2.5
# A dead entry may still have requests in flight, so it counts for this long
# when the entries share bounds.
SENDER_RETENTION_S = 60.0


@dataclasses.dataclass
class _Row:
    poll: wire.EntryPoll
    heard_at: float


class EntryRegistry:
    """Latest polls by entry; times in seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._rows: dict[ids.EntryId, _Row] = {}

    def record_poll(self, now: float, poll: wire.EntryPoll) -> bool:
        """Record a poll; return whether the entry's state changed.

        A poll of an earlier incarnation is ignored as late while the
        current incarnation is alive. Once that is silent, it is accepted:
        the clock that numbers incarnations may have been set back.
        """
        current = self._rows.get(poll.entry)
        if current is not None and current.poll.incarnation > poll.incarnation:
            if now - current.heard_at <= ENTRY_LEASE_S:
                return False
        is_changed = (
            current is None
            or current.poll.state is not poll.state
            or current.poll.incarnation != poll.incarnation
        )
        self._rows[poll.entry] = _Row(poll, now)
        return is_changed

    def count_senders(self, now: float) -> int:
        """Return the number of entries that may send requests to targets."""
        for entry, row in list(self._rows.items()):
            if now - row.heard_at > SENDER_RETENTION_S:
                del self._rows[entry]
        return len(self._rows)

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
        """
        ready = [
            row.poll
            for row in self._rows.values()
            if row.poll.state is wire.EntryState.READY
            and now - row.heard_at <= ENTRY_LEASE_S
        ]
        candidates = [poll for poll in ready if poll.region == region] or ready
        candidates.sort(
            key=lambda poll: (poll.failure_domain != domain, poll.entry)
        )
        return [poll.address for poll in candidates[:limit]]
