"""Checks of whole tables after an edit.

The checks read the tables with the edit applied and report all problems
together. Of the blocks only the changed ones are checked, since a table may
have 490,000.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import itertools

from fulmarseam import wire
from fulmarseam.store import _checks
from fulmarseam.store import _tables

FINAL_SHIFT_STATES = frozenset(
    {wire.ShiftState.DONE, wire.ShiftState.CANCELLED}
)
_RUNNING_SHIFT_STATES = frozenset(
    {wire.ShiftState.ACTIVE, wire.ShiftState.HELD}
)
_FULLY_CHECKED_TYPES = (
    wire.Route,
    wire.Pool,
    wire.Link,
    wire.Drain,
    wire.Shift,
    wire.RecordGroup,
)


def validate(
    tables: _tables.Tables,
    changes: Iterable[wire.Change],
    check_blocks: bool = False,
) -> list[str]:
    """Return one line for each problem of the tables, in a fixed order.

    `check_blocks` is set when the whole blocks table was replaced.
    """
    regions = _find_regions(tables)
    problems: list[str] = []
    for row_type in _FULLY_CHECKED_TYPES:
        for row in tables.rows(row_type):
            problems.extend(_checks.check_row(row))
    for change in changes:
        if isinstance(change.row, wire.Block):
            problems.extend(_check_region(change.row, 'region', regions))
    if check_blocks and regions:
        problems.extend(
            f'blocks: found region {region!r}, expected a region of the '
            f'links table: {_join_names(regions)}'
            for region in sorted(tables.block_regions() - regions)
        )
    problems.extend(_check_routes(tables))
    problems.extend(_check_overlaps(tables))
    problems.extend(_check_drains(tables, regions))
    problems.extend(_check_shifts(tables, regions))
    problems.extend(_check_shift_pairs(tables))
    return problems


def _find_regions(tables: _tables.Tables) -> frozenset[str]:
    """Return the regions that the links name, which may be none."""
    return frozenset(
        region
        for link in tables.rows(wire.Link)
        for region in (link.from_region, link.to_region)
    )


def _check_region(
    row: wire.Row, field: str, regions: frozenset[str]
) -> Iterator[str]:
    if regions and getattr(row, field) not in regions:
        yield _checks.describe_problem(
            row, field, 'a region of the links table: ' + _join_names(regions)
        )


def _check_pool(
    tables: _tables.Tables, row: wire.Route | wire.Shift
) -> Iterator[str]:
    if tables.get(wire.Pool, row.pool) is None:
        pool_names = (pool.name for pool in tables.rows(wire.Pool))
        yield _checks.describe_problem(
            row, 'pool', 'a known pool: ' + _join_names(pool_names)
        )


def _join_names(names: Iterable[str]) -> str:
    return ', '.join(sorted(names)) or 'there is none'


def _check_routes(tables: _tables.Tables) -> Iterator[str]:
    for route in tables.rows(wire.Route):
        if route.retired:
            continue
        yield from _check_pool(tables, route)
        pool = tables.get(wire.Pool, route.pool)
        # Slots of a silent entry stay charged for the maximum deadline of
        # the pool, so no request may run longer.
        if pool is not None and route.deadline_ms > pool.max_deadline_ms:
            yield _checks.describe_problem(
                route,
                'deadline_ms',
                f'at most max_deadline_ms of the pool '
                f'({pool.max_deadline_ms})',
            )


def _check_overlaps(tables: _tables.Tables) -> Iterator[str]:
    """Report routes that match the same requests with equal precedence."""
    routes_by_path: dict[tuple[str, str], list[wire.Route]] = {}
    for route in tables.rows(wire.Route):
        routes_by_path.setdefault((route.host, route.path_prefix), []).append(
            route
        )
    for routes in routes_by_path.values():
        for first, second in itertools.combinations(routes, 2):
            shared = set(first.methods) & set(second.methods)
            if shared or not first.methods or not second.methods:
                yield (
                    f'routes.{second.name}: overlaps with '
                    f'routes.{first.name} for host {second.host} and path '
                    f'prefix {second.path_prefix}, expected another host, '
                    f'path_prefix or methods'
                )


def _check_drains(
    tables: _tables.Tables, regions: frozenset[str]
) -> Iterator[str]:
    for drain in tables.rows(wire.Drain):
        if drain.scope is wire.DrainScope.REGION:
            yield from _check_region(drain, 'subject', regions)


def _check_shifts(
    tables: _tables.Tables, regions: frozenset[str]
) -> Iterator[str]:
    for shift in tables.rows(wire.Shift):
        if shift.state in FINAL_SHIFT_STATES:
            continue
        yield from _check_pool(tables, shift)
        yield from _check_region(shift, 'from_region', regions)
        yield from _check_region(shift, 'to_region', regions)


def _check_shift_pairs(tables: _tables.Tables) -> Iterator[str]:
    """Report shifts of the same traffic that may be active together."""
    shifts_by_traffic: dict[tuple[str, str], list[wire.Shift]] = {}
    for shift in tables.rows(wire.Shift):
        if shift.state not in FINAL_SHIFT_STATES:
            key = (shift.pool, shift.from_region)
            shifts_by_traffic.setdefault(key, []).append(shift)
    for shifts in shifts_by_traffic.values():
        for first, second in itertools.combinations(shifts, 2):
            if _may_overlap(first, second):
                yield (
                    f'shifts.{second.name}: overlaps with '
                    f'shifts.{first.name}, expected one shift at a time for '
                    f'pool {second.pool} from region {second.from_region}'
                )


def _may_overlap(first: wire.Shift, second: wire.Shift) -> bool:
    if (
        first.state in _RUNNING_SHIFT_STATES
        and second.state in _RUNNING_SHIFT_STATES
    ):
        return True
    return first.start < second.end and second.start < first.end
