"""Checks of an edit, for members and for operators.

Members refuse an edit for the problems that the functions in the first part
return. `check_configuration` calls the same functions before an edit is sent,
so it reports an error exactly if a member refuses the edit. It also reports
what members accept although it has no effect, and what the edit changes.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import enum
import re
from typing import Any
from typing import NamedTuple

import msgspec

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.store import _checks
from fulmarseam.store import _schema
from fulmarseam.store import _tables
from fulmarseam.store import _transitions
from fulmarseam.store import _validation

# Applying a change takes about 50 us on the event loop of every member, and a
# leader whose event loop is blocked for 600 ms loses its leadership.
MAX_CHANGES = 2_000
NOTHING = 'nothing'


def check_edit(edit: wire.Edit) -> Iterator[str]:
    """Report changes that an operator's edit may not contain."""
    if len(edit.changes) > MAX_CHANGES:
        yield (
            f'changes: found {len(edit.changes)}, expected at most '
            f'{MAX_CHANGES}'
        )
        return
    tables = {change.table.value for change in edit.changes}
    if edit.blocks:
        tables.add(wire.TableName.BLOCKS.value)
    for table in sorted(tables):
        name = wire.TableName(table)
        if name not in _schema.EDITABLE_TABLES:
            yield f'{table}: is maintained by the control leader'
        elif name not in edit.base:
            yield f'{table}: found no base version, expected the current one'
    yield from check_rows(edit)


def check_rows(edit: wire.Edit) -> Iterator[str]:
    """Report rows that do not belong to the table and key of the change."""
    seen: set[tuple[wire.TableName, str]] = set()
    for change in edit.changes:
        name = f'{change.table.value}.{change.key}'
        if (change.table, change.key) in seen:
            yield f'{name}: found twice in the edit, expected once'
        seen.add((change.table, change.key))
        if change.row is None:
            continue
        expected = _schema.ROW_TYPES[change.table]
        if type(change.row) is not expected:
            yield (
                f'{name}: found a row of another type, expected that of '
                f'the table'
            )
        elif change.row.name != change.key:
            yield f'{name}: found name {change.row.name!r}, expected its key'


def merge_changes(
    tables: _tables.Tables, changes: Iterable[wire.Change]
) -> tuple[list[wire.Change], list[str]]:
    """Return the changes to apply and the problems of each change."""
    merged_changes: list[wire.Change] = []
    problems: list[str] = []
    for change in changes:
        current = tables.get_row(change.table, change.key)
        merged = change
        if change.row is not None:
            row = _transitions.merge_edit(current, change.row)
            merged = wire.Change(change.table, change.key, row)
        problems.extend(_transitions.check_edit(merged, current))
        if merged.row != current:
            merged_changes.append(merged)
    return merged_changes, problems


def find_block_problems(changes: Iterable[wire.Change]) -> list[str]:
    """Return the problems of single blocks.

    The blocks table can store valid blocks only, so these problems are
    found before the edit is applied.
    """
    return [
        line
        for change in changes
        if isinstance(change.row, wire.Block)
        for line in _checks.check_row(change.row)
    ]


class FindingKind(enum.Enum):
    """What a finding tells.

    Members refuse an edit with an `ERROR` and accept all others.
    """

    ERROR = 'error'
    UNUSED = 'unused'
    CONTRADICTION = 'contradiction'
    DIFFERENCE = 'difference'


class Finding(NamedTuple):
    """One finding of a check.

    For a difference, `found` is the value in force and `expected` the new
    one. `start` is the time in seconds since the epoch at which a difference
    takes effect; None means as soon as the edit is accepted.
    """

    kind: FindingKind
    item: str
    found: str
    expected: str
    start: float | None = None


class KnownTarget(NamedTuple):
    """The names by which a drain or shift can refer to a target."""

    target: str
    region: str
    domain: str


def check_configuration(
    current: Iterable[wire.Change],
    changes: list[wire.Change],
    targets: Collection[KnownTarget] | None = None,
) -> list[Finding]:
    """Return all findings of an edit of the current rows.

    `targets` are the targets that the leader knows; None means that they
    are unknown.
    """
    tables = _tables.Tables()
    tables.change_rows(current)
    # The operator's tool sends the blocks of a larger edit as an image.
    is_image = len(changes) > MAX_CHANGES
    sent_changes = [
        change
        for change in changes
        if not is_image or change.table is not wire.TableName.BLOCKS
    ]
    edit = wire.Edit(
        edit_id=ids.EditId(''),
        base=dict.fromkeys(wire.TableName, 0),
        changes=sent_changes,
    )
    problems = list(check_edit(edit))
    if problems and len(sent_changes) <= MAX_CHANGES:
        return _make_errors(problems)
    block_problems = find_block_problems(changes)
    problems.extend(block_problems)
    merged_changes, merge_problems = merge_changes(tables, changes)
    problems.extend(merge_problems)
    differences = _list_differences(tables, merged_changes)
    tables.change_rows(
        change
        for change in merged_changes
        if not block_problems or not find_block_problems([change])
    )
    sent = {(change.table, change.key) for change in sent_changes}
    new_problems = _validation.validate(
        tables,
        [
            change
            for change in merged_changes
            if (change.table, change.key) in sent
        ],
        is_image,
    )
    problems.extend(line for line in new_problems if line not in problems)
    return [
        *_make_errors(problems),
        *_find_unused(tables, targets),
        *_find_contradictions(tables),
        *differences,
    ]


def _make_errors(problems: Iterable[str]) -> list[Finding]:
    return [read_problem(problem) for problem in problems]


_PROBLEM_PATTERNS = tuple(
    re.compile(pattern, re.DOTALL)
    for pattern in (
        r'found (?P<found>.+?), expected (?P<expected>.+)',
        # Messages of msgspec about a value of another type.
        r'(?P<item>.+?): Expected (?P<expected>.+), got (?P<found>.+?)'
        r'(?: - at `\$\.(?P<field>.+)`)?',
        r'(?P<item>.+?): Object (?P<found>missing) required field '
        r'`(?P<field>.+)`',
        # `TABLE.KEY.FIELD: found VALUE, expected WHAT`.
        r'(?P<item>.+?): (?:(?P<field>\w+): )?(?:found )?(?P<found>.+?), '
        r'expected (?P<expected>.+)',
        r'(?P<item>.+?): (?P<found>.+?)(?: - at `\$\.(?P<field>.+)`)?',
    )
)


def read_problem(line: str) -> Finding:
    """Return the finding for the line that describes a problem."""
    for pattern in _PROBLEM_PATTERNS:
        match = pattern.fullmatch(line)
        if match is not None:
            parts = match.groupdict()
            field = parts.get('field')
            return Finding(
                FindingKind.ERROR,
                parts.get('item', 'file') + (f'.{field}' if field else ''),
                parts['found'],
                parts.get('expected') or 'a valid value',
            )
    return Finding(FindingKind.ERROR, line, line, 'a valid value')


def _find_unused(
    tables: _tables.Tables, targets: Collection[KnownTarget] | None
) -> Iterator[Finding]:
    yield from _find_unused_routes(tables)
    used_pools = {
        route.pool for route in tables.rows(wire.Route) if not route.retired
    }
    for pool in tables.rows(wire.Pool):
        if pool.name not in used_pools:
            yield Finding(
                FindingKind.UNUSED,
                f'pools.{pool.name}',
                'no route',
                'a route that names the pool and is not retired',
            )
        default = wire.Pool(name=pool.name).cold_factor
        if pool.slow_start_s == 0.0 and pool.cold_factor != default:
            yield _describe(
                FindingKind.UNUSED,
                pool,
                'cold_factor',
                'the default, since slow_start_s is 0',
            )
    for shift in _list_open_shifts(tables):
        if shift.pool not in used_pools:
            yield _describe(
                FindingKind.UNUSED, shift, 'pool', 'a pool that a route names'
            )
    if targets is not None:
        yield from _find_missing_targets(tables, targets)


def _find_unused_routes(tables: _tables.Tables) -> Iterator[Finding]:
    """Report routes that no request can match.

    Entries ignore slashes at the end of a prefix, and of routes with equal
    prefixes the first in the order of names that allows the method wins.
    They match paths without the query string.
    """
    methods_by_path: dict[tuple[str, str], dict[str, str]] = {}
    for route in tables.rows(wire.Route):
        if '?' in route.path_prefix:
            yield _describe(
                FindingKind.UNUSED,
                route,
                'path_prefix',
                'a path without a query string',
            )
            continue
        key = (route.host, route.path_prefix.rstrip('/'))
        former = methods_by_path.setdefault(key, {})
        methods = route.methods or ['']
        winners = {former.get('') or former.get(name) for name in methods}
        if None not in winners:
            yield _describe(
                FindingKind.UNUSED,
                route,
                'path_prefix',
                'a prefix or methods other than those of '
                + ', '.join(sorted(f'routes.{name}' for name in winners)),
            )
        for name in methods:
            former.setdefault(name, route.name)


def _find_missing_targets(
    tables: _tables.Tables, targets: Collection[KnownTarget]
) -> Iterator[Finding]:
    regions = {target.region for target in targets}
    names_by_scope = {
        wire.DrainScope.TARGET: {target.target for target in targets},
        wire.DrainScope.DOMAIN: {target.domain for target in targets},
        wire.DrainScope.REGION: regions,
    }
    for drain in tables.rows(wire.Drain):
        names = names_by_scope.get(drain.scope)
        if (
            drain.state is not wire.DrainState.CANCELLED
            and names is not None
            and drain.subject not in names
        ):
            yield _describe(
                FindingKind.UNUSED,
                drain,
                'subject',
                f'a {drain.scope.value} with a known target: '
                + (', '.join(sorted(names)) or 'there is none'),
            )
    for shift in _list_open_shifts(tables):
        if shift.to_region not in regions:
            yield _describe(
                FindingKind.UNUSED,
                shift,
                'to_region',
                'a region with a known target: '
                + (', '.join(sorted(regions)) or 'there is none'),
            )


def _find_contradictions(tables: _tables.Tables) -> Iterator[Finding]:
    for shift in _list_open_shifts(tables):
        pool = tables.get(wire.Pool, shift.pool)
        if pool is not None and pool.local_only:
            yield _describe(
                FindingKind.CONTRADICTION,
                shift,
                'pool',
                'a pool whose requests may leave their region (local_only)',
            )
        if 0.0 < shift.end - shift.start < shift.ramp_s:
            yield _describe(
                FindingKind.CONTRADICTION,
                shift,
                'ramp_s',
                f'at most the time from start to end '
                f'({shift.end - shift.start:g}), to reach cap_percent',
            )
    sizes = [
        (getattr(pool, field), f'{field} of pool {pool.name}')
        for pool in tables.rows(wire.Pool)
        if not pool.local_only
        for field in ('request_bytes', 'response_bytes')
    ]
    if not sizes:
        return
    size, origin = max(sizes)
    for link in tables.rows(wire.Link):
        if link.bytes_per_s < size:
            yield _describe(
                FindingKind.CONTRADICTION,
                link,
                'bytes_per_s',
                f'at least {origin} ({size})',
            )


def _list_open_shifts(tables: _tables.Tables) -> Iterator[wire.Shift]:
    """Return the shifts that are planned or in force."""
    for shift in tables.rows(wire.Shift):
        if shift.state not in _validation.FINAL_SHIFT_STATES:
            yield shift


def _describe(
    kind: FindingKind, row: wire.Row, field: str, expected: str
) -> Finding:
    table = _schema.TABLE_NAMES[type(row)].value
    found = repr(getattr(row, field))
    return Finding(kind, f'{table}.{row.name}.{field}', found, expected)


def _list_differences(
    tables: _tables.Tables, changes: Iterable[wire.Change]
) -> list[Finding]:
    """Return a finding for each value that changes, in order of effect.

    All rows of an edit come into force together, except that planned drains
    and shifts wait for their start.
    """
    differences = [
        Finding(
            FindingKind.DIFFERENCE, item, found, expected, _get_start(change)
        )
        for change in changes
        for item, found, expected in _compare(
            change, tables.get_row(change.table, change.key)
        )
    ]
    return sorted(differences, key=lambda difference: difference.start or 0.0)


def _compare(
    change: wire.Change, current: wire.Row | None
) -> Iterator[tuple[str, str, str]]:
    name = f'{change.table.value}.{change.key}'
    if change.row is None or current is None:
        yield name, _format_row(current), _format_row(change.row)
        return
    for field in change.row.__struct_fields__:
        found, expected = getattr(current, field), getattr(change.row, field)
        if found != expected:
            item = f'{name}.{field}'
            yield item, _format_value(found), _format_value(expected)


def _get_start(change: wire.Change) -> float | None:
    if isinstance(change.row, (wire.Drain, wire.Shift)):
        if change.row.state.value == wire.DrainState.PLANNED.value:
            return change.row.start
    return None


def _format_row(row: wire.Row | None) -> str:
    """Return the fields of a row that differ from their defaults."""
    if row is None:
        return NOTHING
    fields = ', '.join(
        f'{info.name}={_format_value(getattr(row, info.name))}'
        for info in msgspec.structs.fields(type(row))
        if info.name != 'name'
        and getattr(row, info.name) not in (info.default, [])
    )
    return fields or 'defaults'


def _format_value(value: Any) -> str:
    return repr(msgspec.to_builtins(value))
