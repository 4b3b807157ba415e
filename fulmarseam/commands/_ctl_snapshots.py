"""Commands of the operator's tool that export and restore all tables."""

import pathlib

import msgspec

from fulmarseam import errors
from fulmarseam import wire
from fulmarseam.commands import _ctl_client
from fulmarseam.commands import _ctl_edits


async def export_tables(
    client: _ctl_client.AdminClient, path: str
) -> wire.Export:
    """Write all rows to a file and return them."""
    response = _ctl_edits.check_response_type(
        await client.call(wire.TablesRequest()), wire.TablesResponse
    )
    export = wire.Export(
        revision=response.revision,
        changes=response.changes,
        blocks=response.blocks,
    )
    _write_export(path, export)
    return export


def _write_export(path: str, export: wire.Export) -> None:
    """Write the file atomically."""
    destination = pathlib.Path(path)
    partial = destination.with_name(destination.name + '.partial')
    try:
        partial.write_bytes(msgspec.json.encode(export))
        partial.replace(destination)
    except OSError as error:
        raise errors.UsageError(
            f'{path}: cannot be written: {error.strerror}'
        ) from error


def _read_export(path: str) -> wire.Export:
    try:
        data = pathlib.Path(path).read_bytes()
        return msgspec.json.decode(data, type=wire.Export)
    except OSError as error:
        raise errors.UsageError(
            f'{path}: cannot be read: {error.strerror}'
        ) from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.UsageError(
            f'{path}: is not an exported snapshot: {error}'
        ) from error


async def restore_tables(
    client: _ctl_client.AdminClient, path: str, options: _ctl_edits.EditOptions
) -> None:
    """Restore exported rows as a new edit."""
    export = _read_export(path)
    edit_id = _ctl_edits.print_edit_id(options)
    result = await _ctl_edits.send_edit(
        client, wire.Restore(edit_id=edit_id, export=export)
    )
    await _ctl_edits.report_edit(client, options, edit_id, result.revision, [])
