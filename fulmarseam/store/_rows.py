"""Storage of the rows of one table."""

from collections.abc import Iterator
from typing import Protocol

import msgspec

from fulmarseam import blocks
from fulmarseam import wire

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[wire.Row])


class RowTable(Protocol):
    """Stores the rows of one table by key.

    The blocks table has a compact implementation, since a Python object
    for each of 490,000 rows would exceed the memory limit of an entry.
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
        """Return all rows, in an order that does not depend on insertion."""

    def dump(self) -> bytes:
        """Return all rows in a form for `load`."""

    def load(self, data: bytes) -> None:
        """Replace all rows.

        Raises `ValueError` when the data is damaged.
        """

    def __len__(self) -> int:
        """Return the number of rows."""


class DictRows:
    """Stores rows in a dictionary, for tables of a few thousand rows."""

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

    def dump(self) -> bytes:
        """Return all rows in a form for `load`."""
        return _encoder.encode(list(self.rows()))

    def load(self, data: bytes) -> None:
        """Replace all rows.

        Raises `ValueError` when the data is damaged.
        """
        self._rows = {row.name: row for row in _decoder.decode(data)}

    def __len__(self) -> int:
        return len(self._rows)


class BlockRows:
    """Stores the rows of the blocks table in compact arrays."""

    def __init__(self) -> None:
        self.blocks = blocks.BlockTable()

    def get(self, key: str) -> wire.Row | None:
        """Return the row with a key."""
        try:
            region = self.blocks.get(key)
        except ValueError:
            return None
        return None if region is None else wire.Block(name=key, region=region)

    def put(self, row: wire.Row) -> None:
        """Set the region of a block.

        Raises `ValueError` when the block is not valid.
        """
        if not isinstance(row, wire.Block):
            raise TypeError(f'found {type(row).__name__}, expected Block')
        self.blocks.set(row.name, row.region)

    def remove(self, key: str) -> None:
        """Remove the row with a key, if there is one."""
        if self.get(key) is not None:
            self.blocks.remove(key)

    def clear(self) -> None:
        """Remove all rows."""
        self.blocks = blocks.BlockTable()

    def rows(self) -> Iterator[wire.Row]:
        """Return all rows by IP version, prefix length and network."""
        for name, region in self.blocks.items():
            yield wire.Block(name=name, region=region)

    def dump(self) -> bytes:
        """Return all rows in a form for `load`."""
        return self.blocks.dump()

    def load(self, data: bytes) -> None:
        """Replace all rows.

        Raises `ValueError` when the data is damaged.
        """
        self.blocks.restore(data)

    def __len__(self) -> int:
        return len(self.blocks)
