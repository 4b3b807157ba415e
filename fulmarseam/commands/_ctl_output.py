"""Output formats of the operator's tool: table, JSON and YAML."""

from collections.abc import Sequence
import datetime
import json
from typing import Any

import msgspec
import yaml

Record = dict[str, Any]

EMPTY_CELL = '-'


def to_record(row: msgspec.Struct) -> Record:
    """Return the fields of a row without its type tag."""
    record: Record = msgspec.to_builtins(row)
    record.pop('type', None)
    return record


def render(records: Sequence[Record], output_format: str) -> str:
    """Return records as a table, as JSON or as YAML."""
    if output_format == 'json':
        return json.dumps(list(records), indent=2)
    if output_format == 'yaml':
        return yaml.safe_dump(list(records), sort_keys=False).rstrip()
    return render_table(records)


def render_table(records: Sequence[Record]) -> str:
    """Return records in aligned columns with field names as headers."""
    if not records:
        return '(none)'
    names = list(records[0])
    lines = [[name.upper() for name in names]]
    lines.extend(
        [format_value(record.get(name)) for name in names]
        for record in records
    )
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(names))
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_value(value: Any) -> str:
    """Return the text of a table cell."""
    if value is None or value == '' or value == []:
        return EMPTY_CELL
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:g}'
    if isinstance(value, list):
        return ','.join(format_value(element) for element in value)
    return str(value)


def format_time(seconds: float) -> str:
    """Return seconds since the epoch as an ISO 8601 time in UTC."""
    utc_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return utc_time.isoformat(timespec='seconds').replace('+00:00', 'Z')
