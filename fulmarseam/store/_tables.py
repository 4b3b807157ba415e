"""The tables with their revision and recent changes."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import cast
from typing import NamedTuple
from typing import TypeVar

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.store import _journal
from fulmarseam.store import _rows
from fulmarseam.store import _schema

# The blocks table is sent as an image instead.
ROW_ENCODED_TABLES = tuple(
    name for name in wire.TableName if name is not wire.TableName.BLOCKS
)
RowT = TypeVar('RowT', bound=wire.Row)


class TablesUpdate(NamedTuple):
    """The changes that bring a reader to `revision`.

    If `full` is set, they replace all rows of the reader, and `blocks` is
    the image of its blocks table.
    """

    revision: int
    full: bool
    changes: list[wire.Change]
    blocks: bytes = b''


class Tables:
    """Holds all replicated rows at one revision.

    The control members change them through the log. An entry keeps a copy
    and applies the updates that the leader sends::

        update = leader_tables.changes_since(entry_tables.revision)
        entry_tables.apply_changes(
            update.revision, update.changes, update.full, update.blocks
        )

    `find_region` looks up addresses in the blocks table.
    """

    def __init__(self, journal: _journal.ChangeJournal | None = None) -> None:
        self.revision = 0
        self.journal = journal or _journal.ChangeJournal()
        self._blocks = _rows.BlockRows()
        self._tables: dict[wire.TableName, _rows.RowTable] = {
            table: _rows.DictRows() for table in wire.TableName
        }
        self._tables[wire.TableName.BLOCKS] = self._blocks

    def find_region(self, address: str) -> ids.RegionName | None:
        """Return the region of the longest prefix that contains an address.

        Raises `ValueError` when the address is not valid.
        """
        return self._blocks.blocks.find(address)

    def table(self, name: wire.TableName) -> _rows.RowTable:
        """Return the storage of one table."""
        return self._tables[name]

    def get(self, row_type: type[RowT], key: str) -> RowT | None:
        """Return the row of a type with a key."""
        table = self._tables[_schema.TABLE_NAMES[row_type]]
        return cast('RowT | None', table.get(key))

    def rows(self, row_type: type[RowT]) -> Iterator[RowT]:
        """Return the rows of a type in the order of their keys."""
        table = self._tables[_schema.TABLE_NAMES[row_type]]
        return cast('Iterator[RowT]', table.rows())

    def get_row(self, table: wire.TableName, key: str) -> wire.Row | None:
        """Return the row of a table with a key."""
        return self._tables[table].get(key)

    def dump(
        self, names: Iterable[wire.TableName] = wire.TableName
    ) -> list[wire.Change]:
        """Return changes that set all rows of the named tables."""
        return [
            wire.Change(name, row.name, row)
            for name in names
            for row in self._tables[name].rows()
        ]

    def changes_since(self, revision: int) -> TablesUpdate:
        """Return the changes from a reader's revision to the current one.

        A reader ahead of these tables gets no changes, so that it never
        returns to an older state.
        """
        if revision > self.revision:
            return TablesUpdate(self.revision, False, [])
        changes = self.journal.changes_after(revision, self.revision)
        if changes is None:
            return TablesUpdate(
                self.revision,
                True,
                self.dump(ROW_ENCODED_TABLES),
                self.dump_blocks(),
            )
        return TablesUpdate(self.revision, False, changes)

    def apply_changes(
        self,
        revision: int,
        changes: Sequence[wire.Change],
        full: bool,
        blocks: bytes = b'',
    ) -> bool:
        """Advance to a higher revision; return whether anything was applied.

        Changes for the current or an older revision are ignored. Raises
        `errors.WireError` when the image of the blocks is damaged; nothing
        is applied then.
        """
        if revision <= self.revision:
            return False
        if full:
            if blocks:
                self.load_blocks(blocks)
            else:
                self._blocks.clear()
            for name in ROW_ENCODED_TABLES:
                self._tables[name].clear()
        self.change_rows(changes)
        # The changes of each skipped revision are unknown, so the journal
        # cannot continue and is cleared.
        is_next = not full and revision == self.revision + 1
        self.advance(revision, changes if is_next else None)
        return True

    def advance(
        self, revision: int, changes: Sequence[wire.Change] | None
    ) -> None:
        """Advance to a revision whose changes the rows already contain.

        Without the list of changes, readers at older revisions get the
        complete state.
        """
        if changes is None:
            self.journal.clear()
        else:
            self.journal.append(revision, changes)
        self.revision = revision

    def dump_blocks(self) -> bytes:
        """Return the image of the blocks table."""
        return self._blocks.dump()

    def load_blocks(self, image: bytes) -> None:
        """Replace the blocks table.

        Raises `errors.WireError` when the image is damaged; the table is
        unchanged then.
        """
        try:
            self._blocks.load(image)
        except ValueError as error:
            raise errors.WireError(f'image of blocks: {error}') from error

    def block_regions(self) -> frozenset[ids.RegionName]:
        """Return the regions that the blocks table names."""
        return self._blocks.blocks.regions()

    def dump_tables(self) -> list[tuple[wire.TableName, bytes]]:
        """Return all rows in a compact encoding for `load_tables`."""
        return [(name, table.dump()) for name, table in self._tables.items()]

    def load_tables(
        self,
        revision: int,
        tables: Iterable[tuple[wire.TableName, bytes]],
        journal: Iterable[_journal.JournalEntry],
    ) -> None:
        """Replace rows, revision and journal with those of a snapshot.

        Raises `ValueError` when the data is damaged.
        """
        for table in self._tables.values():
            table.clear()
        for name, data in tables:
            self._tables[name].load(data)
        self.revision = revision
        self.journal.clear()
        for entry in journal:
            self.journal.append(entry.revision, entry.changes)

    def change_rows(self, changes: Iterable[wire.Change]) -> None:
        """Set and remove rows without advancing the revision."""
        for change in changes:
            table = self._tables[change.table]
            if change.row is None:
                table.remove(change.key)
            else:
                table.put(change.row)
