"""The leader's table of entries."""

import dataclasses

from fulmarseam import ids
from fulmarseam import wire

ENTRY_LEASE_S = 3.0
# Entries that have been silent for longer are forgotten.
DEAD_KEPT_S = 600.0


@dataclasses.dataclass(slots=True)
class _Entry:
    info: wire.EntryInfo
    draining: bool
    alive: bool
    heard_at: float


class EntryTable:
    """Entries as they report themselves in sync requests.

    A request of an older incarnation than the last known one is ignored.
    `version` counts the changes that other entries must know.
    """

    def __init__(self, now: float, lease_s: float = ENTRY_LEASE_S) -> None:
        self.version = 0
        self._started = now
        self._lease_s = lease_s
        self._entries: dict[ids.EntryId, _Entry] = {}

    def record(self, now: float, request: wire.SyncRequest) -> bool:
        """Take a request; return whether its incarnation is current."""
        info = request.info
        known = self._entries.get(info.entry)
        if known is None:
            self._entries[info.entry] = _Entry(
                info, request.draining, True, now
            )
            self.version += 1
            return True
        if info.incarnation < known.info.incarnation:
            return False
        changed = (info, request.draining, True) != (
            known.info,
            known.draining,
            known.alive,
        )
        known.info = info
        known.draining = request.draining
        known.alive = True
        known.heard_at = now
        self.version += changed
        return True

    def expire(self, now: float) -> list[ids.EntryId]:
        """Mark entries whose lease has ended; return their ids."""
        ended = [
            entry
            for entry, row in self._entries.items()
            if row.alive and row.heard_at + self._lease_s <= now
        ]
        for entry in ended:
            self._entries[entry].alive = False
            self.version += 1
        for entry, row in list(self._entries.items()):
            if row.heard_at + DEAD_KEPT_S <= now:
                del self._entries[entry]
                self.version += 1
        return ended

    def rows(self) -> list[wire.EntryRow]:
        """Return all entries, ordered by id."""
        return [
            wire.EntryRow(
                info=row.info, draining=row.draining, alive=row.alive
            )
            for _, row in sorted(self._entries.items())
        ]

    def get(self, entry: ids.EntryId) -> wire.EntryRow | None:
        """Return the row of an entry, or None when it is not known."""
        row = self._entries.get(entry)
        if row is None:
            return None
        return wire.EntryRow(
            info=row.info, draining=row.draining, alive=row.alive
        )

    def silent_for(self, now: float, entry: ids.EntryId) -> float:
        """Return the seconds since the entry was last heard.

        An entry that this leader has never heard counts from the start of
        the table, so that a new leader replaces no record holder too early.
        """
        row = self._entries.get(entry)
        return now - (self._started if row is None else row.heard_at)
