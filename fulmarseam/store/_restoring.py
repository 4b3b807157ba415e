"""Planning of restores of exported rows."""

import msgspec

from fulmarseam import wire
from fulmarseam.store import _tables
from fulmarseam.store import _transitions

_FINAL_STATES = frozenset(
    {
        wire.DrainState.CANCELLED,
        wire.ShiftState.DONE,
        wire.ShiftState.CANCELLED,
    }
)


def plan_restore(
    tables: _tables.Tables, export: wire.Export
) -> list[wire.Change]:
    """Return the changes that restore an export.

    Routes, pools, links and blocks become those of the export. Drains and
    shifts keep their current state, and those that are not final stay even
    if the export lacks them. Registrations are not restored. Current record
    groups stay; a group that exists only in the export is restored with a
    new generation, as if its records were lost.
    """
    wanted: dict[tuple[wire.TableName, str], wire.Row] = {}
    for change in export.changes:
        if change.row is None or isinstance(change.row, wire.Registration):
            continue
        current = tables.get_row(change.table, change.key)
        wanted[change.table, change.key] = _restore_row(current, change.row)
    changes = [
        wire.Change(table, key, None)
        for table in (
            _tables.ROW_ENCODED_TABLES if export.blocks else wire.TableName
        )
        for key, row in _list_rows(tables, table)
        if (table, key) not in wanted and _may_remove(row)
    ]
    changes.extend(
        wire.Change(table, key, row)
        for (table, key), row in wanted.items()
        if tables.get_row(table, key) != row
    )
    return changes


def _list_rows(
    tables: _tables.Tables, table: wire.TableName
) -> list[tuple[str, wire.Row]]:
    return [(row.name, row) for row in tables.table(table).rows()]


def _may_remove(row: wire.Row) -> bool:
    if isinstance(row, (wire.RecordGroup, wire.Registration)):
        return False
    if isinstance(row, (wire.Drain, wire.Shift)):
        return row.state in _FINAL_STATES
    return True


def _restore_row(current: wire.Row | None, row: wire.Row) -> wire.Row:
    if isinstance(row, wire.RecordGroup):
        return current or _restart_group(row)
    if isinstance(row, (wire.Drain, wire.Shift)) and current is not None:
        if row.state in _FINAL_STATES:
            return current
        return _transitions.merge_edit(current, row)
    if isinstance(row, wire.Shift) and row.state not in _FINAL_STATES:
        return msgspec.structs.replace(
            row, state=wire.ShiftState.PLANNED, percent=0.0
        )
    return row


def _restart_group(row: wire.RecordGroup) -> wire.RecordGroup:
    generation = row.generation + 1
    return wire.RecordGroup(
        name=row.name,
        generation=generation,
        primary=row.primary,
        lost_before=generation,
    )
