"""The recent changes of the tables, for incremental updates of readers."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from fulmarseam import wire

MAX_JOURNAL_REVISIONS = 10_000
# A restore may change every row in one revision. Beyond this many changed
# rows, sending the whole state is smaller.
MAX_JOURNAL_ROWS = 100_000


class JournalEntry(NamedTuple):
    """The changes that led to a revision."""

    revision: int
    changes: Sequence[wire.Change]


class ChangeJournal:
    """Keeps the changes of the last revisions, oldest first."""

    def __init__(
        self,
        max_revisions: int = MAX_JOURNAL_REVISIONS,
        max_rows: int = MAX_JOURNAL_ROWS,
    ) -> None:
        self._max_revisions = max_revisions
        self._max_rows = max_rows
        self._entries: collections.deque[JournalEntry] = collections.deque()
        self._row_count = 0

    def append(self, revision: int, changes: Sequence[wire.Change]) -> None:
        """Add the changes of the next revision."""
        self._entries.append(JournalEntry(revision, changes))
        self._row_count += len(changes)
        while (
            len(self._entries) > self._max_revisions
            or self._row_count > self._max_rows
        ):
            self._row_count -= len(self._entries.popleft().changes)

    def clear(self) -> None:
        """Remove all changes."""
        self._entries.clear()
        self._row_count = 0

    def entries(self) -> list[JournalEntry]:
        """Return the entries, oldest first."""
        return list(self._entries)

    def changes_after(
        self, revision: int, current: int
    ) -> list[wire.Change] | None:
        """Return the last change of each row that changed after a revision.

        Returns None when the journal does not reach back that far.
        """
        if revision == current:
            return []
        newer: list[JournalEntry] = []
        for entry in reversed(self._entries):
            if entry.revision <= revision:
                break
            newer.append(entry)
        oldest = newer[-1].revision if newer else None
        if oldest != revision + 1:
            return None
        last: dict[tuple[wire.TableName, str], wire.Change] = {}
        for entry in reversed(newer):
            for change in entry.changes:
                key = (change.table, change.key)
                last.pop(key, None)
                last[key] = change
        return list(last.values())
