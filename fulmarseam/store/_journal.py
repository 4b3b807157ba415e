"""The recent changes of the tables, to answer readers with differences."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from fulmarseam import wire

JOURNAL_REVISIONS = 10_000
# A restored snapshot may change every row in one revision. Beyond this many
# rows the whole state is the smaller answer.
JOURNAL_ROWS = 100_000


class JournalEntry(NamedTuple):
    """The changes that led to one revision."""

    revision: int
    changes: Sequence[wire.Change]


class Journal:
    """The changes of the last revisions, oldest first."""

    def __init__(
        self,
        revisions: int = JOURNAL_REVISIONS,
        rows: int = JOURNAL_ROWS,
    ) -> None:
        self._max_revisions = revisions
        self._max_rows = rows
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
        """Forget all changes."""
        self._entries.clear()
        self._row_count = 0

    def entries(self) -> list[JournalEntry]:
        """Return the entries, oldest first."""
        return list(self._entries)

    def changes_after(
        self, revision: int, current: int
    ) -> list[wire.Change] | None:
        """Return the last change of each row changed after a revision.

        Returns None when the journal does not reach back that far.
        """
        if revision == current:
            return []
        found: list[JournalEntry] = []
        for entry in reversed(self._entries):
            if entry.revision <= revision:
                break
            found.append(entry)
        oldest = found[-1].revision if found else None
        if oldest != revision + 1:
            return None
        last: dict[tuple[wire.TableName, str], wire.Change] = {}
        for entry in reversed(found):
            for change in entry.changes:
                key = (change.table, change.key)
                last.pop(key, None)
                last[key] = change
        return list(last.values())
