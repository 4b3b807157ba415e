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


class _Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    items: list[tuple[int, wire.Item]]
    targets: list[tuple[int, wire.TargetRecord]]
    ended: list[tuple[ids.TargetId, int]]
    evacuated: list[ids.DomainName]
    evacuated_at: int
    digests: list[bytes]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Snapshot)


class Catalog:
    """Applies catalog commands and lists what changed since a revision.

    Members that apply the same commands hold the same state. `notify` is
    called after each change. A revision counts the commands that changed
    something.
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
        self._item_revisions: dict[_items.ItemKey, int] = {}
        self._target_revisions: dict[ids.TargetId, int] = {}
        self._removals: collections.deque[tuple[int, ids.TargetId]] = (
            collections.deque()
        )
        # Entries below this revision get the whole state.
        self._removals_from = 0
        self._evacuated_at = 0
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
        if changed:
            self.revision += 1
            for key in changed:
                self._item_revisions[key] = self.revision
            self._notify()
        return []

    def _note_targets(self, changes: _targets.Changes) -> None:
        if not changes:
            return
        self.revision += 1
        for target in changes:
            if self.targets.get(target) is not None:
                self._target_revisions[target] = self.revision
            else:
                self._target_revisions.pop(target, None)
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
        self._evacuated_at = self.revision
        self._notify()

    # Differences

    def list_news(self, revision: int) -> wire.EntryNews:
        """Return what changed after `revision`, without group or members."""
        if revision == self.revision:
            return wire.EntryNews(group='', revision=self.revision)
        full = revision < self._removals_from or revision > self.revision
        after = -1 if full else revision
        evacuated = None
        if full or self._evacuated_at > after:
            evacuated = sorted(self.evacuated)
        return wire.EntryNews(
            group='',
            revision=self.revision,
            full=full,
            items=[
                self.items.get(key)
                for key, changed_at in self._item_revisions.items()
                if changed_at > after
            ],
            targets=[
                record
                for target, changed_at in self._target_revisions.items()
                if changed_at > after
                and (record := self.targets.get(target)) is not None
            ],
            removed_targets=[
                target
                for removed_at, target in self._removals
                if removed_at > after and self.targets.get(target) is None
            ],
            evacuated=evacuated,
        )

    # Snapshots

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return _encoder.encode(
            _Snapshot(
                revision=self.revision,
                items=[
                    (changed_at, self.items.get(key))
                    for key, changed_at in self._item_revisions.items()
                ],
                targets=[
                    (changed_at, record)
                    for target, changed_at in self._target_revisions.items()
                    if (record := self.targets.get(target)) is not None
                ],
                ended=self.targets.list_ended(),
                evacuated=sorted(self.evacuated),
                evacuated_at=self._evacuated_at,
                digests=list(self._digests),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that `snapshot` returned."""
        loaded = _decoder.decode(data)
        self.revision = loaded.revision
        self.items = _items.ItemTable(item for _, item in loaded.items)
        self._item_revisions = {
            (item.kind, item.name): changed_at
            for changed_at, item in loaded.items
        }
        self.targets = _targets.TargetTable(
            (record for _, record in loaded.targets), loaded.ended
        )
        self._target_revisions = {
            record.target: changed_at for changed_at, record in loaded.targets
        }
        self._removals.clear()
        self._removals_from = loaded.revision
        self.evacuated = set(loaded.evacuated)
        self._evacuated_at = loaded.evacuated_at
        self._digests = collections.OrderedDict.fromkeys(loaded.digests)
        self._notify()
