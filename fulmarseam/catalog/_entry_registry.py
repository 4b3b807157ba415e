"""The entries that present themselves to a member, and their choice."""

import dataclasses

from fulmarseam import ids
from fulmarseam import wire

# An entry that has not asked for this long is not named any more. It asks
# twice a second; a dead one has to be left out within 6 s.
ENTRY_LEASE_S = 2.5
# Entries that died may still have requests on the way, so the shares of
# the others are computed as if they were there, for this long.
SENDER_MEMORY_S = 60.0


@dataclasses.dataclass
class _Row:
    poll: wire.EntryPoll
    heard_at: float


class EntryRegistry:
    """Entries by id; times in seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._rows: dict[ids.EntryId, _Row] = {}

    def record_poll(self, now: float, poll: wire.EntryPoll) -> bool:
        """Record a poll; return whether the entry's state changed.

        A poll of an earlier incarnation that arrives late changes nothing.
        It counts once the known one is silent, since the clock that numbers
        the incarnations may have been set back.
        """
        known = self._rows.get(poll.entry)
        if known is not None and known.poll.incarnation > poll.incarnation:
            if now - known.heard_at <= ENTRY_LEASE_S:
                return False
        is_change = (
            known is None
            or known.poll.state is not poll.state
            or known.poll.incarnation != poll.incarnation
        )
        self._rows[poll.entry] = _Row(poll, now)
        return is_change

    def count_senders(self, now: float) -> int:
        """Return the number of entries that may send requests."""
        for entry, row in list(self._rows.items()):
            if now - row.heard_at > SENDER_MEMORY_S:
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

        Those of the caller's region, or all when it has none; the caller's
        own failure domain comes first.
        """
        ready = [
            row.poll
            for row in self._rows.values()
            if row.poll.state is wire.EntryState.READY
            and now - row.heard_at <= ENTRY_LEASE_S
        ]
        near = [poll for poll in ready if poll.region == region] or ready
        near.sort(key=lambda poll: (poll.failure_domain != domain, poll.entry))
        return [poll.address for poll in near[:limit]]
