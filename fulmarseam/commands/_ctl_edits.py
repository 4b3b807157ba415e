"""Commands of the operator's tool that edit tables."""

from collections.abc import Callable
import dataclasses
import sys
import time
from typing import TypeVar
import uuid

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.commands import _ctl_client
from fulmarseam.commands import _ctl_output
from fulmarseam.commands import _ctl_tables
from fulmarseam.commands import _ctl_waiting

ResponseT = TypeVar('ResponseT', bound=wire.Message)


@dataclasses.dataclass(frozen=True)
class EditOptions:
    """How an edit is sent and reported.

    `edit_id` is the id of an earlier edit, to send it again. `wait_s` is how
    long to wait until the edit is in force on all entries; None means not
    to wait.
    """

    edit_id: str | None
    wait_s: float | None
    output_format: str


async def fetch_tables(
    client: _ctl_client.AdminClient, *tables: wire.TableName
) -> wire.TablesResponse:
    """Return the rows of the given tables, or of all tables.

    Decodes the rows of the blocks table, which are sent as one image.
    """
    request = wire.TablesRequest(tables=list(tables))
    response = check_response_type(
        await client.call(request), wire.TablesResponse
    )
    if not response.blocks:
        return response
    rows = store.Tables()
    rows.load_blocks(response.blocks)
    return msgspec.structs.replace(
        response, changes=response.changes + rows.dump([wire.TableName.BLOCKS])
    )


def check_response_type(
    response: wire.Message, expected: type[ResponseT]
) -> ResponseT:
    """Return a response that has the expected type.

    Raises `errors.WireError` for any other type.
    """
    if not isinstance(response, expected):
        raise errors.WireError(
            f'found response {type(response).__name__}, expected '
            f'{expected.__name__}'
        )
    return response


async def diff_file(client: _ctl_client.AdminClient, path: str) -> list[str]:
    """Return a line for each row that applying a file would change."""
    desired = _ctl_tables.read_tables(path)
    if not desired:
        return []
    response = await fetch_tables(client, *desired)
    changes = _ctl_tables.find_changes(desired, response.changes)
    return _ctl_tables.describe_changes(changes, response.changes)


async def apply_file(
    client: _ctl_client.AdminClient, path: str, options: EditOptions
) -> None:
    """Replace the rows of all tables that a file contains."""
    desired = _ctl_tables.read_tables(path)
    if not desired:
        raise errors.UsageError(
            f'{path}: found no table, expected at least one'
        )

    def plan_changes(current: list[wire.Change]) -> list[wire.Change]:
        return _ctl_tables.find_changes(desired, current)

    content = f'apply {_ctl_tables.digest_rows(desired)}'
    await submit_edit(client, options, content, list(desired), plan_changes)


async def add_row(
    client: _ctl_client.AdminClient,
    options: EditOptions,
    row: wire.Row,
    content: str,
) -> None:
    """Add a row; refuse a name that exists already."""
    table = store.TABLE_NAMES[type(row)]

    def plan_changes(current: list[wire.Change]) -> list[wire.Change]:
        if options.edit_id is None and any(
            change.key == row.name for change in current
        ):
            raise errors.FulmarseamError(
                errors.ErrorKind.INVALID_EDIT,
                f'{table.value}.{row.name}: exists; choose another '
                'name with --name',
            )
        return [store.make_change(row)]

    await submit_edit(client, options, content, [table], plan_changes)


async def cancel_row(
    client: _ctl_client.AdminClient,
    options: EditOptions,
    table: wire.TableName,
    name: str,
) -> None:
    """Cancel a drain or shift."""

    def plan_changes(current: list[wire.Change]) -> list[wire.Change]:
        for change in current:
            if change.key == name and change.row is not None:
                row = msgspec.structs.replace(
                    change.row, state=_get_cancelled_state(change.row)
                )
                return [store.make_change(row)]
        known = ', '.join(change.key for change in current) or '(none exists)'
        raise errors.FulmarseamError(
            errors.ErrorKind.NOT_FOUND,
            f'{table.value}.{name}: not found, expected one of: {known}',
        )

    content = f'cancel {table.value} {name}'
    await submit_edit(client, options, content, [table], plan_changes)


def _get_cancelled_state(row: wire.Row) -> wire.DrainState | wire.ShiftState:
    if isinstance(row, wire.Drain):
        return wire.DrainState.CANCELLED
    return wire.ShiftState.CANCELLED


async def submit_edit(
    client: _ctl_client.AdminClient,
    options: EditOptions,
    content: str,
    tables: list[wire.TableName],
    plan_changes: Callable[[list[wire.Change]], list[wire.Change]],
) -> None:
    """Plan the changes to the current rows, print them and send the edit.

    A repeated edit is sent even if there is nothing left to change, to get
    the result of its first use.
    """
    response = await fetch_tables(client, *tables)
    changes = plan_changes(response.changes)
    lines = _ctl_tables.describe_changes(changes, response.changes)
    if options.output_format == 'table':
        print('\n'.join(lines) or 'no changes')
    if not changes and options.edit_id is None:
        await report_edit(client, options, None, response.revision, lines)
        return
    edit_id = print_edit_id(options)
    edit = wire.Edit(
        edit_id=edit_id,
        base={table: response.versions[table] for table in tables},
        changes=changes,
        content=content,
    )
    if len(changes) > store.MAX_CHANGES:
        edit = _send_blocks_as_image(edit, response.changes)
    result = await send_edit(client, edit)
    await report_edit(client, options, edit_id, result.revision, lines)


def _send_blocks_as_image(
    edit: wire.Edit, current: list[wire.Change]
) -> wire.Edit:
    """Return the edit with its changes of blocks replaced by an image.

    Raises `errors.FulmarseamError` if the image cannot hold a block.
    """
    problems = store.find_block_problems(edit.changes)
    if problems:
        raise errors.FulmarseamError(
            errors.ErrorKind.INVALID_EDIT, '\n'.join(problems)
        )
    table = wire.TableName.BLOCKS
    rows = store.Tables()
    rows.change_rows(change for change in current if change.table is table)
    rows.change_rows(
        change for change in edit.changes if change.table is table
    )
    return msgspec.structs.replace(
        edit,
        changes=[
            change for change in edit.changes if change.table is not table
        ],
        blocks=rows.dump_blocks(),
    )


def print_edit_id(options: EditOptions) -> ids.EditId:
    """Choose the id of an edit, print it and return it.

    The id is printed before the edit is sent, so that an edit whose response
    is lost can be repeated with the same id.
    """
    edit_id = options.edit_id or uuid.uuid4().hex
    is_table = options.output_format == 'table'
    print(
        f'edit_id: {edit_id}',
        file=sys.stdout if is_table else sys.stderr,
        flush=True,
    )
    return ids.EditId(edit_id)


async def send_edit(
    client: _ctl_client.AdminClient, edit: wire.Edit | wire.Restore
) -> wire.EditResult:
    """Send an edit and return its result if it was accepted.

    Raises `errors.FulmarseamError` with the reasons of a refusal. If it is
    unknown whether the edit was accepted, the message names the id for
    repeating it.
    """
    try:
        result = check_response_type(await client.call(edit), wire.EditResult)
    except errors.FulmarseamError as error:
        if error.kind in {
            errors.ErrorKind.PROPOSAL_UNCERTAIN,
            errors.ErrorKind.UNAVAILABLE,
        }:
            raise errors.FulmarseamError(
                errors.ErrorKind.PROPOSAL_UNCERTAIN,
                f'{error.detail}; the edit may have been accepted; repeat '
                f'it with --edit_id={edit.edit_id}',
            ) from error
        raise
    if result.kind is None:
        return result
    detail = '\n'.join(result.problems) or result.kind
    raise errors.FulmarseamError(errors.ErrorKind(result.kind), detail)


async def report_edit(
    client: _ctl_client.AdminClient,
    options: EditOptions,
    edit_id: str | None,
    revision: int,
    lines: list[str],
) -> None:
    """Print an accepted edit and wait until it is in force if requested."""
    started = time.monotonic()
    if options.output_format == 'table':
        print(f'accepted: revision {revision}')
    else:
        record = {'edit_id': edit_id, 'revision': revision, 'changes': lines}
        print(_ctl_output.render([record], options.output_format))
    if options.wait_s is not None:
        await _ctl_waiting.wait_until_in_force(
            client, revision, started + options.wait_s
        )
