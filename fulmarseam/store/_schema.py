"""The row type of each table, and the tables that operators may edit."""

from typing import Any

from fulmarseam import wire

ROW_TYPES: dict[wire.TableName, type[wire.Row]] = {
    wire.TableName.ROUTES: wire.Route,
    wire.TableName.POOLS: wire.Pool,
    wire.TableName.LINKS: wire.Link,
    wire.TableName.BLOCKS: wire.Block,
    wire.TableName.DRAINS: wire.Drain,
    wire.TableName.SHIFTS: wire.Shift,
    wire.TableName.RECORD_GROUPS: wire.RecordGroup,
    wire.TableName.REGISTRATIONS: wire.Registration,
}
TABLE_NAMES: dict[type[Any], wire.TableName] = {
    row_type: table for table, row_type in ROW_TYPES.items()
}
EDITABLE_TABLES = frozenset(ROW_TYPES) - {
    wire.TableName.RECORD_GROUPS,
    wire.TableName.REGISTRATIONS,
}


def make_change(row: wire.Row) -> wire.Change:
    """Return the change that sets a row."""
    return wire.Change(TABLE_NAMES[type(row)], row.name, row)
