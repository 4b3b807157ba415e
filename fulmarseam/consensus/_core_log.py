"""The log of a replica in memory."""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools

from fulmarseam import wire


class Log:
    """Log entries after `base_index`; a snapshot covers all up to it."""

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        entries: Iterable[wire.LogEntry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def append(self, entries: Sequence[wire.LogEntry]) -> None:
        """Append entries, replacing the log from the first of them on."""
        if not entries:
            return
        kept_count = entries[0].index - self.base_index - 1
        if not 0 <= kept_count <= len(self._entries):
            raise AssertionError(
                f'entry {entries[0].index} does not follow the log '
                f'({self.base_index}, {self.last_index}]'
            )
        del self._entries[kept_count:]
        self._entries.extend(entries)

    def read_batch(
        self, first: int, max_entries: int, max_bytes: int
    ) -> list[wire.LogEntry]:
        """Return entries from `first` on, within the limits.

        The first entry is returned even if it exceeds `max_bytes`.
        """
        start = first - self.base_index - 1
        batch: list[wire.LogEntry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return batch

    def read_range(self, first: int, last: int) -> list[wire.LogEntry]:
        """Return the entries from `first` to `last`, both included."""
        start = first - self.base_index - 1
        return self._entries[start : last - self.base_index]

    def all_entries(self) -> list[wire.LogEntry]:
        """Return all entries."""
        return list(self._entries)

    def find_kept_base(
        self, last: int, max_entries: int, max_bytes: int
    ) -> int:
        """Return the index before the entries up to `last` within limits."""
        base = last
        size = 0
        while base > max(self.base_index, last - max_entries):
            size += len(self._entries[base - self.base_index - 1].data)
            if size > max_bytes:
                break
            base -= 1
        return base

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`."""
        term = self.term_at(index)
        if term is None:
            raise AssertionError(f'entry {index} is not in the log')
        self._entries = self._entries[index - self.base_index :]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries; the next entry follows `index`."""
        self._entries = []
        self.base_index = index
        self.base_term = term

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log with the same term as `index`."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term: int, limit: int) -> int | None:
        """Return the last index up to `limit` with `term`, or None."""
        end = max(0, min(limit, self.last_index) - self.base_index)
        for entry in reversed(list(itertools.islice(self._entries, end))):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                return None
        return None
