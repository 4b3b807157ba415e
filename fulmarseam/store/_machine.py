"""The state machine that the replicated log drives."""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.store import _commands
from fulmarseam.store import _configuration_check
from fulmarseam.store import _journal
from fulmarseam.store import _restoring
from fulmarseam.store import _results
from fulmarseam.store import _schema
from fulmarseam.store import _tables
from fulmarseam.store import _transitions
from fulmarseam.store import _validation

MAX_EDIT_ID_LENGTH = 128
_NO_EDIT_ID = ids.EditId('')


class TableVersion(msgspec.Struct, frozen=True):
    """The revision and edit id of the last edit of a table."""

    revision: int
    edit_id: ids.EditId


class _Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The complete replicated state."""

    revision: int
    tables: list[tuple[wire.TableName, bytes]]
    versions: list[tuple[wire.TableName, TableVersion]]
    results: list[_results.StoredResult]
    journal: list[_journal.JournalEntry]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Snapshot)


class Machine:
    """Applies the commands of the replicated log to the tables.

    Applying is deterministic: members that apply the same commands have
    the same state. `notify` is called after each change of the tables.
    """

    def __init__(
        self,
        notify: Callable[[], None] = lambda: None,
        results: _results.EditResults | None = None,
    ) -> None:
        self.tables = _tables.Tables()
        self.results = _results.EditResults() if results is None else results
        self._versions: dict[wire.TableName, TableVersion] = {}
        self._notify = notify

    def table_version(self, table: wire.TableName) -> int:
        """Return the version of a table that an edit has to be based on.

        It is the revision of the last edit of the table. Steps of the leader
        do not change it.
        """
        version = self._versions.get(table)
        return version.revision if version else 0

    def apply(self, command: bytes) -> bytes:
        """Apply one command and return an encoded `wire.EditResult`.

        A command that cannot be decoded is answered as malformed and
        changes nothing.
        """
        return wire.encode(self._apply(command))

    def _apply(self, data: bytes) -> wire.EditResult:
        try:
            command = _commands.decode_command(data)
        except errors.WireError as error:
            return self._make_refusal(
                _NO_EDIT_ID, errors.ErrorKind.MALFORMED_MESSAGE, [error.detail]
            )
        if isinstance(command, _commands.Step):
            return self._apply_step(command)
        return self._apply_edit_once(command)

    def _apply_edit_once(
        self, edit: wire.Edit | wire.Restore
    ) -> wire.EditResult:
        """Apply an edit, or return the stored result of a resent one."""
        if not 0 < len(edit.edit_id) <= MAX_EDIT_ID_LENGTH:
            return self._make_refusal(
                _NO_EDIT_ID,
                errors.ErrorKind.INVALID_EDIT,
                [
                    f'edit_id: found {len(edit.edit_id)} characters, '
                    f'expected 1 to {MAX_EDIT_ID_LENGTH}'
                ],
            )
        digest = _commands.digest_content(edit)
        stored = self.results.find(edit.edit_id)
        if stored is not None:
            if stored.digest == digest:
                return stored.result
            return self._make_refusal(
                edit.edit_id,
                errors.ErrorKind.EDIT_ID_CONFLICT,
                [
                    f'edit_id: found {edit.edit_id} with other content than '
                    f'its first use, expected a new edit id'
                ],
            )
        if isinstance(edit, wire.Restore):
            result = self._apply_restore(edit)
        else:
            result = self._apply_edit(edit)
        self.results.add(digest, result)
        return result

    def _apply_edit(self, edit: wire.Edit) -> wire.EditResult:
        problems = list(_configuration_check.check_edit(edit))
        if problems:
            return self._refuse_invalid(edit.edit_id, problems)
        conflict = self._find_conflict(edit)
        if conflict is not None:
            return conflict
        changes, problems = _configuration_check.merge_changes(
            self.tables, edit.changes
        )
        return self._apply_if_valid(
            edit.edit_id, changes, problems, blocks=edit.blocks
        )

    def _apply_restore(self, restore: wire.Restore) -> wire.EditResult:
        restored_edit = wire.Edit(
            edit_id=restore.edit_id,
            base=dict.fromkeys(wire.TableName, 0),
            changes=restore.export.changes,
        )
        problems = list(_configuration_check.check_rows(restored_edit))
        changes = _restoring.plan_restore(self.tables, restore.export)
        # Entries ignore lower revisions than their own, so rows restored
        # into an empty group need a revision above the exported one.
        floor = max(0, restore.export.revision)
        return self._apply_if_valid(
            restore.edit_id, changes, problems, floor, restore.export.blocks
        )

    def _find_conflict(self, edit: wire.Edit) -> wire.EditResult | None:
        for table in wire.TableName:
            current = self._versions.get(table)
            if table not in edit.base or edit.base[table] == (
                current.revision if current else 0
            ):
                continue
            winner = current or TableVersion(0, _NO_EDIT_ID)
            return wire.EditResult(
                edit_id=edit.edit_id,
                revision=winner.revision,
                kind=errors.ErrorKind.VERSION_CONFLICT.value,
                winner=winner.edit_id,
                problems=[
                    f'{table.value}: found version {winner.revision} by edit '
                    f'{winner.edit_id or "none"}, expected '
                    f'{edit.base[table]} on which the edit is based'
                ],
            )
        return None

    def _apply_if_valid(
        self,
        edit_id: ids.EditId,
        changes: list[wire.Change],
        problems: list[str],
        floor: int = 0,
        blocks: bytes = b'',
    ) -> wire.EditResult:
        """Apply changes if the tables are valid afterwards.

        `blocks` is an image that replaces the blocks table first. The new
        revision is above `floor`.
        """
        block_problems = _configuration_check.find_block_problems(changes)
        if block_problems:
            return self._refuse_invalid(edit_id, problems + block_problems)
        former_blocks = self.tables.dump_blocks() if blocks else b''
        if blocks != former_blocks:
            try:
                self.tables.load_blocks(blocks)
            except errors.WireError as error:
                return self._refuse_invalid(edit_id, [error.detail])
        undo = self._list_undo_changes(changes)
        self.tables.change_rows(changes)
        new_problems = _validation.validate(self.tables, changes, bool(blocks))
        problems.extend(line for line in new_problems if line not in problems)
        if problems:
            self.tables.change_rows(reversed(undo))
            if blocks != former_blocks:
                self.tables.load_blocks(former_blocks)
            return self._refuse_invalid(edit_id, problems)
        if changes or blocks != former_blocks or floor > self.tables.revision:
            revision = max(self.tables.revision, floor) + 1
            self.tables.advance(
                revision, changes if blocks == former_blocks else None
            )
            changed_tables = {change.table for change in changes}
            if blocks != former_blocks:
                changed_tables.add(wire.TableName.BLOCKS)
            self._set_versions(revision, edit_id, changed_tables)
            self._notify()
        return wire.EditResult(edit_id=edit_id, revision=self.tables.revision)

    def _list_undo_changes(
        self, changes: list[wire.Change]
    ) -> list[wire.Change]:
        """Return the changes that restore the current rows."""
        return [
            wire.Change(
                change.table,
                change.key,
                self.tables.get_row(change.table, change.key),
            )
            for change in changes
        ]

    def _set_versions(
        self,
        revision: int,
        edit_id: ids.EditId,
        tables: Iterable[wire.TableName],
    ) -> None:
        """Set the version of the changed tables, unless by a step."""
        if edit_id == _NO_EDIT_ID:
            return
        for table in tables:
            self._versions[table] = TableVersion(revision, edit_id)

    def _apply_step(self, step: _commands.Step) -> wire.EditResult:
        changes = []
        for row_step in step.rows:
            change = _schema.make_change(row_step.row)
            current = self.tables.get_row(change.table, change.key)
            if (
                current != row_step.expected
                or not _transitions.is_allowed_step(current, row_step.row)
            ):
                return self._make_refusal(
                    _NO_EDIT_ID,
                    errors.ErrorKind.VERSION_CONFLICT,
                    [
                        f'{change.table.value}.{change.key}: found another '
                        f'row than the step expects'
                    ],
                )
            if current != row_step.row:
                changes.append(change)
        return self._apply_if_valid(_NO_EDIT_ID, changes, [])

    def _refuse_invalid(
        self, edit_id: ids.EditId, problems: list[str]
    ) -> wire.EditResult:
        return self._make_refusal(
            edit_id, errors.ErrorKind.INVALID_EDIT, problems
        )

    def _make_refusal(
        self, edit_id: ids.EditId, kind: errors.ErrorKind, problems: list[str]
    ) -> wire.EditResult:
        return wire.EditResult(
            edit_id=edit_id,
            revision=self.tables.revision,
            kind=kind.value,
            problems=_results.truncate_problems(problems),
        )

    def snapshot(self) -> bytes:
        """Return the complete state, encoded for `restore`."""
        return _encoder.encode(
            _Snapshot(
                revision=self.tables.revision,
                tables=self.tables.dump_tables(),
                versions=sorted(
                    self._versions.items(), key=lambda item: item[0].value
                ),
                results=self.results.dump(),
                journal=self.tables.journal.entries(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the complete state with a snapshot.

        Raises `errors.DamagedDataError` when it cannot be decoded.
        """
        try:
            state = _decoder.decode(data)
            self.tables.load_tables(
                state.revision, state.tables, state.journal
            )
        except ValueError as error:
            raise errors.DamagedDataError(
                f'snapshot of the tables: {error}'
            ) from error
        self._versions = dict(state.versions)
        self.results.load(state.results)
        self._notify()
