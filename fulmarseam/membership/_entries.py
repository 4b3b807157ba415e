"""The leader's table of entries."""

import dataclasses
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire

ENTRY_LEASE_S = 3.0
# Rows of entries that have been silent for longer are removed.
DEAD_ENTRY_RETENTION_S = 600.0


@dataclasses.dataclass(slots=True)
class _Entry:
    info: wire.EntryInfo
    draining: bool
    alive: bool
    heard_at: float
    version: int


class EntryChanges(NamedTuple):
    """The rows that update a reader to `version`.

    If `full` is set, they replace all rows of the reader.
    """

    version: int
    full: bool
    rows: list[wire.EntryRow]


class EntryTable:
    """Entries as reported by their own sync requests.

    Requests of an older incarnation than the current one are ignored.
    `version` counts the changes that are passed on to other entries.
    """

    def __init__(self, now: float, lease_s: float = ENTRY_LEASE_S) -> None:
        self.version = 0
        self._min_incremental_version = 0
        self._started_at = now
        self._lease_s = lease_s
        self._entries: dict[ids.EntryId, _Entry] = {}

    def record(self, now: float, request: wire.SyncRequest) -> bool:
        """Record a request; return whether its incarnation is current."""
        info = request.info
        current = self._entries.get(info.entry)
        if current is None:
            self.version += 1
            self._entries[info.entry] = _Entry(
                info, request.draining, True, now, self.version
            )
            return True
        if info.incarnation < current.info.incarnation:
            return False
        changed = (info, request.draining, True) != (
            current.info,
            current.draining,
            current.alive,
        )
        current.info = info
        current.draining = request.draining
        current.alive = True
        current.heard_at = now
        if changed:
            self._record_change(current)
        return True

    def expire(self, now: float) -> list[ids.EntryId]:
        """Mark entries with expired leases as dead; return their ids."""
        expired = [
            entry
            for entry, row in self._entries.items()
            if row.alive and row.heard_at + self._lease_s <= now
        ]
        for entry in expired:
            self._entries[entry].alive = False
            self._record_change(self._entries[entry])
        for entry, row in list(self._entries.items()):
            if row.heard_at + DEAD_ENTRY_RETENTION_S <= now:
                del self._entries[entry]
                self.version += 1
                self._min_incremental_version = self.version
        return expired

    def rows(self) -> list[wire.EntryRow]:
        """Return all entries, ordered by id."""
        return [_to_row(row) for _, row in sorted(self._entries.items())]

    def changes_since(self, version: int) -> EntryChanges:
        """Return the changes that a reader at `version` has not seen.

        Version 0 stands for a reader without rows, or with rows from the
        table of another leader. It gets the whole table.
        """
        full = version < self._min_incremental_version or not (
            0 < version <= self.version
        )
        rows = [
            _to_row(row)
            for row in self._entries.values()
            if full or row.version > version
        ]
        return EntryChanges(self.version, full, rows)

    def get(self, entry: ids.EntryId) -> wire.EntryRow | None:
        """Return the row of an entry, or None if it is not known."""
        row = self._entries.get(entry)
        return None if row is None else _to_row(row)

    def get_silence_s(self, now: float, entry: ids.EntryId) -> float:
        """Return the seconds since the last request of an entry.

        For an entry without any request the time counts from the start of
        the table, so that a new leader does not replace a record holder too
        early.
        """
        row = self._entries.get(entry)
        return now - (self._started_at if row is None else row.heard_at)

    def _record_change(self, row: _Entry) -> None:
        """Give a changed row a new version, so that readers get it."""
        self.version += 1
        row.version = self.version


def _to_row(row: _Entry) -> wire.EntryRow:
    return wire.EntryRow(info=row.info, draining=row.draining, alive=row.alive)
