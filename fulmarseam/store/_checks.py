"""Checks of single rows.

Each check returns one line for each problem: `TABLE.KEY.FIELD: found VALUE,
expected WHAT`.
"""

from collections.abc import Callable
from collections.abc import Iterator
import re
from typing import Any
from typing import cast

from fulmarseam import blocks
from fulmarseam import wire
from fulmarseam.store import _schema

MAX_DEADLINE_MS = 600_000
MAX_BYTES = 1 << 40
MAX_PRIORITY = 9
MAX_SLOW_START_S = 3_600.0
MAX_QUEUE = 100_000
MAX_RAMP_S = 86_400.0
MAX_EPOCH_S = 1e11

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.:-]{0,126}')
_METHOD = re.compile(r'[A-Z][A-Z-]{0,31}')
_HOST = re.compile(r'[a-z0-9][a-z0-9.-]{0,252}|\*')
_NAME_TEXT = 'a name of letters, digits, "_", ".", ":" and "-"'


def describe(row: wire.Row, field: str, expected: str) -> str:
    """Return the line that reports one wrong field of a row."""
    table = _schema.TABLE_NAMES[type(row)].value
    found = getattr(row, field)
    return f'{table}.{row.name}.{field}: found {found!r}, expected {expected}'


def check_row(row: wire.Row) -> list[str]:
    """Return the problems of one row taken by itself."""
    return list(_CHECKS[type(row)](row))


def _bounds(
    row: wire.Row, field: str, low: float, high: float
) -> Iterator[str]:
    # Written so that NaN, which compares false, is a problem.
    if not low <= getattr(row, field) <= high:
        yield describe(row, field, f'a number from {low:g} to {high:g}')


def _names(row: wire.Row, *fields: str) -> Iterator[str]:
    for field in fields:
        if not _NAME.fullmatch(getattr(row, field)):
            yield describe(row, field, _NAME_TEXT)


def _check_route(row: wire.Route) -> Iterator[str]:
    yield from _names(row, 'name', 'pool')
    if not _HOST.fullmatch(row.host):
        yield describe(row, 'host', 'a lower-case host name or "*"')
    if not row.path_prefix.startswith('/'):
        yield describe(row, 'path_prefix', 'a path that starts with "/"')
    if not all(_METHOD.fullmatch(method) for method in row.methods):
        yield describe(row, 'methods', 'upper-case method names')
    yield from _bounds(row, 'priority', 0, MAX_PRIORITY)
    yield from _bounds(row, 'deadline_ms', 1, MAX_DEADLINE_MS)


def _check_pool(row: wire.Pool) -> Iterator[str]:
    yield from _names(row, 'name')
    yield from _bounds(row, 'latency_weight', 0.0, 1.0)
    yield from _bounds(row, 'slow_start_s', 0.0, MAX_SLOW_START_S)
    yield from _bounds(row, 'cold_factor', 0.0, 1.0)
    yield from _bounds(row, 'queue_limit', 0, MAX_QUEUE)
    yield from _bounds(row, 'retry_ratio', 0.0, 1.0)
    yield from _bounds(row, 'max_deadline_ms', 1, MAX_DEADLINE_MS)
    yield from _bounds(row, 'request_bytes', 0, MAX_BYTES)
    yield from _bounds(row, 'response_bytes', 0, MAX_BYTES)


def _check_link(row: wire.Link) -> Iterator[str]:
    yield from _names(row, 'from_region', 'to_region')
    if row.name != f'{row.from_region}>{row.to_region}':
        yield describe(row, 'name', 'FROM_REGION>TO_REGION')
    if row.from_region == row.to_region:
        yield describe(row, 'to_region', 'another region than from_region')
    yield from _bounds(row, 'bytes_per_s', 1, MAX_BYTES)


def _check_block(row: wire.Block) -> Iterator[str]:
    yield from _names(row, 'region')
    try:
        network = blocks.parse_block(row.name)
    except ValueError:
        yield describe(
            row, 'name', 'a CIDR block without host bits, IPv6 up to /64'
        )
        return
    if str(network) != row.name:
        yield describe(row, 'name', f'the CIDR block written as {network}')


def _check_drain(row: wire.Drain) -> Iterator[str]:
    yield from _names(row, 'name', 'subject')
    yield from _bounds(row, 'start', 0.0, MAX_EPOCH_S)


def _check_shift(row: wire.Shift) -> Iterator[str]:
    yield from _names(row, 'name', 'pool', 'from_region', 'to_region')
    if row.from_region == row.to_region:
        yield describe(row, 'to_region', 'another region than from_region')
    if not 0.0 < row.cap_percent <= 100.0:
        yield describe(row, 'cap_percent', 'more than 0 and at most 100')
    elif not 0.0 <= row.percent <= row.cap_percent:
        yield describe(row, 'percent', 'from 0 to cap_percent')
    yield from _bounds(row, 'start', 0.0, MAX_EPOCH_S)
    yield from _bounds(row, 'end', 0.0, MAX_EPOCH_S)
    if row.end <= row.start:
        yield describe(row, 'end', f'a time after start ({row.start!r})')
    yield from _bounds(row, 'ramp_s', 0.0, MAX_RAMP_S)


def _check_record_group(row: wire.RecordGroup) -> Iterator[str]:
    yield from _names(row, 'name', 'primary')
    yield from _bounds(row, 'generation', 1, 1 << 62)
    yield from _bounds(row, 'lost_before', 0, row.generation)
    if row.backup is not None and row.backup == row.primary:
        yield describe(row, 'backup', 'another entry than primary')


_CHECKS: dict[type[wire.Row], Callable[[Any], Iterator[str]]] = cast(
    'dict[type[wire.Row], Callable[[Any], Iterator[str]]]',
    {
        wire.Route: _check_route,
        wire.Pool: _check_pool,
        wire.Link: _check_link,
        wire.Block: _check_block,
        wire.Drain: _check_drain,
        wire.Shift: _check_shift,
        wire.RecordGroup: _check_record_group,
    },
)
