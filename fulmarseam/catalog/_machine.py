"""The state machine of the catalog."""

import collections
from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.catalog import _commands
from fulmarseam.catalog import _items
from fulmarseam.catalog import _targets

# Digests of accepted calls that are kept to acknowledge a resend. An
# operator resends a call for seconds, with at most eight in progress.
MAX_DIGESTS = 4_096
# Removed targets that are kept for incremental changes; an entry that has
# missed more of them gets the full state.
MAX_REMOVALS = 2_000


# Rows in one answer to an entry, about 100 bytes each. A busy link of
# 2.4 Mbit/s transfers that many in a fraction of a second.
MAX_ROWS_PER_ANSWER = 200
# Packed rows take about 27 bytes each.
MAX_PACKED_ROWS_PER_ANSWER = 800

# Key of an item, or id of a target.
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
    # Incarnations that were dropped; absent in earlier releases.
    dropped: list[tuple[ids.TargetId, int]] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Snapshot)


class Catalog:
    """Applies catalog commands and lists what changed since a revision.

    Members that apply the same commands have the same state. `notify` is
    called after each change. Every change of a row gets its own revision,
    so that an entry may fetch any number of changes at a time.
    """

    def __init__(self, notify: Callable[[], None] = lambda: None) -> None:
        self._notify = notify
        self.reset()

    def reset(self) -> None:
        """Clear the state before a log is applied from its start."""
        self.revision = 0
        self.items = _items.ItemTable()
        self.targets = _targets.TargetTable()
        self.evacuated: set[ids.DomainName] = set()
        # The revision of each row's last change, in ascending order.
        self._changes: dict[_RowKey, int] = {}
        self._removals: collections.deque[tuple[int, ids.TargetId]] = (
            collections.deque()
        )
        # Removals up to this revision are no longer in `_removals`.
        self._removals_trimmed_to = 0
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
                self._record_target_changes(self.targets.announce(records))
            case _commands.LeaveTarget(target=target, born_ms=born_ms):
                self._record_target_changes(
                    self.targets.leave(target, born_ms)
                )
            case _commands.DropTargets(targets=targets):
                self._record_target_changes(self.targets.drop(targets))
            case _commands.EvacuateDomain():
                self._evacuate(decoded)
        return self._encode_result(problems)

    def find_orphans(
        self,
        command: _commands.PutItems,
        pending: Sequence[_commands.PutItems],
    ) -> list[str]:
        """Return one line for each pool that a call must not remove.

        The leader refuses such a call before it enters the log: earlier
        releases apply it, and all members have to apply the same. `pending`
        are the calls before it that have not been applied. A call that was
        accepted before is acknowledged again.
        """
        if self.has_accepted(command.digest):
            return []
        return self.items.find_orphans(
            command.items, [item for put in pending for item in put.items]
        )

    def has_accepted(self, digest: bytes) -> bool:
        """Return whether a call has been accepted before."""
        return digest in self._digests

    def find_call_problems(
        self, items: Sequence[wire.Item], digest: bytes
    ) -> list[str]:
        """Return one line for each problem of a call of several commands."""
        if self.has_accepted(digest):
            return []
        return self.items.find_problems(items) or self.items.find_orphans(
            items
        )

    def find_displaced(
        self, record: wire.TargetRecord
    ) -> wire.TargetRecord | None:
        """Return the usable target that an announcement must not displace.

        An announcement that names no pool in force may come from another
        writer. It must change neither the target with its id nor the one at
        its address while their pools are in force.
        """
        if self.items.has_pool(record.pool):
            return None
        holders = (
            self.targets.get(record.target),
            self.targets.find_address_owner(record),
        )
        for holder in holders:
            if holder is not None and self.items.has_pool(holder.pool):
                return holder
        return None

    def find_unused_owner(
        self, record: wire.TargetRecord
    ) -> wire.TargetRecord | None:
        """Return the target that a usable one may displace in any case.

        It has the address of `record`, but its pool is not in force.
        """
        owner = self.targets.find_address_owner(record)
        if owner is None or self.items.has_pool(owner.pool):
            return None
        return owner if self.items.has_pool(record.pool) else None

    def classify(
        self, record: wire.TargetRecord
    ) -> _targets.AnnouncementState:
        """Return why an announcement changes nothing, or that it is newer.

        The leader drops a target without a pool in force, so that it does
        not keep its address from a usable one.
        """
        state = self.targets.classify(record)
        if (
            state is _targets.AnnouncementState.ADDRESS_TAKEN
            and self.find_unused_owner(record) is not None
        ):
            return _targets.AnnouncementState.NEWER
        return state

    def _encode_result(self, problems: list[str]) -> bytes:
        return _encoder.encode(
            wire.CatalogResult(revision=self.revision, problems=problems)
        )

    def _put_items(self, command: _commands.PutItems) -> list[str]:
        if self.has_accepted(command.digest):
            return []
        problems = self.items.find_problems(command.items)
        if problems:
            return problems
        self._digests[command.digest] = None
        if len(self._digests) > MAX_DIGESTS:
            self._digests.popitem(last=False)
        changed = self.items.put(command.items)
        for key in changed:
            self._record_change(key)
        if changed:
            self._notify()
        return []

    def _record_change(self, key: _RowKey) -> None:
        self.revision += 1
        self._changes.pop(key, None)
        self._changes[key] = self.revision

    def _record_target_changes(self, changes: _targets.ChangedTargets) -> None:
        if not changes:
            return
        for target in changes:
            if self.targets.get(target) is not None:
                self._record_change(target)
            else:
                self.revision += 1
                self._changes.pop(target, None)
                self._removals.append((self.revision, target))
        while len(self._removals) > MAX_REMOVALS:
            self._removals_trimmed_to = self._removals.popleft()[0]
        self._notify()

    def _evacuate(self, command: _commands.EvacuateDomain) -> None:
        is_evacuated = command.failure_domain in self.evacuated
        if is_evacuated == command.active:
            return
        if command.active:
            self.evacuated.add(command.failure_domain)
        else:
            self.evacuated.discard(command.failure_domain)
        self.revision += 1
        self._notify()

    # Differences

    def list_changes(
        self,
        revision: int,
        removals_revision: int,
        max_rows: int = MAX_ROWS_PER_ANSWER,
        has_organisations: bool = False,
    ) -> wire.CatalogChanges:
        """Return up to `max_rows` changes after `revision`.

        `removals_revision` is the revision up to which the entry knows all
        removed targets. An entry that missed removals which are no longer
        kept gets the full state, from its first row. An entry at revision 0
        has no targets, so it gets no removals. Organisations are listed with
        `has_organisations`, as entries of earlier releases cannot read them.
        """
        full = removals_revision < self._removals_trimmed_to
        after = 0 if full else revision
        keys = self._list_changed_keys(after)
        is_last = len(keys) <= max_rows
        keys = keys[:max_rows]
        return wire.CatalogChanges(
            revision=self.revision if is_last else self._changes[keys[-1]],
            newest=self.revision,
            full=full,
            items=[
                # Entries do not need the operator's original text.
                msgspec.structs.replace(self.items.get(key), source=b'')
                for key in keys
                if isinstance(key, tuple)
                and (
                    has_organisations
                    or key[0] is not wire.ItemKind.ORGANISATION
                )
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
                if revision
                and removed_at > removals_revision
                and self.targets.get(target) is None
            ],
            evacuated=sorted(self.evacuated),
        )

    def _list_changed_keys(self, after: int) -> list[_RowKey]:
        """Return the keys of rows changed after a revision, oldest first."""
        keys = []
        for key, changed_at in reversed(self._changes.items()):
            if changed_at <= after:
                break
            keys.append(key)
        keys.reverse()
        return keys

    # Snapshots

    def snapshot(self) -> bytes:
        """Return the encoded state."""
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
                removals_from=self._removals_trimmed_to,
                evacuated=sorted(self.evacuated),
                digests=list(self._digests),
                dropped=self.targets.list_dropped(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned."""
        loaded = _decoder.decode(data)
        self.revision = loaded.revision
        self.items = _items.ItemTable(item for _, item in loaded.items)
        self.targets = _targets.TargetTable(
            (record for _, record in loaded.targets),
            loaded.ended,
            loaded.dropped,
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
        self._removals_trimmed_to = loaded.removals_from
        self.evacuated = set(loaded.evacuated)
        self._digests = collections.OrderedDict.fromkeys(loaded.digests)
        self._notify()
