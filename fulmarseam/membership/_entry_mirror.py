"""An entry's copy of the leader's entry rows."""

from fulmarseam import ids
from fulmarseam import wire

# A new leader knows an entry only once it has synced with it. Until then
# the rows of the former leader stay, so that look-ups do not shrink.
FORMER_KEPT_S = 3.0


class EntryMirror:
    """Rows of the entries, kept up to date by differences.

    `version` is that of the last answer taken and belongs in the next sync
    request.
    """

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[ids.EntryId, wire.EntryRow] = {}
        self._term = 0
        self._listed: dict[ids.EntryId, wire.EntryRow] = {}
        self._former: dict[ids.EntryId, wire.EntryRow] = {}
        self._former_until = 0.0

    def apply(self, now: float, response: wire.SyncResponse) -> bool:
        """Take the rows of an answer; return whether rows changed.

        An answer older than the last one is ignored.
        """
        news = response.term, response.entries_version
        if news < (self._term, self.version):
            return False
        if response.term > self._term:
            self._former = self.rows
            self._former_until = now + FORMER_KEPT_S
            self._listed = {}
        self._term, self.version = news
        if response.entries_full:
            self._listed = {}
        self._listed.update({row.info.entry: row for row in response.entries})
        if self._former and now >= self._former_until:
            self._former = {}
        elif not response.entries and not self._former:
            return False
        self.rows = {**self._former, **self._listed}
        return True
