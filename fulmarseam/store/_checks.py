"""Checks of single rows.

Each check returns one line for each problem, in the form `TABLE.KEY.FIELD:
found VALUE, expected WHAT`.
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
MAX_QUEUE_LENGTH = 100_000
MAX_RAMP_S = 86_400.0
MAX_EPOCH_S = 1e11

_NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.:-]{0,126}')
_METHOD_PATTERN = re.compile(r'[A-Z][A-Z-]{0,31}')
_HOST_PATTERN = re.compile(r'[a-z0-9][a-z0-9.-]{0,252}|\*')
_EXPECTED_NAME = 'a name of letters, digits, "_", ".", ":" and "-"'


def describe_problem(row: wire.Row, field: str, expected: str) -> str:
    """Return the line that reports an invalid field of a row."""
    table = _schema.TABLE_NAMES[type(row)].value
    found = getattr(row, field)
    return f'{table}.{row.name}.{field}: found {found!r}, expected {expected}'


def check_row(row: wire.Row) -> list[str]:
    """Return the problems of a row, without regard to other rows."""
    return list(_CHECKS[type(row)](row))


def _check_range(
    row: wire.Row, field: str, low: float, high: float
) -> Iterator[str]:
    # NaN compares false, so this form of the condition reports it.
    if not low <= getattr(row, field) <= high:
        yield describe_problem(
            row, field, f'a number from {low:g} to {high:g}'
        )


def _check_names(row: wire.Row, *fields: str) -> Iterator[str]:
    for field in fields:
        if not _NAME_PATTERN.fullmatch(getattr(row, field)):
            yield describe_problem(row, field, _EXPECTED_NAME)


def _check_route(row: wire.Route) -> Iterator[str]:
    yield from _check_names(row, 'name', 'pool')
    if not _HOST_PATTERN.fullmatch(row.host):
        yield describe_problem(row, 'host', 'a lower-case host name or "*"')
    if not row.path_prefix.startswith('/'):
        yield describe_problem(
            row, 'path_prefix', 'a path that starts with "/"'
        )
    if not all(_METHOD_PATTERN.fullmatch(method) for method in row.methods):
        yield describe_problem(row, 'methods', 'upper-case method names')
    yield from _check_range(row, 'priority', 0, MAX_PRIORITY)
    yield from _check_range(row, 'deadline_ms', 1, MAX_DEADLINE_MS)


def _check_pool(row: wire.Pool) -> Iterator[str]:
    yield from _check_names(row, 'name')
    yield from _check_range(row, 'latency_weight', 0.0, 1.0)
    yield from _check_range(row, 'slow_start_s', 0.0, MAX_SLOW_START_S)
    yield from _check_range(row, 'cold_factor', 0.0, 1.0)
    yield from _check_range(row, 'queue_limit', 0, MAX_QUEUE_LENGTH)
    yield from _check_range(row, 'retry_ratio', 0.0, 1.0)
    yield from _check_range(row, 'max_deadline_ms', 1, MAX_DEADLINE_MS)
    yield from _check_range(row, 'request_bytes', 0, MAX_BYTES)
    yield from _check_range(row, 'response_bytes', 0, MAX_BYTES)


def _check_link(row: wire.Link) -> Iterator[str]:
    yield from _check_names(row, 'from_region', 'to_region')
    if row.name != f'{row.from_region}>{row.to_region}':
        yield describe_problem(row, 'name', 'FROM_REGION>TO_REGION')
    if row.from_region == row.to_region:
        yield describe_problem(
            row, 'to_region', 'another region than from_region'
        )
    yield from _check_range(row, 'bytes_per_s', 1, MAX_BYTES)


def _check_block(row: wire.Block) -> Iterator[str]:
    yield from _check_names(row, 'region')
    try:
        network = blocks.parse_block(row.name)
    except ValueError:
        yield describe_problem(
            row, 'name', 'a CIDR block without host bits, IPv6 up to /64'
        )
        return
    if str(network) != row.name:
        yield describe_problem(
            row, 'name', f'the CIDR block written as {network}'
        )


def _check_drain(row: wire.Drain) -> Iterator[str]:
    yield from _check_names(row, 'name', 'subject')
    yield from _check_range(row, 'start', 0.0, MAX_EPOCH_S)


def _check_shift(row: wire.Shift) -> Iterator[str]:
    yield from _check_names(row, 'name', 'pool', 'from_region', 'to_region')
    if row.from_region == row.to_region:
        yield describe_problem(
            row, 'to_region', 'another region than from_region'
        )
    if not 0.0 < row.cap_percent <= 100.0:
        yield describe_problem(
            row, 'cap_percent', 'more than 0 and at most 100'
        )
    elif not 0.0 <= row.percent <= row.cap_percent:
        yield describe_problem(row, 'percent', 'from 0 to cap_percent')
    yield from _check_range(row, 'start', 0.0, MAX_EPOCH_S)
    yield from _check_range(row, 'end', 0.0, MAX_EPOCH_S)
    if row.end <= row.start:
        yield describe_problem(
            row, 'end', f'a time after start ({row.start!r})'
        )
    yield from _check_range(row, 'ramp_s', 0.0, MAX_RAMP_S)


def _check_record_group(row: wire.RecordGroup) -> Iterator[str]:
    yield from _check_names(row, 'name', 'primary')
    yield from _check_range(row, 'generation', 1, 1 << 62)
    yield from _check_range(row, 'lost_before', 0, row.generation)
    if row.backup is not None and row.backup == row.primary:
        yield describe_problem(row, 'backup', 'another entry than primary')


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
