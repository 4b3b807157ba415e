"""Files of tables: reading, and the difference to the tables in force."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import datetime
import hashlib
import pathlib
from typing import Any

import msgspec
import yaml

from fulmarseam import errors
from fulmarseam import store
from fulmarseam import wire

TIME_FIELDS = frozenset({'start', 'end'})
Rows = dict[wire.TableName, dict[str, wire.Row]]


def read_tables(path: str) -> Rows:
    """Return the rows of a YAML file of tables.

    Raises `errors.FulmarseamError` with one line for each problem.
    """
    try:
        content = pathlib.Path(path).read_text(encoding='utf-8')
        found = yaml.load(content, Loader=_Loader)
    except OSError as error:
        raise errors.UsageError(
            f'{path}: cannot be read: {error.strerror}'
        ) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        summary = ' '.join(str(error).split())
        raise errors.UsageError(
            f'{path}: is not valid YAML: {summary}'
        ) from error
    problems: list[str] = []
    tables = _convert_tables(found, problems)
    if problems:
        raise errors.FulmarseamError(
            errors.ErrorKind.INVALID_EDIT,
            '\n'.join(f'{path}: {problem}' for problem in problems),
        )
    return tables


def _convert_tables(found: Any, problems: list[str]) -> Rows:
    known = ', '.join(sorted(table.value for table in store.EDITABLE_TABLES))
    if not isinstance(found, Mapping):
        problems.append(f'found no mapping, expected tables: {known}')
        return {}
    tables: Rows = {}
    for name, rows in found.items():
        table = next(
            (item for item in store.EDITABLE_TABLES if item.value == name),
            None,
        )
        if table is None:
            problems.append(f'{name}: found no such table, expected {known}')
        elif not isinstance(rows, Mapping):
            problems.append(
                f'{name}: found {rows!r}, expected a mapping of names to rows'
            )
        else:
            tables[table] = dict(_convert_rows(table, rows, problems))
    return tables


def _convert_rows(
    table: wire.TableName, rows: Mapping[Any, Any], problems: list[str]
) -> Iterator[tuple[str, wire.Row]]:
    for key, fields in rows.items():
        name = str(key)
        try:
            yield name, convert_row(table, name, fields)
        except (ValueError, msgspec.ValidationError) as error:
            problems.append(f'{table.value}.{name}: {error}')


def convert_row(table: wire.TableName, name: str, fields: Any) -> wire.Row:
    """Return the row that a mapping of fields describes.

    Raises `ValueError` when a field is wrong or unknown.
    """
    if table is wire.TableName.BLOCKS and isinstance(fields, str):
        fields = {'region': fields}
    if fields is None:
        fields = {}
    if not isinstance(fields, Mapping):
        raise ValueError(f'found {fields!r}, expected a mapping of fields')
    row_type = store.ROW_TYPES[table]
    complete = _complete_fields(table, name, fields)
    allowed = set(row_type.__struct_fields__) - {'name'}
    for field in fields:
        if field not in allowed:
            raise ValueError(
                f'{field}: found no such field, expected '
                + ', '.join(sorted(allowed))
            )
    return msgspec.convert(complete, row_type)


def _complete_fields(
    table: wire.TableName, name: str, fields: Mapping[str, Any]
) -> dict[str, Any]:
    complete = {
        key: parse_time(value) if key in TIME_FIELDS else value
        for key, value in fields.items()
    }
    complete['name'] = name
    complete['type'] = store.ROW_TYPES[table].__struct_config__.tag
    if table is wire.TableName.LINKS:
        from_region, _, to_region = name.partition('>')
        complete.setdefault('from_region', from_region)
        complete.setdefault('to_region', to_region)
    return complete


def parse_time(value: Any, now: float | None = None) -> float:
    """Return seconds since the epoch.

    Accepts a number, an ISO time with its offset, and with `now` also
    "now" and "+SECONDS". Raises `ValueError` for anything else.
    """
    expected = 'a time such as 2027-01-31T02:00:00Z'
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return float(value)
    if isinstance(value, str):
        if now is not None and value == 'now':
            return now
        if value.startswith('+'):
            if now is None:
                raise ValueError(f'found {value!r}, expected {expected}')
            return now + float(value)
        try:
            return float(value)
        except ValueError:
            value = _parse_iso(value, expected)
    if not isinstance(value, datetime.datetime) or value.tzinfo is None:
        raise ValueError(f'found {value}, expected {expected}')
    return value.timestamp()


def _parse_iso(value: str, expected: str) -> datetime.datetime:
    try:
        return datetime.datetime.fromisoformat(value)
    except ValueError:
        raise ValueError(f'found {value!r}, expected {expected}') from None


def digest_rows(rows: Rows) -> str:
    """Return a digest of the rows wanted, to tell files apart."""
    content = msgspec.json.encode(
        [
            wire.Change(table, key, row)
            for table in wire.TableName
            for key, row in sorted(rows.get(table, {}).items())
        ]
    )
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def find_changes(
    wanted: Rows, current: Iterable[wire.Change]
) -> list[wire.Change]:
    """Return the changes that make the tables named equal to the file.

    The state of a drain or shift that the file does not cancel is left as
    it is, since the control leader owns it.
    """
    present: Rows = {table: {} for table in wanted}
    for change in current:
        if change.table in present and change.row is not None:
            present[change.table][change.key] = change.row
    changes: list[wire.Change] = []
    for table, rows in wanted.items():
        for key, row in rows.items():
            found = present[table].get(key)
            if found is None or keep_state(row, found) != found:
                changes.append(wire.Change(table, key, row))
        for key in present[table]:
            if key not in rows:
                changes.append(wire.Change(table, key, None))
    return changes


def keep_state(row: wire.Row, current: wire.Row) -> wire.Row:
    """Return a row with the state in force unless it cancels."""
    if isinstance(row, wire.Drain) and isinstance(current, wire.Drain):
        if row.state is not wire.DrainState.CANCELLED:
            return msgspec.structs.replace(row, state=current.state)
    if isinstance(row, wire.Shift) and isinstance(current, wire.Shift):
        if row.state is not wire.ShiftState.CANCELLED:
            return msgspec.structs.replace(
                row, state=current.state, percent=current.percent
            )
        return msgspec.structs.replace(row, percent=current.percent)
    return row


def describe_changes(
    changes: Iterable[wire.Change], current: Iterable[wire.Change]
) -> list[str]:
    """Return one line for each row added, removed or changed."""
    present = {(change.table, change.key): change.row for change in current}
    return [
        _describe_change(change, present.get((change.table, change.key)))
        for change in changes
    ]


def _describe_change(change: wire.Change, found: wire.Row | None) -> str:
    name = f'{change.table.value}.{change.key}'
    if change.row is None:
        return f'- {name}'
    if found is None:
        return f'+ {name}: {_describe_fields(change.row)}'
    wanted = keep_state(change.row, found)
    fields = ', '.join(
        f'{field}: {_plain(getattr(found, field))} -> '
        f'{_plain(getattr(wanted, field))}'
        for field in wanted.__struct_fields__
        if getattr(wanted, field) != getattr(found, field)
    )
    return f'~ {name}: {fields}'


def _describe_fields(row: wire.Row) -> str:
    """Return the fields of a row that differ from their defaults."""
    return ', '.join(
        f'{info.name}={_plain(getattr(row, info.name))}'
        for info in msgspec.structs.fields(type(row))
        if info.name != 'name'
        and getattr(row, info.name) not in (info.default, [])
    )


def _plain(value: Any) -> Any:
    return msgspec.to_builtins(value)


class _Loader(yaml.SafeLoader):
    """A YAML loader that refuses a key that is given twice."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        keys = [self.construct_object(key) for key, _ in node.value]
        for index, key in enumerate(keys):
            if key in keys[:index]:
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f'found key {key!r} twice',
                    node.value[index][0].start_mark,
                )
        return super().construct_mapping(node, deep)
