"""Commands of the operator's tool that change tables."""

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

AnswerT = TypeVar('AnswerT', bound=wire.Message)


@dataclasses.dataclass(frozen=True)
class EditOptions:
    """How an edit is sent and reported.

    `edit_id` is set to send an edit again. `wait_s` is the time to wait
    until the edit is in force everywhere, or None not to wait.
    """

    edit_id: str | None
    wait_s: float | None
    output_format: str


async def fetch_tables(
    client: _ctl_client.AdminClient, *tables: wire.TableName
) -> wire.TablesResponse:
    """Return the rows of the tables named, or of all.

    The rows of the blocks table are added to those sent one by one.
    """
    request = wire.TablesRequest(tables=list(tables))
    found = expect(await client.call(request), wire.TablesResponse)
    if not found.blocks:
        return found
    rows = store.Tables()
    rows.load_blocks(found.blocks)
    return msgspec.structs.replace(
        found, changes=found.changes + rows.dump([wire.TableName.BLOCKS])
    )


def expect(answer: wire.Message, expected: type[AnswerT]) -> AnswerT:
    """Return an answer of the expected type.

    Raises `errors.WireError` for another one.
    """
    if not isinstance(answer, expected):
        raise errors.WireError(
            f'found answer {type(answer).__name__}, expected '
            f'{expected.__name__}'
        )
    return answer


async def diff_file(client: _ctl_client.AdminClient, path: str) -> list[str]:
    """Return what applying a file would change."""
    wanted = _ctl_tables.read_tables(path)
    if not wanted:
        return []
    found = await fetch_tables(client, *wanted)
    changes = _ctl_tables.find_changes(wanted, found.changes)
    return _ctl_tables.describe_changes(changes, found.changes)


async def apply_file(
    client: _ctl_client.AdminClient, path: str, options: EditOptions
) -> None:
    """Make the tables that a file names equal to it."""
    wanted = _ctl_tables.read_tables(path)
    if not wanted:
        raise errors.UsageError(f'{path}: found no table, expected one')

    def plan(current: list[wire.Change]) -> list[wire.Change]:
        return _ctl_tables.find_changes(wanted, current)

    content = f'apply {_ctl_tables.digest_rows(wanted)}'
    await submit(client, options, content, list(wanted), plan)


async def set_row(
    client: _ctl_client.AdminClient,
    options: EditOptions,
    row: wire.Row,
    content: str,
) -> None:
    """Add a row under a new name."""
    table = store.TABLE_NAMES[type(row)]

    def plan(current: list[wire.Change]) -> list[wire.Change]:
        if options.edit_id is None and any(
            change.key == row.name for change in current
        ):
            raise errors.FulmarseamError(
                errors.ErrorKind.INVALID_EDIT,
                f'{table.value}.{row.name}: exists; give another --name',
            )
        return [store.make_change(row)]

    await submit(client, options, content, [table], plan)


async def cancel_row(
    client: _ctl_client.AdminClient,
    options: EditOptions,
    table: wire.TableName,
    name: str,
) -> None:
    """Cancel a drain or shift."""

    def plan(current: list[wire.Change]) -> list[wire.Change]:
        for change in current:
            if change.key == name and change.row is not None:
                row = msgspec.structs.replace(
                    change.row, state=_cancelled(change.row)
                )
                return [store.make_change(row)]
        known = ', '.join(change.key for change in current) or 'there is none'
        raise errors.FulmarseamError(
            errors.ErrorKind.NOT_FOUND,
            f'{table.value}.{name}: not found, expected one of: {known}',
        )

    content = f'cancel {table.value} {name}'
    await submit(client, options, content, [table], plan)


def _cancelled(row: wire.Row) -> wire.DrainState | wire.ShiftState:
    if isinstance(row, wire.Drain):
        return wire.DrainState.CANCELLED
    return wire.ShiftState.CANCELLED


async def submit(
    client: _ctl_client.AdminClient,
    options: EditOptions,
    content: str,
    tables: list[wire.TableName],
    plan: Callable[[list[wire.Change]], list[wire.Change]],
) -> None:
    """Show the changes planned on the current rows and send the edit.

    An edit that is sent again goes out although nothing is left to change,
    to learn its first result.
    """
    found = await fetch_tables(client, *tables)
    changes = plan(found.changes)
    lines = _ctl_tables.describe_changes(changes, found.changes)
    if options.output_format == 'table':
        print('\n'.join(lines) or 'no changes')
    if not changes and options.edit_id is None:
        await finish(client, options, None, found.revision, lines)
        return
    edit_id = announce_edit_id(options)
    edit = wire.Edit(
        edit_id=edit_id,
        base={table: found.versions[table] for table in tables},
        changes=changes,
        content=content,
    )
    if len(changes) > store.MAX_CHANGES:
        edit = _send_blocks_as_image(edit, found.changes)
    result = await send_edit(client, edit)
    await finish(client, options, edit_id, result.revision, lines)


def _send_blocks_as_image(
    edit: wire.Edit, current: list[wire.Change]
) -> wire.Edit:
    """Return the edit with all its blocks in one image."""
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


def announce_edit_id(options: EditOptions) -> ids.EditId:
    """Return the id of an edit and print it.

    It is printed before the edit is sent, so that an edit whose answer is
    lost can be sent again under its id.
    """
    edit_id = options.edit_id or uuid.uuid4().hex
    human = options.output_format == 'table'
    print(
        f'edit_id: {edit_id}',
        file=sys.stdout if human else sys.stderr,
        flush=True,
    )
    return ids.EditId(edit_id)


async def send_edit(
    client: _ctl_client.AdminClient, edit: wire.Edit | wire.Restore
) -> wire.EditResult:
    """Send an edit and return its accepted result.

    Raises `errors.FulmarseamError` with the reasons of a refusal. When the
    fate of the edit is unknown the message names the id to send again.
    """
    try:
        result = expect(await client.call(edit), wire.EditResult)
    except errors.FulmarseamError as error:
        if error.kind in {
            errors.ErrorKind.PROPOSAL_UNCERTAIN,
            errors.ErrorKind.UNAVAILABLE,
        }:
            raise errors.FulmarseamError(
                errors.ErrorKind.PROPOSAL_UNCERTAIN,
                f'{error.detail}; the edit may have been accepted, send it '
                f'again with --edit_id={edit.edit_id}',
            ) from error
        raise
    if result.kind is None:
        return result
    detail = '\n'.join(result.problems) or result.kind
    raise errors.FulmarseamError(errors.ErrorKind(result.kind), detail)


async def finish(
    client: _ctl_client.AdminClient,
    options: EditOptions,
    edit_id: str | None,
    revision: int,
    lines: list[str],
) -> None:
    """Report an accepted edit and wait for it if asked to."""
    started = time.monotonic()
    if options.output_format == 'table':
        print(f'accepted: revision {revision}')
    else:
        record = {'edit_id': edit_id, 'revision': revision, 'changes': lines}
        print(_ctl_output.render([record], options.output_format))
    if options.wait_s is not None:
        await _ctl_waiting.wait_in_force(
            client, revision, started + options.wait_s
        )
