"""The state machine of the catalog."""

import collections
from collections.abc import Callable

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.catalog import _commands
from fulmarseam.catalog import _items
from fulmarseam.catalog import _targets

# Accepted calls that are remembered to acknowledge a resend. An operator
# sends one call again for seconds, with at most eight in progress.
MAX_DIGESTS = 4_096
# Removed targets that are listed as differences; an entry that is further
# behind gets the whole state.
MAX_REMOVALS = 2_000


# Rows in one answer to an entry, about 100 bytes each. A link of 2.4 Mbit/s
# that is in use carries so many in a part of a second.
MAX_ROWS = 200

# The key of an item or the id of a target.
_RowKey = _items.ItemKey | ids.TargetId


class _Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    items: list[tuple[int, wire.Item]]
    targets: list[tuple[int, wire.TargetRecord]]
    ended: list[tuple[ids.TargetId, int]]
    removals: list[tuple[int, ids.TargetId]]
    removals_from: int
    evacuated: list[ids.DomainName]
    digests: list[bytes]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Snapshot)


class Catalog:
    """Applies catalog commands and lists what changed since a revision.

    Members that apply the same commands hold the same state. `notify` is
    called after each change. Every change of a row has a revision of its
    own, so that an entry may take any number of them at a time.
    """

    def __init__(self, notify: Callable[[], None] = lambda: None) -> None:
        self._notify = notify
        self.reset()

    def reset(self) -> None:
        """Forget everything, before a log is applied from its start."""
        self.revision = 0
        self.items = _items.ItemTable()
        self.targets = _targets.TargetTable()
        self.evacuated: set[ids.DomainName] = set()
        # The revision of each row's last change, in ascending order.
        self._changes: dict[_RowKey, int] = {}
        self._removals: collections.deque[tuple[int, ids.TargetId]] = (
            collections.deque()
        )
        # Removals up to this revision are no longer known.
        self._removals_from = 0
        self._digests: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    # Commands

    def apply(self, command: bytes) -> bytes:
        """Apply one command and return an encoded `wire.CatalogResult`."""
        try:
            decoded = _commands.decode_command(command)
        except errors.WireError as error:
            return self._encode_result([error.detail])
        problems: list[str] = []
        match decoded:
            case _commands.PutItems():
                problems = self._put_items(decoded)
            case _commands.AnnounceTargets(records=records):
                self._note_targets(self.targets.announce(records))
            case _commands.LeaveTarget(target=target, born_ms=born_ms):
                self._note_targets(self.targets.leave(target, born_ms))
            case _commands.DropTargets(targets=targets):
                self._note_targets(self.targets.drop(targets))
            case _commands.EvacuateDomain():
                self._evacuate(decoded)
        return self._encode_result(problems)

    def _encode_result(self, problems: list[str]) -> bytes:
        return _encoder.encode(
            wire.CatalogResult(revision=self.revision, problems=problems)
        )

    def _put_items(self, command: _commands.PutItems) -> list[str]:
        if command.digest in self._digests:
            return []
        problems = self.items.find_problems(command.items)
        if problems:
            return problems
        self._digests[command.digest] = None
        if len(self._digests) > MAX_DIGESTS:
            self._digests.popitem(last=False)
        changed = self.items.put(command.items)
        for key in changed:
            self._note_change(key)
        if changed:
            self._notify()
        return []

    def _note_change(self, key: _RowKey) -> None:
        self.revision += 1
        self._changes.pop(key, None)
        self._changes[key] = self.revision

    def _note_targets(self, changes: _targets.Changes) -> None:
        if not changes:
            return
        for target in changes:
            if self.targets.get(target) is not None:
                self._note_change(target)
            else:
                self.revision += 1
                self._changes.pop(target, None)
                self._removals.append((self.revision, target))
        while len(self._removals) > MAX_REMOVALS:
            self._removals_from = self._removals.popleft()[0]
        self._notify()

    def _evacuate(self, command: _commands.EvacuateDomain) -> None:
        is_active = command.failure_domain in self.evacuated
        if is_active == command.active:
            return
        if command.active:
            self.evacuated.add(command.failure_domain)
        else:
            self.evacuated.discard(command.failure_domain)
        self.revision += 1
        self._notify()

    # Differences

    def list_changes(
        self, revision: int, removals_revision: int
    ) -> wire.CatalogChanges:
        """Return the next changes after `revision`, at most `MAX_ROWS`.

        `removals_revision` is up to where the entry knows the removals. One
        that has missed some which are no longer known starts anew.
        """
        full = removals_revision < self._removals_from
        after = 0 if full else revision
        keys = self._list_changed(after)
        is_last = len(keys) <= MAX_ROWS
        keys = keys[:MAX_ROWS]
        return wire.CatalogChanges(
            revision=self.revision if is_last else self._changes[keys[-1]],
            newest=self.revision,
            full=full,
            items=[
                # Entries have no use for the operator's own form.
                msgspec.structs.replace(self.items.get(key), source=b'')
                for key in keys
                if isinstance(key, tuple)
            ],
            targets=[
                record
                for key in keys
                if not isinstance(key, tuple)
                and (record := self.targets.get(key)) is not None
            ],
            removed_targets=[
                target
                for removed_at, target in self._removals
                if removed_at > removals_revision
                and self.targets.get(target) is None
            ],
            evacuated=sorted(self.evacuated),
        )

    def _list_changed(self, after: int) -> list[_RowKey]:
        """Return the rows changed after a revision, the oldest first."""
        keys = []
        for key, changed_at in reversed(self._changes.items()):
            if changed_at <= after:
                break
            keys.append(key)
        keys.reverse()
        return keys

    # Snapshots

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return _encoder.encode(
            _Snapshot(
                revision=self.revision,
                items=[
                    (changed_at, self.items.get(key))
                    for key, changed_at in self._changes.items()
                    if isinstance(key, tuple)
                ],
                targets=[
                    (changed_at, record)
                    for key, changed_at in self._changes.items()
                    if not isinstance(key, tuple)
                    and (record := self.targets.get(key)) is not None
                ],
                ended=self.targets.list_ended(),
                removals=list(self._removals),
                removals_from=self._removals_from,
                evacuated=sorted(self.evacuated),
                digests=list(self._digests),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that `snapshot` returned."""
        loaded = _decoder.decode(data)
        self.revision = loaded.revision
        self.items = _items.ItemTable(item for _, item in loaded.items)
        self.targets = _targets.TargetTable(
            (record for _, record in loaded.targets), loaded.ended
        )
        changes: list[tuple[int, _RowKey]] = [
            (changed_at, (item.kind, item.name))
            for changed_at, item in loaded.items
        ]
        changes.extend(
            (changed_at, record.target)
            for changed_at, record in loaded.targets
        )
        changes.sort(key=lambda change: change[0])
        self._changes = {key: changed_at for changed_at, key in changes}
        self._removals = collections.deque(loaded.removals)
        self._removals_from = loaded.removals_from
        self.evacuated = set(loaded.evacuated)
        self._digests = collections.OrderedDict.fromkeys(loaded.digests)
        self._notify()
