"""Export and restore of all tables by the operator's tool."""

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
    found = _ctl_edits.expect(
        await client.call(wire.TablesRequest()), wire.TablesResponse
    )
    export = wire.Export(
        revision=found.revision, changes=found.changes, blocks=found.blocks
    )
    _write_export(path, export)
    return export


def _write_export(path: str, export: wire.Export) -> None:
    """Write the file as a whole or not at all."""
    target = pathlib.Path(path)
    partial = target.with_name(target.name + '.partial')
    try:
        partial.write_bytes(msgspec.json.encode(export))
        partial.replace(target)
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
            f'{path}: is no exported snapshot: {error}'
        ) from error


async def restore_tables(
    client: _ctl_client.AdminClient, path: str, options: _ctl_edits.EditOptions
) -> None:
    """Bring exported rows back as a new edit."""
    export = _read_export(path)
    edit_id = _ctl_edits.announce_edit_id(options)
    result = await _ctl_edits.send_edit(
        client, wire.Restore(edit_id=edit_id, export=export)
    )
    await _ctl_edits.finish(client, options, edit_id, result.revision, [])
