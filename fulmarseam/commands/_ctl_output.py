"""Output of the operator's tool: tables, JSON and YAML."""

from collections.abc import Sequence
import datetime
import json
from typing import Any

import msgspec
import yaml

Record = dict[str, Any]

NOTHING = '-'


def to_record(row: msgspec.Struct) -> Record:
    """Return the fields of a row without its tag."""
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
    """Return records in aligned columns under their field names."""
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
    """Return the text of one cell."""
    if value is None or value == '' or value == []:
        return NOTHING
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:g}'
    if isinstance(value, list):
        return ','.join(format_value(item) for item in value)
    return str(value)


def format_time(seconds: float) -> str:
    """Return a time since the epoch in ISO form."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec='seconds').replace('+00:00', 'Z')
