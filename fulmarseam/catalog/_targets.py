"""The table of announced targets.

Announcements of a target are ordered by incarnation and sequence. Those that
arrive out of order or belong to an incarnation that has ended are ignored.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import enum

import msgspec

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.catalog import _bounded

# Ended incarnations that are kept, so that an announcement delayed by a
# partition does not revive one of them, and incarnations dropped as silent
# that are kept, so that a leave can still name one of them.
MAX_ENDED_INCARNATIONS = 4_096
MAX_DROPPED_INCARNATIONS = 4_096

ChangedTargets = list[ids.TargetId]


class AnnouncementState(enum.Enum):
    """Whether an announcement changes the table, or why it does not.

    `ENDED`: its incarnation has ended. `OLDER`: a newer announcement of the
    target is known. `ADDRESS_TAKEN`: a younger target has the address.
    `UNCONFIRMED`: its start was not known when the target left, so it may be
    a late one of the process that left. `POOL_UNKNOWN`: it names no pool in
    force, and would displace a target of one that is.
    """

    NEWER = 'newer'
    ENDED = 'ended'
    OLDER = 'older'
    ADDRESS_TAKEN = 'address_taken'
    UNCONFIRMED = 'unconfirmed'
    POOL_UNKNOWN = 'pool_unknown'


class TargetTable:
    """The record of each live target."""

    def __init__(
        self,
        records: Iterable[wire.TargetRecord] = (),
        ended: Iterable[tuple[ids.TargetId, int]] = (),
        dropped: Iterable[tuple[ids.TargetId, int]] = (),
    ) -> None:
        self._records = {record.target: record for record in records}
        self._ended_incarnations = collections.OrderedDict(ended)
        self._dropped_incarnations = collections.OrderedDict(dropped)
        self._addresses = {
            record.address: record.target for record in self._records.values()
        }

    def get(self, target: ids.TargetId) -> wire.TargetRecord | None:
        """Return the record of a target, or None."""
        return self._records.get(target)

    def list_ids(self) -> list[ids.TargetId]:
        """Return the ids of all targets."""
        return list(self._records)

    def all(self) -> list[wire.TargetRecord]:
        """Return all records."""
        return list(self._records.values())

    def list_ended(self) -> list[tuple[ids.TargetId, int]]:
        """Return the incarnations that have ended, oldest first."""
        return list(self._ended_incarnations.items())

    def list_dropped(self) -> list[tuple[ids.TargetId, int]]:
        """Return the incarnations that were dropped, oldest first."""
        return list(self._dropped_incarnations.items())

    def find_incarnation(self, target: ids.TargetId) -> int:
        """Return the last known incarnation of a target, or 0."""
        current = self._records.get(target)
        if current is not None:
            return current.born_ms
        return max(
            self._dropped_incarnations.get(target, 0),
            self._ended_incarnations.get(target, 0),
        )

    def has_ended(self, target: ids.TargetId, born_ms: int) -> bool:
        """Return whether an incarnation of a target has ended."""
        return born_ms <= self._ended_incarnations.get(target, -1)

    def has_left(self, target: ids.TargetId) -> bool:
        """Return whether a target is not in the table since it left.

        One that was dropped as silent after a later start has crashed.
        """
        ended = self._ended_incarnations.get(target)
        if ended is None or target in self._records:
            return False
        return ended >= self._dropped_incarnations.get(target, ended)

    def is_newer(self, record: wire.TargetRecord) -> bool:
        """Return whether an announcement would change the table."""
        return self.classify(record) is AnnouncementState.NEWER

    def classify(self, record: wire.TargetRecord) -> AnnouncementState:
        """Return why an announcement changes nothing, or that it is newer."""
        if self.has_ended(record.target, record.born_ms):
            return AnnouncementState.ENDED
        current = self._records.get(record.target)
        if current is not None:
            order = (record.born_ms, record.sequence)
            if order > (current.born_ms, current.sequence):
                return AnnouncementState.NEWER
            return AnnouncementState.OLDER
        owner = self.find_address_owner(record)
        if owner is None or owner.born_ms <= record.born_ms:
            return AnnouncementState.NEWER
        return AnnouncementState.ADDRESS_TAKEN

    def find_address_owner(
        self, record: wire.TargetRecord
    ) -> wire.TargetRecord | None:
        """Return the record of another target at the same address."""
        target = self._addresses.get(record.address)
        if target is None or target == record.target:
            return None
        return self._records.get(target)

    def announce(self, records: Sequence[wire.TargetRecord]) -> ChangedTargets:
        """Store newer records; return the changed targets."""
        changed: ChangedTargets = []
        for record in records:
            if not self.is_newer(record):
                continue
            owner = self.find_address_owner(record)
            if owner is not None:
                self._end_incarnation(owner.target, owner.born_ms)
                changed.append(owner.target)
            current = self._records.get(record.target)
            if current is not None:
                record = _keep_draining(current, record)
                self._free_address(current)
            self._records[record.target] = record
            self._dropped_incarnations.pop(record.target, None)
            self._addresses[record.address] = record.target
            changed.append(record.target)
        return changed

    def leave(self, target: ids.TargetId, born_ms: int) -> ChangedTargets:
        """End an incarnation; `born_ms` 0 means the current one."""
        current = self._records.get(target)
        if current is None:
            if born_ms:
                self._record_ended(target, born_ms)
            return []
        if born_ms and born_ms < current.born_ms:
            return []
        self._end_incarnation(target, max(born_ms, current.born_ms))
        return [target]

    def drop(
        self, targets: Sequence[tuple[ids.TargetId, int]]
    ) -> ChangedTargets:
        """Remove silent incarnations; they may announce themselves again."""
        changed: ChangedTargets = []
        for target, born_ms in targets:
            current = self._records.get(target)
            if current is not None and current.born_ms == born_ms:
                self._remove(current)
                _bounded.keep_newest(
                    self._dropped_incarnations,
                    target,
                    born_ms,
                    MAX_DROPPED_INCARNATIONS,
                )
                changed.append(target)
        return changed

    def _end_incarnation(self, target: ids.TargetId, born_ms: int) -> None:
        self._remove(self._records[target])
        self._record_ended(target, born_ms)

    def _remove(self, record: wire.TargetRecord) -> None:
        del self._records[record.target]
        self._free_address(record)

    def _free_address(self, record: wire.TargetRecord) -> None:
        if self._addresses.get(record.address) == record.target:
            del self._addresses[record.address]

    def _record_ended(self, target: ids.TargetId, born_ms: int) -> None:
        _bounded.keep_newest(
            self._ended_incarnations, target, born_ms, MAX_ENDED_INCARNATIONS
        )


def _keep_draining(
    current: wire.TargetRecord, record: wire.TargetRecord
) -> wire.TargetRecord:
    """Return the record, still draining if its incarnation already was."""
    same_incarnation = current.born_ms == record.born_ms
    if same_incarnation and current.phase is wire.TargetPhase.DRAINING:
        return msgspec.structs.replace(record, phase=current.phase)
    return record
