"""An entry's copy of the leader's entry rows."""

from fulmarseam import ids
from fulmarseam import wire

# A new leader lists an entry only after that entry has synced with it. The
# former leader's rows stay for this long, so that look-ups still name it.
FORMER_ROWS_RETENTION_S = 3.0


class EntryMirror:
    """Rows of the entries, updated incrementally.

    `version` is that of the last applied answer and is sent with the next
    sync request.
    """

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[ids.EntryId, wire.EntryRow] = {}
        self._term = 0
        self._current_rows: dict[ids.EntryId, wire.EntryRow] = {}
        self._former_rows: dict[ids.EntryId, wire.EntryRow] = {}
        self._former_until = 0.0

    def apply(self, now: float, response: wire.SyncResponse) -> bool:
        """Apply the rows of an answer; return whether rows changed.

        An answer older than the last applied one is ignored.
        """
        position = response.term, response.entries_version
        if position < (self._term, self.version):
            return False
        if response.term > self._term:
            self._former_rows = self.rows
            self._former_until = now + FORMER_ROWS_RETENTION_S
            self._current_rows = {}
        self._term, self.version = position
        if response.entries_full:
            self._current_rows = {}
        self._current_rows.update(
            {row.info.entry: row for row in response.entries}
        )
        if self._former_rows and now >= self._former_until:
            self._former_rows = {}
        elif not response.entries and not self._former_rows:
            return False
        self.rows = {**self._former_rows, **self._current_rows}
        return True
