"""The leader's table of entries."""

import dataclasses
from typing import NamedTuple

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
    version: int


class EntryChanges(NamedTuple):
    """The rows that bring a reader to `version`.

    With `full` they replace all rows of the reader.
    """

    version: int
    full: bool
    rows: list[wire.EntryRow]


class EntryTable:
    """Entries as they report themselves in sync requests.

    A request of an older incarnation than the last known one is ignored.
    `version` counts the changes that other entries must know.
    """

    def __init__(self, now: float, lease_s: float = ENTRY_LEASE_S) -> None:
        self.version = 0
        self._complete_since = 0
        self._started = now
        self._lease_s = lease_s
        self._entries: dict[ids.EntryId, _Entry] = {}

    def record(self, now: float, request: wire.SyncRequest) -> bool:
        """Take a request; return whether its incarnation is current."""
        info = request.info
        known = self._entries.get(info.entry)
        if known is None:
            self.version += 1
            self._entries[info.entry] = _Entry(
                info, request.draining, True, now, self.version
            )
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
        if changed:
            self._mark(known)
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
            self._mark(self._entries[entry])
        for entry, row in list(self._entries.items()):
            if row.heard_at + DEAD_KEPT_S <= now:
                del self._entries[entry]
                self.version += 1
                self._complete_since = self.version
        return ended

    def rows(self) -> list[wire.EntryRow]:
        """Return all entries, ordered by id."""
        return [_to_row(row) for _, row in sorted(self._entries.items())]

    def changes_since(self, version: int) -> EntryChanges:
        """Return what a reader at `version` needs to be up to date.

        Version 0 stands for a reader that has nothing, which also holds for
        readers whose version belongs to the table of another leader.
        """
        full = version < self._complete_since or not (
            0 < version <= self.version
        )
        rows = [
            _to_row(row)
            for row in self._entries.values()
            if full or row.version > version
        ]
        return EntryChanges(self.version, full, rows)

    def get(self, entry: ids.EntryId) -> wire.EntryRow | None:
        """Return the row of an entry, or None when it is not known."""
        row = self._entries.get(entry)
        return None if row is None else _to_row(row)

    def get_silence_s(self, now: float, entry: ids.EntryId) -> float:
        """Return the seconds since the entry was last heard.

        An entry that this leader has never heard counts from the start of
        the table, so that a new leader replaces no record holder too early.
        """
        row = self._entries.get(entry)
        return now - (self._started if row is None else row.heard_at)

    def _mark(self, row: _Entry) -> None:
        """Note that other entries must know of a change of the row."""
        self.version += 1
        row.version = self.version


def _to_row(row: _Entry) -> wire.EntryRow:
    return wire.EntryRow(info=row.info, draining=row.draining, alive=row.alive)
