"""Reads files of tables and compares them with the current tables."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import datetime
import hashlib
import pathlib
from typing import Any
from typing import NamedTuple

import msgspec
import yaml

from fulmarseam import errors
from fulmarseam import store
from fulmarseam import wire

TIME_FIELDS = frozenset({'start', 'end'})
TableRows = dict[wire.TableName, dict[str, wire.Row]]


class Content(NamedTuple):
    """The content of a file of tables.

    `unread` holds the rows that `tables` lacks because of a problem.
    """

    tables: TableRows
    problems: list[str]
    unread: set[tuple[wire.TableName, str]]


def read_tables(path: str) -> TableRows:
    """Return the rows of a YAML file of tables.

    Raises `errors.FulmarseamError` with a line for each problem.
    """
    content = read_content(path)
    if content.problems:
        raise errors.FulmarseamError(
            errors.ErrorKind.INVALID_EDIT,
            '\n'.join(f'{path}: {problem}' for problem in content.problems),
        )
    return content.tables


def read_content(path: str) -> Content:
    """Return the rows and problems of a YAML file of tables.

    Raises `errors.UsageError` if the file is no readable YAML file.
    """
    try:
        content = pathlib.Path(path).read_text(encoding='utf-8')
        document = yaml.load(content, Loader=_UniqueKeyLoader)
    except OSError as error:
        raise errors.UsageError(
            f'{path}: cannot be read: {error.strerror}'
        ) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        summary = ' '.join(str(error).split())
        raise errors.UsageError(
            f'{path}: is not valid YAML: {summary}'
        ) from error
    return _convert_tables(document)


def _convert_tables(document: Any) -> Content:
    known_tables = ', '.join(
        sorted(table.value for table in store.EDITABLE_TABLES)
    )
    content = Content({}, [], set())
    problems = content.problems
    if not isinstance(document, Mapping):
        problems.append(
            f'found no mapping, expected a mapping of tables: {known_tables}'
        )
        return content
    for name, rows in document.items():
        table = next(
            (
                candidate
                for candidate in store.EDITABLE_TABLES
                if candidate.value == name
            ),
            None,
        )
        if table is None:
            problems.append(
                f'{name}: found no such table, expected {known_tables}'
            )
        elif not isinstance(rows, Mapping):
            problems.append(
                f'{name}: found {rows!r}, expected a mapping of names to rows'
            )
        else:
            content.tables[table] = dict(_convert_rows(table, rows, content))
    return content


def _convert_rows(
    table: wire.TableName, rows: Mapping[Any, Any], content: Content
) -> Iterator[tuple[str, wire.Row]]:
    for key, fields in rows.items():
        name = str(key)
        try:
            yield name, convert_row(table, name, fields)
        except (ValueError, msgspec.ValidationError) as error:
            content.problems.append(f'{table.value}.{name}: {error}')
            content.unread.add((table, name))


def convert_row(table: wire.TableName, name: str, fields: Any) -> wire.Row:
    """Return the row that a mapping of fields describes.

    Raises `ValueError` or `msgspec.ValidationError` for an unknown field or
    an invalid value.
    """
    if table is wire.TableName.BLOCKS and isinstance(fields, str):
        fields = {'region': fields}
    if fields is None:
        fields = {}
    if not isinstance(fields, Mapping):
        raise ValueError(f'found {fields!r}, expected a mapping of fields')
    row_type = store.ROW_TYPES[table]
    complete_fields = _complete_fields(table, name, fields)
    allowed = set(row_type.__struct_fields__) - {'name'}
    for field in fields:
        if field not in allowed:
            raise ValueError(
                f'{field}: found no such field, expected '
                + ', '.join(sorted(allowed))
            )
    return msgspec.convert(complete_fields, row_type)


def _complete_fields(
    table: wire.TableName, name: str, fields: Mapping[str, Any]
) -> dict[str, Any]:
    complete_fields = {
        key: parse_time(value) if key in TIME_FIELDS else value
        for key, value in fields.items()
    }
    complete_fields['name'] = name
    complete_fields['type'] = store.ROW_TYPES[table].__struct_config__.tag
    if table is wire.TableName.LINKS:
        from_region, _, to_region = name.partition('>')
        complete_fields.setdefault('from_region', from_region)
        complete_fields.setdefault('to_region', to_region)
    return complete_fields


def parse_time(value: Any, now: float | None = None) -> float:
    """Return a time as seconds since the epoch.

    Accepts a number or an ISO time with a UTC offset, and if `now` is given
    also "now" and "+SECONDS". Raises `ValueError` for anything else.
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


def digest_rows(rows: TableRows) -> str:
    """Return a digest of rows that tells files of tables apart."""
    content = msgspec.json.encode(
        [
            wire.Change(table, key, row)
            for table in wire.TableName
            for key, row in sorted(rows.get(table, {}).items())
        ]
    )
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def find_changes(
    desired: TableRows, current: Iterable[wire.Change]
) -> list[wire.Change]:
    """Return the changes that make the current tables equal to a file.

    Tables that the file lacks are left as they are. So is the state of a
    drain or shift that the file does not cancel, since the control leader
    owns it.
    """
    current_rows: TableRows = {table: {} for table in desired}
    for change in current:
        if change.table in current_rows and change.row is not None:
            current_rows[change.table][change.key] = change.row
    changes: list[wire.Change] = []
    for table, rows in desired.items():
        for key, row in rows.items():
            current_row = current_rows[table].get(key)
            if (
                current_row is None
                or keep_current_state(row, current_row) != current_row
            ):
                changes.append(wire.Change(table, key, row))
        for key in current_rows[table]:
            if key not in rows:
                changes.append(wire.Change(table, key, None))
    return changes


def keep_current_state(row: wire.Row, current: wire.Row) -> wire.Row:
    """Return a row with the current state unless the row is cancelled."""
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
    current_rows = {
        (change.table, change.key): change.row for change in current
    }
    return [
        _describe_change(change, current_rows.get((change.table, change.key)))
        for change in changes
    ]


def _describe_change(change: wire.Change, current: wire.Row | None) -> str:
    name = f'{change.table.value}.{change.key}'
    if change.row is None:
        return f'- {name}'
    if current is None:
        return f'+ {name}: {_describe_fields(change.row)}'
    desired = keep_current_state(change.row, current)
    fields = ', '.join(
        f'{field}: {_to_builtins(getattr(current, field))} -> '
        f'{_to_builtins(getattr(desired, field))}'
        for field in desired.__struct_fields__
        if getattr(desired, field) != getattr(current, field)
    )
    return f'~ {name}: {fields}'


def _describe_fields(row: wire.Row) -> str:
    """Return the fields of a row that differ from their defaults."""
    return ', '.join(
        f'{info.name}={_to_builtins(getattr(row, info.name))}'
        for info in msgspec.structs.fields(type(row))
        if info.name != 'name'
        and getattr(row, info.name) not in (info.default, [])
    )


def _to_builtins(value: Any) -> Any:
    return msgspec.to_builtins(value)


class _UniqueKeyLoader(yaml.SafeLoader):
    """A YAML loader that rejects duplicate keys."""

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
