"""The stream of writes from a primary to its backup, without input/output.

The primary numbers its writes from 1. The backup applies them only in
order, so late and repeated messages change nothing. A backup that lacks
earlier writes gets a full copy of the table first.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from fulmarseam import wire

MAX_MESSAGE_WRITES = 500
MAX_CHUNK_ROWS = 500

StreamMessage = wire.RecordReplicate | wire.RecordChunk


@dataclasses.dataclass(slots=True, eq=False)
class _FullCopy:
    copy_number: int
    write_number: int
    rows: list[wire.RecordRow]
    next_index: int = 0


class StreamSender:
    """Sends the primary's writes until the backup has acknowledged them.

    `last_number` is the number of the last write. `acked_number` is that of
    the last write that the current backup has acknowledged, or -1 before its
    first acknowledgment in this generation. `list_rows` returns all rows of
    the table, for a full copy.
    """

    def __init__(
        self,
        stream: wire.RecordStream,
        list_rows: Callable[[], list[wire.RecordRow]],
    ) -> None:
        self.stream = stream
        self.last_number = 0
        self.acked_number = -1
        self._list_rows = list_rows
        self._group: wire.RecordGroup | None = None
        self._unacked_writes: collections.deque[wire.RecordWrite] = (
            collections.deque()
        )
        self._base = 0
        self._copy_count = 0
        self._copy: _FullCopy | None = None

    def start_generation(self, group: wire.RecordGroup) -> None:
        """Send to the backup of a new generation.

        The stream continues if the backup is the same incarnation of the
        same entry; any other backup gets a full copy.
        """
        former_group, self._group = self._group, group
        self.acked_number = -1
        if former_group is not None and _identify_backup(
            former_group
        ) == _identify_backup(group):
            return
        self._copy = None
        self._unacked_writes.clear()
        self._base = self.last_number
        if group.backup is not None:
            self._start_copy()

    def append(self, write: wire.RecordWrite) -> int:
        """Append a write and return its number."""
        self.last_number += 1
        if self._group is None or self._group.backup is None:
            self._base = self.last_number
        else:
            self._unacked_writes.append(write)
        return self.last_number

    def has_pending(self) -> bool:
        """Return whether an acknowledgment of the backup is missing."""
        if self._group is None or self._group.backup is None:
            return False
        return self.acked_number < self.last_number

    def next_message(self) -> StreamMessage:
        """Return the next message; the same one until it is answered."""
        assert self._group is not None
        if self._copy is not None:
            return self._make_chunk(self._group, self._copy)
        writes = [
            self._unacked_writes[index]
            for index in range(
                min(len(self._unacked_writes), MAX_MESSAGE_WRITES)
            )
        ]
        return wire.RecordReplicate(
            region=self._group.name,
            generation=self._group.generation,
            stream=self.stream,
            base=self._base,
            writes=writes,
        )

    def handle_progress(
        self, sent: StreamMessage, progress: wire.RecordProgress
    ) -> None:
        """Handle the backup's answer; ignore those of other generations."""
        if self._group is None or sent.generation != self._group.generation:
            return
        if progress.applied is not None:
            if not self._base <= progress.applied <= self.last_number:
                self._start_copy()
                return
            self._copy = None
            self._drop_acked(progress.applied)
            self.acked_number = max(self.acked_number, progress.applied)
        elif self._copy is None or progress.copy != self._copy.copy_number:
            self._start_copy()
        else:
            self._copy.next_index = progress.next_index

    def _start_copy(self) -> None:
        self._copy_count += 1
        self.acked_number = -1
        self._unacked_writes.clear()
        self._base = self.last_number
        self._copy = _FullCopy(
            self._copy_count, self.last_number, self._list_rows()
        )

    def _make_chunk(
        self, group: wire.RecordGroup, copy: _FullCopy
    ) -> wire.RecordChunk:
        start = copy.next_index * MAX_CHUNK_ROWS
        end = start + MAX_CHUNK_ROWS
        return wire.RecordChunk(
            region=group.name,
            generation=group.generation,
            stream=self.stream,
            copy=copy.copy_number,
            index=copy.next_index,
            last=end >= len(copy.rows),
            number=copy.write_number,
            rows=copy.rows[start:end],
        )

    def _drop_acked(self, applied: int) -> None:
        while self._base < applied:
            self._unacked_writes.popleft()
            self._base += 1


def _identify_backup(group: wire.RecordGroup) -> tuple[str | None, int]:
    return group.backup, group.backup_incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedChanges:
    """What the backup has to apply after a message.

    If `rows` is set, they replace the table. `writes` are applied after it.
    """

    progress: wire.RecordProgress
    rows: list[wire.RecordRow] | None = None
    writes: Iterable[wire.RecordWrite] = ()


class StreamReceiver:
    """Tracks how much of the primary's stream the backup has received."""

    def __init__(self) -> None:
        self.stream: wire.RecordStream | None = None
        self.applied: int | None = None
        self.generation = 0
        self._copy_number = 0
        self._rows: list[wire.RecordRow] = []
        self._next_index = 0

    def reset(self) -> None:
        """Forget the stream once this replica is no longer the backup."""
        self.stream = None
        self.applied = None
        self._copy_number = 0
        self._rows = []
        self._next_index = 0

    def has_full_copy(self, generation: int) -> bool:
        """Return whether a full copy was confirmed in a generation."""
        return self.applied is not None and self.generation == generation

    def receive(self, message: StreamMessage) -> ReceivedChanges:
        """Receive a message of the generation in force."""
        if message.stream != self.stream:
            self.reset()
            self.stream = message.stream
        if isinstance(message, wire.RecordReplicate):
            return self._receive_writes(message)
        return self._receive_chunk(message)

    def _receive_writes(
        self, message: wire.RecordReplicate
    ) -> ReceivedChanges:
        if self.applied is None or message.base > self.applied:
            # Earlier writes are missing, so the backup asks for a full copy.
            self.applied = None
            return ReceivedChanges(self._make_progress())
        self.generation = message.generation
        new_writes = message.writes[self.applied - message.base :]
        self.applied += len(new_writes)
        return ReceivedChanges(self._make_progress(), writes=new_writes)

    def _receive_chunk(self, message: wire.RecordChunk) -> ReceivedChanges:
        if message.copy < self._copy_number:
            return ReceivedChanges(self._make_progress())
        if message.copy > self._copy_number:
            self.applied = None
            self._copy_number = message.copy
            self._rows = []
            self._next_index = 0
        if self.applied is not None or message.index != self._next_index:
            return ReceivedChanges(self._make_progress())
        self._rows.extend(message.rows)
        self._next_index += 1
        if not message.last:
            return ReceivedChanges(self._make_progress())
        rows, self._rows = self._rows, []
        self.applied = message.number
        self.generation = message.generation
        return ReceivedChanges(self._make_progress(), rows=rows)

    def _make_progress(self) -> wire.RecordProgress:
        return wire.RecordProgress(
            applied=self.applied,
            copy=self._copy_number,
            next_index=self._next_index,
        )
