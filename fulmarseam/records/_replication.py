"""The stream of writes from a primary to its backup, without input/output.

Writes of a primary are numbered from 1. The backup takes them only in
order, so late and repeated messages change nothing. A backup that cannot
continue a stream gets a full copy first.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from fulmarseam import wire

MAX_WRITES = 500
MAX_CHUNK_ROWS = 500

StreamMessage = wire.RecordReplicate | wire.RecordChunk


@dataclasses.dataclass(slots=True, eq=False)
class _Copy:
    number: int
    at: int
    rows: list[wire.RecordRow]
    index: int = 0


class Outbox:
    """The primary's side: writes that the backup has not confirmed.

    `acked` is the number up to which the backup of the generation has
    everything, or -1 when it has confirmed nothing in this generation.
    `list_rows` returns all rows of the table, for a full copy.
    """

    def __init__(
        self,
        stream: wire.RecordStream,
        list_rows: Callable[[], list[wire.RecordRow]],
    ) -> None:
        self.stream = stream
        self.number = 0
        self.acked = -1
        self._list_rows = list_rows
        self._group: wire.RecordGroup | None = None
        self._log: collections.deque[wire.RecordWrite] = collections.deque()
        self._base = 0
        self._copies = 0
        self._copy: _Copy | None = None

    def start_generation(self, group: wire.RecordGroup) -> None:
        """Serve the backup of a new generation.

        The same incarnation of the same backup continues; another one gets
        a full copy.
        """
        old, self._group = self._group, group
        self.acked = -1
        if old is not None and _backup_of(old) == _backup_of(group):
            return
        self._copy = None
        self._log.clear()
        self._base = self.number
        if group.backup is not None:
            self._start_copy()

    def add(self, write: wire.RecordWrite) -> int:
        """Append a write and return its number."""
        self.number += 1
        if self._group is None or self._group.backup is None:
            self._base = self.number
        else:
            self._log.append(write)
        return self.number

    def has_work(self) -> bool:
        """Return whether there is something to send."""
        if self._group is None or self._group.backup is None:
            return False
        return self.acked < self.number

    def next_message(self) -> StreamMessage:
        """Return the message to send now; it is sent again until answered."""
        assert self._group is not None
        if self._copy is not None:
            return self._make_chunk(self._group, self._copy)
        writes = [
            self._log[index]
            for index in range(min(len(self._log), MAX_WRITES))
        ]
        return wire.RecordReplicate(
            region=self._group.name,
            generation=self._group.generation,
            stream=self.stream,
            base=self._base,
            writes=writes,
        )

    def take_progress(
        self, sent: StreamMessage, progress: wire.RecordProgress
    ) -> None:
        """Take the backup's answer to a message of this generation."""
        if self._group is None or sent.generation != self._group.generation:
            return
        if progress.applied is not None:
            if not self._base <= progress.applied <= self.number:
                self._start_copy()
                return
            self._copy = None
            self._trim(progress.applied)
            self.acked = max(self.acked, progress.applied)
        elif self._copy is None or progress.copy != self._copy.number:
            self._start_copy()
        else:
            self._copy.index = progress.next_index

    def _start_copy(self) -> None:
        self._copies += 1
        self.acked = -1
        self._log.clear()
        self._base = self.number
        self._copy = _Copy(self._copies, self.number, self._list_rows())

    def _make_chunk(
        self, group: wire.RecordGroup, copy: _Copy
    ) -> wire.RecordChunk:
        start = copy.index * MAX_CHUNK_ROWS
        end = start + MAX_CHUNK_ROWS
        return wire.RecordChunk(
            region=group.name,
            generation=group.generation,
            stream=self.stream,
            copy=copy.number,
            index=copy.index,
            last=end >= len(copy.rows),
            number=copy.at,
            rows=copy.rows[start:end],
        )

    def _trim(self, applied: int) -> None:
        while self._base < applied:
            self._log.popleft()
            self._base += 1


def _backup_of(group: wire.RecordGroup) -> tuple[str | None, int]:
    return group.backup, group.backup_incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Intake:
    """What a message adds at the backup.

    With `rows` the table is replaced by them; `writes` then follow.
    """

    progress: wire.RecordProgress
    rows: list[wire.RecordRow] | None = None
    writes: Iterable[wire.RecordWrite] = ()


class Inbox:
    """The backup's side: how much of a stream it has."""

    def __init__(self) -> None:
        self.stream: wire.RecordStream | None = None
        self.applied: int | None = None
        self.generation = 0
        self._copy = 0
        self._rows: list[wire.RecordRow] = []
        self._next_index = 0

    def reset(self) -> None:
        """Forget the stream, when the holder is no backup any more."""
        self.stream = None
        self.applied = None
        self._copy = 0
        self._rows = []
        self._next_index = 0

    def has_copy(self, generation: int) -> bool:
        """Return whether a full copy was confirmed in a generation."""
        return self.applied is not None and self.generation == generation

    def take(self, message: StreamMessage) -> Intake:
        """Take a message of the generation in force."""
        if message.stream != self.stream:
            self.reset()
            self.stream = message.stream
        if isinstance(message, wire.RecordReplicate):
            return self._take_writes(message)
        return self._take_chunk(message)

    def _take_writes(self, message: wire.RecordReplicate) -> Intake:
        if self.applied is None or message.base > self.applied:
            # Writes are missing; only a full copy helps.
            self.applied = None
            return Intake(self._progress())
        self.generation = message.generation
        new = message.writes[self.applied - message.base :]
        self.applied += len(new)
        return Intake(self._progress(), writes=new)

    def _take_chunk(self, message: wire.RecordChunk) -> Intake:
        if message.copy < self._copy:
            return Intake(self._progress())
        if message.copy > self._copy:
            self.applied = None
            self._copy = message.copy
            self._rows = []
            self._next_index = 0
        if self.applied is not None or message.index != self._next_index:
            return Intake(self._progress())
        self._rows.extend(message.rows)
        self._next_index += 1
        if not message.last:
            return Intake(self._progress())
        rows, self._rows = self._rows, []
        self.applied = message.number
        self.generation = message.generation
        return Intake(self._progress(), rows=rows)

    def _progress(self) -> wire.RecordProgress:
        return wire.RecordProgress(
            applied=self.applied, copy=self._copy, next_index=self._next_index
        )
