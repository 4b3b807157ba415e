"""Storage of the rows of one table."""

from collections.abc import Iterator
from typing import Protocol

from fulmarseam import wire


class RowTable(Protocol):
    """The rows of one table by key.

    The blocks table has a compact implementation, since a Python object
    for each of 490,000 rows would not fit the memory bound of an entry.
    """

    def get(self, key: str) -> wire.Row | None:
        """Return the row with a key."""

    def put(self, row: wire.Row) -> None:
        """Set the row under its name."""

    def remove(self, key: str) -> None:
        """Remove the row with a key, if there is one."""

    def clear(self) -> None:
        """Remove all rows."""

    def rows(self) -> Iterator[wire.Row]:
        """Return all rows in the order of their keys."""

    def __len__(self) -> int:
        """Return the number of rows."""


class DictRows:
    """Rows in a dictionary, for tables of up to some thousand rows."""

    def __init__(self) -> None:
        self._rows: dict[str, wire.Row] = {}

    def get(self, key: str) -> wire.Row | None:
        """Return the row with a key."""
        return self._rows.get(key)

    def put(self, row: wire.Row) -> None:
        """Set the row under its name."""
        self._rows[row.name] = row

    def remove(self, key: str) -> None:
        """Remove the row with a key, if there is one."""
        self._rows.pop(key, None)

    def clear(self) -> None:
        """Remove all rows."""
        self._rows.clear()

    def rows(self) -> Iterator[wire.Row]:
        """Return all rows in the order of their keys."""
        for key in sorted(self._rows):
            yield self._rows[key]

    def __len__(self) -> int:
        return len(self._rows)
