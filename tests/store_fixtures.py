"""Rows and a group of machines for tests of the store."""

import msgspec

from fulmarseam import ids
from fulmarseam import store
from fulmarseam import wire

POOLS = wire.TableName.POOLS
ROUTES = wire.TableName.ROUTES
SHIFTS = wire.TableName.SHIFTS
DRAINS = wire.TableName.DRAINS
BLOCKS = wire.TableName.BLOCKS


def make_pool(name: str = 'katalog', **fields: object) -> wire.Pool:
    """Return a pool."""
    return msgspec.convert({'type': 'pool', 'name': name, **fields}, wire.Pool)


def make_route(name: str = 'r', **fields: object) -> wire.Route:
    """Return a route to the pool katalog."""
    base = {'host': 'h', 'path_prefix': '/', 'pool': 'katalog'}
    return msgspec.convert(
        {'type': 'route', 'name': name, **base, **fields}, wire.Route
    )


def make_shift(name: str = 's', **fields: object) -> wire.Shift:
    """Return a shift between two regions."""
    base = {
        'pool': 'katalog',
        'from_region': 'ost',
        'to_region': 'west',
        'cap_percent': 50.0,
        'start': 100.0,
        'end': 200.0,
    }
    return msgspec.convert(
        {'type': 'shift', 'name': name, **base, **fields}, wire.Shift
    )


def make_drain(name: str = 'd', **fields: object) -> wire.Drain:
    """Return a drain."""
    base = {'scope': 'region', 'subject': 'ost', 'start': 100.0}
    return msgspec.convert(
        {'type': 'drain', 'name': name, **base, **fields}, wire.Drain
    )


def make_link(from_region: str, to_region: str) -> wire.Link:
    """Return a link between two regions."""
    return wire.Link(
        name=f'{from_region}>{to_region}',
        from_region=ids.RegionName(from_region),
        to_region=ids.RegionName(to_region),
        bytes_per_s=1_000,
    )


class MachineHarness:
    """A machine with the calls that the tests make."""

    def __init__(self, results: store.EditResults | None = None) -> None:
        self.machine = store.Machine(results=results)
        self.log: list[bytes] = []

    def apply(self, command: store.Command) -> wire.EditResult:
        data = store.encode_command(command)
        self.log.append(data)
        result = wire.decode(self.machine.apply(data))
        assert isinstance(result, wire.EditResult)
        return result

    def edit(
        self,
        edit_id: str,
        *rows: wire.Row,
        removed: tuple[tuple[wire.TableName, str], ...] = (),
        base: dict[wire.TableName, int] | None = None,
    ) -> wire.EditResult:
        changes = [store.make_change(row) for row in rows]
        changes += [wire.Change(table, key, None) for table, key in removed]
        if base is None:
            base = {
                change.table: self.machine.table_version(change.table)
                for change in changes
            }
        return self.apply(
            wire.Edit(edit_id=ids.EditId(edit_id), base=base, changes=changes)
        )

    def step(self, row: wire.Row) -> wire.EditResult:
        table = store.TABLE_NAMES[type(row)]
        current = self.machine.tables.get_row(table, row.name)
        return self.apply(store.Step(rows=[store.RowStep(current, row)]))
